//! Targets that say in their answers that they leave.

use super::{
    super::{quarantine::ProcessId, service::Service, succession::AnswerTime},
    Balancer,
};
use std::sync::Arc;

impl Balancer {
    /// Records that an answer of `process`, listed as target `name`, says that it leaves. Returns whether
    /// that is news. The process gets no further calls, whatever later answers or the platform say;
    /// a process of that name that started later does not leave.
    pub fn record_departure(
        &mut self,
        at: AnswerTime,
        service: &str,
        name: &str,
        process: ProcessId,
    ) -> bool {
        let Some(target) = self.speaker_mut(at, service, name, process) else { return false };
        if target.departed.is_some() {
            return false;
        }
        target.departed = Some(at);
        let is_listed = if target.leaving { "leaving" } else { "serving" };
        self.log_lines.push(format!("target {name} says that it leaves, listed as {is_listed}"));
        true
    }

    /// Records that another gateway has passed on an answer of `process`, listed as target `name`, which
    /// says that it leaves. Returns the service of the target if that is news.
    pub fn record_relayed_departure(
        &mut self,
        at: AnswerTime,
        name: &str,
        process: ProcessId,
    ) -> Option<Arc<str>> {
        let is_listed =
            |s: &Service| s.targets.get(name).is_some_and(|t| t.may_have_said(at, process));
        let service = self.services.iter().find(|(_, s)| is_listed(s))?.0;
        let service = Arc::clone(service);
        self.record_departure(at, &service, name, process).then_some(service)
    }

    /// Returns the number of targets of each service that have said that they leave.
    pub fn departed_targets(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.services.iter().map(|(name, service)| (name, service.departed_count()))
    }
}
