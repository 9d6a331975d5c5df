//! `metrics`: prints the metrics of each entry.

use crate::core::{CliError, Context, Entries, split_responses};
use error_stack::Report;

/// Prints the metrics of every entry below a comment line with its address.
///
/// # Errors
///
/// Returns [`CliError::NoResponse`] if an entry did not return a valid response,
/// [`CliError::NoEntryGiven`] if no entry is given, [`CliError::ReadFile`] if the token cannot be
/// read, [`CliError::Internal`] if the async runtime cannot be started.
pub fn metrics(context: &Context) -> Result<(), Report<CliError>> {
    let (responses, failed) = split_responses(Entries::new(context)?.get_bytes("/metrics"));
    for (address, text) in responses {
        println!("# entry {address}\n{}", String::from_utf8_lossy(&text).trim_end());
    }
    match failed {
        0 => Ok(()),
        failed => Err(Report::new(CliError::NoResponse(failed))),
    }
}
