//! Shows the state of each entry.

use crate::{
    core::{CliError, Context, Entries, split},
    util::{table::Table, text},
};
use azuretally_api::admin::{CallCounts, EntryStatus};
use error_stack::{Report, ResultExt};

/// Prints the state of every entry.
///
/// # Errors
///
/// [`CliError::Silent`] when an entry gave no answer.
pub fn status(context: &Context) -> Result<(), Report<CliError>> {
    let (answers, silent) = split(Entries::new(context)?.status());
    let states: Vec<EntryStatus> = answers.into_iter().map(|(_, status)| status).collect();
    if context.json {
        let json = serde_json::to_string_pretty(&states).change_context(CliError::Terminal)?;
        println!("{json}");
    } else {
        print!("{}", table(&states));
        print_refused(&states);
    }
    match silent {
        0 => Ok(()),
        silent => Err(Report::new(CliError::Silent(silent))),
    }
}

/// Counters of all operations together.
pub(super) fn totals(status: &EntryStatus) -> CallCounts {
    let mut sum = CallCounts::default();
    for counts in status.calls.values() {
        sum.taken += counts.taken;
        sum.answered += counts.answered;
        sum.not_run += counts.not_run;
        sum.unknown += counts.unknown;
        sum.in_flight += counts.in_flight;
        sum.in_time += counts.in_time;
    }
    sum
}

fn table(states: &[EntryStatus]) -> Table {
    let mut table = Table::new(&[
        "HOST",
        "DOMAIN",
        "STATE",
        "REVISION",
        "PRESET",
        "SINCE",
        "TAKEN",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN",
        "IN FLIGHT",
        "PEERS",
    ]);
    for status in states {
        let sum = totals(status);
        table.add(vec![
            status.host.clone(),
            status.failure_domain.clone(),
            status.state.clone(),
            status.revision.to_string(),
            status.preset.clone(),
            text::duration(status.in_force_ms),
            sum.taken.to_string(),
            sum.answered.to_string(),
            sum.not_run.to_string(),
            sum.unknown.to_string(),
            sum.in_flight.to_string(),
            status.peers.len().to_string(),
        ]);
    }
    table
}

/// Why an entry did not take a newer revision.
fn print_refused(states: &[EntryStatus]) {
    for status in states {
        if let Some(refused) = &status.refused {
            println!("{} refused revision {}:", status.host, refused.revision);
            refused.reason.lines().for_each(|line| println!("  {line}"));
        }
    }
}
