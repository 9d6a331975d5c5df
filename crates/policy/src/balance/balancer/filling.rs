//! Attempts that full targets have not accepted, and the calls that they belong to.

use super::{
    super::occupancy::{FullTargetEvent, FullTargetNotice, Progress},
    Balancer,
};
use crate::Timestamp;
use std::sync::Arc;

impl Balancer {
    /// Records that the head of an answer to call `id` has arrived from target `name`.
    pub fn answer_began(&mut self, service: &str, name: &str, id: u64) {
        let target = self.services.get_mut(service).and_then(|s| s.targets.get_mut(name));
        let running = target.and_then(|t| t.running.iter_mut().find(|r| r.call == id));
        if let Some(running) = running {
            running.progress = Progress::Answering;
        }
    }

    /// Returns the attempts that full targets have not accepted since the last call. A call of one that was
    /// left unanswered may have a hedge now.
    pub fn take_full_notices(&mut self) -> Vec<FullTargetNotice> {
        std::mem::take(&mut self.full_notices)
    }

    /// Returns whether a hedge of the call is sent as soon as the budget and the targets allow it.
    pub fn is_hedge_due(&self, now: Timestamp, id: u64) -> bool {
        self.calls.get(&id).is_some_and(|state| now >= state.forced_hedge)
    }

    /// Records that target `name` has never accepted the attempts of `calls`.
    pub(super) fn record_unaccepted(
        &mut self,
        now: Timestamp,
        service: &Arc<str>,
        name: &str,
        calls: &[u64],
    ) {
        for id in calls {
            if let Some(state) = self.calls.get_mut(id) {
                state.forced_hedge = state.forced_hedge.min(now);
            }
            self.record_full(*id, service, FullTargetEvent::Unaccepted);
        }
        if let Some(service) = self.services.get_mut(service).filter(|_| !calls.is_empty()) {
            service.is_changed = true;
            self.log_lines.push(format!(
                "target {name} full, attempts never accepted={}, by its reports",
                calls.len()
            ));
        }
    }

    /// Records that target `name` was full and has ended the connection of an attempt of the call.
    pub(super) fn record_rejected(&mut self, id: u64, name: &str) {
        let Some(state) = self.calls.get(&id) else { return };
        let service = Arc::clone(&state.call.service);
        self.record_full(id, &service, FullTargetEvent::Rejected);
        self.log_lines.push(format!("target {name} full, connection ended before an answer"));
    }

    fn record_full(&mut self, call: u64, service: &Arc<str>, event: FullTargetEvent) {
        let service = Arc::clone(service);
        self.full_notices.push(FullTargetNotice { call, service, event });
    }

    /// Requests reports of the targets of the service that have left an attempt unanswered for long.
    pub(super) fn probe_silent(&mut self, now: Timestamp, name: &Arc<str>) {
        let rate = self.settings.probe_rate;
        if rate == 0.0 || !self.probe_gate.is_open(now) {
            return;
        }
        let Some(service) = self.services.get_mut(name) else { return };
        let silent = service.targets.values_mut().filter(|t| t.needs_report(now));
        for target in silent.filter(|t| t.may_probe(now, rate)) {
            target.record_probe(now, rate);
            self.probes.push(target.probe(now, name));
        }
    }
}
