//! Verifies records that come from files and entries.

use super::{
    Finding, FindingKind, Location,
    incarnation::{Incarnation, Step},
    order,
};
use azuretally_api::record::{CallRecord, Outcome, RecordLine};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Runs that targets counted, by idempotency key.
pub type RunCounts = IndexMap<String, u64>;

/// What was verified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Lines read.
    pub lines: u64,
    /// Incarnations seen.
    pub incarnations: u64,
    /// Distinct calls with a line.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
}

/// Takes lines source by source, then gives every breach.
#[derive(Debug, Default)]
pub struct Verifier {
    incarnations: IndexMap<(String, String), Incarnation>,
    seen: IndexSet<(String, String)>,
    breaches: Vec<Finding>,
    lines: u64,
}

impl Verifier {
    /// Begins a new source. Lines that an earlier source gave may come again.
    pub fn start_source(&mut self) {
        for key in std::mem::take(&mut self.seen) {
            if let Some(incarnation) = self.incarnations.get_mut(&key) {
                incarnation.begin();
            }
        }
    }

    /// Takes in the text of one line.
    pub fn add_line(&mut self, location: Location, text: &str) {
        self.lines += 1;
        let line = match serde_json::from_str::<RecordLine>(text) {
            Ok(line) => line,
            Err(e) => return self.add(location, FindingKind::Malformed(e.to_string())),
        };
        if serde_json::to_string(&line).ok().as_deref() != Some(text) {
            let reason = "more or other text than a line has".to_owned();
            return self.add(location, FindingKind::Malformed(reason));
        }
        let key = (line.host.clone(), line.incarnation.clone());
        self.seen.insert(key.clone());
        let incarnation = self
            .incarnations
            .entry(key)
            .or_insert_with(|| Incarnation::new(&line.host, &line.incarnation));
        let step = incarnation.take(&location, line, &mut self.breaches);
        if step == Step::Known {
            self.lines -= 1;
        }
    }

    /// Ends the verification. `runs` is what the targets counted, when that is known.
    pub fn finish(mut self, runs: Option<&RunCounts>) -> (Summary, Vec<Finding>) {
        let mut summary = Summary { lines: self.lines, ..Summary::default() };
        for incarnation in self.incarnations.values_mut() {
            summary.incarnations += 1;
            incarnation.finish(&mut self.breaches);
            order::check(incarnation, &mut self.breaches);
            for (_, call) in incarnation.calls() {
                summary.count(call);
            }
        }
        if let Some(runs) = runs {
            self.compare(runs);
        }
        (summary, self.breaches)
    }

    /// Compares what the record tells of each key with the runs that targets counted. Relayed
    /// calls have a line at each entry they passed; what any of them tells must hold.
    fn compare(&mut self, runs: &RunCounts) {
        let mut keys: IndexMap<&str, Vec<(&Location, &CallRecord)>> = IndexMap::new();
        for incarnation in self.incarnations.values() {
            for (location, call) in incarnation.calls() {
                if let Some(key) = &call.key {
                    keys.entry(key).or_default().push((location, call));
                }
            }
        }
        let mut found = Vec::new();
        for (key, lines) in keys {
            let counted = runs.get(key).copied().unwrap_or(0);
            found.extend(lines_against_runs(key, counted, &lines));
        }
        self.breaches.append(&mut found);
    }

    fn add(&mut self, location: Location, kind: FindingKind) {
        self.breaches.push(Finding { location, kind });
    }
}

fn lines_against_runs(key: &str, runs: u64, lines: &[(&Location, &CallRecord)]) -> Option<Finding> {
    let breach = |location: &Location, kind| Some(Finding { location: location.clone(), kind });
    let first = lines.first()?;
    if runs > 1 {
        return breach(first.0, FindingKind::MultipleRuns { key: key.to_owned(), runs });
    }
    let with = |outcome| lines.iter().find(|(_, c)| c.outcome == outcome);
    let (answered, unknown) = (with(Outcome::Answered), with(Outcome::Unknown));
    match (runs, with(Outcome::NotRun), answered) {
        (1, Some((location, _)), None) if unknown.is_none() => {
            breach(location, FindingKind::RanDespiteNotRun { key: key.to_owned(), runs })
        }
        (0, _, Some((location, _))) => {
            breach(location, FindingKind::AnsweredWithoutRun(key.to_owned()))
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

/// Name of a source, shared by all places in it.
impl From<(&Arc<str>, usize)> for Location {
    fn from((source, line): (&Arc<str>, usize)) -> Self {
        Self { source: Arc::clone(source), line }
    }
}
