//! Targets that ask gateways for rest, as they and callers see it on their sockets.
//!
//! A target answers 503 with `Retry-After`. Real gateway processes serve callers over loopback;
//! targets and the platform run in the test.
#![allow(clippy::expect_used)]

mod all_rest;
#[path = "../planned_stop/call.rs"]
#[allow(dead_code)]
mod call;
mod caller;
mod changes;
mod deployment;
#[path = "../planned_stop/gateway.rs"]
#[allow(dead_code)]
mod gateway;
#[path = "../planned_stop/network.rs"]
mod network;
#[path = "../restored_platform/platform.rs"]
#[allow(dead_code)]
mod platform;
mod progress;
mod some_rest;
mod target;
mod values;
mod verdict;
mod waves;
