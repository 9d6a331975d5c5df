//! Refusal of late calls that are not expected to start before their deadline.
//!
//! Calls in time go before late ones, so a late call can be passed over again and again. It is refused once
//! the rate at which late calls start shows that its turn will not come, while its caller can still try
//! elsewhere.

use super::{
    super::call::{Decision, GiveUpReason},
    Balancer,
};
use crate::Timestamp;
use std::sync::Arc;

/// Upper bound of the retry delay before it is randomized, as a fraction of the time until the deadline. What
/// is left has to be enough for another wait and the run.
const MAX_DELAY_FRACTION: f64 = 0.25;

impl Balancer {
    /// Gives up the late waiting calls of the service whose turn is not expected to come in time.
    pub(super) fn give_up_passed_over(
        &mut self,
        now: Timestamp,
        name: &Arc<str>,
        decisions: &mut Vec<(u64, Decision)>,
    ) {
        let Some(service) = self.services.get_mut(name) else { return };
        // The waits for a limit or a rest are known better.
        if service.limit_wait(now, 0).is_some() || service.rest_left(now).is_some() {
            return;
        }
        if !service.admission.take_check_due(now) {
            return;
        }
        let capacity = self.capacity(now, name);
        let Some(service) = self.services.get(name) else { return };
        let Some(queue) = self.queues.get(name) else { return };
        let mut ahead = 0;
        let mut passed_over = Vec::new();
        for id in queue.late_in_order(now, |route| service.call_seconds(route)) {
            let Some(state) = self.calls.get(&id) else { continue };
            // A call that a target may have run cannot be refused truthfully.
            if state.may_have_run || self.is_held(now, id) {
                continue;
            }
            let base = service.base_seconds(&state.call.route);
            let work = ahead as f64 * base / capacity;
            let wait = service.admission.start_seconds(ahead, work, true);
            let left = state.call.deadline.since(now).as_secs_f64();
            if wait + base > left {
                passed_over.push(id);
            } else {
                ahead += 1;
            }
        }
        for id in passed_over {
            self.give_up_waiting(now, name, id, GiveUpReason::Deadline, decisions);
        }
    }

    /// Returns the expected seconds until a late call starts, given the late ones before it; 0 for a call in
    /// time.
    pub(super) fn late_seconds(&self, now: Timestamp, id: u64) -> f64 {
        let (is_late, priority, objective) = self.queue_rank(now, id);
        let Some(state) = self.calls.get(&id).filter(|_| is_late) else { return 0.0 };
        let name = &state.call.service;
        let (Some(service), Some(queue)) = (self.services.get(name), self.queues.get(name)) else {
            return 0.0;
        };
        if service.limit_wait(now, 0).is_some() || service.rest_left(now).is_some() {
            return 0.0;
        }
        let seconds = |route: &_| service.call_seconds(route);
        let all: usize = queue
            .counts_before(now, (true, priority, objective), seconds)
            .map(|(_, count)| count)
            .sum();
        let ahead = all.saturating_sub(queue.in_time_count(now, seconds));
        let work = ahead as f64 * self.base_seconds(id) / self.capacity(now, name);
        service.admission.start_seconds(ahead, work, true)
    }

    /// Returns the longest retry delay in seconds that the caller of the call can still use.
    pub(super) fn usable_delay(&self, now: Timestamp, id: u64) -> f64 {
        let state = self.calls.get(&id);
        let left = state.map_or(0.0, |state| state.call.deadline.since(now).as_secs_f64());
        left * MAX_DELAY_FRACTION
    }
}
