//! Gateway processes whose platform is restored from a copy, as callers see them on their sockets.
//!
//! A restored platform continues from an earlier revision and gives later ones out again. Gateways
//! that order its data by the revision alone drop what is new until the counter has passed the old
//! one.
#![allow(clippy::expect_used)]

mod caller;
mod deployment;
mod eras;
mod evacuation;
#[path = "../planned_stop/gateway.rs"]
#[allow(dead_code)]
mod gateway;
mod missing;
#[path = "../planned_stop/network.rs"]
mod network;
mod node;
mod operator;
mod overlap;
mod platform;
mod relayed;
mod restore;
mod target;
mod targets;
mod unreachable;
mod upgraded;
mod verdict;
