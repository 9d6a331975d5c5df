//! A soak test that injects random faults into real gateway processes on one machine.
//!
//! Gateways run as child processes with the native protocol; platform, targets and callers are
//! small stand-ins in this process. Faults are injected from outside the gateways: signals, a
//! loopback proxy on every link, and faulty platform and target stand-ins. The guarantees of the
//! gateways are checked against what callers and targets observe.

// The soak panics if it cannot set up its cluster: there is nothing to test without it.
#![allow(clippy::expect_used)]

mod callers;
mod checker;
mod cluster;
mod connection;
mod crashes;
mod departures;
mod faults;
mod limits;
mod logs;
mod partitions;
mod planned;
mod platform;
mod process;
mod restores;
mod rests;
mod run;
mod stops;
mod targets;
mod workload;

pub use crashes::CrashCounts;
pub use run::{Options, Report, run};
pub use stops::StopCounts;
pub use workload::Profile;
