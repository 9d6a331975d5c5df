//! `watch`: shows whether the service-level outcomes hold.

mod outcomes;

use crate::{
    core::{CliError, Context, Entries, split_responses},
    util::table::Table,
};
use error_stack::Report;
use outcomes::{Outcome, Sample, Verdict};
use std::{thread, time::Duration};

/// ANSI escape sequences that clear the screen and move the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Options of `watch`.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// Whether to print once, based on the counters since the start of each entry.
    pub once: bool,
    /// Time between two samples.
    pub interval: Duration,
    /// Share of calls of the first class that should be answered in time, in percent.
    pub aim_percent: f64,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self { once: false, interval: Duration::from_secs(1), aim_percent: 99.0 }
    }
}

/// Prints the outcomes, once or periodically.
///
/// # Errors
///
/// Returns [`CliError::OutcomesBroken`] if `once` is set and an outcome does not hold,
/// [`CliError::NoEntryGiven`] if no entry is given, [`CliError::ReadFile`] if the token cannot be
/// read, [`CliError::Internal`] if the async runtime cannot be started.
pub fn watch(context: &Context, options: WatchOptions) -> Result<(), Report<CliError>> {
    let entries = Entries::new(context)?;
    let mut before = Sample::default();
    loop {
        let (responses, failed) = split_responses(entries.status());
        let now = Sample { states: responses.into_iter().map(|(_, s)| s).collect(), failed };
        let outcomes = outcomes::outcomes(&before, &now, options.aim_percent);
        if options.once {
            print!("{}", table(&outcomes));
            let broken = outcomes.iter().filter(|o| o.verdict == Verdict::Broken).count();
            return match broken {
                0 => Ok(()),
                broken => Err(Report::new(CliError::OutcomesBroken(broken))),
            };
        }
        print!("{CLEAR_SCREEN}{}", table(&outcomes));
        before = now;
        thread::sleep(options.interval);
    }
}

fn table(outcomes: &[Outcome]) -> Table {
    let mut table = Table::new(&["OUTCOME", "NOW", "AIM", "VERDICT"]);
    for outcome in outcomes {
        table.add(vec![
            outcome.name.clone(),
            outcome.now.clone(),
            outcome.aim.clone(),
            outcome.verdict.as_str().to_owned(),
        ]);
    }
    table
}
