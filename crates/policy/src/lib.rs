//! The decisions of azuretally, free of input and output.
//!
//! Every decision is a deterministic state machine: events and the current time go in, actions
//! come out. There is no clock, socket, thread, global or unseeded randomness in this crate, so
//! that property tests can drive long histories of faults in seconds and every decision can be
//! explained afterwards from its inputs.

pub mod balance;
pub mod chart;
pub mod dispatch;
pub mod fleet;
pub mod idempotency;
pub mod record;
pub mod time;

pub use time::Timestamp;
