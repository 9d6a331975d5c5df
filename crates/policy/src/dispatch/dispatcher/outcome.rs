//! Ends of attempts, and what follows from them for the call and the target.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        calls::{Attempt, Entry, Place},
        event::{
            Action, CallId, FailureKind, LoadReport, RefusalReason, TargetRefusal, UnknownReason,
        },
    },
};
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Attempts of one call after which it is given up.
const MAX_TRIES: u32 = 32;
/// Failed attempts of one call after which it is given up.
const MAX_FAILURES: usize = 3;
/// Expected service times after which a timeout counts as a failure of the target.
const OVERDUE: f64 = 4.0;
/// Longest mean time between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// Doublings of the time between two attempts.
const MAX_DOUBLINGS: u32 = 6;

impl Dispatcher {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        ok: bool,
        elapsed: Duration,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.hear(now, target, report);
        if self.end_relay(id, target) {
            self.drop_call(id);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        self.learn(now, id, &attempt, ok, elapsed);
        self.cancel_attempts(now, id, actions);
        self.finish(now, id, attempt.started);
        self.drop_call(id);
    }

    pub(super) fn refused(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        refusal: TargetRefusal,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.hear(now, target, report);
        if self.end_relay(id, target) {
            self.requeue(now, id, actions);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        let jitter = self.random.random();
        if let Some(state) = self.targets.get_mut(target) {
            match refusal {
                TargetRefusal::Busy => state.limit.refused(now, state.in_flight, jitter),
                TargetRefusal::Draining => state.draining = true,
            }
            state.breaker.void_trial(now);
        }
        if self.has_attempts(id) {
            return;
        }
        self.finish(now, id, now);
        let allowed = self.may_try_again(id, attempt.target) && self.redirects.take();
        if allowed {
            self.requeue(now, id, actions);
        } else {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        }
    }

    pub(super) fn failed(
        &mut self,
        now: Timestamp,
        id: CallId,
        target: &Arc<str>,
        kind: FailureKind,
        not_executed: bool,
        actions: &mut Vec<Action>,
    ) {
        let unknown = match kind {
            FailureKind::Timeout => UnknownReason::Timeout,
            FailureKind::Connect | FailureKind::Broken => UnknownReason::Broken,
        };
        if self.end_relay(id, target) {
            self.peers.failed(now, target);
            self.relay_failed(now, id, not_executed, unknown, actions);
            return;
        }
        let Some(attempt) = self.end_attempt(now, id, target) else { return };
        if kind != FailureKind::Timeout || self.is_overdue(now, &attempt) {
            self.note_failure(now, target);
        }
        if kind == FailureKind::Timeout {
            self.learn_cut_off(now, id, &attempt);
        }
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if !not_executed {
            entry.maybe_run = Some(unknown);
        }
        if !entry.attempts.is_empty() {
            return;
        }
        self.finish_lost(now, id, attempt.started);
        self.try_again(now, id, attempt, not_executed, actions);
    }

    pub(super) fn peer_refused(
        &mut self,
        now: Timestamp,
        id: CallId,
        peer: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if self.end_relay(id, peer) {
            self.peers.refused(peer);
            self.requeue(now, id, actions);
        }
    }

    pub(super) fn peer_done(&mut self, id: CallId, peer: &Arc<str>) {
        if self.end_relay(id, peer) {
            self.drop_call(id);
        }
    }

    pub(super) fn caller_gone(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get(&id) else { return };
        match &entry.place {
            Place::Waiting => self.queue.remove(entry),
            Place::Backoff(at) => {
                self.backoffs.remove(&(*at, id));
            }
            Place::Running => {
                let started = entry.attempts.first().map_or(now, |a| a.started);
                self.cancel_attempts(now, id, actions);
                self.finish(now, id, started);
            }
            Place::Relayed(peer) => {
                let target = Arc::clone(peer);
                self.peers.end(&target);
                actions.push(Action::Cancel { call: id, target });
            }
        }
        self.drop_call(id);
    }

    pub(super) fn probed(&mut self, now: Timestamp, target: &Arc<str>, report: Option<LoadReport>) {
        let Some(state) = self.targets.get_mut(target) else { return };
        match report {
            Some(report) => {
                state.heard = now;
                state.draining = report.draining;
                state.report = Some(report);
            }
            None => self.note_failure(now, target),
        }
    }

    /// Ends a call as not run, or as unknown when an attempt may have run it.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        id: CallId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get(&id) else { return };
        match entry.maybe_run {
            Some(reason) => actions.push(Action::Unknown { call: id, reason }),
            None => {
                let after = self.time_to_return(now, reason);
                let retry_after = self.retry_after(after);
                actions.push(Action::Refuse { call: id, reason, retry_after });
            }
        }
        self.drop_call(id);
    }

