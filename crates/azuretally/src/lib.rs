//! Command line of azuretally for operators.
//!
//! `commands` parses arguments, `ops` implements the commands, `core` holds the types that both
//! share, and `util` holds general-purpose helpers.

pub mod commands;
pub mod core;
pub mod ops;
pub mod util;

pub use commands::run;
