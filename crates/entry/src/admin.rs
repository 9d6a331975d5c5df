//! HTTP servers of the administration API and of directions, run on the control thread.

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

/// Version of both APIs.
const API_VERSION: semver::Version = semver::Version::new(1, 0, 0);

/// Serves both APIs until the process shuts down.
///
/// # Errors
///
/// Returns [`StartError::Bind`] if an address cannot be bound, [`StartError::ReadFile`] or
/// [`StartError::EmptyToken`] if the administration token cannot be loaded, and
/// [`StartError::Api`] if the description of an API cannot be built.
pub async fn run(context: &Arc<Context>) -> Result<(), Report<StartError>> {
    let app = Arc::new(App::new(context)?);
    let listen = &context.local.listen;
    let admin = server::start(&app, operators::api()?, listen.admin)?;
    let directions = server::start(&app, directions::api()?, listen.directions)?;
    context.shutdown.cancelled().await;
    tokio::join!(server::close(admin), server::close(directions));
    Ok(())
}

/// Returns the file names and texts of the OpenAPI documents of both APIs.
///
/// # Errors
///
/// Returns [`StartError::Api`] if the description of an API cannot be built.
pub fn openapi() -> Result<[(&'static str, String); 2], Report<StartError>> {
    Ok([
        ("admin.json", openapi_document(&operators::api()?, "azuretally administration")?),
        ("directions.json", openapi_document(&directions::api()?, "azuretally directions")?),
    ])
}

fn openapi_document(
    api: &ApiDescription<Arc<App>>,
    title: &str,
) -> Result<String, Report<StartError>> {
    let document = api.openapi(title, API_VERSION).json().change_context(StartError::Api)?;
    let text = serde_json::to_string_pretty(&document).change_context(StartError::Api)?;
    Ok(text + "\n")
}
