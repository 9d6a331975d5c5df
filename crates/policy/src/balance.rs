//! Decisions of the gateway, which serves a platform that publishes routes and targets one by one.
//!
//! Several gateways share the same targets without telling each other of single calls, so what a
//! target reports on its answers counts for as much as what this gateway has sent there itself.

mod balancer;
mod beat;
mod budget;
mod call;
mod catalog;
mod load;
mod returning;
mod roster;
mod routes;
mod service;
mod split;
mod target;

pub use balancer::Balancer;
pub use beat::{Beat, Directions, Message, Outgoing, Phase};
pub use budget::WindowBudget;
pub use call::{
    Attempt, Call, Ending, Failure, GiveUp, Hedge, Limits, Order, Probe, ProbeResult, Start,
    Verdict,
};
pub use catalog::{Catalog, Change, Listed, Record, Snapshot, Source, Told};
pub use load::LoadReport;
pub use roster::{Roster, RosterBuilder};
pub use routes::{CallerLimits, Published, Route, RouteError, RouteTable, ServiceRule, Share};
pub use split::Split;
