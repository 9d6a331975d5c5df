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
pub use fleet::TargetFleet;
pub use ledger::{LedgerReport, RunReport, Totals};
pub use options::{Distribution, ShiftOptions, TargetOptions};
pub use shift::Shift;
