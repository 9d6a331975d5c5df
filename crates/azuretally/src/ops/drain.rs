//! `drain`: starts the planned stop of an entry.

use crate::core::{CliError, Context, Entries, split_responses};
use azuretally_api::admin::StopAnswer;
use error_stack::Report;

/// Tells the entry on `host` to stop once its calls in flight are completed.
///
/// # Errors
///
/// Returns [`CliError::UnknownHost`] if no entry that responded runs on that host, or the error of
/// [`Entries::post`] if that entry does not accept the request.
pub fn drain(context: &Context, host: &str) -> Result<(), Report<CliError>> {
    let entries = Entries::new(context)?;
    let (responses, _) = split_responses(entries.status());
    let found = responses.iter().find(|(_, status)| status.host == host);
    let (address, _) = found.ok_or_else(|| Report::new(CliError::UnknownHost(host.to_owned())))?;
    let stop: StopAnswer = entries.post(*address, "/stop")?;
    println!("stopping: {}: {} calls in flight will be completed first", stop.host, stop.in_flight);
    Ok(())
}
