//! Targets of evacuated failure domains: they are sent nothing, and calls go to the others.

use super::{
    super::{quarantine::ProcessId, service::Service, target::Target},
    Balancer,
};
use indexmap::IndexSet;
use std::sync::Arc;

impl Balancer {
    /// Marks the targets of the evacuated failure domains.
    pub(super) fn mark_evacuated(&mut self, domains: &IndexSet<Arc<str>>) {
        for target in self.services.values_mut().flat_map(|s| s.targets.values_mut()) {
            target.evacuated = domains.contains(&target.domain);
        }
    }

    /// Returns whether target `name` is in an evacuated failure domain, so that nothing may be sent to it,
    /// whatever was decided before.
    pub fn is_evacuated(&self, service: &str, name: &str) -> bool {
        let target = self.services.get(service).and_then(|s| s.targets.get(name));
        target.is_some_and(|t| t.evacuated)
    }

    /// Forgets what is suspected of `process` if its failure domain is evacuated: it cannot be asked.
    /// Returns whether that is so.
    pub(super) fn forget_evacuated(&mut self, process: ProcessId) -> bool {
        let Some(broken) = self.broken.get(&process) else { return false };
        let is_evacuated = self.is_evacuated(&broken.service, &broken.name);
        if is_evacuated {
            self.broken.swap_remove(&process);
        }
        is_evacuated
    }

    /// Returns whether an evacuation is why the service of a call has no usable target.
    pub(super) fn lacks_targets_by_evacuation(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(Service::is_wholly_evacuated)
    }

    /// Returns the number of targets to which calls may be sent as far as evacuations are concerned.
    pub(super) fn remaining_targets(&self) -> usize {
        let targets = self.services.values().flat_map(|s| s.targets.values());
        targets.filter(|t| !t.evacuated).count()
    }
}

impl Service {
    /// Returns whether no target is usable, and some would be if their failure domain were not evacuated.
    pub(in super::super) fn is_wholly_evacuated(&self) -> bool {
        let is_held_back = |t: &Target| t.evacuated && t.is_serving();
        !self.has_usable() && self.targets.values().any(is_held_back)
    }
}
