//! Process tests: real entries, targets and platform on loopback, with faults between them.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod answers;
mod leaving;
mod measuring;
mod not_run;
mod operators;
mod silence;
mod standins;
mod whole_path;