    /// An early-binding choice found no target for the call.
    pub(super) fn back_off_unplaced(
        &mut self,
        now: Timestamp,
        id: CallId,
        actions: &mut Vec<Action>,
    ) {
        let usable = self.targets.values().any(|t| t.is_usable());
        let Some(entry) = self.calls.get_mut(&id) else { return };
        self.queue.remove(entry);
        if !usable {
            self.give_up(now, id, RefusalReason::NoTarget, actions);
            return;
        }
        entry.tried.clear();
        let doublings = entry.tries;
        self.back_off(now, id, doublings);
    }

    fn time_to_return(&self, now: Timestamp, reason: RefusalReason) -> Duration {
        let trials = self.targets.values().filter_map(|t| t.breaker.trial_at());
        match reason {
            RefusalReason::NoTarget => {
                trials.min().map_or(Duration::from_secs(1), |at| at.since(now))
            }
            _ => self.half_queue(),
        }
    }

    fn relay_failed(
        &mut self,
        now: Timestamp,
        id: CallId,
        not_executed: bool,
        unknown: UnknownReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if not_executed {
            self.requeue(now, id, actions);
            return;
        }
        entry.maybe_run = Some(unknown);
        let again = entry.idempotent && entry.call.replayable && self.retries.take();
        if again {
            self.requeue(now, id, actions);
        } else {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        }
    }

    /// Follows up the failure of the last attempt of a call.
    fn try_again(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        not_executed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get(&id) else { return };
        let permitted = entry.idempotent || (not_executed && entry.maybe_run.is_none());
        let in_time = entry.call.deadline > now && entry.tried.len() + 1 < MAX_FAILURES;
        let again =
            permitted && in_time && self.may_try_again(id, attempt.target) && self.retries.take();
        if !again {
            self.give_up(now, id, RefusalReason::Exhausted, actions);
        } else if not_executed {
            self.requeue(now, id, actions);
        } else {
            let failures = self.calls.get(&id).map_or(0, |e| e.tried.len() as u32);
            self.back_off(now, id, failures);
        }
    }

    /// Exponential backoff with jitter before the next attempt.
    fn back_off(&mut self, now: Timestamp, id: CallId, doublings: u32) {
        let base = Duration::from_micros((self.mean_us() / 2.0) as u64);
        let mean = base * (1 << doublings.min(MAX_DOUBLINGS));
        let at = now + self.jittered(mean.min(MAX_BACKOFF));
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let at = at.min(entry.call.deadline);
        entry.place = Place::Backoff(at);
        self.backoffs.insert((at, id));
    }

    /// Whether the call itself allows a further attempt after one at `target`.
    fn may_try_again(&mut self, id: CallId, target: Arc<str>) -> bool {
        let Some(entry) = self.calls.get_mut(&id) else { return false };
        entry.tried.push(target);
        entry.call.replayable && entry.tries < MAX_TRIES
    }

    /// Takes in how long an answered attempt took.
    fn learn(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: &Attempt,
        ok: bool,
        elapsed: Duration,
    ) {
        if !ok {
            self.note_failure(now, &attempt.target);
            if let Some(target) = self.targets.get_mut(&attempt.target) {
                target.speed.fault();
            }
            return;
        }
        let fresh = attempt.started >= self.paused_at;
        if let Some(target) = self.targets.get_mut(&attempt.target) {
            if target.breaker.succeeded() {
                target.cool(now);
            }
            target.limit.answered(now, target.plan.slots);
            if fresh {
                target.speed.complete();
            }
        }
        if fresh {
            let us = elapsed.as_micros() as u64;
            let operation = self.calls.get(&id).map_or(usize::MAX, |e| e.call.operation);
            if let Some(times) = self.times.get_mut(operation) {
                times.record(us);
            }
            self.all_times.record(us);
        }
    }

