//! The daemon that runs on each entry host.
//!
//! It accepts calls over HTTP and forwards them to targets, tells callers which entry to use,
//! exchanges state with the other entries, watches the platform and serves the administration API.
//! All decisions are made by the state machines of `azuretally-policy`; this crate does the I/O,
//! reads the clock and carries out their actions.

pub mod admin;
pub mod calls;
pub mod context;
pub mod control;
pub mod counts;
pub mod daemon;
mod error;
pub mod metrics;
pub mod record;
pub mod trace;
pub mod view;

pub use azuretally_gateway::{clock, signals, socket};
pub use error::StartError;
