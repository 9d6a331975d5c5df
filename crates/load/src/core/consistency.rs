//! Comparison of the outcomes that callers saw with the executions that targets counted.

use super::{mix::Mix, stats::Outcomes};
use azuretally_api::record::Outcome;
use azuretally_standin::target::GroupReport;
use std::collections::HashMap;

/// Counts of inconsistencies. All fields except `non_idempotent` must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsistencyReport {
    /// Calls that are not idempotent.
    pub non_idempotent: u64,
    /// Calls that are not idempotent and were executed more than once.
    pub repeated: u64,
    /// Calls with the outcome "not run" that were executed.
    pub refused_run: u64,
    /// Calls with a successful answer that no target executed.
    pub unexecuted_answers: u64,
}

impl ConsistencyReport {
    /// Compares the `outcomes` of the load with seed `seed` with the executions in `reports`.
    pub fn new(mix: &Mix, seed: u64, outcomes: &Outcomes, reports: &[GroupReport]) -> Self {
        let runs = runs_by_id(reports);
        let mut consistency = Self::default();
        for sample in &outcomes.samples {
            let key = format!("{seed}-{}", sample.number);
            let starts = runs.get(key.as_str()).copied().unwrap_or_default();
            let is_idempotent = mix.operations[sample.operation].idempotent;
            consistency.non_idempotent += u64::from(!is_idempotent);
            consistency.repeated += u64::from(!is_idempotent && starts > 1);
            match sample.result.outcome {
                Outcome::NotRun => consistency.refused_run += u64::from(starts > 0),
                Outcome::Answered => {
                    consistency.unexecuted_answers +=
                        u64::from(sample.result.is_success && starts == 0);
                }
                Outcome::Unknown => {}
            }
        }
        consistency
    }
}

/// Returns the number of executions of each call over all targets. A key of the form `TOKEN/ID`
/// counts for `ID`, so that a call that ran once under each of two tokens is detected.
fn runs_by_id(reports: &[GroupReport]) -> HashMap<&str, u64> {
    let mut runs = HashMap::new();
    for (key, run) in reports.iter().flat_map(|r| &r.runs) {
        let id = key.rsplit_once('/').map_or(key.as_str(), |(_, id)| id);
        *runs.entry(id).or_default() += run.starts;
    }
    runs
}
