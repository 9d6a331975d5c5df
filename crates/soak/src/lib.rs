//! A randomized soak of real gateway processes on one machine.
//!
//! Gateways run as child processes in the project's own dialect; platform, targets and callers are
//! small stand-ins in this process. Faults come from outside the gateways: signals, a loopback proxy
//! on every link, and a platform and targets that misbehave. The promises are checked from what
//! callers and targets see.

// A soak that cannot set up its world has nothing to go on with.
#![allow(clippy::expect_used)]

mod callers;
mod faults;
mod ledger;
mod lines;
mod platform;
mod run;
mod targets;
mod world;

pub use run::{Options, Outcome, run};
