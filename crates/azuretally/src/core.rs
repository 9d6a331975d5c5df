//! Types that commands and operations share.

mod context;
mod error;

pub use context::Context;
pub use error::CliError;
