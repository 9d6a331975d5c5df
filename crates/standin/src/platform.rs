//! The platform's configuration service: published settings and the list of hosts.

mod counts;
mod server;
mod state;

pub use counts::{Counts, CountsReport};
pub use server::serve;
pub use state::{Faults, Platform, WriteError};
