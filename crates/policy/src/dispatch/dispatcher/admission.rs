//! Admission control: queueing, refusal and retry delays of arriving calls.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        calls::{CallState, TrackedCall},
        event::{Action, Call, CallId, RefusalReason},
    },
};
use std::{sync::Arc, time::Duration};

/// Multiple of the mean service time that stands in for the 99th percentile while there are too few
/// samples.
const DEFAULT_P99_FACTOR: f64 = 3.0;
/// Divisor of the remaining time that bounds the time reserved for running a waiting call.
const RUN_RESERVE_DIVISOR: u32 = 4;
/// Divisor of the remaining time that bounds the service time assumed at admission, unless the mean
/// is longer.
const RUN_LIMIT_DIVISOR: f64 = 2.0;
/// Retry delay when no target is usable and it is not known when one will be.
pub(super) const NO_TARGET_DELAY: Duration = Duration::from_secs(1);
/// Bounds of the retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Upper bound of a computed duration, in µs.
pub(super) const MAX_DURATION_US: f64 = 1e12;

impl Dispatcher {
    /// Queues an arriving call, or refuses it.
    pub(super) fn handle_arrival(&mut self, now: Timestamp, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) {
            return;
        }
        let (class, idempotent) = self.class_and_idempotence(call.operation);
        if let Some((reason, after)) = self.check_admission(now, &call, class) {
            let retry_after = self.retry_after(after);
            actions.push(Action::Refuse { call: call.id, reason, retry_after });
            return;
        }
        if !self.make_room(now, class, &call.caller, actions) {
            let retry_after = self.retry_after(self.half_queue_time(now));
            let reason = RefusalReason::QueueFull;
            actions.push(Action::Refuse { call: call.id, reason, retry_after });
            return;
        }
        let id = call.id;
        let tracked = TrackedCall::new(call, class, idempotent, self.next_seq);
        self.next_seq += 1;
        self.calls.insert(id, tracked);
        self.enqueue(now, id);
    }

    /// Evicts a call if the queue is full. Returns whether one more call can wait.
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
        let Some(evicted) = self.queue.eviction_candidate(class, caller) else { return false };
        if let Some(tracked) = self.calls.get(&evicted) {
            self.queue.remove(tracked);
        }
        self.give_up(now, evicted, RefusalReason::QueueFull, actions);
        true
    }

    /// Returns the 99th percentile of the service time of an operation in µs, or `None` with too
    /// few samples.
    fn p99_run_us(&self, operation: usize) -> Option<f64> {
        let p99_us = self.service_times.get(operation)?.p99_us()?;
        Some(p99_us as f64)
    }

    /// Returns the time that a call with `remaining` time needs to run after a rest, so that it is not started
    /// for nothing: the 99th percentile, or with few samples a multiple of the mean, but not less than that.
    pub(super) fn run_after_rest(&self, operation: usize, remaining: Duration) -> Duration {
        let expected_us = self.expected_us(operation);
        let run_us = self.p99_run_us(operation).unwrap_or(expected_us * DEFAULT_P99_FACTOR);
        micros(run_us).min(remaining / RUN_RESERVE_DIVISOR).max(micros(expected_us))
    }

    /// Returns class and idempotence of an operation. An unknown operation gets the lowest class
    /// and is not idempotent.
    pub(super) fn class_and_idempotence(&self, index: usize) -> (usize, bool) {
        let last = self.queue.classes() - 1;
        let Some(operation) = self.config.operations.get(index) else { return (last, false) };
        (operation.class.min(last), operation.idempotent)
    }

    /// Returns a call to the queue, or gives it up if the queue has no room for it.
    pub(super) fn requeue(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.calls.get(&id) else { return };
        let caller = Arc::clone(&tracked.call.caller);
        if self.make_room(now, tracked.class, &caller, actions) {
            self.enqueue(now, id);
        } else {
            self.give_up(now, id, RefusalReason::QueueFull, actions);
        }
    }

    /// Adds a call to the queue.
    fn enqueue(&mut self, now: Timestamp, id: CallId) {
        let Some(tracked) = self.calls.get(&id) else { return };
        let cost = self.cost_us(tracked.call.operation);
        let p99_us = self.p99_run_us(tracked.call.operation);
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let remaining = tracked.call.deadline.since(now);
        let reserved = p99_us.map_or(Duration::ZERO, micros).min(remaining / RUN_RESERVE_DIVISOR);
        tracked.latest_start = tracked.call.deadline - reserved;
        tracked.state = CallState::Waiting;
        self.queue.push(now, tracked, cost);
    }

    /// Updates the expected slot time of all waiting calls.
    pub(super) fn update_costs(&mut self) {
        let operations = 0..self.service_times.len();
        let costs: Vec<u64> = operations.map(|o| self.cost_us(o)).collect();
        for tracked in self.calls.values_mut().filter(|c| c.is_waiting()) {
            if let Some(cost) = costs.get(tracked.call.operation) {
                self.queue.set_cost(tracked, *cost);
            }
        }
    }

    /// Returns the expected slot time of a call in µs, at least 1.
    fn cost_us(&self, operation: usize) -> u64 {
        self.expected_us(operation).max(1.0) as u64
    }

    /// Returns why the call cannot be admitted, and the delay after which it could be, or `None` if
    /// it is admitted.
    fn check_admission(
        &mut self,
        now: Timestamp,
        call: &Call,
        class: usize,
    ) -> Option<(RefusalReason, Duration)> {
        let remaining = call.deadline.since(now);
        if remaining.is_zero() {
            return Some((RefusalReason::Deadline, MIN_RETRY_AFTER));
        }
        if !self.selector.is_late_binding() || self.can_relay(now, call) {
            return None;
        }
        let capacity: u32 = self.targets.values().map(|t| t.unpaused_capacity(now)).sum();
        if capacity == 0 {
            return self.check_without_capacity(now, call.operation, remaining);
        }
        if self.queue.len() == 0 {
            return None;
        }
        let expected_us = self.expected_us(call.operation);
        let slots = f64::from(capacity) * self.queue.share_of(class);
        let wait_us = self.queue.work_ahead(class, &call.caller) / slots;
        // Admit a call that has to wait only if its 99th percentile service time fits before the
        // deadline as well, so that few calls time out while running.
        let remaining_us = remaining.as_micros() as f64;
        let run_us = self.p99_run_us(call.operation).unwrap_or(expected_us * DEFAULT_P99_FACTOR);
        let run_us = run_us.min(remaining_us / RUN_LIMIT_DIVISOR).max(expected_us);
        let excess_us = wait_us + run_us - remaining_us;
        (excess_us > 0.0).then(|| (RefusalReason::Deadline, micros(excess_us)))
    }

    /// Checks admission while no slot is usable. The call may still wait for the trial of an open
    /// breaker or the end of a pause, or for the end of a rest if it can run after it.
    fn check_without_capacity(
        &self,
        now: Timestamp,
        operation: usize,
        remaining: Duration,
    ) -> Option<(RefusalReason, Duration)> {
        let Some(at) = self.first_available(now) else {
            return Some((RefusalReason::NoTarget, NO_TARGET_DELAY));
        };
        let wait = at.since(now);
        let run = match self.is_resting(now) {
            true => self.run_after_rest(operation, remaining),
            false => Duration::ZERO,
        };
        (wait + run >= remaining).then_some((RefusalReason::NoTarget, wait))
    }

    /// Returns a random retry delay between one and two times `after`, within the bounds, so that
    /// callers do not retry at the same time.
    pub(super) fn retry_after(&mut self, after: Duration) -> Duration {
        let spread = self.jittered(after) + after / 2;
        spread.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time until about half of the waiting calls have run.
    pub(super) fn half_queue_time(&self, now: Timestamp) -> Duration {
        let capacity: u32 = self.targets.values().map(|t| t.unpaused_capacity(now)).sum();
        let work_us = self.queue.len() as f64 * self.mean_us();
        micros(work_us / 2.0 / f64::from(capacity.max(1)))
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, MAX_DURATION_US) as u64)
}
