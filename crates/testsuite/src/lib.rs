//! Harness of the process tests: starts a fleet of real processes on loopback addresses, makes
//! calls as callers do, injects faults and reads the counters of the targets.
//!
//! The harness runs only in tests, so it panics instead of returning errors.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod addresses;
mod binaries;
mod caller;
mod child;
mod entry;
mod eventually;
mod fleet;
mod load_generator;
mod raw;
mod settings;
mod web;

pub use addresses::Network;
pub use binaries::binary;
pub use caller::{Call, CallError, Caller, Reply};
pub use child::Child;
pub use entry::Entry;
pub use eventually::{DEFAULT_TIMEOUT, eventually};
pub use fleet::{Fleet, FleetBuilder};
pub use load_generator::{CompletedCall, LoadGenerator, OutcomeCounts, Workload};
pub use raw::{RawAnswer, RawReader, RawWriter, connect};
pub use settings::{PublishedSettings, ServiceSettings};
