//! Outcomes of attempts, and their effects on calls and targets.

use super::{Dispatcher, admission::NO_TARGET_DELAY};
use crate::{
    Timestamp,
    dispatch::{
        calls::{Attempt, CallState, TrackedCall},
        event::{
            Action, CallId, FailureKind, LoadReport, RefusalReason, TargetRefusal, UnknownReason,
        },
    },
};
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 32;
/// Number of targets that refused or failed a call after which a failure ends it.
const MAX_FAILED_ATTEMPTS: usize = 3;
/// Multiple of the expected service time from which a timeout counts as a failure of the target,
/// and up to which the time of a timed-out attempt counts in the mean service time.
const OVERDUE_FACTOR: f64 = 4.0;
/// Divisor of the mean service time that gives the mean backoff before it doubles.
const BASE_BACKOFF_DIVISOR: f64 = 2.0;
/// Upper bound of the mean backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of times the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

impl Dispatcher {
    /// Handles an answer of a target, or of a peer to a relayed call.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        ok: bool,
        elapsed: Duration,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.record_contact(now, target, report);
        if let Some(since) = self.finish_relay(id, target) {
            self.finish_run(now, id, since);
            self.drop_call(id);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        self.record_rest_trial(&attempt);
        self.record_answer(now, id, &attempt, ok, elapsed);
        self.cancel_attempts(now, id, actions);
        self.finish_run(now, id, attempt.started);
        self.drop_call(id);
    }

