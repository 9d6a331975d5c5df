//! Decision logic of a gateway for platforms that publish routes and targets individually.
//!
//! Several gateways share the same targets without exchanging information about single calls. The
//! load that a target reports in its answers therefore counts as much as the calls that this
//! gateway has sent to it.

mod admission;
mod answers;
mod balancer;
mod budget;
mod call;
mod catalog;
mod cold;
mod crashes;
mod evacuation;
mod heartbeat;
mod limits;
mod load;
mod membership;
mod probing;
mod quarantine;
mod queue;
mod reach;
mod records;
mod refusals;
mod rest;
mod restore;
mod revision;
mod routes;
mod service;
mod split;
mod succession;
mod target;
mod trials;

pub use balancer::Balancer;
pub use budget::RetryBudget;
pub use call::{
    Attempt, AttemptOutcome, AttemptResult, BalancerSettings, Call, Decision, Failure,
    GiveUpReason, HedgeDecision, NewAttempt, Probe, ProbeResult, StreamEnd,
};
pub use catalog::{Catalog, ListedTarget, Source};
pub use cold::{ColdBound, ColdRates, ColdShare};
pub use crashes::{CrashCheck, CrashEvidence};
pub use evacuation::EvacuationNotice;
pub use heartbeat::{
    Build, Directions, GatewayLoad, Heartbeat, HeartbeatExtension, MESSAGE_GENERATION, Message,
    Outgoing, Phase, ReadState,
};
pub use limits::{LimitField, LimitNotice, LimitShare, RequestRate};
pub use load::LoadReport;
pub use membership::{ColdAssignment, KnownData, LimitAssignment, Membership, MembershipBuilder};
pub use quarantine::{CallDigest, CallDigests, CallNotice, DigestParts, ProcessId};
pub use records::{CatalogUpdate, Change, Snapshot, TargetRecord};
pub use rest::UNREAD_ANSWER_TIME;
pub use revision::Revision;
pub use routes::{
    CallerLimits, LookupError, PublishedSettings, Route, RouteError, RouteTable, ServiceSettings,
    Share,
};
pub use split::TrafficSplit;
pub use succession::AnswerTime;
pub use trials::TrialNotice;
