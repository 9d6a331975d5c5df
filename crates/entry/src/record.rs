//! The audit record of this incarnation.
//!
//! The request path hands decided calls to a [`Sink`]. The control thread takes them from there,
//! chains them, keeps the last lines in a [`Journal`] and hands all to the writer, so that a call
//! never waits for its record.

mod copier;
mod copies;
mod journal;
mod recorder;
mod sink;
mod writer;

pub use copies::{CopyError, CopyStore};
pub use journal::Journal;
pub(crate) use journal::matches_call;
pub use sink::{Batch, Sink};

use crate::context::Context;
use copier::Copier;
use recorder::Recorder;
use std::{sync::Arc, time::Duration};
use tokio::time::MissedTickBehavior;

/// Time between two collections of decided calls.
const COLLECT_INTERVAL: Duration = Duration::from_millis(20);

/// Runs until the end of the process, then writes and copies the last line.
pub async fn run(context: &Arc<Context>) {
    let mut copier = Copier::new(context);
    tokio::join!(record(context), copier.run());
    copier.finish().await;
}

async fn record(context: &Context) {
    let mut recorder = Recorder::start(context);
    let mut views = context.subscribe();
    let mut interval = tokio::time::interval(COLLECT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = views.changed() => {}
            () = context.shutdown.cancelled() => break,
        }
        recorder.collect();
    }
    recorder.end();
}