    /// Handles a refusal by a target, or by a peer of a relayed call.
    pub(super) fn handle_refusal(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        refusal: TargetRefusal,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.record_contact(now, target, report);
        if self.finish_relay(id, target).is_some() {
            self.finish_run(now, id, now);
            self.requeue(now, id, actions);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        self.record_rest_trial(&attempt);
        let jitter = self.random.random();
        if let Some(state) = self.targets.get_mut(target) {
            match refusal {
                TargetRefusal::Busy => state.limit.record_refusal(now, state.in_flight, jitter),
                TargetRefusal::Draining => state.draining = true,
            }
            state.breaker.abort_trial(now);
        }
        if self.has_attempts(id) {
            return;
        }
        self.finish_run(now, id, now);
        let may_redirect =
            self.record_tried_target(id, attempt.target) && self.redirect_budget.try_withdraw();
        if may_redirect {
            self.requeue(now, id, actions);
        } else {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        }
    }

    /// Handles a failed attempt at a target or peer.
    pub(super) fn handle_failure(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        kind: FailureKind,
        not_executed: bool,
        actions: &mut Vec<Action>,
    ) {
        let unknown = match kind {
            FailureKind::Timeout | FailureKind::Paused => UnknownReason::Timeout,
            FailureKind::Connect | FailureKind::Broken => UnknownReason::Broken,
        };
        if let Some(since) = self.finish_relay(id, target) {
            if kind != FailureKind::Paused {
                self.peers.record_failure(now, target);
            }
            self.finish_unanswered_run(now, id, if not_executed { now } else { since });
            self.handle_relay_failure(now, id, not_executed, unknown, actions);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        self.judge_failure(now, id, &attempt, kind);
        if !not_executed && let Some(state) = self.targets.get_mut(target) {
            state.rest.record_unread_answer(now, attempt.started);
        }
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        if !not_executed {
            tracked.may_have_run = Some(unknown);
        }
        if !tracked.attempts.is_empty() {
            return;
        }
        self.finish_unanswered_run(now, id, attempt.started);
        self.retry_or_give_up(now, id, attempt, not_executed, actions);
    }

    /// Records a failed attempt in the state of the target and in the service times, as far as it says
    /// something about the target. An attempt from before a pause of the process does not.
    fn judge_failure(&mut self, now: Timestamp, id: CallId, attempt: &Attempt, kind: FailureKind) {
        let is_current = kind != FailureKind::Paused && attempt.started >= self.resumed_at;
        let is_short = kind == FailureKind::Timeout && !self.is_overdue(now, attempt);
        if is_current && !is_short {
            self.record_target_failure(now, &attempt.target);
        } else if let Some(state) = self.targets.get_mut(&attempt.target) {
            state.breaker.abort_trial(now);
        }
        if is_current && kind == FailureKind::Timeout {
            self.record_timeout(now, id, attempt);
        }
    }

    /// Handles a relayed call that a peer returned without executing it.
    pub(super) fn handle_peer_refusal(
        &mut self,
        now: Timestamp,
        id: CallId,
        peer: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if self.finish_relay(id, peer).is_some() {
            self.peers.record_refusal(peer);
            self.finish_run(now, id, now);
            self.requeue(now, id, actions);
        }
    }

    /// Handles a relayed call that ended at a peer.
    pub(super) fn handle_peer_done(&mut self, now: Timestamp, id: CallId, peer: &Arc<str>) {
        if let Some(since) = self.finish_relay(id, peer) {
            self.finish_run(now, id, since);
            self.drop_call(id);
        }
    }

    /// Handles the disconnection of a caller.
    pub(super) fn handle_disconnect(
        &mut self,
        now: Timestamp,
        id: CallId,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get(&id) else { return };
        match &tracked.state {
            CallState::Waiting => self.queue.remove(tracked),
            CallState::Backoff(at) => {
                self.backoffs.remove(&(*at, id));
            }
            CallState::Running => {
                let started = tracked.attempts.first().map_or(now, |a| a.started);
                self.cancel_attempts(now, id, actions);
                self.finish_run(now, id, started);
            }
            CallState::Relayed { peer, since } => {
                let (target, since) = (Arc::clone(peer), *since);
                self.peers.record_relay_end(&target);
                self.finish_run(now, id, since);
                actions.push(Action::Cancel { call: id, target });
            }
        }
        self.drop_call(id);
    }

    /// Handles the result of a probe.
    pub(super) fn handle_probe(
        &mut self,
        now: Timestamp,
        target: &Arc<str>,
        report: Option<LoadReport>,
    ) {
        let Some(state) = self.targets.get_mut(target) else { return };
        match report {
            Some(report) => state.record_probe(now, report),
            None => self.record_target_failure(now, target),
        }
    }

    /// Ends a call as refused, or as unknown if an attempt may have executed it.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        id: CallId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get(&id) else { return };
        match tracked.may_have_run {
            Some(reason) => actions.push(Action::Unknown { call: id, reason }),
            None => {
                let after = self.retry_delay(now, reason);
                let retry_after = self.retry_after(after);
                actions.push(Action::Refuse { call: id, reason, retry_after });
            }
        }
        self.drop_call(id);
    }

    /// Handles a call for which an early-binding algorithm found no target.
    pub(super) fn back_off_unplaced(
        &mut self,
        now: Timestamp,
        id: CallId,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let deadline = tracked.call.deadline;
        let usable =
            self.targets.values().any(|t| t.is_usable() && t.rest.until(now) < Some(deadline));
        self.queue.remove(tracked);
        if !usable {
            self.give_up(now, id, RefusalReason::NoTarget, actions);
            return;
        }
        tracked.tried_targets.clear();
        let doublings = tracked.attempts_made;
        self.back_off(now, id, doublings);
    }

    /// Returns the delay, before randomization, after which a refused caller may retry.
    fn retry_delay(&self, now: Timestamp, reason: RefusalReason) -> Duration {
        let trials = self.targets.values().filter_map(|t| t.breaker.trial_at());
        match reason {
            RefusalReason::NoTarget if self.is_resting(now) => {
                self.first_available(now).map_or(NO_TARGET_DELAY, |at| at.since(now))
            }
            RefusalReason::NoTarget => trials.min().map_or(NO_TARGET_DELAY, |at| at.since(now)),
            _ => self.half_queue_time(now),
        }
    }

    /// Requeues a call after its relay failed, or gives it up.
    fn handle_relay_failure(
        &mut self,
        now: Timestamp,
        id: CallId,
        not_executed: bool,
        unknown: UnknownReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        if not_executed {
            self.requeue(now, id, actions);
            return;
        }
        tracked.may_have_run = Some(unknown);
        let should_retry =
            tracked.idempotent && tracked.call.replayable && self.retry_budget.try_withdraw();
        if should_retry {
            self.requeue(now, id, actions);
        } else {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        }
    }

    /// Retries a call whose last attempt failed, or gives it up.
    fn retry_or_give_up(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        not_executed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get(&id) else { return };
        let may_repeat = tracked.idempotent || (not_executed && tracked.may_have_run.is_none());
        let in_time =
            tracked.call.deadline > now && tracked.tried_targets.len() + 1 < MAX_FAILED_ATTEMPTS;
        let should_retry = may_repeat
            && in_time
            && self.record_tried_target(id, attempt.target)
            && self.retry_budget.try_withdraw();
        if !should_retry {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        } else if not_executed {
            self.requeue(now, id, actions);
        } else {
            let failures = self.calls.get(&id).map_or(0, |c| c.tried_targets.len() as u32);
            self.back_off(now, id, failures);
        }
    }

    /// Schedules the next attempt with exponential backoff and jitter.
    fn back_off(&mut self, now: Timestamp, id: CallId, doublings: u32) {
        let base = Duration::from_micros((self.mean_us() / BASE_BACKOFF_DIVISOR) as u64);
        let mean = base * (1 << doublings.min(MAX_DOUBLINGS));
        let at = now + self.jittered(mean.min(MAX_BACKOFF));
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let at = at.min(tracked.call.deadline);
        tracked.state = CallState::Backoff(at);
        self.backoffs.insert((at, id));
    }

    /// Records that the call was tried at `target`. Returns whether the call allows a further
    /// attempt.
    fn record_tried_target(&mut self, id: CallId, target: Arc<str>) -> bool {
        let Some(tracked) = self.calls.get_mut(&id) else { return false };
        tracked.tried_targets.push(target);
        tracked.call.replayable && tracked.attempts_made < MAX_ATTEMPTS
    }

    /// Records the answer to an attempt in the state of the target and in the service times.
    fn record_answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: &Attempt,
        ok: bool,
        elapsed: Duration,
    ) {
        if !ok {
            self.record_target_failure(now, &attempt.target);
            if let Some(target) = self.targets.get_mut(&attempt.target) {
                target.slowness.record_fault();
            }
            return;
        }
        let is_current = attempt.started >= self.resumed_at;
        if let Some(target) = self.targets.get_mut(&attempt.target) {
            if target.breaker.record_success() {
                target.reset_cold(now);
            }
            target.limit.record_answer(now, target.info.slots);
            if is_current {
                target.slowness.record_completion();
            }
        }
        if is_current {
            let operation = self.calls.get(&id).map_or(usize::MAX, |c| c.call.operation);
            self.record_service_time(operation, elapsed.as_micros() as u64);
        }
    }

