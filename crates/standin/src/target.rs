//! Targets: servers with a few slots whose service time shifts, which count every run.

mod control;
mod faults;
mod fleet;
mod ledger;
mod options;
mod server;
mod shift;
mod slots;

pub use faults::Faults;
pub use fleet::TargetGroup;
pub use ledger::{GroupReport, RunCounts, TargetCounts};
pub use options::{Distribution, NoisyNeighbourOptions, TargetOptions};
pub use shift::NoisyNeighbour;
