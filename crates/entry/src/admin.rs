//! Administration API and directions, served from the control thread.

mod directions;
mod log_bridge;
mod operators;
mod server;
mod status;

use crate::{StartError, context::Context};
use error_stack::Report;
use std::sync::Arc;

/// Serves both interfaces until the end of the process.
///
/// # Errors
///
/// [`StartError::Bind`] when an address cannot be used.
pub async fn run(context: &Arc<Context>) -> Result<(), Report<StartError>> {
    let listen = &context.local.listen;
    let admin = server::start(context, operators::api()?, listen.admin)?;
    let directions = server::start(context, directions::api()?, listen.directions)?;
    context.end.cancelled().await;
    server::close(admin).await;
    server::close(directions).await;
    Ok(())
}
