//! What a verification can find.

use std::{fmt, sync::Arc};

/// Where a line stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// File or address from which the line came.
    pub source: Arc<str>,
    /// Number of the line in its source, from 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.source, self.line)
    }
}

/// One fault of a record, at one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The line.
    pub place: Place,
    /// What is wrong there.
    pub kind: BreachKind,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.kind)
    }
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq)]
pub enum BreachKind {
    /// The text is not a record line, or not in the form in which lines are written.
    Malformed(String),
    /// The line was changed after it had been hashed.
    Hash,
    /// The line does not follow the one before.
    Previous,
    /// Lines are missing before this one.
    Gap {
        /// Sequence number that was due.
        due: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// The line stands twice, or out of order.
    Order {
        /// Sequence number that was due.
        due: u64,
        /// Sequence number of the line.
        found: u64,
    },
    /// Another source holds another line of this number.
    Conflict(Place),
    /// The record could not take in calls.
    Lost(u64),
    /// A line follows the last line of the incarnation.
    AfterEnd,
    /// The last line of the incarnation is not there: it still runs, died, or lines are missing.
    NoEnd {
        /// Sequence number of the last line that is there.
        last: u64,
    },
    /// The counters do not add up.
    Conservation {
        /// Calls taken in.
        taken: u64,
        /// Answered, not run, unknown and in flight together.
        accounted: u64,
    },
    /// The counters and the lines of the record differ.
    Counted {
        /// Outcome in question.
        outcome: &'static str,
        /// Calls by the counters.
        counted: u64,
        /// Calls by the lines.
        lines: u64,
    },
    /// A counter went backwards.
    CounterFell,
    /// A call names a revision whose settings the record did not tell before.
    NoSettings(u64),
    /// A call names a class that the preset in force did not have.
    NoClass(String),
    /// The call was sent to a target while one of a higher class waited.
    Overtaken {
        /// Class of the call.
        class: String,
        /// Where the record of the waiting call stands.
        waiting: Place,
        /// Class of the waiting call.
        higher: String,
        /// For how long that call had waited then, in µs.
        waited_us: u64,
    },
    /// The call was told to be not run, but a target counted a run of its key.
    RanThough {
        /// Idempotency key.
        key: String,
        /// Runs that targets counted.
        runs: u64,
    },
    /// The call was answered by a target, but no target counted a run of its key.
    NeverRan(String),
    /// Targets ran the key of a call that is not idempotent more than once.
    RanTwice {
        /// Idempotency key.
        key: String,
        /// Runs that targets counted.
        runs: u64,
    },
}

impl BreachKind {
    /// Whether the finding may be due to an incarnation that still runs or died.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::NoEnd { .. })
    }
}

impl fmt::Display for BreachKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "not a record line: {reason}"),
            Self::Hash => f.write_str("the line was changed: its hash does not fit"),
            Self::Previous => f.write_str("the line does not follow the one before"),
            Self::Gap { due, found } => write!(f, "lines {due} to {} are missing", found - 1),
            Self::Order { due, found } => write!(f, "line {found} stands where {due} was due"),
            Self::Conflict(other) => write!(f, "another line of this number stands at {other}"),
            Self::Lost(calls) => write!(f, "{calls} calls have no line"),
            Self::AfterEnd => f.write_str("a line after the end of the incarnation"),
            Self::NoEnd { last } => write!(
                f,
                "no end after line {last}: the incarnation still runs, died, or lines are missing"
            ),
            Self::Conservation { taken, accounted } => {
                write!(f, "{taken} calls taken in, {accounted} accounted for")
            }
            Self::Counted { outcome, counted, lines } => {
                write!(f, "{counted} calls counted as {outcome}, {lines} have a line")
            }
            Self::CounterFell => f.write_str("a counter went backwards"),
            Self::NoSettings(revision) => {
                write!(f, "the settings of revision {revision} were not told before")
            }
            Self::NoClass(class) => write!(f, "the preset in force has no class `{class}`"),
            Self::Overtaken { class, waiting, higher, waited_us } => write!(
                f,
                "class `{class}` was sent to a target while a call of class `{higher}` \
                 ({waiting}) had waited for {waited_us} us"
            ),
            Self::RanThough { key, runs } => {
                write!(f, "told to be not run, but targets counted {runs} runs of key `{key}`")
            }
            Self::NeverRan(key) => {
                write!(f, "answered, but no target counted a run of key `{key}`")
            }
            Self::RanTwice { key, runs } => {
                write!(f, "targets counted {runs} runs of key `{key}`, once is allowed")
            }
        }
    }
}
