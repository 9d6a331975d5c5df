//! Stand-ins for the external systems of azuretally in tests and in the demo: the platform, targets
//! and a fault-injecting TCP proxy.
//!
//! Each stand-in counts the requests it receives, so that tests verify invariants against what
//! targets and platform observed, and do not rely on what entries report about themselves.

mod error;
pub mod http;
pub mod platform;
pub mod program;
pub mod proxy;
pub mod target;
mod timer;

pub use error::StandinError;
