//! Calls, attempts and probes: inputs and decisions of the balancer.

use super::{
    cold::ColdBound,
    limits::{LimitField, RequestRate},
    load::LoadReport,
    quarantine::{CallDigests, ProcessId},
    refusals::Origin,
    routes::Route,
};
use crate::Timestamp;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Settings of the balancer, taken from the local settings of the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerSettings {
    /// Extra attempts (retries and hedges) allowed per call.
    pub retry_ratio: f64,
    /// Additional extra attempts allowed to this gateway in each window.
    pub retry_slack: f64,
    /// Length of the window for the ratio and the slack.
    pub retry_window: Duration,
    /// Cost of sending 1 kB to another failure domain, as a fraction of the value of a call.
    pub crossing_cost: f64,
    /// Probes per second that this gateway may send to one target.
    pub probe_rate: f64,
    /// Longest rest that a target may ask for.
    pub max_rest: Duration,
    /// Bound on the requests to a cold target.
    pub cold_bound: ColdBound,
}

/// Request for the load of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Service of the target.
    pub service: Arc<str>,
    /// Name of the target.
    pub target: Arc<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Process of the target that the platform lists.
    pub process: ProcessId,
    /// Limit that the target has named, if any.
    pub limit: Option<RequestRate>,
    /// Whether the target has asked for rest.
    pub resting: bool,
    /// Whether the target is cold and may get only some requests.
    pub cold: bool,
}

impl Probe {
    /// Returns whether the target may only be connected to: a request would use up its limit or its rate
    /// while it is cold, or disturb its rest.
    pub fn is_silent(&self) -> bool {
        self.limit.is_some() || self.resting || self.cold
    }
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// The target reported its load.
    Report(LoadReport),
    /// The target answered without a load report.
    NoReport,
    /// No answer arrived in time.
    NoAnswer,
}

/// Decision on a hedge: a second attempt while the first one is still running.
#[derive(Clone, Debug, PartialEq)]
pub enum HedgeDecision {
    /// Start this attempt.
    Start(NewAttempt),
    /// Reconsider at this time.
    Later(Timestamp),
    /// The call gets no hedge.
    Never,
}

/// Call as it arrived at the gateway.
#[derive(Clone, Debug)]
pub struct Call {
    /// Call number, unique at this gateway.
    pub id: u64,
    /// Route that matched the call.
    pub route: Arc<Route>,
    /// Service that the call was assigned to.
    pub service: Arc<str>,
    /// Latency objective: an answer by then has its full value.
    pub objective: Timestamp,
    /// Deadline: a later answer has no value to the caller.
    pub deadline: Timestamp,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Whether the body is buffered, so that the call can be sent again.
    pub replayable: bool,
    /// Whether another gateway relayed the call and has counted it for the retry budget.
    pub relayed: bool,
    /// Hashes by which it is recognized when it comes again.
    pub digests: CallDigests,
}

impl Call {
    /// Returns the caller's address and the route name.
    pub(super) fn origin(&self) -> Origin {
        (self.caller, Arc::clone(&self.route.name))
    }
}

/// Identifies one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the call.
    pub call: u64,
    /// Name of the target.
    pub target: Arc<str>,
}

/// Attempt that the gateway has to send.
#[derive(Clone, Debug, PartialEq)]
pub struct NewAttempt {
    /// Name of the target.
    pub target: Arc<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Number of the attempt within the call, starting at 1.
    pub number: u32,
    /// When to consider a hedge, `None` if the call may not have one.
    pub hedge_at: Option<Timestamp>,
    /// Expected duration in ms, for the log.
    pub expected_ms: u64,
    /// Age of the target's latest load report in ms, for the log.
    pub report_ms: Option<u64>,
    /// Whether the target is in the failure domain of this gateway.
    pub same_domain: bool,
    /// Limit that the target has named, if any, for the log.
    pub limit: Option<RequestRate>,
    /// Process of the target that the platform lists.
    pub process: ProcessId,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It cannot be answered before its deadline.
    Deadline,
    /// The queue of the service is full.
    QueueFull,
    /// The service has no usable target.
    NoTarget,
    /// All targets that would be usable are in evacuated failure domains.
    Evacuated,
    /// All usable targets have named limits, which do not admit it before its deadline.
    Limited,
    /// All usable targets are cold and cannot handle it before its deadline.
    Cold,
    /// All usable targets have asked for rest, which does not end within its objective.
    Resting,
    /// All its attempts were refused by targets.
    Refused,
    /// A target may have run it, and it must not or cannot be sent again.
    Lost,
    /// It cannot be answered before the gateway stops.
    Stopping,
    /// Several targets ended while they ran a call of the same content.
    Quarantined,
}

impl GiveUpReason {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::Evacuated => "evacuated",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::Resting => "resting",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
        }
    }
}

/// What the gateway has to do for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send this attempt.
    Start(NewAttempt),
    /// Wait for the next decision.
    Wait,
    /// Deliver the answer that was received.
    Deliver,
    /// Tell the caller that the call was given up.
    GiveUp {
        /// Reason for giving up.
        reason: GiveUpReason,
        /// Whether the call is guaranteed not to have run at any target, nor to run later.
        not_run: bool,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Kind of transport failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Connect,
    /// The exchange broke off or the answer was malformed.
    Broken,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Answered {
        /// False if the answer reports a fault of the target (5xx).
        ok: bool,
        /// Size of the answer body in bytes.
        bytes: usize,
    },
    /// The beginning of an answer that is too long to be received first. [`Balancer::stream_ended`]
    /// follows, unless the caller leaves.
    ///
    /// [`Balancer::stream_ended`]: super::Balancer::stream_ended
    Began {
        /// False if the answer reports a fault of the target (5xx).
        ok: bool,
        /// Size of the beginning in bytes.
        bytes: usize,
    },
    /// The target guaranteed that it did not and will not run the call.
    Refused,
    /// Another process now uses the target's address.
    Moved,
    /// Nothing was sent: the target has asked for rest or said that it leaves, or its failure domain was
    /// evacuated, after the attempt was decided.
    Withheld,
    /// The exchange failed.
    Failed {
        /// Kind of failure.
        failure: Failure,
        /// Whether any part of the call may have reached the target, so that it may run it.
        sent: bool,
    },
}

impl AttemptOutcome {
    /// Returns whether the target that the call was sent to has answered, if only to refuse it.
    pub(super) const fn is_answer(self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Began { .. } | Self::Refused)
    }

    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { ok: true, .. } | Self::Began { ok: true, .. } => "answered",
            Self::Answered { ok: false, .. } | Self::Began { ok: false, .. } => "failed",
            Self::Refused => "refused",
            Self::Moved => "moved",
            Self::Withheld => "withheld",
            Self::Failed { failure: Failure::Connect, .. } => "unreachable",
            Self::Failed { sent: false, .. } => "not-sent",
            Self::Failed { sent: true, .. } => "broken",
        }
    }
}

/// End of the body of an answer that was passed on as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Hashes by which the call is recognized.
    pub digests: CallDigests,
    /// Service of the target.
    pub service: Arc<str>,
    /// Name of the target.
    pub target: Arc<str>,
    /// Process that the platform listed.
    pub process: ProcessId,
    /// When the attempt started.
    pub sent: Timestamp,
    /// Whether the whole body was received, or its connection broke off before.
    pub is_complete: bool,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Attempt that ended.
    pub attempt: Attempt,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Load report that came with the answer.
    pub report: Option<LoadReport>,
    /// What the answer says about the limit of the target.
    pub limit: LimitField,
}
