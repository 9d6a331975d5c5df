//! Text of results.

use super::score::Tally;
use crate::util::table;
use indexmap::IndexMap;
use std::sync::Arc;

const HEAD: [&str; 10] = [
    "operation",
    "sent",
    "answered",
    "not run",
    "unknown",
    "in time",
    "worth",
    "p50",
    "p99",
    "p99.9",
];

/// Table of calls by operation and outcome; latencies in ms.
pub fn calls(tallies: &IndexMap<Arc<str>, Tally>, total: &Tally) -> String {
    let mut rows: Vec<Vec<String>> = tallies.iter().map(|(name, t)| row(name, t)).collect();
    rows.push(row("all", total));
    let mut text = table::lay_out(&HEAD, &rows);
    for (reason, count) in &total.reasons {
        text.push_str(&format!("  {count} calls ended with reason `{reason}`\n"));
    }
    text
}

fn row(name: &str, tally: &Tally) -> Vec<String> {
    let worth = if tally.worth_sent > 0.0 { tally.worth / tally.worth_sent } else { 0.0 };
    vec![
        name.to_owned(),
        tally.sent.to_string(),
        tally.answered.to_string(),
        tally.not_run.to_string(),
        tally.unknown.to_string(),
        format!("{:.2}%", 100.0 * tally.in_time_share()),
        format!("{:.0} ({:.1}%)", tally.worth, 100.0 * worth),
        format!("{:.2}", tally.latency.p50),
        format!("{:.2}", tally.latency.p99),
        format!("{:.2}", tally.latency.p999),
    ]
}