    /// Takes in that an attempt was cut off.
    fn learn_cut_off(&mut self, now: Timestamp, id: CallId, attempt: &Attempt) {
        let most = attempt.expected * OVERDUE;
        let us = (now.since(attempt.started).as_micros() as f64).min(most) as u64;
        let operation = self.calls.get(&id).map_or(usize::MAX, |e| e.call.operation);
        if let Some(times) = self.times.get_mut(operation) {
            times.record_cut_off(us);
        }
        self.all_times.record_cut_off(us);
    }

    fn hear(&mut self, now: Timestamp, target: &str, report: Option<LoadReport>) {
        if let Some(state) = self.targets.get_mut(target) {
            state.heard = now;
            state.reported(report);
        }
    }

    fn note_failure(&mut self, now: Timestamp, target: &str) {
        let staying = self.targets.values().filter(|t| t.is_staying()).count();
        let open = self.targets.values().filter(|t| t.is_staying() && !t.breaker.is_closed());
        let may_open = (open.count() + 1) * 2 <= staying.max(2);
        let jitter = self.random.random();
        if let Some(state) = self.targets.get_mut(target) {
            state.breaker.failed(now, may_open, jitter);
        }
    }

    /// Whether an attempt ran so long that its timeout tells of the target rather than of the time
    /// that the call had left. ("Cascading Failure": a check that measures load takes capacity away
    /// when there is least of it.)
    fn is_overdue(&self, now: Timestamp, attempt: &Attempt) -> bool {
        now.since(attempt.started).as_micros() as f64 >= attempt.expected * OVERDUE
    }

    /// Frees the slot of an attempt that has ended.
    fn end_attempt(&mut self, now: Timestamp, id: CallId, target: &str) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.take_attempt(target)?;
        self.release(now, &attempt);
        Some(attempt)
    }

    fn release(&mut self, now: Timestamp, attempt: &Attempt) {
        let memory = self.memory_us();
        let Some(state) = self.targets.get_mut(&attempt.target) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.speed.end(now, memory, attempt.expected);
        if state.gone && state.in_flight == 0 {
            self.targets.shift_remove(&attempt.target);
        }
    }

    /// Cancels the attempts that still run; their slots count as free at once.
    fn cancel_attempts(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        for attempt in std::mem::take(&mut entry.attempts) {
            self.release(now, &attempt);
            if let Some(state) = self.targets.get_mut(&attempt.target) {
                state.breaker.void_trial(now);
            }
            actions.push(Action::Cancel { call: id, target: attempt.target });
        }
    }

    /// Corrects what the caller was charged for the run that began at `started`.
    fn finish(&mut self, now: Timestamp, id: CallId, started: Timestamp) {
        let Some(entry) = self.calls.get(&id) else { return };
        self.queue.finish(entry, now.since(started).as_micros() as u64);
    }

    /// Ends a run that brought no answer. Its caller is charged no more than was expected, since
    /// the silence is the target's.
    fn finish_lost(&mut self, now: Timestamp, id: CallId, started: Timestamp) {
        let Some(entry) = self.calls.get(&id) else { return };
        let actual = now.since(started).as_micros() as u64;
        self.queue.finish(entry, actual.min(entry.cost));
    }

    fn has_attempts(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|e: &Entry| !e.attempts.is_empty())
    }

    /// Ends the relay of a call to `peer`, if it was there.
    fn end_relay(&mut self, id: CallId, peer: &str) -> bool {
        let relayed = self.calls.get(&id).is_some_and(|e| e.is_relayed_to(peer));
        if relayed {
            self.peers.end(peer);
        }
        relayed
    }

    fn drop_call(&mut self, id: CallId) {
        let Some(entry) = self.calls.swap_remove(&id) else { return };
        if let Some(at) = entry.hedge_at {
            self.hedge_times.remove(&(at, id));
        }
    }
}
