//! Rests that targets ask for: what answers say, and what follows for calls.

use super::{
    super::{
        call::AttemptResult,
        quarantine::ProcessId,
        service::Service,
        succession::AnswerTime,
        target::{RunningAttempt, Target},
    },
    Balancer,
};
use crate::Timestamp;
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Range of the time after the end of a rest over which callers that were refused come back, as a
/// fraction of the rest that is left, and its lower bound.
const RETURN_SPREAD: f64 = 0.25;
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(100);

impl Balancer {
    /// Records that an answer of `process`, listed as target `name`, asks for a rest of `time`. Returns
    /// whether that prolongs its rest. A process that has been listed under that name since then has not
    /// asked for it if it started later.
    pub fn record_rest(
        &mut self,
        at: AnswerTime,
        service: &str,
        name: &str,
        process: ProcessId,
        time: Duration,
    ) -> bool {
        let time = time.min(self.settings.max_rest);
        let Some(target) = self.speaker_mut(at, service, name, process) else { return false };
        if !target.rest.ask(at, time) {
            return false;
        }
        let line = format!("target {name} asked for rest, ms={}", time.as_millis());
        self.log_lines.push(line);
        true
    }

    /// Returns whether the request of call `id`, whose attempt at target `name` was decided earlier, may be
    /// sent now, and records that it is. A target that is not known any more has asked for nothing; one that
    /// has been listed as another process since may have kept the rest.
    pub fn begin_request(&mut self, now: Timestamp, service: &str, name: &str, id: u64) -> bool {
        let target = self.services.get_mut(service).and_then(|s| s.targets.get_mut(name));
        target.is_none_or(|target| target.begin_request(now, id))
    }

    /// Records that call `id` ends and that its attempts which still run are cancelled. [`Self::forget`] has to
    /// follow.
    pub fn abandon_attempts(&mut self, now: Timestamp, id: u64) {
        let Some(state) = self.calls.get(&id) else { return };
        let Some(service) = self.services.get_mut(&state.call.service) else { return };
        for name in &state.tried {
            let Some(target) = service.targets.get_mut(name) else { continue };
            for running in target.running.iter().filter(|r| r.call == id) {
                target.rest.abandon(now, running);
            }
        }
    }

    /// Records that `process`, listed as target `name`, has answered a request that was sent at `sent`. That ends
    /// the trial after a rest unless the answer asks for a further one, which has to be recorded before.
    pub fn record_answer_after_rest(
        &mut self,
        service: &str,
        name: &str,
        process: ProcessId,
        sent: Timestamp,
    ) {
        let Some(target) = self.process_mut(service, name, process) else { return };
        if target.rest.record_answer(sent) {
            self.log_lines.push(format!("target {name} serves again after its rest"));
        }
    }

    /// Returns the number of resting targets of each service.
    pub fn resting_targets(&self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.services.iter().map(move |(name, service)| (name, service.resting_count(now)))
    }

    /// Returns whether the rests of all targets keep the call waiting beyond its objective.
    pub(super) fn misses_rest(&self, now: Timestamp, id: u64) -> bool {
        let Some(state) = self.calls.get(&id) else { return false };
        let Some(left) = self.shortest_rest(now, id) else { return false };
        let run = Duration::from_secs_f64(self.typical_seconds(id));
        now + left + run > state.call.objective.min(state.call.deadline)
    }

    /// Returns the time after which a call may come back while all targets of its service rest, `None`
    /// if one does not. It is spread, so that callers do not return all at once.
    pub(super) fn rest_delay(&mut self, now: Timestamp, id: u64) -> Option<Duration> {
        let left = self.shortest_rest(now, id)?;
        let spread = left.mul_f64(RETURN_SPREAD).max(MIN_RETURN_SPREAD);
        Some(left + spread.mul_f64(self.random.random::<f64>()))
    }

    /// Ends the trial after a rest if the target has answered it otherwise than by a further rest.
    pub(super) fn end_rest_trial(
        &mut self,
        result: &AttemptResult,
        running: Option<&RunningAttempt>,
    ) {
        let Some(running) = running.filter(|_| result.outcome.is_answer()) else { return };
        let Some(state) = self.calls.get(&result.attempt.call) else { return };
        let service = Arc::clone(&state.call.service);
        let name = &result.attempt.target;
        self.record_answer_after_rest(&service, name, running.process, running.sent);
    }

    fn shortest_rest(&self, now: Timestamp, id: u64) -> Option<Duration> {
        let state = self.calls.get(&id)?;
        self.services.get(&state.call.service).and_then(|s: &Service| s.rest_left(now))
    }

    /// Returns the target `name` unless an answer that was booked to `process` comes from another one.
    pub(super) fn speaker_mut(
        &mut self,
        at: AnswerTime,
        service: &str,
        name: &str,
        process: ProcessId,
    ) -> Option<&mut Target> {
        let target = self.services.get_mut(service)?.targets.get_mut(name)?;
        target.may_have_said(at, process).then_some(target)
    }

    fn process_mut(
        &mut self,
        service: &str,
        name: &str,
        process: ProcessId,
    ) -> Option<&mut Target> {
        let target = self.services.get_mut(service)?.targets.get_mut(name)?;
        (target.process == process).then_some(target)
    }
}
