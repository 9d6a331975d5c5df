//! Whether a lost entry, or this side of a partition, is at fault.
//!
//! Each entry monitors few others, so it cannot tell from them alone how much of the fleet it still
//! reaches. Before a suspect entry is given up, this entry pings a sample of all that it knows. If
//! it does not reach half of them, counting itself, it gives up nobody. The calls are repeated at
//! growing intervals while somebody is suspect.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Entries that one call asks at most.
pub const QUORUM_SAMPLE: usize = 64;
/// Time for the answers.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(700);

const MIN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// The calls of one entry.
#[derive(Clone, Debug)]
pub(super) struct QuorumCheck {
    asked: IndexMap<Arc<str>, bool>,
    started: Timestamp,
    running: bool,
    last_passed: Option<Timestamp>,
    interval: Duration,
}

impl QuorumCheck {
    pub(super) fn new() -> Self {
        Self {
            asked: IndexMap::new(),
            started: Timestamp::default(),
            running: false,
            last_passed: None,
            interval: Duration::ZERO,
        }
    }

    /// Whether a call is due for an entry that is suspect since `since`.
    pub(super) fn is_due(&self, now: Timestamp, since: Timestamp) -> bool {
        let newer = since > self.started;
        !self.running && (newer || now.since(self.started) >= self.interval)
    }

    pub(super) fn start(&mut self, now: Timestamp, asked: &[Arc<str>]) {
        self.asked = asked.iter().map(|host| (Arc::clone(host), false)).collect();
        self.started = now;
        self.running = true;
    }

    pub(super) fn record_answer(&mut self, host: &str) {
        if let Some(answered) = self.asked.get_mut(host) {
            *answered = true;
        }
    }

    /// Ends the call when its time is over, and gives the entries that did not answer.
    pub(super) fn finish(&mut self, now: Timestamp) -> Option<Vec<Arc<str>>> {
        if !self.running || now.since(self.started) < QUORUM_TIMEOUT {
            return None;
        }
        self.running = false;
        let unanswered: Vec<_> =
            self.asked.iter().filter(|(_, a)| !**a).map(|(host, _)| Arc::clone(host)).collect();
        let reached = self.asked.len() - unanswered.len() + 1;
        if reached * 2 > self.asked.len() {
            self.last_passed = Some(self.started);
            self.interval = MIN_INTERVAL;
        } else {
            self.interval = (self.interval * 2).clamp(MIN_INTERVAL, MAX_INTERVAL);
        }
        Some(unanswered)
    }

    pub(super) fn is_asking(&self, host: &str) -> bool {
        self.running && self.asked.contains_key(host)
    }

    /// When the last call began that reached half of the fleet.
    pub(super) fn last_passed(&self) -> Option<Timestamp> {
        self.last_passed
    }

    /// The process was paused.
    pub(super) fn reset(&mut self) {
        *self = Self::new();
    }
}
