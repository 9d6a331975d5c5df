//! Checks whether this gateway reaches any target.

use super::{
    super::{call::Probe, reach::CHECKED_TARGETS, target::RunningAttempt},
    Balancer,
};
use crate::Timestamp;
use rand::seq::IteratorRandom;

/// Age of an attempt, in multiples of the expected time, above which it counts as unanswered.
const UNANSWERED_AGE: f64 = 1.3;

impl Balancer {
    /// Returns whether this gateway is cut off from all targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Returns when the next check of the reach is due, [`Timestamp::MAX`] if none is needed.
    /// `peers_cut_off` tells that peers are cut off, so that callers come here instead.
    pub fn reach_check_due(&self, now: Timestamp, peers_cut_off: bool) -> Timestamp {
        self.reach.check_due(now, self.remaining_targets(), peers_cut_off)
    }

    /// Begins a check, and returns the targets to be asked on new connections: some of all services,
    /// at random. [`Self::reach_checked`] or
    /// [`Self::reach_check_void`] has to follow.
    pub fn start_reach_check(&mut self, now: Timestamp) -> Vec<Probe> {
        self.reach.check_started(now);
        let targets = self.services.iter().flat_map(|(name, service)| {
            let askable = service.targets.values().filter(|t| t.is_askable(now));
            askable.map(move |target| target.probe(now, name))
        });
        targets.sample(&mut self.random, CHECKED_TARGETS)
    }

    /// Records how many of the targets that a check asked have answered. Returns whether
    /// [`Self::is_cut_off`] has changed. A check that could ask nobody proves nothing.
    pub fn reach_checked(&mut self, now: Timestamp, asked: usize, answered: usize) -> bool {
        let changed = self.reach.check_ended(now, answered > 0 || asked == 0);
        if changed && !self.reach.is_cut_off() {
            // The failures were those of this gateway.
            for target in self.services.values_mut().flat_map(|s| s.targets.values_mut()) {
                target.end_backoff(now);
            }
            self.check_kept_evidence(now);
        }
        self.log_lines.push(format!(
            "reach check asked={asked} answered={answered} cut_off={}",
            self.reach.is_cut_off()
        ));
        changed
    }

    /// Records that a check was unanswered while this gateway was late itself, so that it proves nothing.
    pub fn reach_check_void(&mut self) {
        self.reach.check_void();
        self.log_lines.push("reach check void: event loop late".to_owned());
    }

    /// Records a failure of each target that has not answered the call as expected.
    pub(super) fn suspect_silent(&mut self, now: Timestamp, id: u64) {
        let Some(state) = self.calls.get(&id) else { return };
        let Some(service) = self.services.get(&state.call.service) else { return };
        let is_overdue = |r: &RunningAttempt| {
            r.call == id && now.since(r.since).as_secs_f64() > r.expected * UNANSWERED_AGE
        };
        for target in service.targets.values().filter(|t| t.running.iter().any(is_overdue)) {
            self.reach.record_failure(now, &target.name);
        }
    }
}
