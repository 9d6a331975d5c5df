//! Start and end of a dropshot server.

use super::{app::App, log_bridge};
use crate::StartError;
use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use error_stack::{Report, ResultExt};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Longest request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Time for requests in progress when a server ends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The server type of both interfaces.
pub(super) type Server = HttpServer<Arc<App>>;

/// Starts a server of `api` on `address`.
pub(super) fn start(
    app: &Arc<App>,
    api: ApiDescription<Arc<App>>,
    address: SocketAddr,
) -> Result<Server, Report<StartError>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: BODY_MAX_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(app), log_bridge::logger())
        .config(config)
        .start()
        .change_context(StartError::Bind(address))
}

/// Ends a server and joins its tasks. A connection on which no whole request has come would hold up
/// the end for as long as its client likes; after [`CLOSE_TIMEOUT`] the runtime ends it.
pub(super) async fn close(server: Server) {
    match timeout(CLOSE_TIMEOUT, server.close()).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("admin: server did not end cleanly: {e}"),
        Err(_) => log::info!("admin: open connections are cut"),
    }
}
