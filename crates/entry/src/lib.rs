//! The daemon that runs on each entry host.
//!
//! It takes calls over HTTP and forwards them to targets, answers callers that ask which entry to
//! use, shares state with the other entries, reads the platform and serves the administration API.
//! All decisions are made by `azuretally-policy`; this crate moves bytes, keeps time and obeys.

pub mod admin;
pub mod calls;
pub mod context;
pub mod control;
pub mod counts;
pub mod daemon;
mod error;
pub mod metrics;
pub mod record;
pub mod trace;
pub mod view;

pub use azuretally_gateway::{clock, socket};
pub use error::StartError;
