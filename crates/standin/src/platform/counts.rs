//! Counts of the calls that readers make.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Instant};

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReport {
    /// Readers' calls by path, a waiting watch counted once.
    pub calls: BTreeMap<String, u64>,
    /// Readers' calls altogether.
    pub total: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Most watches that waited at once.
    pub peak_waiting: u64,
    /// Most calls that came in within one second.
    pub peak_per_s: u64,
    /// Calls that came in within each second since start.
    pub by_second: Vec<u64>,
}

/// Counter of readers' calls.
#[derive(Debug)]
pub struct Counts {
    start: Instant,
    report: Mutex<CountsReport>,
}

/// One waiting watch, counted until dropped.
#[derive(Debug)]
pub(super) struct Waiting<'a>(&'a Counts);

impl Default for Counts {
    fn default() -> Self {
        Self { start: Instant::now(), report: Mutex::default() }
    }
}

impl Counts {
    /// What was counted so far.
    pub fn report(&self) -> CountsReport {
        self.report.lock().clone()
    }

    pub(super) fn call(&self, path: &str) {
        let second = self.start.elapsed().as_secs() as usize;
        let mut report = self.report.lock();
        report.total += 1;
        *report.calls.entry(path.to_owned()).or_default() += 1;
        if report.by_second.len() <= second {
            report.by_second.resize(second + 1, 0);
        }
        report.by_second[second] += 1;
        report.peak_per_s = report.peak_per_s.max(report.by_second[second]);
    }

    pub(super) fn wait(&self) -> Waiting<'_> {
        let mut report = self.report.lock();
        report.waiting += 1;
        report.peak_waiting = report.peak_waiting.max(report.waiting);
        Waiting(self)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.report.lock().waiting -= 1;
    }
}
