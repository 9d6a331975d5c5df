//! Calls that crash targets: evidence from attempts and checks, and what follows for other calls.

use super::{
    super::{
        call::{Attempt, AttemptOutcome, AttemptResult, Call, Failure, Probe, StreamEnd},
        crashes::{
            AccusedProcess, BrokenTarget, CrashCheck, CrashEvidence, EvidenceState, GATHER_TIME,
            MAX_CHECKS, MAX_GATHER_TIME, MAX_KEPT, RECHECK_INTERVAL, WITNESSES,
        },
        quarantine::{CRASH_LIMIT, CallDigest, CallNotice, ProcessId},
        target::{RunningAttempt, Target},
    },
    Balancer,
};
use crate::Timestamp;
use indexmap::IndexSet;
use rand::seq::IteratorRandom;
use std::{sync::Arc, time::Duration};

/// Time after an answer in the name of a process that was thought to have ended, after which its end
/// is withdrawn if the platform names no later process: a new one of the same name may have answered.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(2);
/// Interval at which calls that have not come again are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Interval at which the times in notices of calls are brought up to date.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Targets with unproved evidence on a call from which on it is tried at no other one.
const MAX_OPEN: usize = 2;
/// Broken attempts of one call after which it is not sent again while it is suspected.
const MAX_BROKEN: u32 = 2;

impl Balancer {
    /// Returns whether a call of this content must be sent to no target.
    pub fn is_quarantined(&self, digest: &CallDigest) -> bool {
        self.quarantine.is_quarantined(digest)
    }

