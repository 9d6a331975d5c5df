//! Processes that take the place of others of the same name.
//!
//! Answers do not name the process that gives them. A process that is started under the name of another
//! one may get a request before this gateway knows its record, and what it says is then booked to the
//! process before it. Only a start that is known to be later than the request shows that it has not said
//! it.

use crate::{Timestamp, UnixTime};
use std::time::Duration;

/// Largest difference of the clocks of two hosts that are in order.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(300);

/// When an answer arrived, and when its request was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    /// Arrival of the answer.
    pub now: Timestamp,
    /// When the request was sent, by the time of day of this gateway.
    pub sent: UnixTime,
}

impl AnswerTime {
    /// Returns whether a process that started at `started`, in Unix ms by the clock of its host, is known
    /// not to have given the answer.
    pub(super) fn is_before(&self, started: Option<u64>) -> bool {
        let started = started.map(UnixTime::from_millis);
        started.is_some_and(|started| started.since(self.sent) > CLOCK_TOLERANCE)
    }
}
