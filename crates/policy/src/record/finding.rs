//! What a verification can find.

use std::{fmt, sync::Arc};

/// Where a line stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// File or address from which the line came.
    pub source: Arc<str>,
    /// Number of the line in its source, from 1.
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.source, self.line)
    }
}

/// One fault of a record, at one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The line.
    pub location: Location,
    /// What is wrong there.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.kind)
    }
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq)]
pub enum FindingKind {
    /// The text is not a record line, or not in the form in which lines are written.
    Malformed(String),
    /// The line was changed after it had been hashed.
    HashMismatch,
    /// The line does not follow the one before.
    PreviousHashMismatch,
    /// Lines are missing before this one.
    Gap {
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// The line stands twice, or out of order.
    OutOfOrder {
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// Another source holds another line of this number.
    Conflict(Location),
    /// The record could not take in calls.
    LostCalls(u64),
    /// A line follows the last line of the incarnation.
    LineAfterEnd,
    /// The last line of the incarnation is not there: it still runs, died, or lines are missing.
    MissingEnd {
        /// Sequence number of the last line that is there.
        last: u64,
    },
    /// The counters do not add up.
    UnbalancedCounters {
        /// Calls taken in.
        taken: u64,
        /// Answered, not run, unknown and in flight together.
        accounted: u64,
    },
    /// The counters and the lines of the record differ.
    CounterMismatch {
        /// Outcome in question.
        outcome: &'static str,
        /// Calls by the counters.
        counted: u64,
        /// Calls by the lines.
        lines: u64,
    },
    /// A counter went backwards.
    CounterDecreased,
    /// A call names a revision whose settings the record did not tell before.
    MissingSettings(u64),
    /// A call names a class that the preset in force did not have.
    UnknownClass(String),
    /// The call was sent to a target while one of a higher class waited.
    PriorityInversion {
        /// Class of the call.
        class: String,
        /// Where the record of the waiting call stands.
        waiting_location: Location,
        /// Class of the waiting call.
        higher_class: String,
        /// For how long that call had waited then, in µs.
        waited_us: u64,
    },
    /// The call was told to be not run, but a target counted a run of its key.
    RanDespiteNotRun {
        /// Idempotency key.
        key: String,
        /// Runs that targets counted.
        runs: u64,
    },
    /// The call was answered by a target, but no target counted a run of its key.
    AnsweredWithoutRun(String),
    /// Targets ran the key of a call that is not idempotent more than once.
    MultipleRuns {
        /// Idempotency key.
        key: String,
        /// Runs that targets counted.
        runs: u64,
    },
}

impl FindingKind {
    /// Whether the finding may be due to an incarnation that still runs or died.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::MissingEnd { .. })
    }
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "not a record line: {reason}"),
            Self::HashMismatch => f.write_str("the line was changed: its hash does not fit"),
            Self::PreviousHashMismatch => f.write_str("the line does not follow the one before"),
            Self::Gap { expected, found } => {
                write!(f, "lines {expected} to {} are missing", found - 1)
            }
            Self::OutOfOrder { expected, found } => {
                write!(f, "line {found} stands where {expected} was due")
            }
            Self::Conflict(other) => write!(f, "another line of this number stands at {other}"),
            Self::LostCalls(calls) => write!(f, "{calls} calls have no line"),
            Self::LineAfterEnd => f.write_str("a line after the end of the incarnation"),
            Self::MissingEnd { last } => write!(
                f,
                "no end after line {last}: the incarnation still runs, died, or lines are missing"
            ),
            Self::UnbalancedCounters { taken, accounted } => {
                write!(f, "{taken} calls taken in, {accounted} accounted for")
            }
            Self::CounterMismatch { outcome, counted, lines } => {
                write!(f, "{counted} calls counted as {outcome}, {lines} have a line")
            }
            Self::CounterDecreased => f.write_str("a counter went backwards"),
            Self::MissingSettings(revision) => {
                write!(f, "the settings of revision {revision} were not told before")
            }
            Self::UnknownClass(class) => write!(f, "the preset in force has no class `{class}`"),
            Self::PriorityInversion { class, waiting_location, higher_class, waited_us } => write!(
                f,
                "class `{class}` was sent to a target while a call of class `{higher_class}` \
                 ({waiting_location}) had waited for {waited_us} us"
            ),
            Self::RanDespiteNotRun { key, runs } => {
                write!(f, "told to be not run, but targets counted {runs} runs of key `{key}`")
            }
            Self::AnsweredWithoutRun(key) => {
                write!(f, "answered, but no target counted a run of key `{key}`")
            }
            Self::MultipleRuns { key, runs } => {
                write!(f, "targets counted {runs} runs of key `{key}`, once is allowed")
            }
        }
    }
}
