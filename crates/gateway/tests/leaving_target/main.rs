//! Targets that say in their answers that they leave, while the platform lists them as ready.
//!
//! Real gateway processes serve callers over loopback; targets and the platform run in the test.
#![allow(clippy::expect_used)]

mod all_leave;
#[path = "../planned_stop/call.rs"]
#[allow(dead_code)]
mod call;
#[path = "../resting_target/caller.rs"]
#[allow(dead_code)]
mod caller;
mod changes;
#[path = "../resting_target/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../planned_stop/gateway.rs"]
#[allow(dead_code)]
mod gateway;
#[path = "../planned_stop/network.rs"]
mod network;
#[path = "../restored_platform/platform.rs"]
#[allow(dead_code)]
mod platform;
#[path = "../resting_target/progress.rs"]
mod progress;
mod some_leave;
#[path = "../resting_target/target.rs"]
#[allow(dead_code)]
mod target;
mod verdict;
