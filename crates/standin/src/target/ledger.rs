//! What a target did, counted where it was done.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Runs of the calls with one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Times that work was begun.
    pub starts: u64,
    /// Times that work was finished.
    pub finished: u64,
    /// Times that the target refused without running.
    pub refused: u64,
    /// When work was last begun, in ms since the start of the group.
    pub last_start_ms: u64,
}

/// Sums over all calls of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Calls that came in, refused ones included.
    pub calls: u64,
    /// Times that work was begun.
    pub starts: u64,
    /// Times that work was finished.
    pub finished: u64,
    /// Calls refused because all slots were taken.
    pub refused_busy: u64,
    /// Calls refused because the target drains.
    pub refused_draining: u64,
    /// Starts after the target had announced that it drains.
    pub starts_draining: u64,
    /// When work was last begun, in ms since the start of the group.
    pub last_start_ms: u64,
    /// Slot time spent on calls, in ms.
    pub busy_ms: f64,
    /// Probes answered.
    pub probes: u64,
    /// Slot time spent on probes, in ms.
    pub probe_ms: f64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because too many were open.
    pub connections_refused: u64,
    /// Most connections open at once.
    pub peak_connections: u64,
}

/// What the control port tells of a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Time since the start of the group, in ms.
    pub now_ms: u64,
    /// Sums by name of the target.
    pub targets: BTreeMap<String, TargetCounts>,
    /// Runs by key over all targets of the group. The key is the `Idempotency-Key`, else the
    /// query parameter `id`.
    pub runs: BTreeMap<String, RunCounts>,
    /// Runs by key and target.
    pub runs_at: BTreeMap<String, BTreeMap<String, RunCounts>>,
}

/// Counts of one target.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) totals: TargetCounts,
    pub(super) runs: IndexMap<Arc<str>, RunCounts>,
}

impl Ledger {
    pub(super) fn start(&mut self, key: Option<&Arc<str>>, at: Duration, draining: bool) {
        let now = at.as_millis() as u64;
        self.totals.starts += 1;
        self.totals.last_start_ms = now;
        self.totals.starts_draining += u64::from(draining);
        if let Some(key) = key {
            let run = self.runs.entry(Arc::clone(key)).or_default();
            run.starts += 1;
            run.last_start_ms = now;
        }
    }

    pub(super) fn finish(&mut self, key: Option<&Arc<str>>) {
        self.totals.finished += 1;
        if let Some(key) = key {
            self.runs.entry(Arc::clone(key)).or_default().finished += 1;
        }
    }

    pub(super) fn refuse(&mut self, key: Option<&Arc<str>>) {
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
