//! Rests that targets ask for.
//!
//! A target that turns a request away may name a time for which it wants nothing from this gateway.
//! Requests sent in that time would be turned away as well, and keep the target from recovering. Every
//! request counts: first attempts, further ones, hedges, relayed calls and probes. Unlike a backoff,
//! which this gateway infers from failures, a rest is never ignored because no other target is left.
//!
//! A rest holds for the gateway that was answered: the target may well serve the others, and a gateway
//! that does not know of it learns it with one refused attempt.

use super::{succession::AnswerTime, target::RunningAttempt};
use crate::Timestamp;
use std::time::Duration;

/// Time for which the gateway reads the answer to a request after its call has ended. Then it closes the
/// connection, from which the target learns that nobody waits.
pub const UNREAD_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time within which a target notices that its connection is closed.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// Time in which one process of a target wants no requests from this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetRest {
    /// End of the latest rest.
    until: Timestamp,
    /// Whether the target has answered no call since `until` other than by asking for a further rest.
    is_trial: bool,
    /// Arrival of the latest answer that asked for rest.
    asked: AnswerTime,
    /// Until when a trial whose call has ended may go on at the target.
    abandoned_until: Timestamp,
}

impl TargetRest {
    /// Records that the target asks for `time`. The longest time counts: a shorter one that is asked
    /// for later may come from an answer that was overtaken. Returns whether the rest has become longer.
    pub(super) fn ask(&mut self, at: AnswerTime, time: Duration) -> bool {
        if time.is_zero() {
            return false;
        }
        self.asked = at;
        let until = at.now + time;
        let is_longer = until > self.until.max(at.now);
        if is_longer {
            self.until = until;
            self.is_trial = true;
        }
        is_longer
    }

    /// Returns the rest of a process that takes the place of this one and started at `started`. It keeps
    /// the rest unless it is known to have started after the rest was asked for. Then one call at a time
    /// tries it first, since clocks may be wrong.
    pub(super) fn of_successor(&self, now: Timestamp, started: Option<u64>) -> Self {
        match (self.asked.is_before(started), self.is_resting(now)) {
            (false, _) => *self,
            (true, true) => {
                Self { until: now, is_trial: true, asked: self.asked, ..Self::default() }
            }
            (true, false) => Self::default(),
        }
    }

    /// Returns whether the target wants no requests now.
    pub(super) fn is_resting(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Returns the time until the rest ends.
    pub(super) fn left(&self, now: Timestamp) -> Duration {
        self.until.since(now)
    }

    /// Returns whether a call may be sent now beside those that are `running`. After a rest, one call at
    /// a time tries whether the target serves again.
    pub(super) fn admits<'a, Running>(&self, now: Timestamp, mut running: Running) -> bool
    where
        Running: Iterator<Item = &'a RunningAttempt>,
    {
        let mut has_trial = || now < self.abandoned_until || running.any(|r| self.is_after_rest(r));
        let is_tried = self.is_trial && has_trial();
        !self.is_resting(now) && !is_tried
    }

    /// Records that the call of `running` has ended before the attempt has. The target may go on with it for
    /// some time.
    pub(super) fn abandon(&mut self, now: Timestamp, running: &RunningAttempt) {
        if self.is_trial && self.is_after_rest(running) {
            self.abandoned_until = now + (UNREAD_ANSWER_TIME + CLOSE_TIME);
        }
    }

    /// Returns whether `running` began after the rest.
    fn is_after_rest(&self, running: &RunningAttempt) -> bool {
        running.sent >= self.until
    }

    /// Records that the target has answered a call that was sent at `sent`, without asking for a rest.
    /// Returns whether that ends the trial after a rest.
    pub(super) fn record_answer(&mut self, sent: Timestamp) -> bool {
        let is_end = self.is_trial && sent >= self.until;
        self.is_trial &= !is_end;
        is_end
    }
}
