//! The operators' command line of azuretally.
//!
//! `commands` parse arguments, `ops` do the work, `core` holds the types that they share and
//! `util` what has nothing to do with azuretally.

pub mod commands;
pub mod core;
pub mod ops;
pub mod util;

pub use commands::run;
