//! Updates of target and service statistics from attempts and probes.

use super::{
    super::{
        call::{AttemptOutcome, AttemptResult, Failure, Probe, ProbeResult},
        target::{RunningAttempt, Target},
    },
    Balancer,
};
use crate::Timestamp;
use std::sync::Arc;

/// Age of an attempt, in multiples of the expected time, above which its target counts as silent.
const SILENT_AGE: f64 = 3.0;

impl Balancer {
    /// Records the result of a probe.
    pub fn probe_ended(&mut self, now: Timestamp, probe: &Probe, result: ProbeResult) {
        let Some(service) = self.services.get_mut(&probe.service) else { return };
        match result {
            ProbeResult::Report(report) => service.record_slowdown(report.slowdown),
            ProbeResult::NoReport => service.record_slowdown(None),
            ProbeResult::NoAnswer => {}
        }
        service.is_changed = true;
        let Some(target) = service.targets.get_mut(&probe.target) else { return };
        let (process, sent) = (target.process, target.probe_sent.take());
        target.alive |= result != ProbeResult::NoAnswer;
        match result {
            ProbeResult::Report(report) => {
                let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
                target.load.record_report(now, report, own);
                target.record_usage(now);
                target.unanswered_probes = 0;
            }
            ProbeResult::NoReport => target.unanswered_probes = 0,
            // The answer may have arrived.
            ProbeResult::NoAnswer if !self.probe_gate.is_open(now) => {}
            ProbeResult::NoAnswer => {
                target.record_unanswered_probe(now);
                self.reach.record_failure(now, &probe.target);
            }
        }
        if let Some(sent) = sent.filter(|_| result != ProbeResult::NoAnswer) {
            self.record_sign(now, process, sent);
        }
    }

    /// Records a failure of each target that has not answered the call for far longer than
    /// expected.
    pub(super) fn penalize_silent(&mut self, now: Timestamp, id: u64) {
        let Some(state) = self.calls.get(&id) else { return };
        let Some(service) = self.services.get_mut(&state.call.service) else { return };
        for name in &state.tried {
            let Some(target) = service.targets.get_mut(name) else { continue };
            let age = |r: &RunningAttempt| now.since(r.since).as_secs_f64();
            let silent =
                target.running.iter().any(|r| r.call == id && age(r) > r.expected * SILENT_AGE);
            if silent {
                target.record_failure(now, false);
            }
        }
    }

    /// Records the result of an attempt.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        running: Option<RunningAttempt>,
    ) {
        self.record_attempt_limit(now, result, running.as_ref());
        self.end_rest_trial(result, running.as_ref());
        let Some(state) = self.calls.get(&result.attempt.call) else { return };
        let route = Arc::clone(&state.call.route);
        let Some(service) = self.services.get_mut(&state.call.service) else { return };
        let answered = match result.outcome {
            AttemptOutcome::Answered { ok: true, bytes }
            | AttemptOutcome::Began { ok: true, bytes } => Some(bytes),
            _ => None,
        };
        if let (Some(bytes), Some(running)) = (answered, running) {
            service.record_answer(now, &route, &running, bytes);
        }
        if let Some(report) = result.report {
            service.record_slowdown(report.slowdown);
        } else if answered.is_some() {
            service.record_slowdown(None);
        }
        service.record_refusal(result.outcome == AttemptOutcome::Refused);
        if matches!(result.outcome, AttemptOutcome::Failed { .. }) {
            self.reach.record_failure(now, &result.attempt.target);
        }
        let base = service.base_seconds(&route);
        let Some(target) = service.targets.get_mut(&result.attempt.target) else { return };
        target.alive |=
            result.outcome.is_answer() && running.is_some_and(|r| r.process == target.process);
        record_target_result(now, target, result, running, base);
    }
}

fn record_target_result(
    now: Timestamp,
    target: &mut Target,
    result: &AttemptResult,
    running: Option<RunningAttempt>,
    base: f64,
) {
    if let Some(report) = result.report {
        let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
        target.load.record_report(now, report, own);
        target.record_usage(now);
    }
    match result.outcome {
        AttemptOutcome::Answered { ok: true, .. } | AttemptOutcome::Began { ok: true, .. } => {
            if let Some(running) = running {
                let usual = base * running.scale;
                target.load.record_answer(now, now.since(running.since).as_secs_f64() / usual);
            }
        }
        AttemptOutcome::Answered { ok: false, .. } | AttemptOutcome::Began { ok: false, .. } => {
            target.load.record_failure(now);
        }
        AttemptOutcome::Refused => target.load.record_refusal(now),
        AttemptOutcome::Moved => target.moved = true,
        AttemptOutcome::Withheld => {}
        AttemptOutcome::Failed { failure, .. } => {
            target.record_failure(now, failure == Failure::Connect)
        }
    }
}
