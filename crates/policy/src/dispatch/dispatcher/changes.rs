//! Changes of settings, targets and entry set, and process pauses.

use super::{Dispatcher, hedge_quantile};
use crate::{
    Timestamp,
    dispatch::{
        calls::CallState,
        config::{PeerSlots, ServiceConfig, TargetInfo},
        event::{Action, CallId},
        ownership::owned_slots,
        queue::Queue,
        selection::Selector,
        service_time::ServiceTimes,
        target::{Target, Targets},
    },
};
use std::{sync::Arc, time::Duration};

impl Dispatcher {
    /// Applies a new configuration. Waiting calls keep their order of arrival within their class.
    pub(super) fn update_config(
        &mut self,
        now: Timestamp,
        config: Arc<ServiceConfig>,
        actions: &mut Vec<Action>,
    ) {
        let old = std::mem::replace(&mut self.config, config);
        if self.config.choice != old.choice {
            self.selector = Selector::new(self.config.choice);
        }
        self.retry_budget.set_ratio(self.config.retry_ratio);
        self.hedge_budget.set_ratio(self.config.hedge_ratio);
        self.probe_budget.update(self.config.probe_share, self.config.probe_cost);
        self.probe_at = None;
        self.carry_service_times(&old);
        self.carry_calls(now, &old, actions);
        self.assign_slots();
    }

    /// Applies a new host list. Removed targets are kept until their last call and their rest
    /// have ended, and those that drain for some time, since a record may lapse and return.
    pub(super) fn update_targets(&mut self, now: Timestamp, infos: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        let mut targets = Targets::with_capacity(infos.len());
        for info in infos {
            let name = Arc::clone(&info.name);
            let target = match old.swap_remove(&name) {
                Some(mut target) if !target.removed => {
                    target.update_info(info);
                    target
                }
                Some(mut target) => {
                    target.update_info(info);
                    target.removed = false;
                    target.reset_cold(now);
                    target
                }
                None => Target::new(info, now, self.had_targets),
            };
            targets.insert(name, target);
        }
        for (name, mut target) in old {
            if !target.removed {
                target.removed = true;
                target.listed_at = now;
            }
            if target.is_kept(now) && !targets.contains_key(&name) {
                targets.insert(name, target);
            }
        }
        self.had_targets |= !targets.is_empty();
        self.targets = targets;
        self.probe_at = None;
        self.assign_slots();
    }

    /// Applies a new list of members of the entry set.
    pub(super) fn update_peers(&mut self, members: Vec<PeerSlots>) {
        if self.peers.update(&self.config.host, members) {
            self.assign_slots();
        }
    }

    /// Discards all state that a pause of the process has made stale.
    pub(super) fn handle_pause(&mut self, now: Timestamp, _gap: Duration) {
        self.resumed_at = now;
        self.peers.clear_free();
        self.probe_budget.reset(now);
        for target in self.targets.values_mut() {
            target.slowness.reset(now);
            target.limit.clear_pause();
            target.report = None;
        }
        for (_, id) in std::mem::take(&mut self.hedge_times) {
            if let Some(tracked) = self.calls.get_mut(&id) {
                tracked.hedge_at = None;
            }
        }
    }

    /// Recomputes how many slots of each target this entry may use.
    fn assign_slots(&mut self) {
        let infos: Vec<_> = self.targets.values().map(|t| &t.info).collect();
        let owned = if self.uses_ownership() {
            owned_slots(&self.config.host, self.peers.set(), &infos)
        } else {
            None
        };
        for (index, target) in self.targets.values_mut().enumerate() {
            target.owned_slots = owned.as_ref().map_or(target.info.slots, |o| o[index]);
        }
    }

    /// Moves the service times to the operations of the new configuration, matched by name.
    fn carry_service_times(&mut self, old: &ServiceConfig) {
        let quantile = hedge_quantile(&self.config);
        let mut service_times = std::mem::take(&mut self.service_times);
        for operation in &self.config.operations {
            let old_index = old.operations.iter().position(|o| o.name == operation.name);
            let carried = old_index.and_then(|index| service_times.get_mut(index));
            let fresh = ServiceTimes::new(quantile);
            self.service_times.push(carried.map_or(fresh, |t| t.take_with_quantile(quantile)));
        }
    }

    /// Moves the calls to the operations and classes of the new configuration.
    fn carry_calls(&mut self, now: Timestamp, old: &ServiceConfig, actions: &mut Vec<Action>) {
        let mut waiting: Vec<(u64, CallId)> = Vec::new();
        for (id, tracked) in &self.calls {
            if tracked.is_waiting() {
                waiting.push((tracked.seq, *id));
            }
        }
        waiting.sort_unstable();
        self.queue = Queue::new(&self.config);
        for tracked in self.calls.values_mut() {
            let name = old.operations.get(tracked.call.operation).map(|o| &o.name);
            let find =
                |name: &Arc<str>| self.config.operations.iter().position(|o| o.name == *name);
            tracked.call.operation = name.and_then(find).unwrap_or(usize::MAX);
            let last = self.queue.classes() - 1;
            let operation = self.config.operations.get(tracked.call.operation);
            tracked.class = operation.map_or(last, |o| o.class.min(last));
            if matches!(tracked.state, CallState::Running | CallState::Relayed { .. }) {
                self.queue.add_running(tracked);
            }
        }
        for (_, id) in waiting {
            self.requeue(now, id, actions);
        }
    }
}
