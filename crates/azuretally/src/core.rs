//! Types shared by commands and operations.

mod context;
mod entries;
mod error;
mod log_line;
mod shell;

pub use context::Context;
pub use entries::{Entries, Response};
pub use error::CliError;
pub use log_line::LogLine;

pub(crate) use entries::split_responses;
pub(crate) use shell::print_error;
