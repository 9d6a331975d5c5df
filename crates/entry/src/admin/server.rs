//! Start and end of a dropshot server.

use super::{app::App, log_bridge};
use crate::StartError;
use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use error_stack::{Report, ResultExt};
use std::{net::SocketAddr, sync::Arc};

/// Longest request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

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

/// Ends a server and joins its tasks.
pub(super) async fn close(server: Server) {
    if let Err(e) = server.close().await {
        log::warn!("admin: server did not end cleanly: {e}");
    }
}