    /// Records the service time of an operation, in µs. The first one replaces what was assumed for
    /// the waiting calls.
    fn record_service_time(&mut self, operation: usize, us: u64) {
        let mut is_first = self.overall_times.mean_us().is_none();
        self.overall_times.record(us);
        if let Some(service_times) = self.service_times.get_mut(operation) {
            is_first |= service_times.mean_us().is_none();
            service_times.record(us);
        }
        if is_first {
            self.update_costs();
        }
    }

    /// Records a timed-out attempt in the service times.
    fn record_timeout(&mut self, now: Timestamp, id: CallId, attempt: &Attempt) {
        let max_us = attempt.expected_us * OVERDUE_FACTOR;
        let us = (now.since(attempt.started).as_micros() as f64).min(max_us) as u64;
        let operation = self.calls.get(&id).map_or(usize::MAX, |c| c.call.operation);
        if let Some(service_times) = self.service_times.get_mut(operation) {
            service_times.record_timeout(us);
        }
        self.overall_times.record_timeout(us);
    }

    /// Records that a target was heard from, with its load report.
    fn record_contact(&mut self, now: Timestamp, target: &str, report: Option<LoadReport>) {
        if let Some(state) = self.targets.get_mut(target) {
            state.last_heard = now;
            state.record_report(report);
        }
    }

