//! Calls, and what the balancer is told and orders about them.

use super::{load::LoadReport, returning::Origin, routes::Route};
use crate::Timestamp;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Limits that come from local settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerSettings {
    /// Second tries allowed per call.
    pub retry_ratio: f64,
    /// Second tries allowed in each window besides, for this gateway.
    pub retry_slack: f64,
    /// Window of the two.
    pub retry_window: Duration,
    /// Part of a call's worth that 1 kB to another failure domain costs.
    pub crossing_cost: f64,
    /// Probes that one target may get from this gateway in a second.
    pub probe_rate: f64,
}

/// Order to ask a target for its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Service of the target.
    pub service: Arc<str>,
    /// Name of the target.
    pub target: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// The target told its load.
    Report(LoadReport),
    /// The target answered and told nothing of its load.
    NoReport,
    /// No answer of the target came in time.
    NoAnswer,
}

/// What becomes of a second attempt beside the first one.
#[derive(Clone, Debug, PartialEq)]
pub enum HedgeDecision {
    /// Start it.
    Start(NewAttempt),
    /// Look again at this time.
    Later(Timestamp),
    /// There will be none.
    Never,
}

/// A call as it arrived.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number, unique at this gateway.
    pub id: u64,
    /// Route that it took.
    pub route: Arc<Route>,
    /// Service that takes it.
    pub service: Arc<str>,
    /// Until when an answer has its full worth.
    pub objective: Timestamp,
    /// Until when an answer is of use.
    pub deadline: Timestamp,
    /// Where it comes from.
    pub caller: IpAddr,
    /// Whether its body is at hand for a second try.
    pub replayable: bool,
}

impl Call {
    /// Where it comes from, and its route.
    pub(super) fn origin(&self) -> Origin {
        (self.caller, Arc::clone(&self.route.name))
    }
}

/// Identifies one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The call.
    pub call: u64,
    /// Name of the target.
    pub target: Arc<str>,
}

/// Order to send a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct NewAttempt {
    /// Name of the target.
    pub target: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// 1 for the first attempt of the call.
    pub number: u32,
    /// When a second attempt beside this one is to be considered.
    pub hedge_at: Option<Timestamp>,
    /// Expected time in ms, for the log.
    pub expected_ms: u64,
    /// Age of the target's latest report on its load in ms, for the log.
    pub report_ms: Option<u64>,
    /// Whether the target is in the failure domain of this gateway.
    pub same_domain: bool,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It cannot end before its deadline.
    Deadline,
    /// Too many calls wait.
    QueueFull,
    /// No target of the service may be used.
    NoTarget,
    /// Every target that it was sent to refused it.
    Refused,
    /// It may have run, and must not or cannot be sent again.
    Lost,
}

impl GiveUpReason {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }
}

/// What has to be done for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Start(NewAttempt),
    /// Wait for the next order.
    Wait,
    /// Deliver the answer at hand.
    Deliver,
    /// Tell the caller that it is given up.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// Whether no target can have run it, now or later.
        not_run: bool,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made.
    Connect,
    /// The exchange broke off or was not understood.
    Broken,
}

/// What a target said or did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer; `ok` is false where the target itself failed.
    Answered {
        /// Whether the target is sound.
        ok: bool,
        /// Bytes of both bodies.
        bytes: usize,
    },
    /// It said that it did not and will not run the call.
    Refused,
    /// Another process has its address.
    Moved,
    /// The exchange failed; `sent` tells whether any of the call may have reached the target.
    Failed {
        /// How.
        failure: Failure,
        /// Whether the target may run it.
        sent: bool,
    },
}

impl AttemptOutcome {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { ok: true, .. } => "answered",
            Self::Answered { ok: false, .. } => "failed",
            Self::Refused => "refused",
            Self::Moved => "moved",
            Self::Failed { failure: Failure::Connect, .. } => "unreachable",
            Self::Failed { sent: false, .. } => "not-sent",
            Self::Failed { sent: true, .. } => "broken",
        }
    }
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt.
    pub attempt: Attempt,
    /// What came of it.
    pub outcome: AttemptOutcome,
    /// Load that the target reported.
    pub report: Option<LoadReport>,
}
