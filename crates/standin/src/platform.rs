//! Stand-in for the configuration service of the platform, which publishes settings and the host
//! list.

mod counts;
mod server;
mod state;

pub use counts::{Counts, CountsReport};
pub use server::serve;
pub use state::{Copied, Faults, Platform, WriteError};
