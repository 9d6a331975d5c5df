//! Starting calls: at targets, at peers, and a second time as hedges.

use super::Dispatcher;
use crate::{
    Timestamp,
    dispatch::{
        calls::{Attempt, Place},
        choose::{Pick, View},
        event::{Action, Call, CallId},
    },
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

/// Slowness up to which a free slot is offered to peers.
pub(super) const SHARED_SLOWNESS: f64 = 1.5;
/// Mean service times without an answer after which an attempt counts as lost.
const RESCUE_MEANS: f64 = 30.0;
/// Shortest time without an answer after which an attempt counts as lost.
const RESCUE_MIN: Duration = Duration::from_millis(100);
/// Mean service times after which a call at a slow target may be hedged.
const HEDGE_FROM_SLOW: f64 = 1.0;
/// Slowness of a target from which its calls are hedged early.
const HEDGE_SLOWNESS: f64 = 2.0;
/// Mean service times after which a call is looked at again.
const HEDGE_AGAIN: f64 = 0.25;
/// Time that a relay to a peer adds to a call, in µs.
const RELAY_US: f64 = 1_000.0;

/// Where the head of the queue goes.
enum Route {
    Target(usize),
    Peer(Arc<str>),
    Wait(Option<Timestamp>),
}

impl Dispatcher {
    /// Starts waiting calls in order until the next one has to wait.
    pub(super) fn start_calls(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.look_again = None;
        if self.queue.len() == 0 {
            return;
        }
        let slots: u32 = self.targets.values().map(|t| t.usual_capacity()).sum();
        while let Some(id) = self.queue.next(now, f64::from(slots)) {
            match self.route(now, id) {
                Route::Target(index) => self.start_at_target(now, id, index, actions),
                Route::Peer(peer) => self.start_at_peer(id, peer, actions),
                Route::Wait(_) if !self.chooser.is_late_binding() => {
                    self.back_off_unplaced(now, id, actions);
                }
                Route::Wait(again) => {
                    self.look_again = again;
                    return;
                }
            }
        }
    }

    fn route(&mut self, now: Timestamp, id: CallId) -> Route {
        let Some(entry) = self.calls.get(&id) else { return Route::Wait(None) };
        let relayable = entry.call.relayable && entry.maybe_run.is_none();
        if relayable
            && self.is_outsider()
            && let Some(peer) = self.peers.for_outsider(now, &mut self.random)
        {
            return Route::Peer(peer);
        }
        let may_share = relayable && self.shares_slots();
        let view = View {
            now,
            targets: &self.targets,
            tried: &entry.tried,
            idempotent: entry.idempotent,
            expected_us: self.expected_us(entry.call.operation),
            memory_us: self.memory_us(),
            waiting: self.queue.len(),
            asks_wait: may_share,
        };
        let elsewhere_us = view.expected_us + RELAY_US;
        let pick = self.chooser.choose(&view, &mut self.random);
        let expected_us = match pick {
            Pick::Target { expected_us, .. } | Pick::Wait { expected_us, .. } => expected_us,
        };
        if may_share
            && expected_us > elsewhere_us
            && let Some(peer) = self.peers.with_free(now, &mut self.random)
        {
            return Route::Peer(peer);
        }
        match pick {
            Pick::Target { index, .. } => Route::Target(index),
            Pick::Wait { again, .. } => Route::Wait(again),
        }
    }

    /// Whether the entry hands all calls on to the set that owns the slots.
    pub(super) fn is_outsider(&self) -> bool {
        self.is_owning() && !self.peers.is_member()
    }

    fn shares_slots(&self) -> bool {
        self.plan.choice == BalancingPolicy::OwnedShared && self.peers.is_member()
    }

    /// Whether a peer could take the call now.
    pub(super) fn can_relay(&mut self, now: Timestamp, call: &Call) -> bool {
        if !call.relayable {
            return false;
        }
        if self.is_outsider() {
            return self.peers.for_outsider(now, &mut self.random).is_some();
        }
        self.shares_slots() && self.peers.with_free(now, &mut self.random).is_some()
    }

    fn start_at_target(
        &mut self,
        now: Timestamp,
        id: CallId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        self.queue.start(now, entry);
        entry.place = Place::Running;
        if entry.tries == 0 {
            self.retries.earn();
            self.hedges.earn();
            self.redirects.earn();
        }
        self.send(now, id, index, actions);
        self.arm_hedge(now, id);
    }

    fn start_at_peer(&mut self, id: CallId, peer: Arc<str>, actions: &mut Vec<Action>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        self.queue.remove(entry);
        self.peers.start(&peer);
        entry.call.relayable = false;
        entry.place = Place::Relayed(Arc::clone(&peer));
        actions.push(Action::Relay { call: id, peer });
    }

    /// Sends one attempt of a call to a target.
    fn send(&mut self, now: Timestamp, id: CallId, index: usize, actions: &mut Vec<Action>) {
        let memory = self.memory_us();
        let Some(entry) = self.calls.get(&id) else { return };
        let expected = self.expected_us(entry.call.operation);
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let Some((name, target)) = self.targets.get_index_mut(index) else { return };
        if !target.breaker.is_closed() {
            target.breaker.start_trial();
        }
        target.in_flight += 1;
        target.speed.start(now, memory, expected);
        entry.tries += 1;
        entry.attempts.push(Attempt { target: Arc::clone(name), started: now, expected });
        let target = Arc::clone(name);
        actions.push(Action::Dispatch { call: id, target, attempt: entry.tries });
    }

    /// Notes when a hedge of the call is looked at first, if it may have one.
    fn arm_hedge(&mut self, now: Timestamp, id: CallId) {
        let Some(entry) = self.calls.get(&id) else { return };
        if !entry.idempotent || !entry.call.replayable {
            return;
        }
        let first = match self.plan.hedge_ratio > 0.0 {
            true => micros(self.expected_us(entry.call.operation) * HEDGE_FROM_SLOW),
            false => self.rescue_after(entry.call.operation),
        };
        self.look_at_hedge(id, now + first);
    }

    /// Time without an answer after which an attempt counts as lost, as on a connection that went
    /// silent, and a retry may start beside it.
    fn rescue_after(&self, operation: usize) -> Duration {
        micros(self.expected_us(operation) * RESCUE_MEANS).max(RESCUE_MIN)
    }

    fn look_at_hedge(&mut self, id: CallId, at: Timestamp) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        if at < entry.call.deadline {
            entry.hedge_at = Some(at);
            self.hedge_times.insert((at, id));
        }
    }

    /// Sends the hedges that are due, as far as slots and budget allow.
    pub(super) fn start_hedges(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((at, id)) = self.hedge_times.first().copied() {
            if at > now {
                return;
            }
            self.hedge_times.remove(&(at, id));
            let Some(entry) = self.calls.get_mut(&id) else { continue };
            entry.hedge_at = None;
            if entry.attempts.len() != 1 || entry.call.deadline <= now {
                continue;
            }
            let target = self.hedge_target(now, id);
            match target.filter(|_| self.may_start_beside(now, id)) {
                Some(index) => self.send(now, id, index, actions),
                None => self.look_at_hedge(id, now + micros(self.mean_us() * HEDGE_AGAIN)),
            }
        }
    }

    /// Takes a hedge, or for a lost attempt a retry, from its budget when it is due.
    fn may_start_beside(&mut self, now: Timestamp, id: CallId) -> bool {
        if self.is_hedge_due(now, id) && self.hedges.take() {
            return true;
        }
        self.is_rescue_due(now, id) && self.retries.take()
    }

    fn is_rescue_due(&self, now: Timestamp, id: CallId) -> bool {
        let Some(entry) = self.calls.get(&id) else { return false };
        let Some(attempt) = entry.attempts.first() else { return false };
        now.since(attempt.started) >= self.rescue_after(entry.call.operation)
    }

    /// Whether the running attempt of a call takes so long that a second one is worth its cost:
    /// it is at a slow target, or among the longest as far as the budget goes.
    fn is_hedge_due(&self, now: Timestamp, id: CallId) -> bool {
        let Some(entry) = self.calls.get(&id) else { return false };
        let Some(attempt) = entry.attempts.first() else { return false };
        let Some(target) = self.targets.get(&attempt.target) else { return false };
        let age = now.since(attempt.started).as_micros() as u64;
        let quantile = self.times.get(entry.call.operation).and_then(|t| t.quantile_us());
        let is_slow = target.speed.slowness(now, self.memory_us()) >= HEDGE_SLOWNESS;
        is_slow || quantile.is_some_and(|us| age >= us)
    }

    /// The free slot for a hedge: at another target that is not known to be slow.
    fn hedge_target(&self, now: Timestamp, id: CallId) -> Option<usize> {
        let entry = self.calls.get(&id)?;
        let memory = self.memory_us();
        let others = self.targets.values().enumerate().filter(|(_, t)| {
            let used = entry.attempts.iter().any(|a| a.target == t.plan.name);
            !used && t.free(now) > 0
        });
        let speeds = others.map(|(index, t)| (index, t.speed.slowness(now, memory)));
        let best = speeds.min_by(|a, b| a.1.total_cmp(&b.1))?;
        (best.1 <= SHARED_SLOWNESS).then_some(best.0)
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.clamp(1.0, 1e12) as u64)
}
