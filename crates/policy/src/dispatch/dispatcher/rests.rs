//! What targets say about themselves: rests that they ask for, and that they are draining.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        calls::Attempt,
        event::{Action, CallId, RefusalReason, TargetNotice},
    },
};
use std::{sync::Arc, time::Duration};

impl Dispatcher {
    /// Returns the targets that rest at `now`, with the end of their rests.
    pub fn resting_targets(&self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, Timestamp)> {
        self.targets.iter().filter_map(move |(name, t)| Some((name, t.rest.until(now)?)))
    }

    /// Returns whether any target rests or drains.
    pub fn has_marks(&self) -> bool {
        self.targets.values().any(|t| t.rest.is_pending() || t.draining)
    }

    /// Returns the number of rests that targets have asked for since the last call.
    pub fn take_rests(&mut self) -> u64 {
        std::mem::take(&mut self.rests)
    }

    /// Handles what a response of a target says about the target.
    pub(super) fn handle_notice(&mut self, now: Timestamp, target: &str, notice: TargetNotice) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if let Some(incarnation) = &notice.incarnation {
            state.record_incarnation(incarnation);
        }
        if notice.draining {
            state.record_draining(notice.incarnation.clone());
        }
        let max_rest = self.config.max_rest;
        if let Some(rest) = notice.rest.filter(|r| !r.is_zero())
            && state.rest.ask(now, rest.min(max_rest), notice.incarnation)
        {
            self.rests += 1;
            self.probe_at = None;
        }
    }

    /// Records the answer to an attempt, which ends the trial after a rest.
    pub(super) fn record_rest_trial(&mut self, attempt: &Attempt) {
        if let Some(state) = self.targets.get_mut(&attempt.target) {
            state.rest.record_answer(attempt.started);
        }
    }

    /// Returns whether any active target rests.
    pub(super) fn is_resting(&self, now: Timestamp) -> bool {
        self.targets.values().any(|t| t.is_active() && t.rest.is_resting(now))
    }

    /// Returns when the first active target may get a call, or `None` without such a target.
    pub(super) fn first_available(&self, now: Timestamp) -> Option<Timestamp> {
        let active = self.targets.values().filter(|t| t.is_active());
        active.map(|t| t.available_at(now)).min()
    }

    /// Gives up the waiting calls that have no time to run after the end of the first rest, unless a peer can
    /// take them.
    pub(super) fn refuse_during_rest(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.queue.len() == 0 || !self.is_resting(now) {
            return;
        }
        let Some(at) = self.first_available(now).filter(|at| *at > now) else { return };
        let operations = 0..self.service_times.len().max(1);
        let longest = operations.map(|o| self.run_after_rest(o, Duration::MAX)).max();
        let soon: Vec<CallId> = self.queue.expiring_by(at + longest.unwrap_or_default()).collect();
        for id in soon {
            let Some(tracked) = self.calls.get(&id) else { continue };
            let (call, latest_start) = (tracked.call.clone(), tracked.latest_start);
            let run = self.run_after_rest(call.operation, call.deadline.since(now));
            let is_late = at >= latest_start || at + run >= call.deadline;
            if !is_late || self.can_relay(now, &call) {
                continue;
            }
            if let Some(tracked) = self.calls.get(&id) {
                self.queue.remove(tracked);
            }
            self.give_up(now, id, RefusalReason::NoTarget, actions);
        }
    }
}
