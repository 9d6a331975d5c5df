//! Targets: servers with a fixed number of slots and variable service times that count every run of
//! a call.

mod control;
mod counters;
mod faults;
mod group;
mod noisy_neighbour;
mod options;
mod server;
mod slots;

pub use counters::{GroupReport, RunCounts, TargetCounts};
pub use faults::Faults;
pub use group::TargetGroup;
pub use noisy_neighbour::NoisyNeighbour;
pub use options::{Distribution, NoisyNeighbourOptions, TargetOptions};
