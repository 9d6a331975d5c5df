//! Process tests: real entries with stand-ins for targets and platform on loopback addresses, and
//! faults injected between them.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod answers;
mod at_most_once;
mod conservation;
mod control;
mod leaving;
mod limits;
mod measuring;
mod not_run;
mod operators;
mod peers;
mod resting;
mod restored;
mod settings;
mod silence;
mod standins;
mod stop;
mod stop_connections;
mod whole_path;
