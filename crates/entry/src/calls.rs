//! The request path: callers in, targets and peers out.

use crate::{StartError, context::Context};
use error_stack::{Report, ResultExt};
use std::sync::Arc;
use tokio::net::TcpListener;

/// Server of callers' calls.
#[derive(Debug)]
pub struct Server {
    context: Arc<Context>,
    _listener: TcpListener,
}

impl Server {
    /// Listens on the address for calls.
    ///
    /// # Errors
    ///
    /// [`StartError::Bind`] when the address cannot be used.
    pub async fn bind(context: Arc<Context>) -> Result<Self, Report<StartError>> {
        let address = context.local.listen.calls;
        let listener =
            TcpListener::bind(address).await.change_context(StartError::Bind(address))?;
        Ok(Self { context, _listener: listener })
    }

    /// Serves until the planned stop has finished every call in flight.
    pub async fn run(self) {
        self.context.stop.cancelled().await;
    }
}
