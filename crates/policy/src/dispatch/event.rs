//! Inputs and outputs of a dispatcher.

use super::config::{PeerSlots, ServiceConfig, TargetInfo};
use crate::Timestamp;
use std::{sync::Arc, time::Duration};

/// Identifier of a call, unique within one incarnation of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The part of a call that scheduling depends on.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the call.
    pub id: CallId,
    /// Caller, used for fair queueing within a class.
    pub caller: Arc<str>,
    /// Index into [`ServiceConfig::operations`].
    pub operation: usize,
    /// Time after which an answer is of no use.
    pub deadline: Timestamp,
    /// Whether the call may be relayed to a peer. False for calls that a peer relayed to this entry
    /// and for calls whose idempotency key binds them to this incarnation.
    pub relayable: bool,
    /// Whether the request body is still buffered, so that the call can be sent again.
    pub replayable: bool,
}

/// Load that a target reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of slots in use.
    pub busy: u32,
    /// Whether the target is draining and accepts no new calls.
    pub draining: bool,
}

/// What a response of a target says about the target itself, beside its load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Incarnation of the target, if the response names it.
    pub incarnation: Option<Arc<str>>,
    /// Time for which the target wants no further requests of this entry.
    pub rest: Option<Duration>,
    /// Whether the target is draining and accepts no new calls.
    pub draining: bool,
}

/// Reason why a target refused a call without executing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRefusal {
    /// All slots were in use.
    Busy,
    /// The target is draining.
    Draining,
}

/// How an attempt at a target or a relay to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection broke before the complete answer was received.
    Broken,
    /// The attempt timed out.
    Timeout,
    /// The own process was paused during the attempt, so its end says nothing about the target or
    /// peer.
    Paused,
}

/// An input to the dispatcher of one service.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrived(Call),
    /// A target answered the call.
    Answered {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// False if the answer reports a fault of the target (5xx).
        ok: bool,
        /// Time from dispatch until the head of the answer was received, including the body if the
        /// entry buffers it.
        elapsed: Duration,
        /// Load reported with the answer.
        report: Option<LoadReport>,
    },
    /// A target refused the call, which proves that it did not execute it.
    Refused {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// Reason for the refusal.
        refusal: TargetRefusal,
        /// Load reported with the refusal.
        report: Option<LoadReport>,
    },
    /// The head of a response of a target arrived. The event with the outcome of the call or probe
    /// follows.
    Noticed {
        /// Name of the target.
        target: Arc<str>,
        /// What the response says.
        notice: TargetNotice,
    },
    /// An attempt at a target or a relay to a peer failed.
    Failed {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target, or host name of the peer for a relayed call.
        target: Arc<str>,
        /// How the attempt failed.
        kind: FailureKind,
        /// Whether the call is known not to have been executed, because nothing of it was written
        /// to the target or peer.
        not_executed: bool,
    },
    /// A peer returned a relayed call without executing it. The call is queued again.
    PeerRefused {
        /// Identifier of the call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// A peer answered a relayed call. No action follows; the call is removed.
    PeerDone {
        /// Identifier of the call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// The caller disconnected.
    CallerDisconnected(CallId),
    /// A probe returned a load report, or failed.
    Probed {
        /// Name of the target.
        target: Arc<str>,
        /// Load report, or `None` if the probe failed.
        report: Option<LoadReport>,
    },
    /// New settings took effect.
    ConfigChanged(Arc<ServiceConfig>),
    /// The list of targets changed.
    TargetsChanged(Vec<TargetInfo>),
    /// The entry set of the service, or the number of free slots that its members report, changed.
    PeersChanged(Vec<PeerSlots>),
    /// The process was paused for at least this long, so that earlier observations are stale.
    ProcessPaused(Duration),
    /// The time returned by [`super::Dispatcher::next_wakeup`] was reached.
    Tick,
}

/// Reason why a call was refused without being executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The deadline cannot be met.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// No target is available.
    NoTarget,
    /// Every permitted attempt ended with proof that the call was not executed.
    Exhausted,
    /// The entry is stopping.
    Stopping,
}

impl RefusalReason {
    /// Returns the name used on the wire and in records.
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

/// Reason why the outcome of a call is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection broke after the call was written.
    Broken,
    /// No answer arrived in time.
    Timeout,
}

impl UnknownReason {
    /// Returns the name used on the wire and in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Timeout => "timeout",
        }
    }
}

/// An output of the dispatcher, to be carried out by the entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to a target.
    Dispatch {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target.
        target: Arc<str>,
        /// Attempt number, starting at 1.
        attempt: u32,
    },
    /// Relay the call to a peer of the entry set. A call is relayed at most once.
    Relay {
        /// Identifier of the call.
        call: CallId,
        /// Host name of the peer.
        peer: Arc<str>,
    },
    /// Refuse the call immediately; it was not executed.
    Refuse {
        /// Identifier of the call.
        call: CallId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Report to the caller that the outcome is unknown.
    Unknown {
        /// Identifier of the call.
        call: CallId,
        /// Reason why the outcome is unknown.
        reason: UnknownReason,
    },
    /// Cancel the attempt at the target or the relay to the peer, because another attempt was
    /// answered first or the caller disconnected.
    Cancel {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target, or host name of the peer for a relayed call.
        target: Arc<str>,
    },
    /// Probe the target for its load. A probe occupies the target for
    /// [`ServiceConfig::probe_cost`].
    Probe {
        /// Name of the target.
        target: Arc<str>,
    },
}
