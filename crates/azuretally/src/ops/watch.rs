//! Shows whether the outcomes hold.

mod outcomes;

use crate::{
    core::{CliError, Context, Entries, split},
    util::table::Table,
};
use error_stack::Report;
use outcomes::{Outcome, Sample, Verdict};
use std::{thread, time::Duration};

/// Clears the screen and puts the cursor at its start.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// How to watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// Whether to look once, at the counters since the start of each entry.
    pub once: bool,
    /// Time between two looks.
    pub interval: Duration,
    /// Share of urgent calls to be answered in time, in percent.
    pub aim_percent: f64,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self { once: false, interval: Duration::from_secs(1), aim_percent: 99.0 }
    }
}

/// Prints the outcomes, once or again and again.
///
/// # Errors
///
/// [`CliError::Broken`] when `once` is set and an outcome does not hold.
pub fn watch(context: &Context, options: WatchOptions) -> Result<(), Report<CliError>> {
    let entries = Entries::new(context)?;
    let mut before = Sample::default();
    loop {
        let (answers, silent) = split(entries.status());
        let now = Sample { states: answers.into_iter().map(|(_, s)| s).collect(), silent };
        let outcomes = outcomes::outcomes(&before, &now, options.aim_percent);
        if options.once {
            print!("{}", table(&outcomes));
            let broken = outcomes.iter().filter(|o| o.verdict == Verdict::Broken).count();
            return match broken {
                0 => Ok(()),
                broken => Err(Report::new(CliError::Broken(broken))),
            };
        }
        print!("{CLEAR}{}", table(&outcomes));
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
