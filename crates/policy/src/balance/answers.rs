//! When calls were last answered.
//!
//! That a target has ended is known only after a check, and later still at other gateways. An answer that comes
//! meanwhile acquits the call as well.

use super::quarantine::CallDigest;
use crate::Timestamp;

/// Calls that are remembered. The news of a crash takes a second or so, in which popular calls come again.
const SLOTS: usize = 1_024;

/// Latest answers, by the content of the call. A later call takes the place of another one with the same slot.
#[derive(Clone, Debug)]
pub(super) struct RecentAnswers {
    slots: Vec<(CallDigest, Timestamp)>,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self { slots: vec![Default::default(); SLOTS] }
    }
}

impl RecentAnswers {
    /// Records that a target answered the call.
    pub(super) fn record(&mut self, now: Timestamp, digest: CallDigest) {
        self.slots[digest.slot(SLOTS)] = (digest, now);
    }

    /// Returns whether a target is known to have answered the call after `time`.
    pub(super) fn is_answered_since(&self, digest: &CallDigest, time: Timestamp) -> bool {
        let (latest, answered) = self.slots[digest.slot(SLOTS)];
        latest == *digest && answered > time
    }
}
