//! Adaptive concurrency of one target.
//!
//! Additive increase, multiplicative decrease between one call and the slots of the target:
//! refusals lower the limit, answers raise it. A cold target is let up in paced steps.

use crate::Timestamp;
use std::time::Duration;

/// Answers per slot that raise the limit by one.
const ANSWERS_PER_STEP: f64 = 4.0;
/// Time between two steps of a cold target.
const WARMUP_STEP: Duration = Duration::from_millis(250);
/// First pause after a refusal at the lowest limit.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause after refusals.
const MAX_PAUSE: Duration = Duration::from_millis(64);

/// Calls that this entry may have in flight at one target.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    calls: f64,
    warm_at: Option<Timestamp>,
    refusals: u32,
    paused_until: Timestamp,
}

impl Limit {
    /// Starts at all `slots`.
    pub(super) fn warm(slots: u32) -> Self {
        let calls = f64::from(slots.max(1));
        Self { calls, warm_at: None, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Starts at one call.
    pub(super) fn cold(now: Timestamp) -> Self {
        let warm_at = Some(now + WARMUP_STEP);
        Self { calls: 1.0, warm_at, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Calls in flight allowed now.
    pub(super) fn calls(&self, now: Timestamp) -> u32 {
        if now < self.paused_until { 0 } else { self.calls as u32 }
    }

    /// Until when no call may start.
    pub(super) fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// A call was answered by a target of `slots` slots.
    pub(super) fn answered(&mut self, now: Timestamp, slots: u32) {
        self.refusals = self.refusals.saturating_sub(1);
        let full = f64::from(slots.max(1));
        match self.warm_at {
            Some(at) if now < at => {}
            Some(_) => {
                self.calls = (self.calls.floor() + 1.0).min(full);
                self.warm_at = (self.calls < full).then(|| now + WARMUP_STEP);
            }
            None => self.calls = (self.calls + 1.0 / ANSWERS_PER_STEP / self.calls).min(full),
        }
    }

    /// The target refused a call as busy while `in_flight` others of this entry ran there;
    /// `jitter` is in 0 to 1.
    pub(super) fn refused(&mut self, now: Timestamp, in_flight: u32, jitter: f64) {
        self.calls = (self.calls / 2.0).min(f64::from(in_flight)).max(1.0);
        let pause = FIRST_PAUSE * (1 << self.refusals.min(6));
        self.refusals += 1;
        self.paused_until = now + pause.min(MAX_PAUSE).mul_f64(0.5 + jitter);
    }

    /// Forgets pauses, as after a gap in time.
    pub(super) fn forget_pause(&mut self) {
        self.paused_until = Timestamp::default();
    }
}
