//! Load generator, demonstration and experiments for azuretally.
//!
//! The service that callers get can only be measured at the callers. This tool generates open-loop
//! load: it sends calls at a given rate, whether or not answers arrive, and measures the latency of
//! each call from the time at which it was scheduled, so that a stalled system cannot hide the
//! calls that it delays (coordinated omission). For the demonstration and the experiments it starts
//! real entries and stand-in targets, and it compares all variants of an experiment in one run.

pub mod commands;
pub mod core;
pub mod ops;
pub mod util;
