//! Counters of calls, by operation.

use azuretally_api::{admin::CallCounts, record::Outcome};
use indexmap::IndexMap;
use parking_lot::RwLock;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Call counters of one operation.
#[derive(Debug, Default)]
pub struct OperationCounts {
    taken: AtomicU64,
    answered: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    in_flight: AtomicU64,
    in_time: AtomicU64,
}

impl OperationCounts {
    /// Counts a call that arrived.
    pub fn record_arrival(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that ended. It counts as in time only if it was also answered.
    pub fn record_end(&self, outcome: Outcome, in_time: bool) {
        let counter = match outcome {
            Outcome::Answered => &self.answered,
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if in_time && outcome == Outcome::Answered {
            self.in_time.fetch_add(1, Ordering::Relaxed);
        }
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the current values. They are not read atomically: a call that arrives or ends at the
    /// same time may show in only one of its counters.
    pub fn snapshot(&self) -> CallCounts {
        CallCounts {
            taken: self.taken.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
            not_run: self.not_run.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            in_time: self.in_time.load(Ordering::Relaxed),
        }
    }
}

/// Call counters of all operations, and gauges of the request path.
#[derive(Debug, Default)]
pub struct Counts {
    /// By `service.operation`.
    operations: RwLock<IndexMap<String, Arc<OperationCounts>>>,
    /// Target time spent on probes, in µs.
    probe_us: AtomicU64,
    /// Age of the oldest waiting call, in ms.
    oldest_waiting_ms: AtomicU64,
}

impl Counts {
    /// Returns the counters of `service.operation`, which are created on first use.
    pub fn operation(&self, service: &str, operation: &str) -> Arc<OperationCounts> {
        let name = format!("{service}.{operation}");
        Arc::clone(self.operations.write().entry(name).or_default())
    }

    /// Adds target time spent on a probe, in µs.
    pub fn add_probe_time(&self, us: u64) {
        self.probe_us.fetch_add(us, Ordering::Relaxed);
    }

    /// Returns the target time spent on probes, in ms.
    pub fn probe_ms(&self) -> f64 {
        self.probe_us.load(Ordering::Relaxed) as f64 / 1_000.0
    }

    /// Sets the age of the oldest waiting call.
    pub fn set_oldest_waiting(&self, age: Duration) {
        let ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.oldest_waiting_ms.store(ms, Ordering::Relaxed);
    }

    /// Returns the age of the oldest waiting call, in ms.
    pub fn oldest_waiting_ms(&self) -> u64 {
        self.oldest_waiting_ms.load(Ordering::Relaxed)
    }

    /// Returns the counters of all operations, by `service.operation`.
    pub fn snapshot(&self) -> BTreeMap<String, CallCounts> {
        self.operations
            .read()
            .iter()
            .map(|(name, counts)| (name.clone(), counts.snapshot()))
            .collect()
    }
}
