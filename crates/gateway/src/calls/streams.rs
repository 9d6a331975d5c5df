//! Ends of answers that are passed on while they are still being received.

use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::balance::StreamEnd;
use std::{rc::Rc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// Tells how the body of an answer ends. Nothing is told of one that the caller or the gateway breaks off.
#[derive(Debug)]
pub(super) struct StreamWatch {
    /// What is told if the body is complete, `None` once it has been.
    end: Option<StreamEnd>,
    /// When the gateway itself closes the connection.
    limit: Instant,
    ends: mpsc::UnboundedSender<StreamEnd>,
}

impl StreamWatch {
    /// Creates a watch of a body that may take `time_left`.
    pub(super) fn new(
        end: StreamEnd,
        time_left: Duration,
        ends: mpsc::UnboundedSender<StreamEnd>,
    ) -> Self {
        Self { end: Some(end), limit: Instant::now() + time_left, ends }
    }

    /// Records that the body has ended.
    pub(super) fn record_end(&mut self, is_complete: bool) {
        if !is_complete && Instant::now() >= self.limit {
            return;
        }
        if let Some(end) = self.end.take() {
            // Sending only fails once the server has ended.
            let _ = self.ends.send(StreamEnd { is_complete, ..end });
        }
    }
}

/// Records the ends in `ends` until the task is dropped.
pub(super) async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    mut ends: mpsc::UnboundedReceiver<StreamEnd>,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    while let Some(end) = ends.recv().await {
        gateway.record_stream_end(&end);
    }
}
