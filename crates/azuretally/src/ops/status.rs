//! `status`: shows the state of each entry.

use crate::{
    core::{CliError, Context, Entries, split_responses},
    util::{table::Table, text},
};
use azuretally_api::admin::{CallCounts, EntryStatus};
use error_stack::{Report, ResultExt};

/// Prints the state of every entry.
///
/// # Errors
///
/// Returns [`CliError::NoResponse`] if an entry did not return a valid response,
/// [`CliError::NoEntryGiven`] if no entry is given, [`CliError::ReadFile`] if the token cannot be
/// read, [`CliError::Internal`] if the async runtime cannot be started or the output cannot be
/// formatted.
pub fn status(context: &Context) -> Result<(), Report<CliError>> {
    let (responses, failed) = split_responses(Entries::new(context)?.status());
    let states: Vec<EntryStatus> = responses.into_iter().map(|(_, status)| status).collect();
    if context.json {
        let json = serde_json::to_string_pretty(&states).change_context(CliError::Internal)?;
        println!("{json}");
    } else {
        print!("{}", table(&states));
        print_refused(&states);
    }
    match failed {
        0 => Ok(()),
        failed => Err(Report::new(CliError::NoResponse(failed))),
    }
}

/// Returns the sums of the counters of all operations.
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

/// Prints which revisions the entries refused, and why.
fn print_refused(states: &[EntryStatus]) {
    for status in states {
        if let Some(refused) = &status.refused {
            println!("{} refused revision {}:", status.host, refused.revision);
            refused.reason.lines().for_each(|line| println!("  {line}"));
        }
    }
}
