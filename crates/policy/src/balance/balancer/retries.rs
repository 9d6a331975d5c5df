//! Hedges and retries of a call, and giving it up.

use super::{
    super::{
        call::{Decision, GiveUpReason, HedgeDecision},
        queue::WaitQueue,
        service::Choice,
    },
    Balancer, MIN_CAPACITY,
};
use crate::Timestamp;
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Range of retry delays given to callers, in seconds.
const RETRY_AFTER_RANGE: (f64, f64) = (0.005, 2.0);
/// Retry delay in seconds for a call that was refused by targets while no calls wait for its
/// service.
const REFUSED_RETRY_AFTER: f64 = 0.005;
/// Retry delay if the service has no usable target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of the local slots in use above which no hedge is started.
const HEDGE_MAX_USAGE: f64 = 0.6;
/// Extra attempts that hedges leave in the budget for retries.
const HEDGE_RESERVE: f64 = 2.0;
/// Interval at which a hedge is reconsidered while no slot is suitable.
const HEDGE_INTERVAL: Duration = Duration::from_millis(4);
/// The same once a hedge is forced, or while there is no budget for it.
const FORCED_HEDGE_INTERVAL: Duration = Duration::from_millis(64);
/// Time that must be left for a hedge, in multiples of the expected time at an idle target.
pub(super) const HEDGE_MARGIN: f64 = 1.1;
/// Attempts that may fail without having been sent before a call is given up.
const MAX_UNSENT: u32 = 4;
/// Fraction of the retry budget that a retry must leave unused, by how many of two conditions its
/// call meets: it has the highest priority of its service, and it came back after a refusal. A call
/// that is refused for the first time can still be retried by its caller.
const RESERVES: [f64; 3] = [0.25, 0.12, 0.0];
/// Lower bound of the random factor on a retry delay.
const MIN_JITTER: f64 = 0.7;
/// Width of the range of the random factor on a retry delay, from [`MIN_JITTER`] up.
const JITTER_WIDTH: f64 = 0.6;

impl Balancer {
    /// Decides on a hedge at the time given by [`NewAttempt::hedge_at`].
    ///
    /// [`NewAttempt::hedge_at`]: super::NewAttempt::hedge_at
    pub fn consider_hedge(&mut self, now: Timestamp, id: u64) -> HedgeDecision {
        self.suspect_silent(now, id);
        let Some(state) = self.calls.get(&id) else { return HedgeDecision::Never };
        let route = &state.call.route;
        if state.running != 1 || !route.idempotent || !state.call.replayable {
            return HedgeDecision::Never;
        }
        if self.call_suspicion(&state.call) > 0 {
            return HedgeDecision::Never;
        }
        let Some(service) = self.services.get(&state.call.service) else {
            return HedgeDecision::Never;
        };
        let queue_empty = self.queues.get(&state.call.service).is_none_or(WaitQueue::is_empty);
        let margin = Duration::from_secs_f64(service.base_seconds(route) * HEDGE_MARGIN);
        if state.sent >= route.attempts || now + margin > state.call.deadline {
            return HedgeDecision::Never;
        }
        if self.misses_drain(now, id, 0.0) {
            return HedgeDecision::Never;
        }
        let forced = now >= state.forced_hedge;
        let in_time = now + margin <= state.call.objective;
        if !forced && (!in_time || !queue_empty || service.local_usage() > HEDGE_MAX_USAGE) {
            return HedgeDecision::Later(state.forced_hedge);
        }
        let name = Arc::clone(&state.call.service);
        match self.choose(now, id, !forced) {
            Choice::Take(candidate) => {
                let budget = self.budgets.get_mut(&name);
                let reserve = if forced { 0.0 } else { HEDGE_RESERVE };
                if !budget.is_some_and(|b| b.try_take(now, reserve)) {
                    return HedgeDecision::Later(now + FORCED_HEDGE_INTERVAL);
                }
                self.start(now, id, &candidate).map_or(HedgeDecision::Never, HedgeDecision::Start)
            }
            Choice::Probe(_) | Choice::Defer | Choice::Full => HedgeDecision::Later(
                now + if forced { FORCED_HEDGE_INTERVAL } else { HEDGE_INTERVAL },
            ),
        }
    }

