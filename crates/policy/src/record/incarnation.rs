//! Verification state of the record of one incarnation.

use super::{Finding, FindingKind, Location, chain};
use azuretally_api::{
    admin::CallCounts,
    record::{CallRecord, Outcome, RecordEntry, RecordLine, SettingsRecord},
};
use indexmap::IndexMap;

/// Whether a line was read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineStatus {
    /// The first line read with its sequence number.
    New,
    /// A line with this sequence number was read before.
    Duplicate,
}

/// Checks the lines of one incarnation in the order in which they are read.
#[derive(Debug)]
pub(super) struct Incarnation {
    genesis_hash: String,
    /// Sequence number and hash of the last line read from the current source.
    last: Option<(u64, String)>,
    /// Location and hash of each line, by sequence number.
    lines: IndexMap<u64, (Location, String)>,
    calls: Vec<(Location, CallRecord)>,
    /// Settings, by era and revision.
    settings: IndexMap<(Option<u64>, u64), SettingsRecord>,
    /// Counters of the last line that has any.
    counts: CallCounts,
    /// Number of calls with a line, by outcome: answered, not run, unknown.
    call_lines: [u64; 3],
    lost_calls: u64,
    /// Location of the last line, with the final counters.
    end: Option<Location>,
}

impl Incarnation {
    pub(super) fn new(host: &str, incarnation: &str) -> Self {
        Self {
            genesis_hash: chain::genesis_hash(host, incarnation),
            last: None,
            lines: IndexMap::new(),
            calls: Vec::new(),
            settings: IndexMap::new(),
            counts: CallCounts::default(),
            call_lines: [0; 3],
            lost_calls: 0,
            end: None,
        }
    }

    /// Starts a new source, whose first line need not continue the source before.
    pub(super) fn start_source(&mut self) {
        self.last = None;
    }

    /// Returns the calls and their locations, in the order in which they were read.
    pub(super) fn calls(&self) -> impl Iterator<Item = (&Location, &CallRecord)> {
        self.calls.iter().map(|(location, call)| (location, call))
    }

    /// Returns the settings under which a call was handled.
    pub(super) fn settings(&self, call: &CallRecord) -> Option<&SettingsRecord> {
        self.settings.get(&(call.era, call.revision))
    }

    /// Checks one line and, if it is new, adds its entry.
    pub(super) fn add_line(
        &mut self,
        location: &Location,
        line: RecordLine,
        findings: &mut Vec<Finding>,
    ) -> LineStatus {
        let mut report = |kind| findings.push(Finding { location: location.clone(), kind });
        if chain::line_hash(&line) != line.hash {
            report(FindingKind::HashMismatch);
        }
        self.check_sequence(&line, &mut report);
        self.last = Some((line.sequence, line.hash.clone()));
        if let Some((other, hash)) = self.lines.get(&line.sequence) {
            if *hash != line.hash {
                report(FindingKind::Conflict(other.clone()));
            }
            return LineStatus::Duplicate;
        }
        self.lines.insert(line.sequence, (location.clone(), line.hash));
        if self.end.is_some() {
            report(FindingKind::LineAfterEnd);
        }
        self.add_entry(location, line.entry, &mut report);
        LineStatus::New
    }

    /// Checks the line against the line before it in the same source.
    fn check_sequence<F>(&self, line: &RecordLine, report: &mut F)
    where
        F: FnMut(FindingKind),
    {
        let (expected, previous) = match &self.last {
            Some((last, hash)) => (last + 1, hash),
            None => (1, &self.genesis_hash),
        };
        let found = line.sequence;
        if found < expected {
            report(FindingKind::OutOfOrder { expected, found });
        } else if found > expected {
            let missing = (expected..found).any(|n| !self.lines.contains_key(&n));
            if missing {
                report(FindingKind::Gap { expected, found });
            }
        } else if line.previous != *previous {
            report(FindingKind::PreviousHashMismatch);
        }
    }

    fn add_entry<F>(&mut self, location: &Location, entry: RecordEntry, report: &mut F)
    where
        F: FnMut(FindingKind),
    {
        match entry {
            RecordEntry::Start { .. } => {}
            RecordEntry::Settings(settings) => {
                self.settings.insert((settings.era, settings.revision), settings);
            }
            RecordEntry::Call(call) => self.add_call(location, *call, report),
            RecordEntry::Lost { calls } => {
                self.lost_calls += calls;
                report(FindingKind::LostCalls(calls));
            }
            RecordEntry::Counts(counts) => self.update_counts(counts, report),
            RecordEntry::End(counts) => {
                self.check_final_counts(&counts, report);
                self.update_counts(counts, report);
                self.end = Some(location.clone());
            }
        }
    }

    fn add_call<F>(&mut self, location: &Location, call: CallRecord, report: &mut F)
    where
        F: FnMut(FindingKind),
    {
        let index = match call.outcome {
            Outcome::Answered => 0,
            Outcome::NotRun => 1,
            Outcome::Unknown => 2,
        };
        self.call_lines[index] += 1;
        match self.settings(&call) {
            None => report(FindingKind::MissingSettings(call.revision)),
            Some(settings) if settings.classes.iter().all(|c| c.name != call.class) => {
                report(FindingKind::UnknownClass(call.class.clone()));
            }
            Some(_) => {}
        }
        self.calls.push((location.clone(), call));
    }

    /// Checks that no counter decreased. Intermediate counters are read while calls start and end,
    /// so they need not add up.
    fn update_counts<F>(&mut self, counts: CallCounts, report: &mut F)
    where
        F: FnMut(FindingKind),
    {
        let previous = &self.counts;
        let decreased = counts.taken < previous.taken
            || counts.answered < previous.answered
            || counts.not_run < previous.not_run
            || counts.unknown < previous.unknown;
        if decreased {
            report(FindingKind::CounterDecreased);
        }
        self.counts = counts;
    }

    /// Checks the final counters: every accepted call is accounted for, and every finished call has
    /// a line or is reported as lost.
    fn check_final_counts<F>(&self, counts: &CallCounts, report: &mut F)
    where
        F: FnMut(FindingKind),
    {
        let finished = counts.answered + counts.not_run + counts.unknown;
        let accounted = finished + counts.in_flight;
        if counts.taken != accounted {
            report(FindingKind::UnbalancedCounters { taken: counts.taken, accounted });
        }
        let pairs = [
            ("answered", counts.answered, self.call_lines[0]),
            ("not run", counts.not_run, self.call_lines[1]),
            ("unknown", counts.unknown, self.call_lines[2]),
        ];
        for (outcome, counted, lines) in pairs {
            if lines > counted || lines + self.lost_calls < counted {
                report(FindingKind::CounterMismatch { outcome, counted, lines });
            }
        }
    }

    /// Reports a missing last line.
    pub(super) fn finish(&mut self, findings: &mut Vec<Finding>) {
        if self.end.is_some() {
            return;
        }
        let last = self.lines.iter().max_by_key(|(sequence, _)| **sequence);
        if let Some((last, (location, _))) = last {
            let kind = FindingKind::MissingEnd { last: *last };
            findings.push(Finding { location: location.clone(), kind });
        }
    }
}
