//! Limits of targets: what answers and other gateways say, and which gateway uses them.

use super::{
    super::{
        call::{AttemptOutcome, AttemptResult, Probe},
        limits::{LimitField, LimitNotice, LimitShare, Merged},
        target::{RunningAttempt, Target},
    },
    Balancer,
};
use crate::Timestamp;
use std::sync::Arc;

const MICROS_PER_MS: u64 = 1_000;

impl Balancer {
    /// Sets the time of [`Timestamp::default`] in ms since the Unix epoch, 0 by default. The versions of
    /// limits begin with the time.
    pub fn set_epoch(&mut self, epoch_ms: u64) {
        self.epoch_ms = epoch_ms;
    }

    /// Records the limit that the answer to a probe names. A probe that names none ends no limit.
    pub fn record_probe_limit(&mut self, now: Timestamp, probe: &Probe, field: LimitField) {
        if let LimitField::Named(_) = field {
            // A later limit may have become known since the probe was sent.
            self.observe_limit(now, &probe.service, &probe.target, field, 0);
        }
    }

    /// Records the limit that the answer to an attempt names, or that it names none any more.
    pub(super) fn record_attempt_limit(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        running: Option<&RunningAttempt>,
    ) {
        let executed = matches!(
            result.outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Began { .. }
        );
        // A target in need may leave the field out where it only refuses.
        if !result.outcome.is_answer() || (!executed && result.limit == LimitField::Absent) {
            return;
        }
        let Some(state) = self.calls.get(&result.attempt.call) else { return };
        let service = Arc::clone(&state.call.service);
        let known_version = running.map_or(0, |r| r.limit_version);
        self.observe_limit(now, &service, &result.attempt.target, result.limit, known_version);
    }

    /// Returns the limits that answers have changed since the last call, to be announced to the
    /// other gateways.
    pub fn take_limit_changes(&mut self) -> Vec<LimitNotice> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Returns whether [`Self::take_limit_changes`] has something to return.
    pub fn has_limit_changes(&self) -> bool {
        !self.limit_changes.is_empty()
    }

    /// Returns all limits in force.
    pub fn limits(&self) -> Vec<LimitNotice> {
        let targets = self.limited.iter().filter_map(|(s, t)| self.services.get(s)?.targets.get(t));
        targets.filter(|t| t.limit.rate().is_some()).map(notice_of).collect()
    }

    /// Adopts the limits that another gateway knows, where its knowledge is later. Returns what was
    /// news, and what the other gateway does not know yet.
    pub fn merge_limits(
        &mut self,
        now: Timestamp,
        notices: &[LimitNotice],
    ) -> (Vec<LimitNotice>, Vec<LimitNotice>) {
        let (mut adopted, mut outdated) = (Vec::new(), Vec::new());
        for notice in notices {
            let found = self
                .services
                .iter_mut()
                .find_map(|(name, s)| Some((name, s.targets.get_mut(&notice.target)?)));
            let Some((service, target)) = found else { continue };
            // A new process has named no limit yet.
            if target.started != notice.started {
                continue;
            }
            match target.limit.merge(now, notice) {
                Merged::Adopted => {
                    self.limited.insert((Arc::clone(service), Arc::clone(&target.name)));
                    self.log_lines.push(limit_line(target, "peer"));
                    adopted.push(notice.clone());
                }
                Merged::Same => {}
                Merged::Outdated => outdated.push(notice_of(target)),
            }
        }
        (adopted, outdated)
    }

    /// Returns whether any target names a limit or has named one.
    pub fn has_limits(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Sets the part of each limit that this gateway may use; `share_of` gets the failure domain and
    /// the name of a target.
    pub fn assign_limits<ShareOf>(&mut self, now: Timestamp, share_of: ShareOf)
    where
        ShareOf: Fn(&str, &str) -> LimitShare,
    {
        let services = &mut self.services;
        self.limited.retain(|(service, name)| {
            let target = services.get_mut(service).and_then(|s| s.targets.get_mut(name));
            let Some(target) = target.filter(|t| t.limit.version() > 0) else { return false };
            target.limit.set_share(now, share_of(&target.domain, &target.name));
            true
        });
    }

    /// Returns whether the limits of all targets keep the call waiting until its deadline, if
    /// `ahead` calls are admitted before it.
    pub(super) fn misses_limits(&self, now: Timestamp, id: u64, ahead: usize) -> bool {
        let Some(state) = self.calls.get(&id) else { return false };
        let service = self.services.get(&state.call.service);
        let Some(wait) = service.and_then(|s| s.limit_wait(now, ahead)) else { return false };
        wait + self.base_seconds(id) > state.call.deadline.since(now).as_secs_f64()
    }

    fn observe_limit(
        &mut self,
        now: Timestamp,
        service: &Arc<str>,
        name: &Arc<str>,
        field: LimitField,
        known_version: u64,
    ) {
        let target = self.services.get_mut(service).and_then(|s| s.targets.get_mut(name));
        let Some(target) = target else { return };
        // Later than what gateways know from before this one started.
        let first_version = self.epoch_ms + now.as_micros() / MICROS_PER_MS;
        if target.limit.observe(now, field, known_version, first_version) {
            self.limited.insert((Arc::clone(service), Arc::clone(name)));
            self.limit_changes.push(notice_of(target));
            self.log_lines.push(limit_line(target, "answer"));
        }
    }
}

fn notice_of(target: &Target) -> LimitNotice {
    LimitNotice {
        target: Arc::clone(&target.name),
        started: target.started,
        version: target.limit.version(),
        rate: target.limit.rate(),
    }
}

fn limit_line(target: &Target, source: &str) -> String {
    let rate = target.limit.rate().map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    format!(
        "target {} limit={rate} version={} source={source}",
        target.name,
        target.limit.version()
    )
}
