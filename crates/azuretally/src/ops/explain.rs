//! Tells what became of one call.

use crate::{
    core::{CliError, Context, Entries, split},
    util::text::{self, millis},
};
use azuretally_api::{
    admin::RecordPage,
    record::{CallRecord, RecordEntry, RecordLine},
};
use error_stack::{Report, ResultExt};

/// Prints every record line of the call that any entry keeps.
///
/// # Errors
///
/// [`CliError::NoCall`] when no entry that answered keeps one.
pub fn explain(context: &Context, call: &str) -> Result<(), Report<CliError>> {
    let path = format!("/records/{}", text::path_segment(call));
    let (answers, _) = split(Entries::new(context)?.get::<RecordPage>(&path));
    let mut lines: Vec<RecordLine> = Vec::new();
    for line in answers.into_iter().flat_map(|(_, page)| page.lines) {
        // An entry and the peer that keeps a copy tell the same line.
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    if lines.is_empty() {
        return Err(Report::new(CliError::NoCall(call.to_owned())));
    }
    if context.json {
        let json = serde_json::to_string_pretty(&lines).change_context(CliError::Terminal)?;
        println!("{json}");
        return Ok(());
    }
    for line in &lines {
        if let RecordEntry::Call(call) = &line.entry {
            print(line, call);
        }
    }
    Ok(())
}

fn print(line: &RecordLine, call: &CallRecord) {
    println!("{} line {} (incarnation {})", line.host, line.sequence, line.incarnation);
    println!("  operation  {}.{}", call.service, call.operation);
    println!("  class      {} under revision {}", call.class, call.revision);
    println!("  caller     {}", call.caller);
    if let Some(key) = &call.key {
        println!("  key        {key}");
    }
    let since = |us: u64| millis(us.saturating_sub(call.arrival_us));
    println!("  allowed    {}", since(call.deadline_us));
    match call.dispatch_us {
        Some(us) => println!("  waited     {} before it was last sent", since(us)),
        None => println!("  waited     never sent"),
    }
    if let Some(target) = &call.target {
        println!("  target     {target}, {} attempts", call.attempts);
    }
    if let Some(peer) = &call.peer {
        println!("  relayed    to {peer}");
    }
    let reason = call.reason.as_deref().map_or_else(String::new, |r| format!(" ({r})"));
    println!("  outcome    {}{reason} after {}", call.outcome.as_str(), since(call.end_us));
}
