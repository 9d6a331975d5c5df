//! Inputs and outputs of a dispatcher.

use super::config::{PeerSlots, ServiceConfig, TargetInfo};
use crate::Timestamp;
use std::{sync::Arc, time::Duration};

/// Number of a call, unique within one incarnation of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call as the dispatcher sees it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call.
    pub id: CallId,
    /// Who calls, for fairness inside a class.
    pub caller: Arc<str>,
    /// Index into [`ServiceConfig::operations`].
    pub operation: usize,
    /// After this the answer is of no use.
    pub deadline: Timestamp,
    /// Whether the call may go to a peer. False for calls that a peer relayed here and for calls
    /// whose idempotency key binds them to this incarnation.
    pub relayable: bool,
    /// Whether the request body is still at hand for a second try.
    pub replayable: bool,
}

/// Load that a target reported on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Whether the target asks for no new work.
    pub draining: bool,
}

/// Why a target refused a call without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRefusal {
    /// All slots were taken.
    Busy,
    /// The target is going away.
    Draining,
}

/// How an attempt at a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection was made.
    Connect,
    /// The connection broke before a whole answer had come.
    Broken,
    /// The time of the attempt ran out.
    Timeout,
}

/// Something that happened to one service at one entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call came in.
    Arrived(Call),
    /// A target answered. `ok` is false for answers that tell of a fault of the target (5xx).
    Answered {
        /// The call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// Whether the answer is one of a sound target.
        ok: bool,
        /// Time from dispatch to the head of the answer.
        elapsed: Duration,
        /// Load reported on the answer.
        report: Option<LoadReport>,
    },
    /// A target refused the call, which proves that it was not run there.
    Refused {
        /// The call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// Why.
        refusal: TargetRefusal,
        /// Load reported on the refusal.
        report: Option<LoadReport>,
    },
    /// An attempt failed.
    Failed {
        /// The call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// How.
        kind: FailureKind,
        /// True when nothing of the call had been written to the target.
        not_executed: bool,
    },
    /// The attempt of a relayed call at a peer ended there as not run; the call is back.
    PeerRefused {
        /// The call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// A peer finished a relayed call (answered or unknown); only the count changes.
    PeerDone {
        /// The call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// The caller went away.
    CallerDisconnected(CallId),
    /// A probe brought a load report, or failed.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// The report, absent after a failed probe.
        report: Option<LoadReport>,
    },
    /// New settings are in force.
    ConfigChanged(Arc<ServiceConfig>),
    /// The targets of the service changed.
    TargetsChanged(Vec<TargetInfo>),
    /// The entry set of the service, or what its members tell of their free slots, changed.
    PeersChanged(Vec<PeerSlots>),
    /// The process was paused for about this long: nothing known before may be relied upon.
    ProcessPaused(Duration),
    /// The time returned by [`super::Dispatcher::next_wakeup`] has come.
    Tick,
}

/// Why a call was refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The deadline cannot be met.
    Deadline,
    /// Too many calls wait already.
    QueueFull,
    /// No target is in use.
    NoTarget,
    /// Every permitted attempt ended in a proof of not run.
    Exhausted,
    /// The entry is stopping.
    Stopping,
}

impl RefusalReason {
    /// Name on the wire and in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::Exhausted => "exhausted",
            Self::Stopping => "stopping",
        }
    }
}

/// Why the outcome of a call is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection broke after the call had been written.
    Broken,
    /// No answer came in time.
    Timeout,
}

impl UnknownReason {
    /// Name on the wire and in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Timeout => "timeout",
        }
    }
}

/// What the entry has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to the target.
    Dispatch {
        /// The call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// 1 for the first attempt.
        attempt: u32,
    },
    /// Send the call to a peer of the set, once.
    Relay {
        /// The call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// Tell the caller at once that the call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Tell the caller that the outcome is unknown.
    Unknown {
        /// The call.
        call: CallId,
        /// Why.
        reason: UnknownReason,
    },
    /// Cancel the attempt at the target; another attempt won or the caller went away.
    Cancel {
        /// The call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
    },
    /// Ask the target for its load, at a cost to the target.
    Probe {
        /// Name of the target.
        target: Arc<str>,
    },
}
