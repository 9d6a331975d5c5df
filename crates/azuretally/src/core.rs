//! Types that commands and operations share.

mod context;
mod entries;
mod error;
mod log_line;
mod shell;

pub use context::Context;
pub use entries::{Answer, Entries};
pub use error::CliError;
pub use log_line::LogLine;

pub(crate) use entries::split;
pub(crate) use shell::print_error;