    /// Records a failure in the breaker of the target. At most half of the active targets, or one
    /// if there is only one, may have an open breaker.
    fn record_target_failure(&mut self, now: Timestamp, target: &str) {
        let active = self.targets.values().filter(|t| t.is_active()).count();
        let open = self.targets.values().filter(|t| t.is_active() && !t.breaker.is_closed());
        let may_open = (open.count() + 1) * 2 <= active.max(2);
        let jitter = self.random.random();
        if let Some(state) = self.targets.get_mut(target) {
            state.breaker.record_failure(now, may_open, jitter);
        }
    }

    /// Returns whether an attempt ran so long that its timeout indicates a fault of the target
    /// rather than a short remaining time of the call. Counting every timeout would remove capacity
    /// under overload, when it is needed most. (Source: the article "Cascading Failure"; see
    /// docs/design/20-dispatch.md.)
    fn is_overdue(&self, now: Timestamp, attempt: &Attempt) -> bool {
        now.since(attempt.started).as_micros() as f64 >= attempt.expected_us * OVERDUE_FACTOR
    }

    /// Removes an attempt that has ended and frees its slot.
    fn end_attempt(&mut self, now: Timestamp, id: CallId, target: &str) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.take_attempt(target)?;
        self.release_slot(now, &attempt);
        Some(attempt)
    }

    /// Frees the slot of an attempt. Drops a removed target once its last call has ended.
    fn release_slot(&mut self, now: Timestamp, attempt: &Attempt) {
        let decay_us = self.decay_us();
        let Some(state) = self.targets.get_mut(&attempt.target) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.slowness.finish(now, decay_us, attempt.expected_us);
        if state.removed && !state.is_kept(now) {
            self.targets.shift_remove(&attempt.target);
        }
    }

    /// Cancels the remaining attempts of a call. Their slots count as free immediately.
    fn cancel_attempts(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        for attempt in std::mem::take(&mut tracked.attempts) {
            self.release_slot(now, &attempt);
            if let Some(state) = self.targets.get_mut(&attempt.target) {
                state.breaker.abort_trial(now);
                state.rest.record_unread_answer(now, attempt.started);
            }
            actions.push(Action::Cancel { call: id, target: attempt.target });
        }
    }

    /// Corrects the slot time charged to the caller for the run that began at `started`.
    fn finish_run(&mut self, now: Timestamp, id: CallId, started: Timestamp) {
        let Some(tracked) = self.calls.get(&id) else { return };
        self.queue.finish(tracked, now.since(started).as_micros() as u64);
    }

    /// Ends a run without an answer. The caller is charged no more than the expected time, because
    /// it did not cause the answer to be missing.
    fn finish_unanswered_run(&mut self, now: Timestamp, id: CallId, started: Timestamp) {
        let Some(tracked) = self.calls.get(&id) else { return };
        let actual = now.since(started).as_micros() as u64;
        self.queue.finish(tracked, actual.min(tracked.cost_us));
    }

    fn has_attempts(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|c: &TrackedCall| !c.attempts.is_empty())
    }

    /// Ends the relay of a call to `peer`. Returns since when the call was relayed there, if it was.
    fn finish_relay(&mut self, id: CallId, peer: &str) -> Option<Timestamp> {
        let since = self.calls.get(&id)?.relayed_since(peer)?;
        self.peers.record_relay_end(peer);
        Some(since)
    }

    /// Removes all state of a call.
    fn drop_call(&mut self, id: CallId) {
        let Some(tracked) = self.calls.swap_remove(&id) else { return };
        if let Some(at) = tracked.hedge_at {
            self.hedge_times.remove(&(at, id));
        }
    }
}
