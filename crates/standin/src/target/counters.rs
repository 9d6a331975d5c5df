//! Counters of what a target executed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Counters of all runs with the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs that were started.
    pub starts: u64,
    /// Runs that were finished before the deadline of their call.
    pub finished: u64,
    /// Calls that were refused without a run.
    pub refused: u64,
    /// Time of the last start of a run, in ms since the start of the group.
    pub last_start_ms: u64,
}

/// Counters of one target over all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Calls received, including refused ones.
    pub calls: u64,
    /// Runs that were started.
    pub starts: u64,
    /// Runs that were finished before the deadline of their call.
    pub finished: u64,
    /// Calls refused because no slot was free and the queue was full.
    pub refused_busy: u64,
    /// Calls refused because the target is draining.
    pub refused_draining: u64,
    /// Rests that the target asked for.
    pub rests: u64,
    /// Highest number of requests, probes among them, that arrived during one rest, from 0.5 s after
    /// it was asked for to its end.
    pub peak_in_rest: u64,
    /// Runs that were started while the target reported that it is draining.
    pub starts_draining: u64,
    /// Time of the last start of a run, in ms since the start of the group.
    pub last_start_ms: u64,
    /// Slot time used by calls, in ms.
    pub busy_ms: f64,
    /// Probes answered.
    pub probes: u64,
    /// Slot time used by probes, in ms.
    pub probe_ms: f64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because of the connection limit.
    pub connections_refused: u64,
    /// Highest number of connections open at once.
    pub peak_connections: u64,
}

/// Counters of a group, as the control port returns them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Time since the start of the group, in ms.
    pub now_ms: u64,
    /// Counters by name of the target.
    pub targets: BTreeMap<String, TargetCounts>,
    /// Run counters by key, summed over all targets. The key is the `Idempotency-Key` header of a
    /// call, or its query parameter `id` without that header.
    pub runs: BTreeMap<String, RunCounts>,
    /// Run counters by key and target.
    pub runs_at: BTreeMap<String, BTreeMap<String, RunCounts>>,
}

/// Counters of one target with those by key.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) totals: TargetCounts,
    pub(super) runs: IndexMap<Arc<str>, RunCounts>,
}

impl Counters {
    pub(super) fn record_start(
        &mut self,
        key: Option<&Arc<str>>,
        elapsed: Duration,
        draining: bool,
    ) {
        let now_ms = elapsed.as_millis() as u64;
        self.totals.starts += 1;
        self.totals.last_start_ms = now_ms;
        self.totals.starts_draining += u64::from(draining);
        if let Some(key) = key {
            let run = self.runs.entry(Arc::clone(key)).or_default();
            run.starts += 1;
            run.last_start_ms = now_ms;
        }
    }

    pub(super) fn record_finish(&mut self, key: Option<&Arc<str>>) {
        self.totals.finished += 1;
        if let Some(key) = key {
            self.runs.entry(Arc::clone(key)).or_default().finished += 1;
        }
    }

    pub(super) fn record_refusal(&mut self, key: Option<&Arc<str>>) {
        if let Some(key) = key {
            self.runs.entry(Arc::clone(key)).or_default().refused += 1;
        }
    }
}

impl RunCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.finished += other.finished;
        self.refused += other.refused;
        self.last_start_ms = self.last_start_ms.max(other.last_start_ms);
    }
}
