//! Process tests: real entries, targets and platform on loopback, with faults between them.

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
mod settings;
mod silence;
mod standins;
mod stop;
mod whole_path;
