//! Quorum check: whether this entry still reaches half of the fleet.
//!
//! Each entry monitors few others, so it cannot tell from them alone whether a silent peer or its
//! own side of a partition is at fault. Before a suspect entry is declared gone, this entry pings a
//! sample of all entries that it knows. If it reaches less than half of them, counting itself,
//! no entry is declared gone. While an entry is suspect, the check is repeated, with exponential
//! backoff after failures.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Maximum number of entries pinged by one check.
pub const QUORUM_SAMPLE: usize = 64;
/// Time that entries have to answer a check.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between checks after one that passed, and the initial backoff.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum backoff between checks that failed.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// State of the quorum checks of this entry.
#[derive(Clone, Debug)]
pub(super) struct QuorumCheck {
    /// Entries pinged by the last check, and whether each has answered.
    pinged: IndexMap<Arc<str>, bool>,
    started: Timestamp,
    running: bool,
    last_passed: Option<Timestamp>,
    /// Time from the start of the last check to the next one.
    interval: Duration,
}

impl QuorumCheck {
    pub(super) fn new() -> Self {
        Self {
            pinged: IndexMap::new(),
            started: Timestamp::default(),
            running: false,
            last_passed: None,
            interval: Duration::ZERO,
        }
    }

    /// Returns whether a check is due, given that the last entry became suspect at `since`.
    pub(super) fn is_due(&self, now: Timestamp, since: Timestamp) -> bool {
        let newer = since > self.started;
        !self.running && (newer || now.since(self.started) >= self.interval)
    }

    /// Starts a check of the entries `pinged`, which the caller has to ping.
    pub(super) fn start(&mut self, now: Timestamp, pinged: &[Arc<str>]) {
        self.pinged = pinged.iter().map(|host| (Arc::clone(host), false)).collect();
        self.started = now;
        self.running = true;
    }

    /// Records an acknowledgement from `host`.
    pub(super) fn record_answer(&mut self, host: &str) {
        if let Some(answered) = self.pinged.get_mut(host) {
            *answered = true;
        }
    }

    /// Ends the check once [`QUORUM_TIMEOUT`] has passed. Returns the entries that did not answer.
    pub(super) fn finish(&mut self, now: Timestamp) -> Option<Vec<Arc<str>>> {
        if !self.running || now.since(self.started) < QUORUM_TIMEOUT {
            return None;
        }
        self.running = false;
        let unanswered: Vec<_> =
            self.pinged.iter().filter(|(_, a)| !**a).map(|(host, _)| Arc::clone(host)).collect();
        let reached = self.pinged.len() - unanswered.len() + 1;
        if reached * 2 > self.pinged.len() {
            self.last_passed = Some(self.started);
            self.interval = MIN_INTERVAL;
        } else {
            self.interval = (self.interval * 2).clamp(MIN_INTERVAL, MAX_INTERVAL);
        }
        Some(unanswered)
    }

    /// Returns whether a running check waits for `host`.
    pub(super) fn is_pending(&self, host: &str) -> bool {
        self.running && self.pinged.contains_key(host)
    }

    /// Returns the start of the last check that reached half of the sample.
    pub(super) fn last_passed(&self) -> Option<Timestamp> {
        self.last_passed
    }

    /// Discards all results, after a pause of the process.
    pub(super) fn reset(&mut self) {
        *self = Self::new();
    }
}
