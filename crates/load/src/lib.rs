//! Load, demonstration and experiments for azuretally.
//!
//! What callers get can only be judged from the callers' side. This tool plays callers at a given
//! rate, whether or not answers come, and measures each call from the moment at which it was due,
//! so that a stalled system cannot hide the calls that it delays. It starts real entries and
//! stand-in targets for the demonstration and the experiments, and compares them in one run.

pub mod commands;
pub mod core;
pub mod ops;
pub mod util;
