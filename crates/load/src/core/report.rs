//! Text output of results.

use super::stats::CallStats;
use crate::util::table;
use indexmap::IndexMap;
use std::sync::Arc;

/// Column titles of the table of calls.
const HEADER: [&str; 10] = [
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

/// Renders the table of calls by operation and outcome, followed by the reasons of calls that were
/// not answered. Latencies are in ms.
pub fn call_table(operation_stats: &IndexMap<Arc<str>, CallStats>, total: &CallStats) -> String {
    let mut rows: Vec<Vec<String>> = operation_stats.iter().map(|(name, t)| row(name, t)).collect();
    rows.push(row("all", total));
    let mut text = table::render(&HEADER, &rows);
    for (reason, count) in &total.reasons {
        text.push_str(&format!("  {count} calls ended with reason `{reason}`\n"));
    }
    text
}

fn row(name: &str, stats: &CallStats) -> Vec<String> {
    let worth = if stats.worth_sent > 0.0 { stats.worth / stats.worth_sent } else { 0.0 };
    vec![
        name.to_owned(),
        stats.sent.to_string(),
        stats.answered.to_string(),
        stats.not_run.to_string(),
        stats.unknown.to_string(),
        format!("{:.2}%", 100.0 * stats.in_time_share()),
        format!("{:.0} ({:.1}%)", stats.worth, 100.0 * worth),
        format!("{:.2}", stats.latency.p50),
        format!("{:.2}", stats.latency.p99),
        format!("{:.2}", stats.latency.p999),
    ]
}
