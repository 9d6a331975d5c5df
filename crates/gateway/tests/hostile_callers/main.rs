//! Callers that hold as much of a gateway's memory and as many of its connections as they can.
//!
//! A gateway process serves crowds of such callers over loopback. The tests check that the process
//! lives, that its memory and descriptors stay within its settings, and that an ordinary request is
//! answered. They run one at a time.
#![allow(clippy::expect_used)]

mod bodies;
#[path = "../planned_stop/call.rs"]
#[allow(dead_code)]
mod call;
mod control_ports;
mod crowd;
mod deployment;
#[path = "../planned_stop/gateway.rs"]
#[allow(dead_code)]
mod gateway;
mod heads;
#[path = "../planned_stop/network.rs"]
mod network;
mod ordinary;
mod pipelines;
mod slow;
#[path = "../planned_stop/store.rs"]
mod store;
#[path = "../planned_stop/target.rs"]
#[allow(dead_code)]
mod target;
mod usage;
