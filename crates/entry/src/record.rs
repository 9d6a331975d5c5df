//! The audit record of this incarnation.
//!
//! The request path pushes finished calls to a [`Sink`]. The control thread takes them from there,
//! adds them to the hash chain, keeps the latest lines in a [`Journal`] and passes all lines to the
//! writer thread, so that no call waits for its record. Lines are also copied to a peer, and copies
//! of the lines of peers are kept in a [`CopyStore`].

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

/// Interval at which finished calls are collected.
const COLLECT_INTERVAL: Duration = Duration::from_millis(20);

/// Records and copies lines until the process shuts down, then writes and copies the last lines.
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
    recorder.finish();
}