    /// Retries a call if its route, its attempts and the retry budget allow it.
    pub(super) fn retry(&mut self, now: Timestamp, id: u64) -> Option<Decision> {
        if self.is_call_quarantined(now, id) {
            return Some(self.abandon(now, id, GiveUpReason::Quarantined));
        }
        let state = self.calls.get(&id)?;
        let route = &state.call.route;
        let allowed = !state.may_have_run || route.idempotent;
        let sent = state.sent > 0;
        if !allowed || !state.call.replayable || state.sent >= route.attempts {
            return None;
        }
        if !self.is_trial(now, id) && !self.may_repeat(&state.call, state.broken) {
            return None;
        }
        if state.unsent >= MAX_UNSENT || self.miss_reason(now, id, 0.0).is_some() {
            return None;
        }
        // Attempts that never reached a target need no budget.
        if sent {
            let service = Arc::clone(&state.call.service);
            let top_priority =
                self.top_priority.get(&service).is_none_or(|top| route.priority <= *top);
            let conditions = usize::from(top_priority) + usize::from(state.came_back);
            let refusal_rate = self.services.get(&service)?.refusal_rate();
            let budget = self.budgets.get_mut(&service)?;
            let mut reserve = budget.allowed(now) * RESERVES[conditions];
            if !state.came_back {
                let refusals = self.refusals.entry(service).or_default();
                reserve = reserve.max(refusals.expected_demand(refusal_rate, budget.calls(now)));
            }
            if !budget.try_take(now, reserve) {
                return None;
            }
        }
        let decision = self.start_or_queue(now, id);
        Some(decision)
    }

    /// Gives up a call that cannot be retried, for `reason` unless a target may have run it.
    pub(super) fn abandon(&mut self, now: Timestamp, id: u64, reason: GiveUpReason) -> Decision {
        let may_have_run = self.calls.get(&id).is_some_and(|s| s.may_have_run);
        self.give_up(now, id, if may_have_run { GiveUpReason::Lost } else { reason })
    }

    /// Gives up a call for `reason`, and chooses the delay after which its caller may retry.
    pub(super) fn give_up(&mut self, now: Timestamp, id: u64, reason: GiveUpReason) -> Decision {
        let may_have_run = self.calls.get(&id).is_some_and(|s| s.may_have_run);
        let retry_after = match reason {
            GiveUpReason::Quarantined => self.trial_delay(now, id),
            GiveUpReason::NoTarget | GiveUpReason::Evacuated => {
                self.jittered_delay(NO_TARGET_RETRY_AFTER.as_secs_f64())
            }
            GiveUpReason::Limited | GiveUpReason::Cold => {
                let seconds = self.queue_seconds(now, id);
                // Where this gateway may use none of the limits, another one may.
                let is_finite = seconds.is_finite();
                let limit = NO_TARGET_RETRY_AFTER.as_secs_f64();
                self.jittered_delay(if is_finite { seconds } else { limit })
            }
            GiveUpReason::Refused if self.is_queue_empty(id) => {
                self.jittered_delay(REFUSED_RETRY_AFTER)
            }
            _ => {
                let seconds = self.drain_seconds(now, id).min(self.usable_delay(now, id));
                self.jittered_delay(seconds)
            }
        };
        let retry_after = self.rest_delay(now, id).map_or(retry_after, |d| d.max(retry_after));
        let may_return = !may_have_run && reason != GiveUpReason::Quarantined;
        if may_return && let Some(state) = self.calls.get(&id) {
            let refusals = self.refusals.entry(Arc::clone(&state.call.service)).or_default();
            refusals.record(
                now,
                state.call.origin(),
                retry_after,
                state.call.objective,
                !state.came_back,
            );
        }
        self.forget(id);
        Decision::GiveUp { reason, not_run: !may_have_run, retry_after }
    }

    /// Returns whether no call waits for the service of call `id`.
    pub(super) fn is_queue_empty(&self, id: u64) -> bool {
        let Some(state) = self.calls.get(&id) else { return true };
        self.queues.get(&state.call.service).is_none_or(WaitQueue::is_empty)
    }

    /// Estimates the seconds until the calls waiting for the service have been served, and call
    /// `id` after them.
    pub(super) fn drain_seconds(&self, now: Timestamp, id: u64) -> f64 {
        let Some(state) = self.calls.get(&id) else { return RETRY_AFTER_RANGE.0 };
        let Some(service) = self.services.get(&state.call.service) else {
            return RETRY_AFTER_RANGE.0;
        };
        let queue = self.queues.get(&state.call.service);
        let all = queue.map_or(0.0, |queue| queue.total_seconds(|r| service.call_seconds(r)));
        all / service.capacity(now).max(MIN_CAPACITY) + service.base_seconds(&state.call.route)
    }

    /// Returns a randomized delay around `seconds`, so that callers do not return all at once.
    pub(super) fn jittered_delay(&mut self, seconds: f64) -> Duration {
        let spread = MIN_JITTER + JITTER_WIDTH * self.random.random::<f64>();
        Duration::from_secs_f64((seconds * spread).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1))
    }
}
