//! Verifier of records that are read from several sources.

use super::{
    Finding, FindingKind, Location,
    incarnation::{Incarnation, LineStatus},
    order,
};
use azuretally_api::record::{CallRecord, Outcome, RecordLine};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Runs counted by targets, by idempotency key.
pub type RunCounts = IndexMap<String, u64>;

/// Totals over the verified records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Distinct lines read, plus all malformed lines.
    pub lines: u64,
    /// Incarnations with a line.
    pub incarnations: u64,
    /// Calls with a line.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
}

/// Verifies records line by line and collects the findings.
///
/// The lines of one incarnation may be spread over several sources, which may overlap. Lines are
/// checked as they are read, so a source that continues another one must be read after it.
#[derive(Debug, Default)]
pub struct Verifier {
    /// Records by host and incarnation.
    incarnations: IndexMap<(String, String), Incarnation>,
    /// Host and incarnation of the lines of the current source.
    source_incarnations: IndexSet<(String, String)>,
    findings: Vec<Finding>,
    lines: u64,
}

impl Verifier {
    /// Starts a new source, which may repeat lines of earlier sources.
    pub fn start_source(&mut self) {
        for key in std::mem::take(&mut self.source_incarnations) {
            if let Some(incarnation) = self.incarnations.get_mut(&key) {
                incarnation.start_source();
            }
        }
    }

    /// Verifies the text of one line.
    pub fn add_line(&mut self, location: Location, text: &str) {
        self.lines += 1;
        let line = match serde_json::from_str::<RecordLine>(text) {
            Ok(line) => line,
            Err(e) => return self.report(location, FindingKind::Malformed(e.to_string())),
        };
        if serde_json::to_string(&line).ok().as_deref() != Some(text) {
            let reason = "the text is not in canonical form".to_owned();
            return self.report(location, FindingKind::Malformed(reason));
        }
        let key = (line.host.clone(), line.incarnation.clone());
        self.source_incarnations.insert(key.clone());
        let incarnation = self
            .incarnations
            .entry(key)
            .or_insert_with(|| Incarnation::new(&line.host, &line.incarnation));
        let status = incarnation.add_line(&location, line, &mut self.findings);
        if status == LineStatus::Duplicate {
            self.lines -= 1;
        }
    }

    /// Finishes the verification and returns its totals and findings. `runs` holds the run counts
    /// of the targets, if known.
    pub fn finish(mut self, runs: Option<&RunCounts>) -> (Summary, Vec<Finding>) {
        let mut summary = Summary { lines: self.lines, ..Summary::default() };
        for incarnation in self.incarnations.values_mut() {
            summary.incarnations += 1;
            incarnation.finish(&mut self.findings);
            order::check(incarnation, &mut self.findings);
            for (_, call) in incarnation.calls() {
                summary.count(call);
            }
        }
        if let Some(runs) = runs {
            self.check_runs(runs);
        }
        (summary, self.findings)
    }

    /// Compares the recorded outcomes of each key with the runs that targets counted. A relayed
    /// call has a line at each entry that it passed through, so a key can have several lines. A
    /// run does not contradict a line with the outcome not run if another line of the key has the
    /// outcome answered or unknown.
    fn check_runs(&mut self, runs: &RunCounts) {
        let mut calls_by_key: IndexMap<&str, Vec<(&Location, &CallRecord)>> = IndexMap::new();
        for incarnation in self.incarnations.values() {
            for (location, call) in incarnation.calls() {
                if let Some(key) = &call.key {
                    calls_by_key.entry(key).or_default().push((location, call));
                }
            }
        }
        let mut findings = Vec::new();
        for (key, calls) in calls_by_key {
            let counted = runs.get(key).copied().unwrap_or(0);
            findings.extend(check_key_runs(key, counted, &calls));
        }
        self.findings.append(&mut findings);
    }

    fn report(&mut self, location: Location, kind: FindingKind) {
        self.findings.push(Finding { location, kind });
    }
}

/// Compares the lines of one key with its counted runs.
fn check_key_runs(key: &str, runs: u64, calls: &[(&Location, &CallRecord)]) -> Option<Finding> {
    let finding = |location: &Location, kind| Some(Finding { location: location.clone(), kind });
    let first = calls.first()?;
    if runs > 1 {
        return finding(first.0, FindingKind::MultipleRuns { key: key.to_owned(), runs });
    }
    let first_with = |outcome| calls.iter().find(|(_, c)| c.outcome == outcome);
    let (answered, unknown) = (first_with(Outcome::Answered), first_with(Outcome::Unknown));
    match (runs, first_with(Outcome::NotRun), answered) {
        (1, Some((location, _)), None) if unknown.is_none() => {
            finding(location, FindingKind::RanDespiteNotRun { key: key.to_owned(), runs })
        }
        (0, _, Some((location, _))) => {
            finding(location, FindingKind::AnsweredWithoutRun(key.to_owned()))
        }
        _ => None,
    }
}

impl Summary {
    fn count(&mut self, call: &CallRecord) {
        self.calls += 1;
        match call.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }
}

/// Builds a location from the shared name of its source and a line number.
impl From<(&Arc<str>, usize)> for Location {
    fn from((source, line): (&Arc<str>, usize)) -> Self {
        Self { source: Arc::clone(source), line }
    }
}
