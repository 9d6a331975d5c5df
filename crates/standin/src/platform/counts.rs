//! Counters of read requests.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Instant};

/// Counters of read requests since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReport {
    /// Read requests by path. A long poll counts once.
    pub calls: BTreeMap<String, u64>,
    /// Read requests on all paths.
    pub total: u64,
    /// Long polls that are waiting.
    pub waiting: u64,
    /// Highest number of long polls waiting at once.
    pub peak_waiting: u64,
    /// Highest number of read requests within one second.
    pub peak_per_s: u64,
    /// Read requests in each second since the start.
    pub by_second: Vec<u64>,
}

/// Counters of read requests.
#[derive(Debug)]
pub struct Counts {
    start: Instant,
    report: Mutex<CountsReport>,
}

/// Counts one waiting long poll until dropped.
#[derive(Debug)]
pub(super) struct WaitingPoll<'a>(&'a Counts);

impl Default for Counts {
    fn default() -> Self {
        Self { start: Instant::now(), report: Mutex::default() }
    }
}

impl Counts {
    /// Returns a copy of the counters.
    pub fn report(&self) -> CountsReport {
        self.report.lock().clone()
    }

    pub(super) fn record_call(&self, path: &str) {
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

    pub(super) fn start_poll(&self) -> WaitingPoll<'_> {
        let mut report = self.report.lock();
        report.waiting += 1;
        report.peak_waiting = report.peak_waiting.max(report.waiting);
        WaitingPoll(self)
    }
}

impl Drop for WaitingPoll<'_> {
    fn drop(&mut self) {
        self.0.report.lock().waiting -= 1;
    }
}