    /// Returns the number of calls that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.quarantine.quarantined_count()
    }

    /// Returns when [`Self::take_crash_checks`] is due, [`Timestamp::MAX`] if no attempt broke off.
    pub fn crash_checks_due(&self) -> Timestamp {
        if self.broken.values().filter(|b| b.is_checking).count() >= MAX_CHECKS {
            return Timestamp::MAX;
        }
        let waiting = self.broken.values().filter(|b| !b.is_checking);
        waiting.map(|b| b.next_look).min().unwrap_or(Timestamp::MAX)
    }

    /// Sets whether this gateway may make trials of quarantined calls: gateways that do not know trials would
    /// not hear of its claims.
    pub fn allow_trials(&mut self, is_allowed: bool) {
        self.makes_trials = is_allowed;
    }

    /// Returns the checks that have to be made now. [`Self::crash_checked`] has to follow for each.
    pub fn take_crash_checks(&mut self, now: Timestamp) -> Vec<CrashCheck> {
        let mut checks = Vec::new();
        let due = |b: &BrokenTarget| !b.is_checking && now >= b.next_look;
        let processes: Vec<ProcessId> =
            self.broken.iter().filter(|(_, b)| due(b)).map(|(process, _)| *process).collect();
        for process in processes {
            if self.broken.values().filter(|b| b.is_checking).count() >= MAX_CHECKS {
                break;
            }
            if self.forget_evacuated(process) {
                continue;
            }
            let Some(broken) = self.broken.get(&process) else { continue };
            if broken.is_expired(now) {
                self.broken.swap_remove(&process);
                continue;
            }
            if self.is_cut_off() {
                self.keep_evidence(now, process);
                continue;
            }
            let (service, name, since) =
                (Arc::clone(&broken.service), Arc::clone(&broken.name), broken.since);
            let target = self.services.get(&service).and_then(|s| s.targets.get(&name));
            let Some(target) = target.filter(|t| t.is_usable()) else {
                // While nothing could be proved, its record may have lapsed.
                if broken.is_kept() && !target.is_some_and(Target::is_departing) {
                    self.process_ended(now, process);
                } else {
                    self.broken.swap_remove(&process);
                }
                continue;
            };
            if target.process != process {
                self.process_ended(now, process);
                continue;
            }
            // All connections end with the process.
            if target.running.iter().any(|r| r.process == process && r.since <= since) {
                if now >= since + MAX_GATHER_TIME {
                    self.forget_living(process);
                } else if let Some(broken) = self.broken.get_mut(&process) {
                    broken.next_look = now + GATHER_TIME;
                }
                continue;
            }
            let probe = target.probe(now, &service);
            let witnesses = self.choose_witnesses(now, process);
            checks.push(CrashCheck { process, target: probe, witnesses });
            if let Some(broken) = self.broken.get_mut(&process) {
                broken.is_checking = true;
            }
        }
        checks
    }

    /// Records the result of a check. Returns whether a process has ended while it ran calls.
    pub fn crash_checked(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        evidence: CrashEvidence,
    ) -> bool {
        if self.forget_evacuated(process) {
            return false;
        }
        let Some(broken) = self.broken.get_mut(&process) else { return false };
        broken.is_checking = false;
        match evidence {
            CrashEvidence::Alive => {
                self.forget_living(process);
                false
            }
            CrashEvidence::Gone if !self.is_cut_off() => self.process_ended(now, process),
            CrashEvidence::Gone | CrashEvidence::Unproved => {
                self.keep_evidence(now, process);
                false
            }
        }
    }

    /// Records that a process at which attempts broke off has ended. Returns whether that counts
    /// already.
    fn process_ended(&mut self, now: Timestamp, process: ProcessId) -> bool {
        let Some(broken) = self.broken.get(&process) else { return false };
        if broken.is_kept() && !self.is_confirmed(broken) {
            let expiry = broken.expiry();
            if let Some(broken) = self.broken.get_mut(&process) {
                broken.state = EvidenceState::Late;
                broken.next_look = expiry;
            }
            return false;
        }
        self.record_crash(now, process);
        self.confirm_late_evidence(now);
        self.settle_quarantine("check");
        true
    }

    /// Returns whether a call that broke off at the target has a crash that was proved.
    fn is_confirmed(&self, broken: &BrokenTarget) -> bool {
        broken.digests.iter().any(|digest| self.quarantine.crash_count(digest) > 0)
    }

    /// Records the ends of processes that showed late, where a crash of the same call has been proved
    /// since.
    fn confirm_late_evidence(&mut self, now: Timestamp) {
        let is_due = |b: &BrokenTarget| {
            b.state == EvidenceState::Late && !b.is_expired(now) && self.is_confirmed(b)
        };
        let due: Vec<ProcessId> =
            self.broken.iter().filter(|(_, b)| is_due(b)).map(|(process, _)| *process).collect();
        for process in due {
            self.record_crash(now, process);
        }
    }

    fn record_crash(&mut self, now: Timestamp, process: ProcessId) {
        let Some(broken) = self.broken.swap_remove(&process) else { return };
        // Other calls only ran beside the one that is suspected already.
        let counts = broken.digests.iter().map(|digest| self.quarantine.crash_count(digest));
        let most = counts.max().unwrap_or(0);
        for digest in broken.digests {
            if self.quarantine.crash_count(&digest) < most {
                continue;
            }
            self.quarantine.record(now, digest, process, broken.since);
            let count = self.quarantine.crash_count(&digest);
            self.log_lines.push(format!(
                "call digest={digest} crashed target {}, {count} of {CRASH_LIMIT}",
                broken.name
            ));
            self.note_change(digest);
        }
        self.accuse(now, process);
    }

    /// Keeps evidence that cannot be proved now, to be looked at again.
    fn keep_evidence(&mut self, now: Timestamp, process: ProcessId) {
        let Some(broken) = self.broken.get_mut(&process) else { return };
        broken.next_look = now + RECHECK_INTERVAL;
        if broken.is_kept() {
            return;
        }
        broken.state = EvidenceState::Unproved;
        self.log_lines.push(format!("crash of target {} unproved, kept", broken.name));
        let kept = || self.broken.iter().filter(|(_, b)| b.is_kept());
        if kept().count() > MAX_KEPT
            && let Some(oldest) = kept().min_by_key(|(_, b)| b.since).map(|(process, _)| *process)
        {
            self.broken.swap_remove(&oldest);
        }
    }

    /// Looks at the evidence that is kept as soon as possible.
    pub(super) fn check_kept_evidence(&mut self, now: Timestamp) {
        for broken in self.broken.values_mut().filter(|b| b.state == EvidenceState::Unproved) {
            broken.next_look = now;
        }
    }

    /// Forgets the evidence that is kept on targets which end as planned.
    pub(super) fn forget_departing(&mut self) {
        let services = &self.services;
        self.broken.retain(|process, broken| {
            let target = services.get(&broken.service).and_then(|s| s.targets.get(&broken.name));
            let target = target.filter(|t| t.process == *process);
            !broken.is_kept() || !target.is_some_and(Target::is_departing)
        });
    }

    /// Returns what is known of the calls that have changed since the last call, to be announced to
    /// the other gateways.
    pub fn take_call_changes(&mut self, now: Timestamp) -> Vec<CallNotice> {
        let changed = std::mem::take(&mut self.call_changes);
        changed.iter().filter_map(|digest| self.quarantine.notice(now, digest)).collect()
    }

    /// Returns whether [`Self::take_call_changes`] has something to return.
    pub fn has_call_changes(&self) -> bool {
        !self.call_changes.is_empty()
    }

    /// Returns what is known of all calls that are suspected or were.
    pub fn call_notices(&self, now: Timestamp) -> Vec<CallNotice> {
        self.quarantine.notices(now)
    }

    /// Like [`Self::call_notices`], but `None` if that has not changed since the last call of this
    /// method.
    pub fn take_call_notices(&mut self, now: Timestamp) -> Option<Vec<CallNotice>> {
        if !self.has_news && (self.quarantine.is_empty() || now < self.next_refresh) {
            return None;
        }
        self.has_news = false;
        self.next_refresh = now + REFRESH_INTERVAL;
        Some(self.call_notices(now))
    }

    /// Adopts what another gateway knows of calls. Returns what was news, and what the other gateway
    /// does not know yet.
    pub fn merge_calls(
        &mut self,
        now: Timestamp,
        notices: &[CallNotice],
    ) -> (Vec<CallNotice>, Vec<CallNotice>) {
        let (mut adopted, mut unknown) = (Vec::new(), Vec::new());
        for notice in notices {
            let digest = notice.digest;
            let comparison = self.quarantine.merge(now, notice);
            if comparison.is_news && self.is_answered_since_crash(&digest) {
                self.acquit(digest);
                continue;
            }
            let merged = self.quarantine.notice(now, &digest);
            if comparison.is_news {
                for (process, withdrawn) in &notice.crashes {
                    if !withdrawn {
                        self.accuse(now, *process);
                    }
                }
                self.has_news = true;
                adopted.extend(merged.clone());
            }
            if comparison.is_behind {
                unknown.extend(merged);
            }
        }
        if !adopted.is_empty() {
            self.confirm_late_evidence(now);
            self.settle_quarantine("peer");
        }
        (adopted, unknown)
    }

    /// Withdraws the ends of processes that turned out to be alive, and forgets calls that have not
    /// come again.
    pub fn review_crashes(&mut self, now: Timestamp) {
        let answered =
            |a: &AccusedProcess| a.answered.is_some_and(|at| now.since(at) >= WITHDRAWAL_DELAY);
        let due: Vec<ProcessId> =
            self.accused.iter().filter(|(_, a)| answered(a)).map(|(process, _)| *process).collect();
        for process in due {
            self.accused.swap_remove(&process);
            let targets = self.services.values().flat_map(|s| s.targets.values());
            if !targets.into_iter().any(|t| t.process == process && t.is_serving()) {
                continue;
            }
            for digest in self.quarantine.withdraw(process) {
                self.log_lines.push(format!("call digest={digest} crash withdrawn"));
                self.note_change(digest);
            }
            self.settle_quarantine("answer");
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            if self.quarantine.expire(now) {
                self.has_news = true;
                self.settle_quarantine("expiry");
            }
            let accused: IndexSet<ProcessId> = self.quarantine.accused().collect();
            self.accused.retain(|process, _| accused.contains(process));
        }
    }

    /// Returns the hash under which the call is quarantined, if it is.
    pub(super) fn quarantined_digest(&self, call: &Call) -> Option<CallDigest> {
        call.digests.iter().find(|digest| self.quarantine.is_quarantined(digest))
    }

    /// Returns the greatest [`Self::suspicion`] of the hashes of the call.
    pub(super) fn call_suspicion(&self, call: &Call) -> usize {
        call.digests.iter().map(|digest| self.suspicion(&digest)).max().unwrap_or(0)
    }

    /// Returns the number of processes that ended under the call, with those that are not checked yet.
    /// All that could not be proved counts as one.
    pub(super) fn suspicion(&self, digest: &CallDigest) -> usize {
        if self.quarantine.is_empty() && self.broken.is_empty() {
            return 0;
        }
        let (kept, fresh): (Vec<_>, Vec<_>) =
            self.unrecorded(digest).partition(|broken| broken.is_kept());
        self.quarantine.crash_count(digest) + fresh.len() + usize::from(!kept.is_empty())
    }

    /// Returns the targets at which the call broke off and whose end is not recorded.
    pub(super) fn unrecorded(&self, digest: &CallDigest) -> impl Iterator<Item = &BrokenTarget> {
        let broken = self.broken.iter().filter(|(process, broken)| {
            broken.digests.contains(digest) && !self.quarantine.has_crash(digest, process)
        });
        broken.map(|(_, broken)| broken)
    }

    /// Returns whether the call must wait: evidence that it crashes targets is to be looked at first, it
    /// would exceed the limit if the checks in progress confirm the suspicion, or another call of this
    /// content is at a target.
    pub(super) fn is_held(&self, now: Timestamp, id: u64) -> bool {
        let Some(state) = self.calls.get(&id) else { return false };
        if let Some(digest) = self.quarantined_digest(&state.call) {
            return self.is_trial_held(now, id, &digest);
        }
        state.call.digests.iter().any(|digest| match self.suspicion(&digest) {
            0 => false,
            CRASH_LIMIT.. => true,
            _ => self.awaits_check(now, &digest) || self.is_running(id, &digest),
        })
    }

    /// Returns whether the call must be sent to no target until the evidence that is kept on it has been
    /// looked at: a crash of it has been proved, or several targets are concerned. Calls that only ran beside
    /// one that is suspected more go on.
    fn awaits_check(&self, now: Timestamp, digest: &CallDigest) -> bool {
        let own = self.quarantine.crash_count(digest);
        let is_chief = |b: &&BrokenTarget| {
            b.digests.iter().all(|other| self.quarantine.crash_count(other) <= own)
        };
        let open = self.unrecorded(digest).filter(|b| b.holds_calls(now)).filter(is_chief).count();
        open >= MAX_OPEN || (open > 0 && own > 0)
    }

    /// Returns whether another call of the same content is at a target.
    pub(super) fn is_running(&self, id: u64, digest: &CallDigest) -> bool {
        let others = self.calls.iter().filter(|(other, _)| **other != id);
        others
            .into_iter()
            .any(|(_, s)| s.running > 0 && s.call.digests.iter().any(|d| d == *digest))
    }

    /// Returns whether the call is refused because it is quarantined.
    pub(super) fn is_call_quarantined(&self, now: Timestamp, id: u64) -> bool {
        let marked = self.calls.get(&id).and_then(|s| self.quarantined_digest(&s.call));
        marked.is_some_and(|digest| self.quarantine.trial_start(now, &digest, id).is_none())
    }

    /// Returns whether a call that broke off may be sent once more.
    pub(super) fn may_repeat(&self, call: &Call, broken: u32) -> bool {
        let suspicion = self.call_suspicion(call);
        suspicion < CRASH_LIMIT && (broken < MAX_BROKEN || suspicion < MAX_BROKEN as usize)
    }

    /// Records what the end of an attempt says about the process of its target.
    pub(super) fn record_evidence(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        running: Option<RunningAttempt>,
    ) {
        let Attempt { call, target: name } = &result.attempt;
        let Some(running) = running else { return };
        match result.outcome {
            AttemptOutcome::Answered { .. } => {
                self.record_sign(now, running.process, running.since);
                let Some(state) = self.calls.get(call) else { return };
                for digest in state.call.digests.iter() {
                    self.record_answer(now, digest);
                }
            }
            // The target may end before the end of the answer.
            AttemptOutcome::Began { .. } => self.record_sign(now, running.process, running.since),
            AttemptOutcome::Refused => {
                self.record_sign(now, running.process, running.since);
                self.restore_trial(*call);
            }
            AttemptOutcome::Failed { failure: Failure::Broken, sent: true } => {
                let Some(state) = self.calls.get(call) else { return };
                let (digests, service) =
                    (state.call.digests.iter(), Arc::clone(&state.call.service));
                if self.record_break(now, service, name, running.process, digests)
                    && let Some(state) = self.calls.get_mut(call)
                {
                    state.broken += 1;
                }
            }
            AttemptOutcome::Moved
            | AttemptOutcome::Withheld
            | AttemptOutcome::Failed { sent: false, .. } => self.restore_trial(*call),
            AttemptOutcome::Failed { .. } => {}
        }
    }

    /// Records how the body of an answer has ended whose beginning was [`AttemptOutcome::Began`].
    pub fn stream_ended(&mut self, now: Timestamp, end: &StreamEnd) {
        let digests = end.digests.iter();
        if end.is_complete {
            self.record_sign(now, end.process, end.sent);
            for digest in digests {
                self.record_answer(now, digest);
            }
        } else {
            self.record_break(now, Arc::clone(&end.service), &end.target, end.process, digests);
        }
    }

    /// Records that a target has answered a call of this content completely.
    fn record_answer(&mut self, now: Timestamp, digest: CallDigest) {
        self.broken.retain(|_, broken| {
            broken.digests.swap_remove(&digest);
            !broken.is_kept() || !broken.digests.is_empty()
        });
        self.answers.record(now, digest);
        self.acquit(digest);
    }

    /// Records that the call broke off at `process` of the target. Returns whether that may be evidence.
    fn record_break<Digests>(
        &mut self,
        now: Timestamp,
        service: Arc<str>,
        name: &Arc<str>,
        process: ProcessId,
        digests: Digests,
    ) -> bool
    where
        Digests: Iterator<Item = CallDigest>,
    {
        let target = self.services.get(&service).and_then(|s| s.targets.get(name));
        // One that has not been seen alive may have ended before the call.
        if !target.is_some_and(|t| t.is_usable() && t.alive) {
            return false;
        }
        // A gateway that stops sends targets nothing that it does not have to.
        if self.drain_end != Timestamp::MAX {
            return false;
        }
        let broken = self.broken.entry(process).or_insert_with(|| BrokenTarget {
            service,
            name: Arc::clone(name),
            since: now,
            digests: IndexSet::new(),
            next_look: now + GATHER_TIME,
            is_checking: false,
            state: EvidenceState::Fresh,
        });
        broken.digests.extend(digests);
        if self.is_cut_off() {
            self.keep_evidence(now, process);
        }
        true
    }

    /// Records that a request which was sent at `sent` has been answered in the name of `process`.
    pub(super) fn record_sign(&mut self, now: Timestamp, process: ProcessId, sent: Timestamp) {
        if self.broken.get(&process).is_some_and(|broken| sent > broken.since) {
            self.forget_living(process);
        }
        if let Some(accused) = self.accused.get_mut(&process).filter(|a| sent > a.since) {
            accused.answered.get_or_insert(now);
        }
    }

    /// Returns whether a target has answered the call since it crashed one for the last time.
    fn is_answered_since_crash(&self, digest: &CallDigest) -> bool {
        let crashed = self.quarantine.latest_event(digest);
        crashed.is_some_and(|crashed| self.answers.is_answered_since(digest, crashed))
    }

    /// Records that a target answered the call.
    fn acquit(&mut self, digest: CallDigest) {
        if self.quarantine.acquit(&digest) {
            self.log_lines.push(format!("call digest={digest} acquitted"));
            self.note_change(digest);
            self.settle_quarantine("answer");
        }
    }

    pub(super) fn note_change(&mut self, digest: CallDigest) {
        self.has_news = true;
        self.call_changes.insert(digest);
    }

    fn accuse(&mut self, now: Timestamp, process: ProcessId) {
        let accused = AccusedProcess { since: now, answered: None };
        self.accused.entry(process).or_insert(accused);
    }

    /// Decides anew which calls are quarantined.
    fn settle_quarantine(&mut self, source: &str) {
        for (digest, is_quarantined) in self.quarantine.settle() {
            let change = if is_quarantined { "quarantined" } else { "released" };
            self.log_lines.push(format!("call digest={digest} {change} source={source}"));
        }
    }

    fn choose_witnesses(&mut self, now: Timestamp, process: ProcessId) -> Vec<Probe> {
        let is_askable = |t: &Target| t.process != process && t.is_askable(now);
        let targets = self.services.iter().flat_map(|(name, service)| {
            let askable = service.targets.values().filter(|t| is_askable(t));
            askable.map(move |target| target.probe(now, name))
        });
        targets.sample(&mut self.random, WITNESSES)
    }
}
