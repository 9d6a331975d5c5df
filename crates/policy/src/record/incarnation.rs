//! The record of one incarnation while it is verified.

use super::{Finding, FindingKind, Location, chain};
use azuretally_api::{
    admin::CallCounts,
    record::{CallRecord, Outcome, RecordEntry, RecordLine, SettingsRecord},
};
use indexmap::IndexMap;

/// What became of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// It was new.
    New,
    /// An earlier source had given it.
    Known,
}

/// Lines of one incarnation, taken in the order in which they stand.
#[derive(Debug)]
pub(super) struct Incarnation {
    first_hash: String,
    /// Sequence number and hash of the last line of this source.
    last: Option<(u64, String)>,
    known: IndexMap<u64, (Location, String)>,
    calls: Vec<(Location, CallRecord)>,
    settings: IndexMap<u64, SettingsRecord>,
    counts: CallCounts,
    tally: [u64; 3],
    lost: u64,
    end: Option<Location>,
}

impl Incarnation {
    pub(super) fn new(host: &str, incarnation: &str) -> Self {
        Self {
            first_hash: chain::genesis_hash(host, incarnation),
            last: None,
            known: IndexMap::new(),
            calls: Vec::new(),
            settings: IndexMap::new(),
            counts: CallCounts::default(),
            tally: [0; 3],
            lost: 0,
            end: None,
        }
    }

    /// A new source begins: its first line need not be the next one.
    pub(super) fn begin(&mut self) {
        self.last = None;
    }

    /// Calls with their places, in the order of the record.
    pub(super) fn calls(&self) -> impl Iterator<Item = (&Location, &CallRecord)> {
        self.calls.iter().map(|(location, call)| (location, call))
    }

    /// Settings of a revision.
    pub(super) fn settings(&self, revision: u64) -> Option<&SettingsRecord> {
        self.settings.get(&revision)
    }

    /// Takes in one line.
    pub(super) fn take(
        &mut self,
        location: &Location,
        line: RecordLine,
        breaches: &mut Vec<Finding>,
    ) -> Step {
        let mut add = |kind| breaches.push(Finding { location: location.clone(), kind });
        if chain::line_hash(&line) != line.hash {
            add(FindingKind::HashMismatch);
        }
        self.check_place(&line, &mut add);
        self.last = Some((line.sequence, line.hash.clone()));
        if let Some((other, hash)) = self.known.get(&line.sequence) {
            if *hash != line.hash {
                add(FindingKind::Conflict(other.clone()));
            }
            return Step::Known;
        }
        self.known.insert(line.sequence, (location.clone(), line.hash));
        if self.end.is_some() {
            add(FindingKind::LineAfterEnd);
        }
        self.take_entry(location, line.entry, &mut add);
        Step::New
    }

    /// Checks the line against the one before in the same source.
    fn check_place<Add>(&self, line: &RecordLine, add: &mut Add)
    where
        Add: FnMut(FindingKind),
    {
        let (expected, previous) = match &self.last {
            Some((last, hash)) => (last + 1, hash),
            None => (1, &self.first_hash),
        };
        let found = line.sequence;
        if found < expected {
            add(FindingKind::OutOfOrder { expected, found });
        } else if found > expected {
            let missing = (expected..found).any(|n| !self.known.contains_key(&n));
            if missing {
                add(FindingKind::Gap { expected, found });
            }
        } else if line.previous != *previous {
            add(FindingKind::PreviousHashMismatch);
        }
    }

    fn take_entry<Add>(&mut self, location: &Location, entry: RecordEntry, add: &mut Add)
    where
        Add: FnMut(FindingKind),
    {
        match entry {
            RecordEntry::Start { .. } => {}
            RecordEntry::Settings(settings) => {
                self.settings.insert(settings.revision, settings);
            }
            RecordEntry::Call(call) => self.take_call(location, *call, add),
            RecordEntry::Lost { calls } => {
                self.lost += calls;
                add(FindingKind::LostCalls(calls));
            }
            RecordEntry::Counts(counts) => self.take_counts(counts, add),
            RecordEntry::End(counts) => {
                self.check_end(&counts, add);
                self.take_counts(counts, add);
                self.end = Some(location.clone());
            }
        }
    }

    fn take_call<Add>(&mut self, location: &Location, call: CallRecord, add: &mut Add)
    where
        Add: FnMut(FindingKind),
    {
        let index = match call.outcome {
            Outcome::Answered => 0,
            Outcome::NotRun => 1,
            Outcome::Unknown => 2,
        };
        self.tally[index] += 1;
        match self.settings.get(&call.revision) {
            None => add(FindingKind::MissingSettings(call.revision)),
            Some(settings) if settings.classes.iter().all(|c| c.name != call.class) => {
                add(FindingKind::UnknownClass(call.class.clone()));
            }
            Some(_) => {}
        }
        self.calls.push((location.clone(), call));
    }

    /// Counters are read while calls come and go, so a line in between only has to grow.
    fn take_counts<Add>(&mut self, counts: CallCounts, add: &mut Add)
    where
        Add: FnMut(FindingKind),
    {
        let old = &self.counts;
        let fell = counts.taken < old.taken
            || counts.answered < old.answered
            || counts.not_run < old.not_run
            || counts.unknown < old.unknown;
        if fell {
            add(FindingKind::CounterDecreased);
        }
        self.counts = counts;
    }

    /// At the end nothing is in flight, and every call has its line or is told to be lost.
    fn check_end<Add>(&self, counts: &CallCounts, add: &mut Add)
    where
        Add: FnMut(FindingKind),
    {
        let ended = counts.answered + counts.not_run + counts.unknown;
        let accounted = ended + counts.in_flight;
        if counts.taken != accounted {
            add(FindingKind::UnbalancedCounters { taken: counts.taken, accounted });
        }
        let pairs = [
            ("answered", counts.answered, self.tally[0]),
            ("not run", counts.not_run, self.tally[1]),
            ("unknown", counts.unknown, self.tally[2]),
        ];
        for (outcome, counted, lines) in pairs {
            if lines > counted || lines + self.lost < counted {
                add(FindingKind::CounterMismatch { outcome, counted, lines });
            }
        }
    }

    /// Ends the verification of the incarnation.
    pub(super) fn finish(&mut self, breaches: &mut Vec<Finding>) {
        if self.end.is_some() {
            return;
        }
        let last = self.known.iter().max_by_key(|(sequence, _)| **sequence);
        if let Some((last, (location, _))) = last {
            let kind = FindingKind::MissingEnd { last: *last };
            breaches.push(Finding { location: location.clone(), kind });
        }
    }
}
