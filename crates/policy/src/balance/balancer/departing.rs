//! Targets that say in their answers that they leave.

use super::{super::quarantine::ProcessId, Balancer};
use crate::Timestamp;
use std::sync::Arc;

impl Balancer {
    /// Records that an answer of `process`, listed as target `name`, says that it leaves. Returns whether
    /// that is news. The process gets no further calls, whatever later answers or the platform say;
    /// another process of that name does not leave.
    pub fn record_departure(
        &mut self,
        now: Timestamp,
        service: &str,
        name: &str,
        process: ProcessId,
    ) -> bool {
        let Some(target) = self.process_mut(service, name, process) else { return false };
        if target.departed.is_some() {
            return false;
        }
        target.departed = Some(now);
        let is_listed = if target.leaving { "leaving" } else { "serving" };
        self.log_lines.push(format!("target {name} says that it leaves, listed as {is_listed}"));
        true
    }

    /// Returns the number of targets of each service that have said that they leave.
    pub fn departed_targets(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.services.iter().map(|(name, service)| (name, service.departed_count()))
    }
}
