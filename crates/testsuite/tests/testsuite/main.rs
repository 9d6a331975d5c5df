//! Process tests: real entries, targets and platform on loopback, with faults between them.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod operators;
mod standins;
