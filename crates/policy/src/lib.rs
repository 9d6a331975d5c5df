//! Decision logic of azuretally, without I/O.
//!
//! Decisions are made by deterministic state machines that take events and the current time and
//! return actions. This crate uses no clock, socket, thread, global variable or unseeded
//! randomness, so property tests can run long histories of faults in seconds and every decision can
//! be explained afterwards from its inputs.

pub mod balance;
pub mod budget;
pub mod chart;
pub mod dispatch;
pub mod fleet;
pub mod idempotency;
pub mod record;
pub mod time;

pub use time::{Timestamp, UnixTime};
