//! Asks an entry for the planned stop.

use crate::core::{CliError, Context, Entries, split};
use azuretally_api::admin::StopAnswer;
use error_stack::Report;

/// Finds the entry on `host` and asks it to stop once its calls in flight are finished.
///
/// # Errors
///
/// [`CliError::NoHost`] when no entry that answered runs on that host.
pub fn drain(context: &Context, host: &str) -> Result<(), Report<CliError>> {
    let entries = Entries::new(context)?;
    let (answers, _) = split(entries.status());
    let found = answers.iter().find(|(_, status)| status.host == host);
    let (address, _) = found.ok_or_else(|| Report::new(CliError::NoHost(host.to_owned())))?;
    let answer: StopAnswer = entries.post(*address, "/stop")?;
    println!("stopping: {}: {} calls in flight are finished first", answer.host, answer.in_flight);
    Ok(())
}
