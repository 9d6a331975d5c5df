//! Queue of call records from the request path to the audit record.

use azuretally_api::record::CallRecord;
use parking_lot::Mutex;
use std::{
    fmt, mem,
    sync::atomic::{AtomicU64, Ordering},
};

/// Number of shards, to keep lock contention between the threads of the request path low.
const SHARDS: usize = 16;
/// Capacity of one shard, in calls.
const SHARD_CAPACITY: usize = 2_048;

/// Bounded queue of finished calls with many producers.
///
/// Calls that do not fit are dropped and counted as lost, and the audit record states their number.
pub struct Sink {
    shards: [Mutex<Vec<CallRecord>>; SHARDS],
    lost: AtomicU64,
}

/// Content taken from a [`Sink`].
#[derive(Debug, Default)]
pub struct Batch {
    /// Finished calls, ordered by end time.
    pub calls: Vec<CallRecord>,
    /// Number of calls lost since the previous batch.
    pub lost: u64,
}

impl Sink {
    /// Creates an empty sink.
    pub fn new() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()), lost: AtomicU64::new(0) }
    }

    /// Adds one finished call. Prefers a shard that is not locked and not full.
    pub fn push(&self, call: CallRecord) {
        let start = call.end_us as usize;
        for i in 0..SHARDS {
            let Some(mut shard) = self.shards[(start + i) % SHARDS].try_lock() else { continue };
            if shard.len() < SHARD_CAPACITY {
                shard.push(call);
                return;
            }
        }
        self.push_blocking(start % SHARDS, call);
    }

    /// Removes and returns everything pushed so far.
    pub fn take(&self) -> Batch {
        let mut calls = Vec::new();
        for shard in &self.shards {
            calls.append(&mut mem::take(&mut *shard.lock()));
        }
        calls.sort_by_key(|c| c.end_us);
        Batch { calls, lost: self.lost.swap(0, Ordering::Relaxed) }
    }

    fn push_blocking(&self, shard: usize, call: CallRecord) {
        let mut shard = self.shards[shard].lock();
        if shard.len() < SHARD_CAPACITY {
            shard.push(call);
        } else {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Default for Sink {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Sink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sink").field("lost", &self.lost).finish_non_exhaustive()
    }
}
