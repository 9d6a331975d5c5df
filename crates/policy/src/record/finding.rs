//! Findings of a verification and their locations.

use std::{fmt, sync::Arc};

/// Location of a record line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// File or address that the line was read from.
    pub source: Arc<str>,
    /// Line number in the source, from 1.
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.source, self.line)
    }
}

/// A problem found at one line of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Location of the line.
    pub location: Location,
    /// Kind of problem.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.kind)
    }
}

/// Kind of a finding.
#[derive(Clone, Debug, PartialEq)]
pub enum FindingKind {
    /// The text is not a record line, or not in the canonical form that entries write.
    Malformed(String),
    /// The hash of the line does not match its fields: the line was changed.
    HashMismatch,
    /// The previous hash of the line is not the hash of the line before it.
    PreviousHashMismatch,
    /// Lines are missing before this line.
    Gap {
        /// Expected sequence number.
        expected: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// The line is repeated or out of order.
    OutOfOrder {
        /// Expected sequence number.
        expected: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// A different line with the same sequence number was read at another location.
    Conflict(Location),
    /// The entry could not add this number of calls to its record.
    LostCalls(u64),
    /// A line follows the last line of the incarnation.
    LineAfterEnd,
    /// The last line of the incarnation is missing: the incarnation is still running, crashed, or
    /// its lines are incomplete.
    MissingEnd {
        /// Highest sequence number read.
        last: u64,
    },
    /// The final counters do not add up: each accepted call must be answered, not run, unknown or
    /// in flight.
    UnbalancedCounters {
        /// Calls accepted.
        taken: u64,
        /// Sum of the calls answered, not run, unknown and in flight.
        accounted: u64,
    },
    /// The final counters do not match the number of lines.
    CounterMismatch {
        /// Outcome that is counted.
        outcome: &'static str,
        /// Calls with this outcome according to the counters.
        counted: u64,
        /// Calls with this outcome that have a line.
        lines: u64,
    },
    /// A counter is lower than in an earlier line.
    CounterDecreased,
    /// No earlier line holds the settings of the revision that the call names.
    MissingSettings(u64),
    /// The preset in force has no class of the name that the call gives.
    UnknownClass(String),
    /// The call was sent to a target while a call of a higher class was waiting.
    PriorityInversion {
        /// Class of the call.
        class: String,
        /// Location of the record line of the waiting call.
        waiting_location: Location,
        /// Class of the waiting call.
        higher_class: String,
        /// Time for which the other call had been waiting, in µs.
        waited_us: u64,
    },
    /// The call is recorded as not run, but a target counted a run of its key.
    RanDespiteNotRun {
        /// Idempotency key.
        key: String,
        /// Runs counted by targets.
        runs: u64,
    },
    /// The call with this key is recorded as answered, but no target counted a run of the key.
    AnsweredWithoutRun(String),
    /// Targets ran the key of a non-idempotent call more than once.
    MultipleRuns {
        /// Idempotency key.
        key: String,
        /// Runs counted by targets.
        runs: u64,
    },
}

impl FindingKind {
    /// Returns whether the finding is open: it may be due to an incarnation that is still running
    /// or crashed, so it does not prove a fault of the record.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::MissingEnd { .. })
    }
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "not a record line: {reason}"),
            Self::HashMismatch => f.write_str("the line was changed: its hash does not match"),
            Self::PreviousHashMismatch => {
                f.write_str("the previous hash is not the hash of the line before")
            }
            Self::Gap { expected, found } => {
                write!(f, "lines {expected} to {} are missing", found - 1)
            }
            Self::OutOfOrder { expected, found } => {
                write!(f, "found line {found}, expected line {expected}")
            }
            Self::Conflict(other) => {
                write!(f, "a different line with this sequence number is at {other}")
            }
            Self::LostCalls(calls) => write!(f, "{calls} calls have no line"),
            Self::LineAfterEnd => f.write_str("a line follows the last line of the incarnation"),
            Self::MissingEnd { last } => write!(
                f,
                "no end after line {last}: the incarnation still runs, crashed, or lines are \
                 missing"
            ),
            Self::UnbalancedCounters { taken, accounted } => {
                write!(f, "{taken} calls accepted, but {accounted} accounted for")
            }
            Self::CounterMismatch { outcome, counted, lines } => {
                write!(f, "{counted} calls counted as {outcome}, but {lines} have a line")
            }
            Self::CounterDecreased => f.write_str("a counter decreased"),
            Self::MissingSettings(revision) => {
                write!(f, "no earlier line holds the settings of revision {revision}")
            }
            Self::UnknownClass(class) => write!(f, "the preset in force has no class `{class}`"),
            Self::PriorityInversion { class, waiting_location, higher_class, waited_us } => write!(
                f,
                "a call of class `{class}` was sent to a target while a call of class \
                 `{higher_class}` ({waiting_location}) had been waiting for {waited_us} us"
            ),
            Self::RanDespiteNotRun { key, runs } => {
                write!(f, "recorded as not run, but targets counted {runs} runs of key `{key}`")
            }
            Self::AnsweredWithoutRun(key) => {
                write!(f, "recorded as answered, but no target counted a run of key `{key}`")
            }
            Self::MultipleRuns { key, runs } => {
                write!(f, "targets counted {runs} runs of key `{key}`, at most 1 is allowed")
            }
        }
    }
}
