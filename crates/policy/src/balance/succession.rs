//! Processes that take the place of others of the same name.
//!
//! Answers do not name the process that gives them. A process that is started under the name of another
//! one may answer before this gateway knows its record, and what it says is then booked to the process
//! before it. Only a start that is known to be later than the answer shows that it has not said it.

use crate::{Timestamp, UnixTime};
use std::time::Duration;

/// Largest difference of the clocks of two hosts that are in order.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(300);

/// When an answer arrived, by both clocks of this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    /// Time by the clock of the process.
    pub now: Timestamp,
    /// Time of day.
    pub unix: UnixTime,
}

impl AnswerTime {
    /// Returns whether a process that started at `started`, in Unix ms by the clock of its host, is known
    /// not to have given the answer.
    pub(super) fn is_before(&self, started: Option<u64>) -> bool {
        let started = started.map(UnixTime::from_millis);
        started.is_some_and(|started| started.since(self.unix) > CLOCK_TOLERANCE)
    }
}
