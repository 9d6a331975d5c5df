//! Verifies records that come from files and entries.

use super::{
    Breach, BreachKind, Place,
    incarnation::{Incarnation, Step},
    order,
};
use azuretally_api::record::{CallRecord, Outcome, RecordLine};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Runs that targets counted, by idempotency key.
pub type Runs = IndexMap<String, u64>;

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
    breaches: Vec<Breach>,
    lines: u64,
}

impl Verifier {
    /// Begins a new source. Lines that an earlier source gave may come again.
    pub fn begin(&mut self) {
        for key in std::mem::take(&mut self.seen) {
            if let Some(incarnation) = self.incarnations.get_mut(&key) {
                incarnation.begin();
            }
        }
    }

    /// Takes in the text of one line.
    pub fn take(&mut self, place: Place, text: &str) {
        self.lines += 1;
        let line = match serde_json::from_str::<RecordLine>(text) {
            Ok(line) => line,
            Err(e) => return self.add(place, BreachKind::Malformed(e.to_string())),
        };
        if serde_json::to_string(&line).ok().as_deref() != Some(text) {
            let reason = "more or other text than a line has".to_owned();
            return self.add(place, BreachKind::Malformed(reason));
        }
        let key = (line.host.clone(), line.incarnation.clone());
        self.seen.insert(key.clone());
        let incarnation = self
            .incarnations
            .entry(key)
            .or_insert_with(|| Incarnation::new(&line.host, &line.incarnation));
        let step = incarnation.take(&place, line, &mut self.breaches);
        if step == Step::Known {
            self.lines -= 1;
        }
    }

    /// Ends the verification. `runs` is what the targets counted, when that is known.
    pub fn finish(mut self, runs: Option<&Runs>) -> (Summary, Vec<Breach>) {
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
    fn compare(&mut self, runs: &Runs) {
        let mut keys: IndexMap<&str, Vec<(&Place, &CallRecord)>> = IndexMap::new();
        for incarnation in self.incarnations.values() {
            for (place, call) in incarnation.calls() {
                if let Some(key) = &call.key {
                    keys.entry(key).or_default().push((place, call));
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

    fn add(&mut self, place: Place, kind: BreachKind) {
        self.breaches.push(Breach { place, kind });
    }
}

fn lines_against_runs(key: &str, runs: u64, lines: &[(&Place, &CallRecord)]) -> Option<Breach> {
    let breach = |place: &Place, kind| Some(Breach { place: place.clone(), kind });
    let first = lines.first()?;
    if runs > 1 {
        return breach(first.0, BreachKind::RanTwice { key: key.to_owned(), runs });
    }
    let with = |outcome| lines.iter().find(|(_, c)| c.outcome == outcome);
    let (answered, unknown) = (with(Outcome::Answered), with(Outcome::Unknown));
    match (runs, with(Outcome::NotRun), answered) {
        (1, Some((place, _)), None) if unknown.is_none() => {
            breach(place, BreachKind::RanThough { key: key.to_owned(), runs })
        }
        (0, _, Some((place, _))) => breach(place, BreachKind::NeverRan(key.to_owned())),
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
impl From<(&Arc<str>, usize)> for Place {
    fn from((source, line): (&Arc<str>, usize)) -> Self {
        Self { source: Arc::clone(source), line }
    }
}
