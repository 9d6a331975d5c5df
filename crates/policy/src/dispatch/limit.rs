//! Adaptive concurrency limit for one target.
//!
//! Additive increase, multiplicative decrease between one call and the number of slots of the
//! target: refusals lower the limit, answers raise it. The limit of a cold target starts at one and
//! rises by at most one per interval.

use crate::Timestamp;
use std::time::Duration;

/// Number of answers per allowed call that raise the limit by one.
const ANSWERS_PER_STEP: f64 = 4.0;
/// Minimum time between two increases for a cold target.
const WARMUP_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a first refusal, before jitter; doubles with further refusals.
const BASE_PAUSE: Duration = Duration::from_millis(1);
/// Upper bound of the pause, before jitter.
const MAX_PAUSE: Duration = Duration::from_millis(64);
/// Maximum number of times the pause doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Lower bound of the random factor on a pause; the upper bound is higher by 1.
const MIN_JITTER: f64 = 0.5;
/// Divisor by which a refusal lowers the limit.
const DECREASE_DIVISOR: f64 = 2.0;

/// Limit on the calls that this entry may have in flight at one target.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// When the limit may rise next, while the target is cold.
    next_step_at: Option<Timestamp>,
    /// Recent refusals; each answer subtracts one.
    refusals: u32,
    paused_until: Timestamp,
}

impl ConcurrencyLimit {
    /// Creates a limit of `slots`, for a target that is assumed to be warm.
    pub(super) fn warm(slots: u32) -> Self {
        let limit = f64::from(slots.max(1));
        Self { limit, next_step_at: None, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Creates a limit of one call, for a target that is assumed to be cold.
    pub(super) fn cold(now: Timestamp) -> Self {
        let next_step_at = Some(now + WARMUP_INTERVAL);
        Self { limit: 1.0, next_step_at, refusals: 0, paused_until: Timestamp::default() }
    }

    /// Returns the number of calls that may be in flight at `now`.
    pub(super) fn allowed(&self, now: Timestamp) -> u32 {
        if now < self.paused_until { 0 } else { self.limit as u32 }
    }

    /// Returns the end of the current pause, during which no call may start.
    pub(super) fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// Records an answer by a target that has `slots` slots.
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

    /// Records that the target refused a call as busy while `in_flight` other calls of this entry
    /// ran there. `jitter` is in `0.0..1.0`.
    pub(super) fn record_refusal(&mut self, now: Timestamp, in_flight: u32, jitter: f64) {
        self.limit = (self.limit / DECREASE_DIVISOR).min(f64::from(in_flight)).max(1.0);
        let pause = BASE_PAUSE * (1 << self.refusals.min(MAX_DOUBLINGS));
        self.refusals += 1;
        self.paused_until = now + pause.min(MAX_PAUSE).mul_f64(MIN_JITTER + jitter);
    }

    /// Clears the pause. Used after the process was paused.
    pub(super) fn clear_pause(&mut self) {
        self.paused_until = Timestamp::default();
    }
}
