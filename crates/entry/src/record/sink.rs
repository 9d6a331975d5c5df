//! The queue between the request path and the record.

use azuretally_api::record::CallRecord;
use parking_lot::Mutex;
use std::{
    fmt, mem,
    sync::atomic::{AtomicU64, Ordering},
};

/// Number of queues, so that threads of the request path rarely meet at one lock.
const SHARDS: usize = 16;
/// Calls that one queue holds.
const SHARD_CALLS: usize = 2_048;

/// Takes decided calls from many threads. Bounded: calls beyond the bound are counted as lost, and
/// the record shows the number.
pub struct Sink {
    shards: [Mutex<Vec<CallRecord>>; SHARDS],
    lost: AtomicU64,
}

/// Calls taken from a [`Sink`].
#[derive(Debug, Default)]
pub struct Batch {
    /// Decided calls in the order of their ends.
    pub calls: Vec<CallRecord>,
    /// Calls that were lost since the previous batch.
    pub lost: u64,
}

impl Sink {
    /// An empty sink.
    pub fn new() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()), lost: AtomicU64::new(0) }
    }

    /// Takes in one decided call.
    pub fn push(&self, call: CallRecord) {
        let first = call.end_us as usize;
        for i in 0..SHARDS {
            let Some(mut shard) = self.shards[(first + i) % SHARDS].try_lock() else { continue };
            if shard.len() < SHARD_CALLS {
                shard.push(call);
                return;
            }
        }
        self.push_blocking(first % SHARDS, call);
    }

    /// Takes out everything that was pushed so far.
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
        if shard.len() < SHARD_CALLS {
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
