//! Decisions of the gateway, which serves a platform that publishes routes and targets one by one.
//!
//! Several gateways share the same targets without telling each other of single calls, so what a
//! target reports on its answers counts for as much as what this gateway has sent there itself.

mod balancer;
mod budget;
mod catalog;
mod load;
mod roster;
mod routes;
mod service;
mod split;

pub use balancer::{
    Attempt, Balancer, Call, Ending, Failure, GiveUp, Hedge, Limits, Order, Probe, Report, Start,
    Verdict,
};
pub use budget::WindowBudget;
pub use catalog::{Catalog, Change, Listed, Record, Snapshot, Source, Told};
pub use load::LoadReport;
pub use roster::{Beat, Directions, Message, Outgoing, Phase, Roster, RosterBuilder};
pub use routes::{CallerLimits, Published, Route, RouteError, RouteTable, ServiceRule, Share};
pub use split::Split;
