//! Trials of quarantined calls: which call becomes one, and when it is sent.

use super::{
    super::{
        quarantine::{CallDigest, ProcessId},
        trials::{MAX_RETRY_DELAY, TrialRole},
    },
    Balancer, MAX_WAIT_FRACTION,
};
use crate::Timestamp;
use rand::RngExt;
use std::time::Duration;

impl Balancer {
    /// Makes a quarantined call the trial of its content if one is due. Returns whether it has become the trial.
    pub(super) fn join_trial(&mut self, now: Timestamp, id: u64, digest: CallDigest) -> bool {
        // What a gateway that stops or is cut off sees proves nothing.
        if !self.makes_trials || self.is_cut_off() || self.drain_end != Timestamp::MAX {
            return false;
        }
        let Some(state) = self.calls.get(&id) else { return false };
        let deadline = state.call.deadline;
        let service = self.services.get(&state.call.service);
        if !service.is_some_and(|s| s.has_usable()) {
            return false;
        }
        let number = self.random.random();
        match self.quarantine.assign_trial(now, &digest, id, number) {
            TrialRole::Refused => return false,
            TrialRole::Chosen => {}
            TrialRole::Claimed => {
                self.log_lines.push(format!("call digest={digest} trial claimed"));
                self.note_change(digest);
            }
        }
        let start = self.quarantine.trial_start(now, &digest, id).unwrap_or(now);
        let needed = start.since(now).as_secs_f64() + self.typical_seconds(id);
        let is_in_time = needed <= deadline.since(now).as_secs_f64() * MAX_WAIT_FRACTION;
        if !is_in_time {
            // The next call of this content takes its place.
            self.quarantine.leave_trial(&digest, id);
        }
        is_in_time
    }

    /// Returns whether the call may be sent although its content is quarantined.
    pub(super) fn is_trial(&self, now: Timestamp, id: u64) -> bool {
        let Some(state) = self.calls.get(&id) else { return false };
        let marked = self.quarantined_digest(&state.call);
        marked.is_some_and(|digest| self.quarantine.trial_start(now, &digest, id).is_some())
    }

    /// Returns whether a quarantined call must not be sent now.
    pub(super) fn is_trial_held(&self, now: Timestamp, id: u64, digest: &CallDigest) -> bool {
        let Some(start) = self.quarantine.trial_start(now, digest, id) else { return true };
        // What goes on may acquit it without a trial.
        let is_checked = self.unrecorded(digest).any(|broken| !broken.is_kept());
        now < start || is_checked || self.is_running(id, digest)
    }

    /// Records that an attempt of the call starts, if its content is quarantined.
    pub(super) fn start_trial(&mut self, now: Timestamp, id: u64) {
        let Some(state) = self.calls.get(&id) else { return };
        let digests = state.call.digests;
        let claim = digests.iter().find_map(|digest| self.quarantine.claim_of(&digest, id));
        for digest in digests.iter() {
            if self.quarantine.is_quarantined(&digest)
                && self.quarantine.start_trial(now, &digest, id, claim)
            {
                self.log_lines.push(format!("call digest={digest} trial sent"));
                self.note_change(digest);
            }
        }
    }

    /// Forgets the evidence on a target that is alive, which says nothing of the trials that broke off there.
    pub(super) fn forget_living(&mut self, process: ProcessId) {
        let Some(broken) = self.broken.swap_remove(&process) else { return };
        for digest in broken.digests {
            if self.quarantine.survive_trial(&digest) {
                self.note_change(digest);
            }
        }
    }

    /// Records that an attempt of the call has reached no target that runs it.
    pub(super) fn restore_trial(&mut self, id: u64) {
        let Some(state) = self.calls.get(&id) else { return };
        for digest in state.call.digests.iter() {
            self.quarantine.restore_trial(&digest, id);
        }
    }

    /// Returns the delay after which a call that is quarantined may be served.
    pub(super) fn trial_delay(&self, now: Timestamp, id: u64) -> Duration {
        if !self.makes_trials {
            return MAX_RETRY_DELAY;
        }
        let digest = self.calls.get(&id).and_then(|state| self.quarantined_digest(&state.call));
        let delay = digest.and_then(|digest| self.quarantine.retry_delay(now, &digest));
        delay.unwrap_or_default()
    }
}
