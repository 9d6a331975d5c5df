//! Adaptive concurrency of one target.
//!
//! Additive increase, multiplicative decrease between one call and the slots of the target:
//! refusals lower the limit, answers raise it. A cold target is let up in paced steps.

use crate::Timestamp;
use std::time::Duration;

/// Answers per slot that raise the limit by one.
const ANSWERS_PER_STEP: f64 = 4.0;
/// Time between two steps of a cold target.
const WARMUP_INTERVAL: Duration = Duration::from_millis(250);
/// First pause after a refusal at the lowest limit.
const BASE_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause after refusals.
const MAX_PAUSE: Duration = Duration::from_millis(64);

/// Calls that this entry may have in flight at one target.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    next_step_at: Option<Timestamp>,
    refusals: u32,
    paused_until: Timestamp,
}

impl ConcurrencyLimit {
    /// Starts at all `slots`.
    pub(super) fn warm(slots: u32) -> Self {
        let limit = f64::from(slots.max(1));
        Self { limit, next_step_at: None, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Starts at one call.
    pub(super) fn cold(now: Timestamp) -> Self {
        let next_step_at = Some(now + WARMUP_INTERVAL);
        Self { limit: 1.0, next_step_at, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Calls in flight limit now.
    pub(super) fn allowed(&self, now: Timestamp) -> u32 {
        if now < self.paused_until { 0 } else { self.limit as u32 }
    }

    /// Until when no call may start.
    pub(super) fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// A call was answered by a target of `slots` slots.
    pub(super) fn record_answer(&mut self, now: Timestamp, slots: u32) {
        self.refusals = self.refusals.saturating_sub(1);
        let ceiling = f64::from(slots.max(1));
        match self.next_step_at {
            Some(at) if now < at => {}
            Some(_) => {
                self.limit = (self.limit.floor() + 1.0).min(ceiling);
                self.next_step_at = (self.limit < ceiling).then(|| now + WARMUP_INTERVAL);
            }
            None => self.limit = (self.limit + 1.0 / ANSWERS_PER_STEP / self.limit).min(ceiling),
        }
    }

    /// The target refused a call as busy while `in_flight` others of this entry ran there;
    /// `jitter` is in 0 to 1.
    pub(super) fn record_refusal(&mut self, now: Timestamp, in_flight: u32, jitter: f64) {
        self.limit = (self.limit / 2.0).min(f64::from(in_flight)).max(1.0);
        let pause = BASE_PAUSE * (1 << self.refusals.min(6));
        self.refusals += 1;
        self.paused_until = now + pause.min(MAX_PAUSE).mul_f64(0.5 + jitter);
    }

    /// Forgets pauses, as after a gap in time.
    pub(super) fn clear_pause(&mut self) {
        self.paused_until = Timestamp::default();
    }
}
