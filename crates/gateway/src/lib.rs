//! Gateway: a load balancer for platforms that publish routes and targets as individual records.
//!
//! A gateway is one single-threaded process. It forwards calls to targets, tells callers which
//! gateway to use, exchanges heartbeats with the other gateways and reads the platform's store.
//! The names and formats of a platform are handled by an adapter that implements the traits in
//! [`adapter`]. All balancing decisions are made by `azuretally_policy::balance`.

pub mod adapter;
pub mod budget;
pub mod calls;
pub mod clock;
pub mod control;
pub mod daemon;
mod error;
pub mod gateway;
pub mod http;
pub mod load_meter;
pub mod logging;
pub mod metrics;
pub mod native;
pub mod program;
pub mod settings;
pub mod signals;
pub mod socket;
pub mod stop;

pub use error::StartError;
