//! The gateway: azuretally for platforms that publish routes and targets one by one.
//!
//! A gateway is one process of one thread. It takes calls, tells callers which gateway to use,
//! exchanges heartbeats with the others and reads the platform. What a platform calls things is
//! the matter of an adapter that implements the traits in [`adapter`]; all decisions are made by
//! `azuretally_policy::balance`.

pub mod adapter;
pub mod calls;
pub mod clock;
pub mod control;
pub mod daemon;
mod error;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod native;
pub mod program;
pub mod settings;
pub mod socket;

pub use error::StartError;
