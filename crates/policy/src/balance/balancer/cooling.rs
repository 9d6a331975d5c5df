//! Cold targets: their rates, and the part of them that this gateway uses.

use super::{
    super::{
        call::{GiveUpReason, Probe},
        catalog::Catalog,
        cold::ColdShare,
        membership::ColdAssignment,
        service::Service,
        target::Target,
    },
    Balancer,
};
use crate::Timestamp;
use std::{sync::Arc, time::Duration};

/// View of the other gateways by which rates are used, and the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdView {
    present: ColdAssignment,
    before: ColdAssignment,
    /// When the present one replaced the one before.
    changed: Timestamp,
}

impl ColdView {
    /// Returns the part of the rate of `target` that this gateway may use, and since when.
    fn share(&self, target: &Target) -> (ColdShare, Timestamp) {
        let share = self.present.share(&target.domain, &target.name);
        let since = match self.before.share(&target.domain, &target.name) {
            ColdShare::None => self.changed,
            ColdShare::Contested | ColdShare::Full => Timestamp::default(),
        };
        (share, since)
    }
}

impl Balancer {
    /// Returns whether the targets of any service have a rate while they are cold.
    pub fn has_cold_rates(&self) -> bool {
        self.services.values().any(|service| service.cold_rate.is_some())
    }

    /// Sets which rates of cold targets this gateway may use from now on.
    pub fn assign_cold_targets(&mut self, now: Timestamp, assignment: ColdAssignment) {
        if assignment == self.cold_view.present {
            return;
        }
        let before = std::mem::replace(&mut self.cold_view.present, assignment);
        self.cold_view.before = before;
        self.cold_view.changed = now;
        let bound = self.settings.cold_bound;
        for service in self.services.values_mut().filter(|s| s.cold_rate.is_some()) {
            for target in service.targets.values_mut() {
                let (share, since) = self.cold_view.share(target);
                target.cold.set_share(now, share, since, bound);
            }
            service.is_changed = true;
        }
    }

    /// Records the time until the target is warm that the answer to a probe names.
    pub fn record_probe_warmup(&mut self, now: Timestamp, probe: &Probe, left: Duration) {
        let Some(service) = self.services.get_mut(&probe.service) else { return };
        if service.cold_rate.is_none() {
            return;
        }
        let Some(target) = service.targets.get_mut(&probe.target) else { return };
        if target.process != probe.process || left.is_zero() || now + left <= target.cold.until() {
            return;
        }
        if target.cold.extend(now, now + left) {
            self.log_lines.push(cold_line(now, target, "probe"));
        }
        service.is_changed = true;
    }

    /// Returns the number of cold targets of each service whose targets have a rate.
    pub fn cold_targets(&self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, usize)> {
        let limited = self.services.iter().filter(|(_, service)| service.cold_rate.is_some());
        limited.map(move |(name, service)| (name, service.cold_count(now)))
    }

    /// Returns the number of calls of each service that have found only cold targets without tokens.
    pub fn cold_misses(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let missed = self.services.iter().filter(|(_, service)| service.cold_misses > 0);
        missed.map(|(name, service)| (name, service.cold_misses))
    }

    /// Counts the call if all usable targets of its service are cold and this gateway may send them nothing now.
    pub(super) fn count_cold_miss(&mut self, now: Timestamp, service: &str) {
        if let Some(service) = self.services.get_mut(service)
            && service.is_out_of_cold_tokens(now)
        {
            service.cold_misses += 1;
        }
    }

    /// Returns why a call cannot start in time that the limits of all targets or their rates while they are cold
    /// keep waiting.
    pub(super) fn limit_reason(&self, now: Timestamp, id: u64) -> GiveUpReason {
        let service = self.calls.get(&id).and_then(|s| self.services.get(&s.call.service));
        match service.is_some_and(|service| service.is_all_cold(now)) {
            true => GiveUpReason::Cold,
            false => GiveUpReason::Limited,
        }
    }

    /// Follows the rates and the ends of the cold times that the catalog names.
    pub(super) fn update_cold_targets(&mut self, now: Timestamp, catalog: &Catalog) {
        let bound = self.settings.cold_bound;
        for (name, service) in &mut self.services {
            let settings = catalog.published().and_then(|p| p.services.get(name));
            service.cold_rate = settings.and_then(|s| s.cold_rate);
            for target in service.targets.values_mut() {
                if target.cold.extend(now, target.warm_at) && service.cold_rate.is_some() {
                    self.log_lines.push(cold_line(now, target, "record"));
                }
                let (share, since) = self.cold_view.share(target);
                target.cold.set_rate(now, service.cold_rate, bound);
                target.cold.set_share(now, share, since, bound);
            }
        }
    }
}

impl Service {
    /// Returns the number of cold targets.
    fn cold_count(&self, now: Timestamp) -> usize {
        self.targets.values().filter(|t| t.cold.is_cold(now)).count()
    }

    /// Returns whether there are usable targets and all are cold, and none of them may be sent a request now.
    pub(super) fn is_out_of_cold_tokens(&self, now: Timestamp) -> bool {
        self.is_all_cold(now)
            && self.targets.values().all(|t| !t.is_usable() || !t.cold.may_send(now))
    }

    /// Returns whether there are usable targets and all are cold.
    fn is_all_cold(&self, now: Timestamp) -> bool {
        if self.cold_rate.is_none() {
            return false;
        }
        let mut usable = self.targets.values().filter(|t| t.is_usable()).peekable();
        usable.peek().is_some() && usable.all(|t| t.cold.is_cold(now))
    }
}

fn cold_line(now: Timestamp, target: &Target, source: &str) -> String {
    let ms = target.cold.time_left(now).as_millis();
    format!("target {} is cold again ms={ms} source={source}", target.name)
}
