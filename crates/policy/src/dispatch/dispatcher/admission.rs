//! Arrival of calls: what is refused at once, and when the caller may come back.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        calls::{Entry, Place},
        event::{Action, Call, CallId, RefusalReason},
        target::Target,
    },
};
use std::{sync::Arc, time::Duration};

/// Mean service times that the longest usual run is taken for before enough was seen.
const LONGEST_RUN: f64 = 3.0;
/// Part of the time left, as a divisor, that is kept free at most for the run of a waiting call.
const LATEST_PART: u32 = 4;
/// Time to come back when no target is known.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// Bounds of the time to come back.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(60);

impl Dispatcher {
    pub(super) fn arrive(&mut self, now: Timestamp, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) {
            return;
        }
        let (class, idempotent) = self.operation(call.operation);
        if let Some((reason, after)) = self.reason_to_refuse(now, &call, class) {
            let retry_after = self.retry_after(after);
            actions.push(Action::Refuse { call: call.id, reason, retry_after });
            return;
        }
        if !self.make_room(now, class, &call.caller, actions) {
            let retry_after = self.retry_after(self.half_queue());
            let reason = RefusalReason::QueueFull;
            actions.push(Action::Refuse { call: call.id, reason, retry_after });
            return;
        }
        let id = call.id;
        let entry = Entry::new(call, class, idempotent, self.next_seq);
        self.next_seq += 1;
        self.calls.insert(id, entry);
        self.enqueue(now, id);
    }

    /// Sees to it that one more call may wait. Returns whether it may.
    fn make_room(
        &mut self,
        now: Timestamp,
        class: usize,
        caller: &str,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.queue.is_full() {
            return true;
        }
        let Some(victim) = self.queue.victim(class, caller) else { return false };
        if let Some(entry) = self.calls.get(&victim) {
            self.queue.remove(entry);
        }
        self.give_up(now, victim, RefusalReason::QueueFull, actions);
        true
    }

    /// Longest usual run of an operation in µs, once enough of them were seen.
    fn longest_run(&self, operation: usize) -> Option<f64> {
        let longest = self.times.get(operation)?.longest_us()?;
        Some(longest as f64)
    }

    /// Class and idempotence of an operation; an unknown one is served last and never repeated.
    pub(super) fn operation(&self, index: usize) -> (usize, bool) {
        let last = self.queue.classes() - 1;
        let Some(operation) = self.plan.operations.get(index) else { return (last, false) };
        (operation.class.min(last), operation.idempotent)
    }

    /// Puts a call back into the queue, or gives it up if the queue has no room for it.
    pub(super) fn requeue(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get(&id) else { return };
        let caller = Arc::clone(&entry.call.caller);
        if self.make_room(now, entry.class, &caller, actions) {
            self.enqueue(now, id);
        } else {
            self.give_up(now, id, RefusalReason::QueueFull, actions);
        }
    }

    /// Puts a call into the queue.
    fn enqueue(&mut self, now: Timestamp, id: CallId) {
        let Some(entry) = self.calls.get(&id) else { return };
        let cost = self.expected_us(entry.call.operation).max(1.0) as u64;
        let longest = self.longest_run(entry.call.operation);
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let left = entry.call.deadline.since(now);
        let run = longest.map_or(Duration::ZERO, micros).min(left / LATEST_PART);
        entry.latest = entry.call.deadline - run;
        entry.place = Place::Waiting;
        self.queue.push(now, entry, cost);
    }

    /// Why the call cannot be taken on, with the time after which it could be.
    fn reason_to_refuse(
        &mut self,
        now: Timestamp,
        call: &Call,
        class: usize,
    ) -> Option<(RefusalReason, Duration)> {
        let left = call.deadline.since(now);
        if left.is_zero() {
            return Some((RefusalReason::Deadline, MIN_RETRY));
        }
        if !self.chooser.is_late_binding() || self.can_relay(now, call) {
            return None;
        }
        let capacity: u32 = self.targets.values().map(|t| t.usual_capacity()).sum();
        if capacity == 0 {
            return self.reason_without_capacity(now, left);
        }
        if self.queue.len() == 0 {
            return None;
        }
        let expected = self.expected_us(call.operation);
        let slots = f64::from(capacity) * self.queue.share_of(class);
        let wait = self.queue.work_before(class, &call.caller) / slots;
        // A call that has to wait starts only if its longest usual run fits in as well, so that few
        // are cut off half-way.
        let left = left.as_micros() as f64;
        let run = self.longest_run(call.operation).unwrap_or(expected * LONGEST_RUN);
        let run = run.min(left / 2.0).max(expected);
        let late = wait + run - left;
        (late > 0.0).then(|| (RefusalReason::Deadline, micros(late)))
    }

    /// No slot can be used now; the call may still wait for a trial of an open breaker.
    fn reason_without_capacity(
        &self,
        now: Timestamp,
        left: Duration,
    ) -> Option<(RefusalReason, Duration)> {
        let staying = self.targets.values().filter(|t| t.is_staying());
        let ready = |t: &Target| {
            let trial = t.breaker.trial_at().unwrap_or(now);
            trial.max(t.limit.paused_until()).since(now)
        };
        let first = staying.map(ready).min();
        match first {
            Some(wait) if wait < left => None,
            Some(wait) => Some((RefusalReason::NoTarget, wait)),
            None => Some((RefusalReason::NoTarget, NO_TARGET_RETRY)),
        }
    }

    /// Time for the caller to come back, spread so that callers do not come back together.
    pub(super) fn retry_after(&mut self, after: Duration) -> Duration {
        let spread = self.jittered(after) + after / 2;
        spread.clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Time until about half of the waiting calls have run.
    pub(super) fn half_queue(&self) -> Duration {
        let capacity: u32 = self.targets.values().map(|t| t.usual_capacity()).sum();
        let work = self.queue.len() as f64 * self.mean_us();
        micros(work / 2.0 / f64::from(capacity.max(1)))
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, 1e12) as u64)
}
