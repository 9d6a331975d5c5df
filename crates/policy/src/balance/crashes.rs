//! Targets at which attempts broke off, until a check tells whether their process has ended.
//!
//! A broken attempt alone proves nothing: connections are reset, answers are lost and links are cut.
//! An end of the process is recorded only if the target accepts no new exchange either, twice, while
//! another target answers. If none does, the evidence is kept until targets answer again.

use super::{
    call::Probe,
    quarantine::{CallDigest, ProcessId},
};
use crate::Timestamp;
use indexmap::IndexSet;
use std::{sync::Arc, time::Duration};

/// Time after the first broken attempt in which the others at the same target mostly break off too if
/// its process has ended, and interval at which the target is looked at while they have not.
pub(super) const GATHER_TIME: Duration = Duration::from_millis(20);
/// Time after which a target that goes on with other attempts counts as alive.
pub(super) const MAX_GATHER_TIME: Duration = Duration::from_millis(250);
/// Interval at which a target is checked again while nothing can be proved.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which evidence that could not be proved at first is kept.
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Time for which it keeps the calls concerned from all targets: most are back by then.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Targets for which such evidence is kept.
pub(super) const MAX_KEPT: usize = 64;
/// Checks that may be in progress.
pub(super) const MAX_CHECKS: usize = 8;
/// Other targets that a check asks, to tell whether this gateway reaches any.
pub(super) const WITNESSES: usize = 4;

/// Check whether the process of a target has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    /// Process that may have ended.
    pub process: ProcessId,
    /// How to ask it.
    pub target: Probe,
    /// Other targets to ask, none if there are no others.
    pub witnesses: Vec<Probe>,
}

/// Result of a check whether the process of a target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The target answered, or accepts connections.
    Alive,
    /// The target answered nothing on new connections, or another process uses its address.
    Gone,
    /// No other target answered either, or this gateway was too late itself, so that nothing is proved.
    Unproved,
}

/// What is known of the end of a process at which attempts broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceState {
    /// No check has ended yet.
    Fresh,
    /// No target could be reached when it was checked.
    Unproved,
    /// The process has ended, but that showed late: whatever kept all targets from answering may have
    /// ended it. A proved crash of the same call confirms it.
    Late,
}

/// Target at which attempts broke off.
#[derive(Clone, Debug)]
pub(super) struct BrokenTarget {
    pub(super) service: Arc<str>,
    pub(super) name: Arc<str>,
    /// When the first attempt broke off.
    pub(super) since: Timestamp,
    /// Calls whose attempts broke off.
    pub(super) digests: IndexSet<CallDigest>,
    /// When to look whether it has to be checked.
    pub(super) next_look: Timestamp,
    pub(super) is_checking: bool,
    pub(super) state: EvidenceState,
}

impl BrokenTarget {
    pub(super) fn is_kept(&self) -> bool {
        self.state != EvidenceState::Fresh
    }

    /// Returns whether the evidence has been kept for too long.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        self.is_kept() && now >= self.expiry()
    }

    pub(super) fn expiry(&self) -> Timestamp {
        self.since + KEEP_TIME
    }

    /// Returns whether its calls must be sent to no target until another check.
    pub(super) fn holds_calls(&self, now: Timestamp) -> bool {
        self.state == EvidenceState::Unproved && now < self.since + HOLD_TIME
    }
}

/// Process whose end calls are suspected of.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccusedProcess {
    /// When its end became known.
    pub(super) since: Timestamp,
    /// When a later request was answered in its name.
    pub(super) answered: Option<Timestamp>,
}
