//! Administration API and directions, served from the control thread.

mod app;
mod directions;
mod log_bridge;
mod operators;
mod server;
mod status;

use crate::{StartError, context::Context};
use app::App;
use dropshot::{ApiDescription, semver};
use error_stack::{Report, ResultExt};
use std::sync::Arc;

/// Version of both interfaces.
const API_VERSION: semver::Version = semver::Version::new(1, 0, 0);

/// Serves both interfaces until the end of the process.
///
/// # Errors
///
/// [`StartError::Bind`] when an address cannot be used, [`StartError::ReadFile`] when the
/// administration token cannot be read.
pub async fn run(context: &Arc<Context>) -> Result<(), Report<StartError>> {
    let app = Arc::new(App::new(context)?);
    let listen = &context.local.listen;
    let admin = server::start(&app, operators::api()?, listen.admin)?;
    let directions = server::start(&app, directions::api()?, listen.directions)?;
    context.shutdown.cancelled().await;
    tokio::join!(server::close(admin), server::close(directions));
    Ok(())
}

/// The OpenAPI documents of both interfaces by file name.
///
/// # Errors
///
/// [`StartError::Api`] when an interface cannot be described.
pub fn openapi() -> Result<[(&'static str, String); 2], Report<StartError>> {
    Ok([
        ("admin.json", document(&operators::api()?, "azuretally administration")?),
        ("directions.json", document(&directions::api()?, "azuretally directions")?),
    ])
}

fn document(api: &ApiDescription<Arc<App>>, title: &str) -> Result<String, Report<StartError>> {
    let document = api.openapi(title, API_VERSION).json().change_context(StartError::Api)?;
    let text = serde_json::to_string_pretty(&document).change_context(StartError::Api)?;
    Ok(text + "\n")
}
