//! Rest that a target asked for: a time in which it must get no requests of this entry.
//!
//! A target that asks for rest knows better than the observations of this entry when calls are of
//! use again, so nothing overrides it, not even that all targets rest. The end of the rest does not
//! prove that the target has recovered, and all waiting calls would reach it at once. Therefore one
//! call at a time tries it, until an answer comes that does not ask for a further rest. A trial whose
//! answer was not read, for example because its caller left, may have been asked for the same rest
//! again.

use crate::Timestamp;
use std::{sync::Arc, time::Duration};

/// Rest of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Rest {
    /// End of the rest. Kept until a call sent after it has been answered.
    until: Option<Timestamp>,
    /// Time last asked for.
    duration: Duration,
    /// Incarnation that asked for it, if known.
    incarnation: Option<Arc<str>>,
}

impl Rest {
    /// Records that `incarnation` asked for rest. The longest time asked for counts. Returns whether
    /// the target did not rest before.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        duration: Duration,
        incarnation: Option<Arc<str>>,
    ) -> bool {
        let is_new = !self.is_resting(now);
        let end = now + duration;
        self.duration = duration;
        self.until = Some(self.until.map_or(end, |until| until.max(end)));
        self.incarnation = incarnation.or(self.incarnation.take());
        is_new
    }

    /// Ends the rest if `incarnation` is known to be another one than that which asked for it.
    pub(super) fn record_incarnation(&mut self, incarnation: &str) {
        if self.incarnation.as_deref().is_some_and(|asked| asked != incarnation) {
            *self = Self::default();
        }
    }

    /// Records an answer, without a further rest, to a call that was sent at `sent`.
    pub(super) fn record_answer(&mut self, sent: Timestamp) {
        if self.until.is_some_and(|until| sent >= until) {
            *self = Self::default();
        }
    }

    /// Records that a call that was sent at `sent` ended without an answer.
    pub(super) fn record_unread_answer(&mut self, now: Timestamp, sent: Timestamp) {
        if self.until.is_some_and(|until| sent >= until) {
            self.until = Some(now + self.duration);
        }
    }

    /// Returns the end of the rest while it lasts.
    pub(super) fn until(&self, now: Timestamp) -> Option<Timestamp> {
        self.until.filter(|until| *until > now)
    }

    /// Returns whether the target rests at `now`.
    pub(super) fn is_resting(&self, now: Timestamp) -> bool {
        self.until(now).is_some()
    }

    /// Returns whether the target rests, or has not answered since its rest ended.
    pub(super) fn is_pending(&self) -> bool {
        self.until.is_some()
    }

    /// Returns the number of calls that may be in flight at `now`.
    pub(super) fn allowed(&self, now: Timestamp) -> u32 {
        match self.until {
            None => u32::MAX,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }
}
