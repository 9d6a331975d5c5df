//! What attempts and probes tell of their targets.

use super::{
    super::{
        call::{AttemptOutcome, AttemptResult, Failure, Probe, ProbeResult},
        target::{Running, Target},
    },
    Balancer,
};
use crate::Timestamp;
use std::sync::Arc;

/// Age of an attempt, in expected times, from which its target is taken for silent.
const SILENT_AGE: f64 = 3.0;

impl Balancer {
    /// A probe ended.
    pub fn probe_ended(&mut self, now: Timestamp, probe: &Probe, result: ProbeResult) {
        let Some(service) = self.services.get_mut(&probe.service) else { return };
        match result {
            ProbeResult::Report(report) => service.learn_pace(report.slowdown),
            ProbeResult::NoReport => service.learn_pace(None),
            ProbeResult::NoAnswer => {}
        }
        let Some(target) = service.targets.get_mut(&probe.target) else { return };
        target.probed = None;
        match result {
            ProbeResult::Report(report) => {
                let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
                target.load.report(now, report, own);
                target.unanswered = 0;
            }
            ProbeResult::NoReport => target.unanswered = 0,
            ProbeResult::NoAnswer => target.unanswered(now),
        }
    }

    /// Notes a failure of the targets that had far more time than the call should take there.
    pub(super) fn blame_silent(&mut self, now: Timestamp, id: u64) {
        let Some(entry) = self.calls.get(&id) else { return };
        let Some(service) = self.services.get_mut(&entry.call.service) else { return };
        for target in service.targets.values_mut() {
            let age = |r: &Running| now.since(r.since).as_secs_f64();
            let silent =
                target.running.iter().any(|r| r.call == id && age(r) > r.expected * SILENT_AGE);
            if silent {
                target.failed(now, false);
            }
        }
    }

    /// Learns from the end of an attempt.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        ending: &AttemptResult,
        running: Option<Running>,
    ) {
        let Some(entry) = self.calls.get(&ending.attempt.call) else { return };
        let route = Arc::clone(&entry.call.route);
        let Some(service) = self.services.get_mut(&entry.call.service) else { return };
        if let (AttemptOutcome::Answered { ok: true, bytes }, Some(running)) =
            (ending.outcome, running)
        {
            service.learn(now, &route, &running, bytes);
        }
        if let Some(report) = ending.report {
            service.learn_pace(report.slowdown);
        } else if matches!(ending.outcome, AttemptOutcome::Answered { ok: true, .. }) {
            service.learn_pace(None);
        }
        service.learn_refusal(ending.outcome == AttemptOutcome::Refused);
        let base = service.base(&route);
        let Some(target) = service.targets.get_mut(&ending.attempt.target) else { return };
        learn_target(now, target, ending, running, base);
    }
}

fn learn_target(
    now: Timestamp,
    target: &mut Target,
    ending: &AttemptResult,
    running: Option<Running>,
    base: f64,
) {
    if let Some(report) = ending.report {
        let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
        target.load.report(now, report, own);
    }
    match ending.outcome {
        AttemptOutcome::Answered { ok: true, .. } => {
            if let Some(running) = running {
                let usual = base * running.scale;
                target.load.answered(now, now.since(running.since).as_secs_f64() / usual);
            }
        }
        AttemptOutcome::Answered { ok: false, .. } => target.load.failed(now),
        AttemptOutcome::Refused => target.load.refused(now),
        AttemptOutcome::Moved => target.moved = true,
        AttemptOutcome::Failed { failure, .. } => target.failed(now, failure == Failure::Connect),
    }
}
