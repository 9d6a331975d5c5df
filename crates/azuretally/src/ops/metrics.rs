//! Prints the metrics of each entry.

use crate::core::{CliError, Context, Entries, split};
use error_stack::Report;

/// Prints the metrics of every entry, each after its address.
///
/// # Errors
///
/// [`CliError::Silent`] when an entry gave no answer.
pub fn metrics(context: &Context) -> Result<(), Report<CliError>> {
    let (answers, silent) = split(Entries::new(context)?.get_bytes("/metrics"));
    for (address, text) in answers {
        println!("# entry {address}\n{}", String::from_utf8_lossy(&text).trim_end());
    }
    match silent {
        0 => Ok(()),
        silent => Err(Report::new(CliError::Silent(silent))),
    }
}
