//! Support for the process tests: brings up a fleet of real processes on loopback, makes calls as
//! callers do, injects faults and reads what the targets counted.
//!
//! Everything here may panic: it runs in tests alone, where a panic is the report.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod addresses;
mod binaries;
mod caller;
mod child;
mod crowd;
mod entry;
mod fleet;
mod settings;
mod wait;
mod web;

pub use addresses::Network;
pub use binaries::binary;
pub use caller::{Call, CallError, Caller, Reply};
pub use child::Child;
pub use crowd::{CompletedCall, LoadGenerator, OutcomeCounts, Workload};
pub use entry::Entry;
pub use fleet::{Fleet, FleetBuilder};
pub use settings::{PublishedSettings, ServiceSettings};
pub use wait::{DEFAULT_TIMEOUT, eventually};
