//! The audit record of this incarnation.
//!
//! The request path hands decided calls to a [`Sink`]; the control thread takes them from there,
//! so that a call never waits for its record.

mod sink;

pub use sink::{Batch, Sink};

use crate::context::Context;
use std::{sync::Arc, time::Duration};

/// Time between two collections of decided calls.
const COLLECT_INTERVAL: Duration = Duration::from_millis(20);

/// Runs until the end of the process.
pub async fn run(context: &Arc<Context>) {
    let mut interval = tokio::time::interval(COLLECT_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = context.end.cancelled() => return,
        }
        context.records.take();
    }
}
