//! Decisions of the gateway, which serves a platform that publishes routes and targets one by one.
//!
//! Several gateways share the same targets without telling each other of single calls, so what a
//! target reports on its answers counts for as much as what this gateway has sent there itself.

mod balancer;
mod budget;
mod call;
mod catalog;
mod heartbeat;
mod load;
mod membership;
mod returning;
mod routes;
mod service;
mod split;
mod target;

pub use balancer::Balancer;
pub use budget::RetryBudget;
pub use call::{
    Attempt, AttemptOutcome, AttemptResult, BalancerSettings, Call, Decision, Failure,
    GiveUpReason, HedgeDecision, NewAttempt, Probe, ProbeResult,
};
pub use catalog::{Catalog, CatalogUpdate, Change, ListedTarget, Snapshot, Source, TargetRecord};
pub use heartbeat::{Directions, Heartbeat, Message, Outgoing, Phase};
pub use load::LoadReport;
pub use membership::{Membership, MembershipBuilder};
pub use routes::{
    CallerLimits, PublishedSettings, Route, RouteError, RouteTable, ServiceSettings, Share,
};
pub use split::TrafficSplit;
