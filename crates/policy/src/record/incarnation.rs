//! The record of one incarnation while it is verified.

use super::{Breach, BreachKind, Place, chain};
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
    known: IndexMap<u64, (Place, String)>,
    calls: Vec<(Place, CallRecord)>,
    settings: IndexMap<u64, SettingsRecord>,
    counts: CallCounts,
    tally: [u64; 3],
    lost: u64,
    end: Option<Place>,
}

impl Incarnation {
    pub(super) fn new(host: &str, incarnation: &str) -> Self {
        Self {
            first_hash: chain::first_hash(host, incarnation),
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
    pub(super) fn calls(&self) -> impl Iterator<Item = (&Place, &CallRecord)> {
        self.calls.iter().map(|(place, call)| (place, call))
    }

    /// Settings of a revision.
    pub(super) fn settings(&self, revision: u64) -> Option<&SettingsRecord> {
        self.settings.get(&revision)
    }

    /// Takes in one line.
    pub(super) fn take(
        &mut self,
        place: &Place,
        line: RecordLine,
        breaches: &mut Vec<Breach>,
    ) -> Step {
        let mut add = |kind| breaches.push(Breach { place: place.clone(), kind });
        if chain::seal(&line) != line.hash {
            add(BreachKind::Hash);
        }
        self.check_place(&line, &mut add);
        self.last = Some((line.sequence, line.hash.clone()));
        if let Some((other, hash)) = self.known.get(&line.sequence) {
            if *hash != line.hash {
                add(BreachKind::Conflict(other.clone()));
            }
            return Step::Known;
        }
        self.known.insert(line.sequence, (place.clone(), line.hash));
        if self.end.is_some() {
            add(BreachKind::AfterEnd);
        }
        self.take_entry(place, line.entry, &mut add);
        Step::New
    }

    /// Checks the line against the one before in the same source.
    fn check_place<Add>(&self, line: &RecordLine, add: &mut Add)
    where
        Add: FnMut(BreachKind),
    {
        let (due, previous) = match &self.last {
            Some((last, hash)) => (last + 1, hash),
            None => (1, &self.first_hash),
        };
        let found = line.sequence;
        if found < due {
            add(BreachKind::Order { due, found });
        } else if found > due {
            let missing = (due..found).any(|n| !self.known.contains_key(&n));
            if missing {
                add(BreachKind::Gap { due, found });
            }
        } else if line.previous != *previous {
            add(BreachKind::Previous);
        }
    }

    fn take_entry<Add>(&mut self, place: &Place, entry: RecordEntry, add: &mut Add)
    where
        Add: FnMut(BreachKind),
    {
        match entry {
            RecordEntry::Start { .. } => {}
            RecordEntry::Settings(settings) => {
                self.settings.insert(settings.revision, settings);
            }
            RecordEntry::Call(call) => self.take_call(place, *call, add),
            RecordEntry::Lost { calls } => {
                self.lost += calls;
                add(BreachKind::Lost(calls));
            }
            RecordEntry::Counts(counts) => self.take_counts(counts, add),
            RecordEntry::End(counts) => {
                self.check_end(&counts, add);
                self.take_counts(counts, add);
                self.end = Some(place.clone());
            }
        }
    }

    fn take_call<Add>(&mut self, place: &Place, call: CallRecord, add: &mut Add)
    where
        Add: FnMut(BreachKind),
    {
        let index = match call.outcome {
            Outcome::Answered => 0,
            Outcome::NotRun => 1,
            Outcome::Unknown => 2,
        };
        self.tally[index] += 1;
        match self.settings.get(&call.revision) {
            None => add(BreachKind::NoSettings(call.revision)),
            Some(settings) if settings.classes.iter().all(|c| c.name != call.class) => {
                add(BreachKind::NoClass(call.class.clone()));
            }
            Some(_) => {}
        }
        self.calls.push((place.clone(), call));
    }

    /// Counters are read while calls come and go, so a line in between only has to grow.
    fn take_counts<Add>(&mut self, counts: CallCounts, add: &mut Add)
    where
        Add: FnMut(BreachKind),
    {
        let old = &self.counts;
        let fell = counts.taken < old.taken
            || counts.answered < old.answered
            || counts.not_run < old.not_run
            || counts.unknown < old.unknown;
        if fell {
            add(BreachKind::CounterFell);
        }
        self.counts = counts;
    }

    /// At the end nothing is in flight, and every call has its line or is told to be lost.
    fn check_end<Add>(&self, counts: &CallCounts, add: &mut Add)
    where
        Add: FnMut(BreachKind),
    {
        let ended = counts.answered + counts.not_run + counts.unknown;
        let accounted = ended + counts.in_flight;
        if counts.taken != accounted {
            add(BreachKind::Conservation { taken: counts.taken, accounted });
        }
        let pairs = [
            ("answered", counts.answered, self.tally[0]),
            ("not run", counts.not_run, self.tally[1]),
            ("unknown", counts.unknown, self.tally[2]),
        ];
        for (outcome, counted, lines) in pairs {
            if lines > counted || lines + self.lost < counted {
                add(BreachKind::Counted { outcome, counted, lines });
            }
        }
    }

    /// Ends the verification of the incarnation.
    pub(super) fn finish(&mut self, breaches: &mut Vec<Breach>) {
        if self.end.is_some() {
            return;
        }
        let last = self.known.iter().max_by_key(|(sequence, _)| **sequence);
        if let Some((last, (place, _))) = last {
            let kind = BreachKind::NoEnd { last: *last };
            breaches.push(Breach { place: place.clone(), kind });
        }
    }
}
