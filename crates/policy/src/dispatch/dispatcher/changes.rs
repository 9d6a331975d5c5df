//! Changes of what the entry knows: settings, targets, entry set, and gaps in time.

use super::{Dispatcher, hedge_quantile};
use crate::{
    Timestamp,
    dispatch::{
        calls::Place,
        choose::Chooser,
        config::{PeerSlots, ServiceConfig, TargetInfo},
        event::{Action, CallId},
        ownership::owned_slots,
        queue::Queue,
        service_time::ServiceTime,
        target::{Target, Targets},
    },
};
use std::{sync::Arc, time::Duration};

impl Dispatcher {
    /// Puts new settings in force. Waiting calls keep their order of arrival within their class.
    pub(super) fn change_plan(
        &mut self,
        now: Timestamp,
        plan: Arc<ServiceConfig>,
        actions: &mut Vec<Action>,
    ) {
        let old = std::mem::replace(&mut self.plan, plan);
        if self.plan.choice != old.choice {
            self.chooser = Chooser::new(self.plan.choice);
        }
        self.retries.set_ratio(self.plan.retry_ratio);
        self.hedges.set_ratio(self.plan.hedge_ratio);
        self.probes.set(self.plan.probe_share, self.plan.probe_cost);
        self.probe_at = None;
        self.carry_times(&old);
        self.carry_calls(now, &old, actions);
        self.share_slots();
    }

    /// Takes in the host list. Targets that are gone stay until their last call has ended.
    pub(super) fn change_targets(&mut self, now: Timestamp, plans: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        let mut targets = Targets::with_capacity(plans.len());
        for plan in plans {
            let name = Arc::clone(&plan.name);
            let target = match old.swap_remove(&name) {
                Some(mut target) if !target.gone => {
                    target.plan = plan;
                    target
                }
                Some(mut target) => {
                    target.plan = plan;
                    target.gone = false;
                    target.cool(now);
                    target
                }
                None => Target::new(plan, now, self.has_targets),
            };
            targets.insert(name, target);
        }
        for (name, mut target) in old {
            target.gone = true;
            if target.in_flight > 0 && !targets.contains_key(&name) {
                targets.insert(name, target);
            }
        }
        self.has_targets |= !targets.is_empty();
        self.targets = targets;
        self.probe_at = None;
        self.share_slots();
    }

    /// Takes in what the members of the entry set told.
    pub(super) fn change_peers(&mut self, told: Vec<PeerSlots>) {
        if self.peers.update(&self.plan.host, told) {
            self.share_slots();
        }
    }

    /// Forgets all that a gap in time has made stale.
    pub(super) fn paused(&mut self, now: Timestamp, _gap: Duration) {
        self.paused_at = now;
        self.peers.forget_free();
        self.probes.forget(now);
        for target in self.targets.values_mut() {
            target.speed.forget(now);
            target.limit.forget_pause();
            target.report = None;
        }
        for (_, id) in std::mem::take(&mut self.hedge_times) {
            if let Some(entry) = self.calls.get_mut(&id) {
                entry.hedge_at = None;
            }
        }
    }

    /// Works out which slots this entry may use.
    fn share_slots(&mut self) {
        let plans: Vec<_> = self.targets.values().map(|t| &t.plan).collect();
        let owned = if self.is_owning() {
            owned_slots(&self.plan.host, self.peers.set(), &plans)
        } else {
            None
        };
        for (index, target) in self.targets.values_mut().enumerate() {
            target.own = owned.as_ref().map_or(target.plan.slots, |o| o[index]);
        }
    }

    fn carry_times(&mut self, old: &ServiceConfig) {
        let quantile = hedge_quantile(&self.plan);
        let mut times = std::mem::take(&mut self.times);
        for operation in &self.plan.operations {
            let before = old.operations.iter().position(|o| o.name == operation.name);
            let known = before.and_then(|index| times.get_mut(index));
            let fresh = ServiceTime::new(quantile);
            self.times.push(known.map_or(fresh, |t| t.with_quantile(quantile)));
        }
    }

    /// Moves the calls to the operations and classes of the new plan.
    fn carry_calls(&mut self, now: Timestamp, old: &ServiceConfig, actions: &mut Vec<Action>) {
        let mut waiting: Vec<(u64, CallId)> = Vec::new();
        for (id, entry) in &self.calls {
            if entry.is_waiting() {
                waiting.push((entry.seq, *id));
            }
        }
        waiting.sort_unstable();
        self.queue = Queue::new(&self.plan);
        for entry in self.calls.values_mut() {
            let name = old.operations.get(entry.call.operation).map(|o| &o.name);
            let same = |name: &Arc<str>| self.plan.operations.iter().position(|o| o.name == *name);
            entry.call.operation = name.and_then(same).unwrap_or(usize::MAX);
            let last = self.queue.classes() - 1;
            let operation = self.plan.operations.get(entry.call.operation);
            entry.class = operation.map_or(last, |o| o.class.min(last));
            if matches!(entry.place, Place::Running) {
                self.queue.adopt(entry);
            }
        }
        for (_, id) in waiting {
            self.requeue(now, id, actions);
        }
    }
}
