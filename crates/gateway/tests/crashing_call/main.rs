//! Calls that crash each target that begins to run them, and proper calls beside them.
//!
//! Real gateway processes serve callers over loopback; targets and the store run in the test. The
//! environment variable `AZURETALLY_CRASH_SEED` sets the seed.
#![allow(clippy::expect_used)]

#[path = "../planned_stop/call.rs"]
#[allow(dead_code)]
mod call;
mod caller;
mod deployment;
#[path = "../planned_stop/gateway.rs"]
#[allow(dead_code)]
mod gateway;
mod innocent;
#[path = "../planned_stop/network.rs"]
mod network;
mod once;
mod peer_link;
mod repeated;
mod run_log;
#[path = "../planned_stop/store.rs"]
mod store;
mod target;
