//! Starts and shuts down dropshot servers.

use super::{app::App, log_bridge};
use crate::StartError;
use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use error_stack::{Report, ResultExt};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Time that requests in progress have to finish when a server shuts down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Server of either API.
pub(super) type Server = HttpServer<Arc<App>>;

/// Starts a server for `api` on `address`.
pub(super) fn start(
    app: &Arc<App>,
    api: ApiDescription<Arc<App>>,
    address: SocketAddr,
) -> Result<Server, Report<StartError>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(app), log_bridge::logger())
        .config(config)
        .start()
        .change_context(StartError::Bind(address))
}

/// Shuts down a server and waits for its tasks, for at most [`CLOSE_TIMEOUT`]. Without this limit,
/// a client that never completes its request would delay the shutdown for as long as it stays
/// connected. The runtime drops the connections that are left.
pub(super) async fn close(server: Server) {
    match timeout(CLOSE_TIMEOUT, server.close()).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("admin: server did not shut down cleanly: {e}"),
        Err(_) => log::info!("admin: connections still open at shutdown are dropped"),
    }
}
