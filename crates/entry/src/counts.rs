//! Counters of calls by operation.

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

/// Counters of one operation.
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
    /// A call came in.
    pub fn record_arrival(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// A call ended.
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

    /// The counters now. Calls that start or end meanwhile may show in one counter alone.
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

/// Counters of all operations.
#[derive(Debug, Default)]
pub struct Counts {
    operations: RwLock<IndexMap<String, Arc<OperationCounts>>>,
    /// Target time spent on probes, in µs.
    probe_us: AtomicU64,
    /// Age of the oldest waiting call, in ms.
    oldest_ms: AtomicU64,
}

impl Counts {
    /// Counters of `service.operation`, made when they are first asked for.
    pub fn operation(&self, service: &str, operation: &str) -> Arc<OperationCounts> {
        let name = format!("{service}.{operation}");
        Arc::clone(self.operations.write().entry(name).or_default())
    }

    /// Adds target time spent on a probe.
    pub fn add_probe_time(&self, us: u64) {
        self.probe_us.fetch_add(us, Ordering::Relaxed);
    }

    /// Target time spent on probes, in ms.
    pub fn probe_ms(&self) -> f64 {
        self.probe_us.load(Ordering::Relaxed) as f64 / 1_000.0
    }

    /// Notes the age of the oldest waiting call.
    pub fn set_oldest_waiting(&self, age: Duration) {
        let ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.oldest_ms.store(ms, Ordering::Relaxed);
    }

    /// Age of the oldest waiting call, in ms.
    pub fn oldest_waiting_ms(&self) -> u64 {
        self.oldest_ms.load(Ordering::Relaxed)
    }

    /// All counters by `service.operation`.
    pub fn snapshot(&self) -> BTreeMap<String, CallCounts> {
        self.operations.read().iter().map(|(name, c)| (name.clone(), c.snapshot())).collect()
    }
}
