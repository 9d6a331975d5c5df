//! What callers were told, compared with what the targets counted.

use super::{mix::Mix, score::Outcomes};
use azuretally_api::record::Outcome;
use azuretally_standin::target::GroupReport;
use std::collections::HashMap;

/// Breaches found. All but `once` must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    /// Calls that may not be repeated.
    pub once: u64,
    /// Calls that may not be repeated and were run more than once.
    pub repeated: u64,
    /// Calls told as not run that were run.
    pub refused_run: u64,
    /// Calls told as answered that no target ran.
    pub answered_unrun: u64,
}

impl Proof {
    /// Compares `outcomes` of the load with seed `seed` with what `ledgers` counted by key.
    pub fn new(mix: &Mix, seed: u64, outcomes: &Outcomes, ledgers: &[GroupReport]) -> Self {
        let runs = runs_by_id(ledgers);
        let mut proof = Self::default();
        for sample in &outcomes.samples {
            let key = format!("{seed}-{}", sample.number);
            let starts = runs.get(key.as_str()).copied().unwrap_or_default();
            let may_repeat = mix.operations[sample.operation].idempotent;
            proof.once += u64::from(!may_repeat);
            proof.repeated += u64::from(!may_repeat && starts > 1);
            match sample.verdict.outcome {
                Outcome::NotRun => proof.refused_run += u64::from(starts > 0),
                Outcome::Answered => {
                    proof.answered_unrun += u64::from(sample.verdict.ok && starts == 0);
                }
                Outcome::Unknown => {}
            }
        }
        proof
    }
}

/// Runs of each call over all targets. A key of the form `TOKEN/ID` counts for `ID`, so that a
/// call that ran once under each of two tokens is found.
fn runs_by_id(ledgers: &[GroupReport]) -> HashMap<&str, u64> {
    let mut runs = HashMap::new();
    for (key, run) in ledgers.iter().flat_map(|l| &l.runs) {
        let id = key.rsplit_once('/').map_or(key.as_str(), |(_, id)| id);
        *runs.entry(id).or_default() += run.starts;
    }
    runs
}
