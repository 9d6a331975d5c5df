//! Detection that this gateway is cut off from all targets, while other gateways may reach them.
//!
//! Attempts and probes that fail at several targets only raise a suspicion: these targets may be down,
//! and connections that are still open may work although no new one can be opened. A check decides,
//! which asks several targets on new connections. One answer proves that targets can be reached.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Targets at which requests have to fail for a suspicion, fewer if there are not as many.
const SUSPECT_TARGETS: usize = 2;
/// Time after which a failure no longer counts.
const FAILURE_TTL: Duration = Duration::from_secs(1);
/// Checks in a row without an answer after which the gateway counts as cut off.
const FAILED_CHECKS: u32 = 2;
/// Checks in a row with an answer after which the gateway no longer counts as cut off.
const ANSWERED_CHECKS: u32 = 2;
/// Minimum time between the starts of two checks, except to confirm one that contradicts what is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an answer to a check is proof enough, while peers are cut off.
const PROOF_TTL: Duration = Duration::from_secs(2);
/// Targets that one check asks.
pub(super) const CHECKED_TARGETS: usize = 4;

/// Whether this gateway reaches any target.
#[derive(Clone, Debug)]
pub(super) struct ReachTracker {
    /// Targets at which requests have failed, with the time of the latest failure.
    failures: IndexMap<Arc<str>, Timestamp>,
    cut_off: bool,
    /// Checks in a row that had the same result and contradict `cut_off`.
    contradictions: u32,
    /// Whether a check is in progress.
    is_checking: bool,
    /// Earliest start of the next check.
    next_check: Timestamp,
    /// When a check was last answered.
    proven: Option<Timestamp>,
}

impl Default for ReachTracker {
    fn default() -> Self {
        Self {
            failures: IndexMap::new(),
            cut_off: false,
            contradictions: 0,
            is_checking: false,
            next_check: Timestamp::default(),
            proven: None,
        }
    }
}

impl ReachTracker {
    /// Returns whether the gateway is cut off from all targets.
    pub(super) fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Records that a target did not answer a request.
    pub(super) fn record_failure(&mut self, now: Timestamp, target: &Arc<str>) {
        self.failures.insert(Arc::clone(target), now);
    }

    /// Returns when the next check is due, [`Timestamp::MAX`] if there is no reason for one. `targets`
    /// is the number of all targets. `peers_cut_off` tells that peers are cut off, so that callers come
    /// here instead.
    pub(super) fn check_due(
        &self,
        now: Timestamp,
        targets: usize,
        peers_cut_off: bool,
    ) -> Timestamp {
        let recent = self.failures.values().filter(|at| now.since(**at) <= FAILURE_TTL).count();
        let is_proven = self.proven.is_some_and(|at| now.since(at) <= PROOF_TTL);
        let is_open = self.cut_off
            || self.contradictions > 0
            || recent >= SUSPECT_TARGETS.min(targets.max(1));
        match !self.is_checking && (is_open || (peers_cut_off && !is_proven)) {
            true => self.next_check,
            false => Timestamp::MAX,
        }
    }

    /// Records that a check begins.
    pub(super) fn check_started(&mut self, now: Timestamp) {
        self.is_checking = true;
        self.next_check = now + CHECK_INTERVAL;
    }

    /// Records the end of a check that proves nothing. The reasons for it remain.
    pub(super) fn check_void(&mut self) {
        self.is_checking = false;
    }

    /// Records the end of a check, which at least one target answered or none. Returns whether
    /// [`Self::is_cut_off`] has changed.
    pub(super) fn check_ended(&mut self, now: Timestamp, answered: bool) -> bool {
        self.is_checking = false;
        self.failures.clear();
        if answered {
            self.proven = Some(now);
        }
        if answered != self.cut_off {
            self.contradictions = 0;
            return false;
        }
        self.contradictions += 1;
        // Confirmed at once, since callers are waiting.
        self.next_check = now;
        if self.contradictions < if self.cut_off { ANSWERED_CHECKS } else { FAILED_CHECKS } {
            return false;
        }
        self.contradictions = 0;
        self.cut_off = !self.cut_off;
        self.next_check = now + CHECK_INTERVAL;
        true
    }
}
