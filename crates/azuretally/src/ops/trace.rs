//! `trace` and `outcomes`: evaluate the logs of gateways.

use crate::{
    core::{CliError, Context, LogLine},
    util::table::Table,
};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
};

/// Time before the first line of a call from which related lines of its gateways are shown too.
const CONTEXT_MS: u64 = 2_000;
/// Maximum number of example calls listed in each row.
const MAX_EXAMPLES: usize = 3;

/// Prints the log lines of call `id` in order of time, together with lines that the same gateways
/// wrote shortly before or during the call: control lines about its targets or the platform, and
/// lines about settings.
///
/// # Errors
///
/// Returns [`CliError::ReadFile`] if a log cannot be read, [`CliError::UnknownCall`] if no line has
/// the id.
pub fn trace(id: &str, logs: &[PathBuf]) -> Result<(), Report<CliError>> {
    let ParsedLogs { lines, skipped } = read_logs(logs)?;
    let call_lines: Vec<&LogLine> = lines.iter().filter(|l| l.field("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (call_lines.first(), call_lines.last()) else {
        return Err(Report::new(CliError::UnknownCall(id.to_owned())));
    };
    let targets: Vec<&str> = call_lines.iter().filter_map(|l| l.field("target")).collect();
    let hosts: Vec<&str> = call_lines.iter().map(|l| l.host.as_str()).collect();
    let is_nearby = |l: &&LogLine| {
        l.time_ms + CONTEXT_MS >= first.time_ms
            && l.time_ms <= last.time_ms
            && hosts.contains(&l.host.as_str())
    };
    let is_related = |l: &&LogLine| {
        l.message.starts_with("control:")
            && (targets.iter().any(|t| l.message.contains(t)) || l.message.contains("platform"))
    };
    for line in lines.iter().filter(|l| {
        l.field("id") == Some(id)
            || (is_nearby(l) && (is_related(l) || l.message.contains("settings")))
    }) {
        let offset = line.time_ms as i64 - first.time_ms as i64;
        println!("{offset:>+7} ms  {}  {}", line.host, line.message);
    }
    print_skipped(skipped);
    Ok(())
}

/// Prints the number of calls by outcome, cause and route. Calls that were answered after more than
/// `late_ms` are counted separately.
///
/// # Errors
///
/// Returns [`CliError::ReadFile`] if a log cannot be read.
pub fn outcomes(context: &Context, late_ms: u64, logs: &[PathBuf]) -> Result<(), Report<CliError>> {
    let ParsedLogs { lines, skipped } = read_logs(logs)?;
    let mut groups: IndexMap<(String, String, String), Vec<&str>> = IndexMap::new();
    for line in &lines {
        let Some(outcome) = line.field("outcome") else { continue };
        let elapsed: u64 = line.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let outcome = match outcome {
            "answered" if elapsed > late_ms => "answered-late",
            outcome => outcome,
        };
        let cause = line.field("reason").or(line.field("status")).unwrap_or("-");
        let route = line.field("route").unwrap_or("-");
        let key = (outcome.to_owned(), cause.to_owned(), route.to_owned());
        groups.entry(key).or_default().push(line.field("id").unwrap_or("-"));
    }
    groups.sort_by(|_, a, _, b| b.len().cmp(&a.len()));
    if context.json {
        let rows: Vec<_> = groups
            .iter()
            .map(|((outcome, cause, route), ids)| {
                serde_json::json!({"outcome": outcome, "cause": cause, "route": route,
                    "calls": ids.len()})
            })
            .collect();
        println!("{}", serde_json::Value::from(rows));
        return Ok(());
    }
    let mut table = Table::new(&["calls", "outcome", "cause", "route", "examples"]);
    for ((outcome, cause, route), ids) in &groups {
        let examples: Vec<&str> = ids.iter().take(MAX_EXAMPLES).copied().collect();
        table.add(vec![
            ids.len().to_string(),
            outcome.clone(),
            cause.clone(),
            route.clone(),
            examples.join(" "),
        ]);
    }
    print!("{table}");
    print_skipped(skipped);
    Ok(())
}

struct ParsedLogs {
    lines: Vec<LogLine>,
    skipped: usize,
}

/// Reads and merges logs in order of time. Lines that are not of a gateway's log are only counted.
fn read_logs(logs: &[PathBuf]) -> Result<ParsedLogs, Report<CliError>> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in logs {
        let read_error = || CliError::ReadFile(path.clone());
        let mut file = BufReader::new(File::open(path).change_context_lazy(read_error)?);
        let mut bytes = Vec::new();
        while file.read_until(b'\n', &mut bytes).change_context_lazy(read_error)? > 0 {
            match LogLine::parse(String::from_utf8_lossy(&bytes).trim_end()) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
            bytes.clear();
        }
    }
    lines.sort_by_key(|l| l.time_ms);
    Ok(ParsedLogs { lines, skipped })
}

fn print_skipped(skipped: usize) {
    if skipped > 0 {
        eprintln!("note: {skipped} lines are not from a gateway log");
    }
}
