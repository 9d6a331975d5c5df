//! The life of one call, and what became of all of them, from the logs of gateways.

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

/// Time around a call in which changes of belief are shown with it, in ms.
const AROUND_MS: u64 = 2_000;
/// Calls that are named as examples of an outcome.
const EXAMPLES: usize = 3;

/// Prints the lines of call `id` in order of time, with what its gateways came to believe meanwhile.
///
/// # Errors
///
/// [`CliError::ReadFile`] when a log cannot be read, [`CliError::NoCall`] when none names the call.
pub fn trace(id: &str, logs: &[PathBuf]) -> Result<(), Report<CliError>> {
    let Read { lines, skipped } = read(logs)?;
    let own: Vec<&LogLine> = lines.iter().filter(|l| l.field("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Report::new(CliError::NoCall(id.to_owned())));
    };
    let targets: Vec<&str> = own.iter().filter_map(|l| l.field("target")).collect();
    let hosts: Vec<&str> = own.iter().map(|l| l.host.as_str()).collect();
    let is_near = |l: &&LogLine| {
        l.at + AROUND_MS >= first.at && l.at <= last.at && hosts.contains(&l.host.as_str())
    };
    let concerns = |l: &&LogLine| {
        l.text.starts_with("control:")
            && (targets.iter().any(|t| l.text.contains(t)) || l.text.contains("platform"))
    };
    for line in lines.iter().filter(|l| {
        l.field("id") == Some(id) || (is_near(l) && (concerns(l) || l.text.contains("settings")))
    }) {
        let offset = line.at as i64 - first.at as i64;
        println!("{offset:>+7} ms  {}  {}", line.host, line.text);
    }
    note_skipped(skipped);
    Ok(())
}

/// Prints how many calls ended in which way, with the reasons of those that were not answered.
///
/// # Errors
///
/// [`CliError::ReadFile`] when a log cannot be read.
pub fn outcomes(context: &Context, late_ms: u64, logs: &[PathBuf]) -> Result<(), Report<CliError>> {
    let Read { lines, skipped } = read(logs)?;
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
        let examples: Vec<&str> = ids.iter().take(EXAMPLES).copied().collect();
        table.add(vec![
            ids.len().to_string(),
            outcome.clone(),
            cause.clone(),
            route.clone(),
            examples.join(" "),
        ]);
    }
    print!("{table}");
    note_skipped(skipped);
    Ok(())
}

struct Read {
    lines: Vec<LogLine>,
    skipped: usize,
}

/// Reads logs into one list in order of time. Lines that are none of a gateway are counted.
fn read(logs: &[PathBuf]) -> Result<Read, Report<CliError>> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in logs {
        let failed = || CliError::ReadFile(path.clone());
        let mut file = BufReader::new(File::open(path).change_context_lazy(failed)?);
        let mut bytes = Vec::new();
        while file.read_until(b'\n', &mut bytes).change_context_lazy(failed)? > 0 {
            match LogLine::parse(String::from_utf8_lossy(&bytes).trim_end()) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
            bytes.clear();
        }
    }
    lines.sort_by_key(|l| l.at);
    Ok(Read { lines, skipped })
}

fn note_skipped(skipped: usize) {
    if skipped > 0 {
        eprintln!("note: {skipped} lines are none of a gateway");
    }
}
