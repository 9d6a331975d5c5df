//! Starting of calls at targets and peers, and of hedges.

use super::{Dispatcher, admission::MAX_DURATION_US};
use crate::{
    Timestamp,
    dispatch::{
        calls::{Attempt, CallState},
        event::{Action, Call, CallId},
        selection::{Selection, SelectionContext},
    },
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

/// Maximum slowness of a target whose free slots are offered to peers or used for hedges.
pub(super) const MAX_SHARED_SLOWNESS: f64 = 1.5;
/// Time without an answer after which an attempt counts as lost, in mean service times.
const LOST_ATTEMPT_MEANS: f64 = 30.0;
/// Minimum time without an answer after which an attempt counts as lost.
const LOST_ATTEMPT_MIN: Duration = Duration::from_millis(100);
/// Time until the first hedge check of a call if hedging is enabled, in mean service times.
const FIRST_HEDGE_CHECK: f64 = 1.0;
/// Slowness of a target from which its calls may be hedged regardless of their age.
const HEDGE_SLOWNESS: f64 = 2.0;
/// Time until the next hedge check of a call, in mean service times.
const HEDGE_RECHECK: f64 = 0.25;
/// Time added by relaying a call to a peer, in µs.
const RELAY_OVERHEAD_US: f64 = 1_000.0;

/// Destination of the call at the head of the queue.
enum Destination {
    Target(usize),
    Peer(Arc<str>),
    Wait(Option<Timestamp>),
}

impl Dispatcher {
    /// Starts waiting calls in order until the next one has to wait.
    pub(super) fn start_calls(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.recheck_at = None;
        if self.queue.len() == 0 {
            return;
        }
        let slots: u32 = self.targets.values().map(|t| t.unpaused_capacity(now)).sum();
        while let Some(id) = self.queue.next(now, f64::from(slots)) {
            match self.choose_destination(now, id) {
                Destination::Target(index) => self.start_at_target(now, id, index, actions),
                Destination::Peer(peer) => self.start_at_peer(now, id, peer, actions),
                Destination::Wait(_) if !self.selector.is_late_binding() => {
                    self.back_off_unplaced(now, id, actions);
                }
                Destination::Wait(recheck_at) => {
                    self.recheck_at = recheck_at;
                    break;
                }
            }
        }
        if slots == 0 {
            self.refuse_during_rest(now, actions);
        }
    }

    /// Chooses where the call at the head of the queue goes.
    fn choose_destination(&mut self, now: Timestamp, id: CallId) -> Destination {
        let Some(tracked) = self.calls.get(&id) else { return Destination::Wait(None) };
        let relayable = tracked.call.relayable && tracked.may_have_run.is_none();
        if relayable
            && self.is_outside_set()
            && let Some(peer) = self.peers.least_loaded(now, &mut self.random)
        {
            return Destination::Peer(peer);
        }
        let may_share = relayable && self.shares_slots();
        let context = SelectionContext {
            now,
            targets: &self.targets,
            tried_targets: &tracked.tried_targets,
            idempotent: tracked.idempotent,
            expected_us: self.expected_us(tracked.call.operation),
            decay_us: self.decay_us(),
            queue_len: self.queue.len(),
            needs_wait: may_share,
        };
        let relay_us = context.expected_us + RELAY_OVERHEAD_US;
        let selection = self.selector.select(&context, &mut self.random);
        let expected_us = match selection {
            Selection::Target { expected_us, .. } | Selection::Wait { expected_us, .. } => {
                expected_us
            }
        };
        if may_share
            && expected_us > relay_us
            && let Some(peer) = self.peers.most_free(now, &mut self.random)
        {
            return Destination::Peer(peer);
        }
        match selection {
            Selection::Target { index, .. } => Destination::Target(index),
            Selection::Wait { recheck_at, .. } => Destination::Wait(recheck_at),
        }
    }

    /// Returns whether the entry relays all calls because it is not a member of the set that owns
    /// the slots.
    pub(super) fn is_outside_set(&self) -> bool {
        self.uses_ownership() && !self.peers.is_member()
    }

    /// Returns whether members of the set may use the free slots of each other.
    fn shares_slots(&self) -> bool {
        self.config.choice == BalancingPolicy::OwnedShared && self.peers.is_member()
    }

    /// Returns whether a peer can take the call now.
    pub(super) fn can_relay(&mut self, now: Timestamp, call: &Call) -> bool {
        if !call.relayable {
            return false;
        }
        if self.is_outside_set() {
            return self.peers.least_loaded(now, &mut self.random).is_some();
        }
        self.shares_slots() && self.peers.most_free(now, &mut self.random).is_some()
    }

    /// Removes a call from the queue and sends its next attempt to a target.
    fn start_at_target(
        &mut self,
        now: Timestamp,
        id: CallId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        self.queue.start(now, tracked);
        tracked.state = CallState::Running;
        if tracked.attempts_made == 0 {
            self.retry_budget.deposit();
            self.hedge_budget.deposit();
            self.redirect_budget.deposit();
        }
        self.start_attempt(now, id, index, actions);
        self.schedule_first_hedge_check(now, id);
    }

    /// Removes a call from the queue and relays it to a peer. It counts as a start of its class and
    /// caller, since it takes a slot that other calls are waiting for.
    fn start_at_peer(
        &mut self,
        now: Timestamp,
        id: CallId,
        peer: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        self.queue.start(now, tracked);
        self.peers.record_relay(&peer);
        tracked.call.relayable = false;
        tracked.state = CallState::Relayed { peer: Arc::clone(&peer), since: now };
        actions.push(Action::Relay { call: id, peer });
    }

    /// Sends one attempt of a call to a target.
    fn start_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let decay_us = self.decay_us();
        let Some(tracked) = self.calls.get(&id) else { return };
        let expected_us = self.expected_us(tracked.call.operation);
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let Some((name, target)) = self.targets.get_index_mut(index) else { return };
        if !target.breaker.is_closed() {
            target.breaker.start_trial();
        }
        target.in_flight += 1;
        target.slowness.start(now, decay_us, expected_us);
        tracked.attempts_made += 1;
        tracked.attempts.push(Attempt { target: Arc::clone(name), started: now, expected_us });
        let target = Arc::clone(name);
        actions.push(Action::Dispatch { call: id, target, attempt: tracked.attempts_made });
    }

    /// Schedules the first hedge check of a call, if the call may be sent twice. If hedging is
    /// disabled, hedge checks only detect lost attempts.
    fn schedule_first_hedge_check(&mut self, now: Timestamp, id: CallId) {
        let Some(tracked) = self.calls.get(&id) else { return };
        if !tracked.idempotent || !tracked.call.replayable {
            return;
        }
        let first = match self.config.hedge_ratio > 0.0 {
            true => micros(self.expected_us(tracked.call.operation) * FIRST_HEDGE_CHECK),
            false => self.lost_after(tracked.call.operation),
        };
        self.schedule_hedge_check(id, now + first);
    }

    /// Returns the time without an answer after which an attempt counts as lost, for example
    /// because its connection went silent. A retry may then run concurrently with it.
    fn lost_after(&self, operation: usize) -> Duration {
        micros(self.expected_us(operation) * LOST_ATTEMPT_MEANS).max(LOST_ATTEMPT_MIN)
    }

    /// Schedules a hedge check, unless the deadline comes first.
    fn schedule_hedge_check(&mut self, id: CallId, at: Timestamp) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        if at < tracked.call.deadline {
            tracked.hedge_at = Some(at);
            self.hedge_times.insert((at, id));
        }
    }

    /// Sends the hedges that are due, as far as free slots and budgets allow.
    pub(super) fn start_hedges(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((at, id)) = self.hedge_times.first().copied() {
            if at > now {
                return;
            }
            self.hedge_times.remove(&(at, id));
            let Some(tracked) = self.calls.get_mut(&id) else { continue };
            tracked.hedge_at = None;
            if tracked.attempts.len() != 1 || tracked.call.deadline <= now {
                continue;
            }
            let target = self.hedge_target(now, id);
            match target.filter(|_| self.withdraw_hedge_budget(now, id)) {
                Some(index) => self.start_attempt(now, id, index, actions),
                None => self.schedule_hedge_check(id, now + micros(self.mean_us() * HEDGE_RECHECK)),
            }
        }
    }

    /// Takes a token for a second concurrent attempt: from the hedge budget if a hedge is due, or
    /// from the retry budget if the first attempt counts as lost.
    fn withdraw_hedge_budget(&mut self, now: Timestamp, id: CallId) -> bool {
        if self.is_hedge_due(now, id) && self.hedge_budget.try_withdraw() {
            return true;
        }
        self.is_attempt_lost(now, id) && self.retry_budget.try_withdraw()
    }

    /// Returns whether the first attempt in flight counts as lost.
    fn is_attempt_lost(&self, now: Timestamp, id: CallId) -> bool {
        let Some(tracked) = self.calls.get(&id) else { return false };
        let Some(attempt) = tracked.attempts.first() else { return false };
        now.since(attempt.started) >= self.lost_after(tracked.call.operation)
    }

    /// Returns whether a second attempt should start, either because the first one is at a
    /// slow target or because it takes longer than the hedging quantile.
    fn is_hedge_due(&self, now: Timestamp, id: CallId) -> bool {
        let Some(tracked) = self.calls.get(&id) else { return false };
        let Some(attempt) = tracked.attempts.first() else { return false };
        let Some(target) = self.targets.get(&attempt.target) else { return false };
        let age_us = now.since(attempt.started).as_micros() as u64;
        let hedge_after_us =
            self.service_times.get(tracked.call.operation).and_then(|t| t.quantile_us());
        let is_slow = target.slowness.current(now, self.decay_us()) >= HEDGE_SLOWNESS;
        is_slow || hedge_after_us.is_some_and(|us| age_us >= us)
    }

    /// Returns the fastest other target with a free slot, unless it is slow.
    fn hedge_target(&self, now: Timestamp, id: CallId) -> Option<usize> {
        let tracked = self.calls.get(&id)?;
        let decay_us = self.decay_us();
        let others = self.targets.values().enumerate().filter(|(_, t)| {
            let is_used = tracked.attempts.iter().any(|a| a.target == t.info.name);
            !is_used && t.free_slots(now) > 0
        });
        let by_slowness = others.map(|(index, t)| (index, t.slowness.current(now, decay_us)));
        let best = by_slowness.min_by(|a, b| a.1.total_cmp(&b.1))?;
        (best.1 <= MAX_SHARED_SLOWNESS).then_some(best.0)
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.clamp(1.0, MAX_DURATION_US) as u64)
}
