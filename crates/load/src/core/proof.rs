//! What callers were told, compared with what the targets counted.

use super::{mix::Mix, score::Outcomes};
use azuretally_api::record::Outcome;
use azuretally_standin::target::LedgerReport;

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
    pub fn new(mix: &Mix, seed: u64, outcomes: &Outcomes, ledgers: &[LedgerReport]) -> Self {
        let mut proof = Self::default();
        for sample in &outcomes.samples {
            let key = format!("{seed}-{}", sample.number);
            let runs = ledgers.iter().filter_map(|l| l.runs.get(&key));
            let starts: u64 = runs.map(|r| r.starts).sum();
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
