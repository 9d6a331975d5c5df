//! Further attempts of a call, and how it is given up.

use super::{
    super::{
        call::{Decision, GiveUpReason, HedgeDecision},
        service::Choice,
    },
    Balancer,
};
use crate::Timestamp;
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Range of times after which callers are asked to come back.
const COME_BACK: (f64, f64) = (0.005, 2.0);
/// Seconds after which a caller may come back whose call was refused by targets while others are
/// free.
const REFUSED: f64 = 0.005;
/// Time after which a caller may come back when no target is known.
const NO_TARGET: Duration = Duration::from_millis(500);
/// Part of the own slots in use above which no second try is started beside a first one.
const HEDGE_USAGE: f64 = 0.6;
/// Second tries that hedges leave to retries.
const HEDGE_RESERVE: f64 = 2.0;
/// Pause before a second attempt is considered again.
const HEDGE_PAUSE: Duration = Duration::from_millis(4);
/// The same once the second attempt will be late in any case, or while there is no budget for it.
const RESCUE_PAUSE: Duration = Duration::from_millis(64);
/// Expected times that must be left for the second attempt.
pub(super) const HEDGE_ROOM: f64 = 1.1;
/// Attempts that may fail without having been sent before a call is given up.
const UNSENT: u32 = 4;
/// Part of the budget of second tries that is kept for calls that are the most urgent of a service or
/// came back, and for those that are both. A call that is refused for the first time can come back.
const RESERVES: [f64; 3] = [0.25, 0.12, 0.0];
impl Balancer {
    /// The time to consider a second attempt beside the first one has come.
    pub fn consider_hedge(&mut self, now: Timestamp, id: u64) -> HedgeDecision {
        let Some(entry) = self.calls.get(&id) else { return HedgeDecision::Never };
        let route = &entry.call.route;
        if entry.running != 1 || !route.idempotent || !entry.call.replayable {
            return HedgeDecision::Never;
        }
        let Some(service) = self.services.get(&entry.call.service) else {
            return HedgeDecision::Never;
        };
        let idle = self.queues.get(&entry.call.service).is_none_or(Vec::is_empty);
        let room = Duration::from_secs_f64(service.base(route) * HEDGE_ROOM);
        if entry.sent >= route.attempts || now + room > entry.call.deadline {
            return HedgeDecision::Never;
        }
        let rescue = now >= entry.rescue_at;
        let early = now + room <= entry.call.objective;
        if !rescue && (!early || !idle || service.usage() > HEDGE_USAGE) {
            return HedgeDecision::Later(entry.rescue_at);
        }
        let name = Arc::clone(&entry.call.service);
        match self.choose(now, id, !rescue) {
            Choice::Take(place) => {
                let budget = self.budgets.get_mut(&name);
                let reserve = if rescue { 0.0 } else { HEDGE_RESERVE };
                if !budget.is_some_and(|b| b.try_take(now, reserve)) {
                    return HedgeDecision::Later(now + RESCUE_PAUSE);
                }
                self.start(now, id, &place).map_or(HedgeDecision::Never, HedgeDecision::Start)
            }
            Choice::Probe(_) | Choice::Hold | Choice::Full => {
                HedgeDecision::Later(now + if rescue { RESCUE_PAUSE } else { HEDGE_PAUSE })
            }
        }
    }

    /// Tries a call again, if it may and can be.
    pub(super) fn again(&mut self, now: Timestamp, id: u64) -> Option<Decision> {
        let entry = self.calls.get(&id)?;
        let route = &entry.call.route;
        let allowed = !entry.doubtful || route.idempotent;
        let sent = entry.sent > 0;
        if !allowed || !entry.call.replayable || entry.sent >= route.attempts {
            return None;
        }
        if entry.unsent >= UNSENT || self.is_hopeless(now, id) {
            return None;
        }
        // What never reached a target needs no budget.
        if sent {
            let service = Arc::clone(&entry.call.service);
            let urgent = self.urgent.get(&service).is_none_or(|rank| route.priority <= *rank);
            let claims = usize::from(urgent) + usize::from(entry.returned);
            let refused = self.services.get(&service)?.refused_part();
            let budget = self.budgets.get_mut(&service)?;
            let mut reserve = budget.allowed(now) * RESERVES[claims];
            if !entry.returned {
                let returning = self.returning.entry(service).or_default();
                reserve = reserve.max(returning.needs(refused, budget.calls(now)));
            }
            if !budget.try_take(now, reserve) {
                return None;
            }
        }
        let order = self.place(now, id);
        Some(order)
    }

    /// Gives up a call that cannot be tried again, for `reason` unless a target may have run it.
    pub(super) fn lost(&mut self, now: Timestamp, id: u64, reason: GiveUpReason) -> Decision {
        let doubtful = self.calls.get(&id).is_some_and(|e| e.doubtful);
        self.give_up(now, id, if doubtful { GiveUpReason::Lost } else { reason })
    }

    pub(super) fn give_up(&mut self, now: Timestamp, id: u64, reason: GiveUpReason) -> Decision {
        let doubtful = self.calls.get(&id).is_some_and(|e| e.doubtful);
        let retry_after = match reason {
            GiveUpReason::NoTarget => self.jittered(NO_TARGET.as_secs_f64()),
            GiveUpReason::Refused if self.is_idle(id) => self.jittered(REFUSED),
            _ => {
                let drained = self.drained(id);
                self.jittered(drained)
            }
        };
        if !doubtful && let Some(entry) = self.calls.get(&id).filter(|e| !e.returned) {
            let returning = self.returning.entry(Arc::clone(&entry.call.service)).or_default();
            returning.refused(now, entry.call.origin(), retry_after, entry.call.objective);
        }
        self.forget(id);
        Decision::GiveUp { reason, not_run: !doubtful, retry_after }
    }

    /// Whether no call waits for the service of call `id`.
    pub(super) fn is_idle(&self, id: u64) -> bool {
        let Some(entry) = self.calls.get(&id) else { return true };
        self.queues.get(&entry.call.service).is_none_or(Vec::is_empty)
    }

    /// Seconds until the calls that wait now have been served.
    pub(super) fn drained(&self, id: u64) -> f64 {
        let Some(entry) = self.calls.get(&id) else { return COME_BACK.0 };
        let Some(service) = self.services.get(&entry.call.service) else { return COME_BACK.0 };
        let queue = self.queues.get(&entry.call.service).map_or(&[][..], Vec::as_slice);
        let work = |id: &u64| self.calls.get(id).map_or(0.0, |e| service.base(&e.call.route));
        let all: f64 = queue.iter().map(work).sum();
        all / service.capacity().max(0.1) + service.base(&entry.call.route)
    }

    /// A time around `seconds`, spread so that callers do not come back together.
    pub(super) fn jittered(&mut self, seconds: f64) -> Duration {
        let spread = 0.7 + 0.6 * self.random.random::<f64>();
        Duration::from_secs_f64((seconds * spread).clamp(COME_BACK.0, COME_BACK.1))
    }
}
