//! A soak test that injects random faults into real gateway processes on one machine.
//!
//! Gateways run as child processes with the native protocol; platform, targets and callers are
//! small stand-ins in this process. Faults are injected from outside the gateways: signals, a
//! loopback proxy on every link, and faulty platform and target stand-ins. The guarantees of the
//! gateways are checked against what callers and targets observe.
//!
//! A run can begin with gateways of an older build, which are replaced one after the other. What such a
//! build cannot keep is listed in `upgrades`, and not checked at its gateways.

// The soak panics if it cannot set up its cluster: there is nothing to test without it.
#![allow(clippy::expect_used)]

mod added;
mod callers;
mod checker;
mod cluster;
mod connection;
mod crashes;
mod departures;
mod descriptors;
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
mod upgrades;
mod workload;

pub use added::AddedCounts;
pub use crashes::CrashCounts;
pub use descriptors::DescriptorError;
pub use run::{Options, Report, run};
pub use stops::StopCounts;
pub use upgrades::UpgradeCounts;
pub use workload::Profile;
