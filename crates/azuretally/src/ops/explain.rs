//! `explain`: shows the record of one call.

use crate::{
    core::{CliError, Context, Entries, split_responses},
    util::text::{self, millis},
};
use azuretally_api::{
    admin::RecordPage,
    record::{CallRecord, RecordEntry, RecordLine},
};
use error_stack::{Report, ResultExt};

/// Prints all record lines of a call that the entries still have.
///
/// # Errors
///
/// Returns [`CliError::UnknownCall`] if no entry that responded has one,
/// [`CliError::NoEntryGiven`] if no entry is given, [`CliError::ReadFile`] if the token cannot be
/// read, [`CliError::Internal`] if the async runtime cannot be started or the output cannot be
/// formatted.
pub fn explain(context: &Context, call: &str) -> Result<(), Report<CliError>> {
    let path = format!("/records/{}", text::path_segment(call));
    let (responses, _) = split_responses(Entries::new(context)?.get::<RecordPage>(&path));
    let mut lines: Vec<RecordLine> = Vec::new();
    for line in responses.into_iter().flat_map(|(_, page)| page.lines) {
        // An entry and the peer with the copy return the same line.
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    if lines.is_empty() {
        return Err(Report::new(CliError::UnknownCall(call.to_owned())));
    }
    if context.json {
        let json = serde_json::to_string_pretty(&lines).change_context(CliError::Internal)?;
        println!("{json}");
        return Ok(());
    }
    for line in &lines {
        if let RecordEntry::Call(call) = &line.entry {
            print_call(line, call);
        }
    }
    Ok(())
}

fn print_call(line: &RecordLine, call: &CallRecord) {
    println!("{} line {} (incarnation {})", line.host, line.sequence, line.incarnation);
    println!("  operation  {}.{}", call.service, call.operation);
    println!("  class      {} under revision {}", call.class, call.revision);
    println!("  caller     {}", call.caller);
    if let Some(key) = &call.key {
        println!("  key        {key}");
    }
    let after_arrival = |us: u64| millis(us.saturating_sub(call.arrival_us));
    println!("  allowed    {}", after_arrival(call.deadline_us));
    match call.dispatch_us {
        Some(us) => println!("  waited     {} before it was last sent", after_arrival(us)),
        None => println!("  waited     never sent"),
    }
    if let Some(target) = &call.target {
        println!("  target     {target}, {} attempts", call.attempts);
    }
    if let Some(peer) = &call.peer {
        println!("  relayed    to {peer}");
    }
    let reason = call.reason.as_deref().map_or_else(String::new, |r| format!(" ({r})"));
    println!("  outcome    {}{reason} after {}", call.outcome.as_str(), after_arrival(call.end_us));
}
