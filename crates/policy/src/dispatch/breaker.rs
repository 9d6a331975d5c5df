//! Circuit breaker for one target.
//!
//! The breaker opens after a number of consecutive failures or when the failure ratio is high.
//! After a jittered delay, a single trial call decides whether it closes. The delay is doubled if
//! the breaker opens again before its window of outcomes is without failures.
//!
//! Only one trial is in flight at a time, because a half-open breaker that lets normal traffic
//! through oscillates. A fast failure counts like a slow one, so a target that fails fast is not
//! mistaken for a healthy one. (Source: the article "Cascading Failure"; see
//! docs/design/20-dispatch.md.)

use crate::Timestamp;
use std::time::Duration;

/// Number of consecutive failures that opens the breaker.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Failure ratio above which the breaker opens.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Minimum number of outcomes before the failure ratio is evaluated.
const MIN_OUTCOMES: f64 = 8.0;
/// Number of outcomes after which older ones decay exponentially.
const WINDOW_OUTCOMES: f64 = 20.0;
/// Time until the first trial, before jitter.
const BASE_OPEN_TIME: Duration = Duration::from_millis(250);
/// Maximum number of times the open time doubles.
const MAX_DOUBLINGS: u32 = 1;
/// Lower bound of the random factor on the open time; the upper bound is higher by 1.
const MIN_JITTER: f64 = 0.5;
/// Decayed number of failures below which the window of outcomes counts as without failures.
const CLEAN_WINDOW_FAILURES: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Timestamp },
    HalfOpen,
}

/// Which calls the breaker allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// Any number of calls.
    Any,
    /// A single trial call that checks whether the target has recovered.
    Trial,
    /// No calls.
    Denied,
}

/// Circuit breaker for one target.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    state: State,
    consecutive_failures: u32,
    /// Failures among `outcomes`.
    failures: f64,
    /// Recorded outcomes; older ones decay exponentially.
    outcomes: f64,
    /// Number of times the breaker opened since its window of outcomes was last without failures.
    openings: u32,
}

impl Breaker {
    /// Creates a closed breaker without history.
    pub(super) fn new() -> Self {
        Self {
            state: State::Closed,
            consecutive_failures: 0,
            failures: 0.0,
            outcomes: 0.0,
            openings: 0,
        }
    }

    /// Returns which calls are allowed at `now`.
    pub(super) fn permit(&self, now: Timestamp) -> Permit {
        match self.state {
            State::Closed => Permit::Any,
            State::Open { until } if now >= until => Permit::Trial,
            State::Open { .. } | State::HalfOpen => Permit::Denied,
        }
    }

    /// Returns when the next trial is due, or `None` if the breaker is not open.
    pub(super) fn trial_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen => None,
        }
    }

    /// Returns whether the breaker is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Marks the trial call as in flight.
    pub(super) fn start_trial(&mut self) {
        self.state = State::HalfOpen;
    }

    /// Returns to the open state after a trial that ended without a result, for example because it
    /// was cancelled or refused.
    pub(super) fn abort_trial(&mut self, now: Timestamp) {
        if self.state == State::HalfOpen {
            self.state = State::Open { until: now + BASE_OPEN_TIME };
        }
    }

    /// Records a success. Returns whether it closed the breaker.
    pub(super) fn record_success(&mut self) -> bool {
        self.record_outcome(0.0);
        self.consecutive_failures = 0;
        if self.state == State::HalfOpen {
            let openings = self.openings;
            *self = Self::new();
            self.openings = openings;
            return true;
        }
        if self.outcomes >= WINDOW_OUTCOMES - 1.0 && self.failures < CLEAN_WINDOW_FAILURES {
            self.openings = 0;
        }
        false
    }

    /// Records a failure. A closed breaker opens only if `may_open` is set; `jitter` is in
    /// `0.0..1.0`.
    pub(super) fn record_failure(&mut self, now: Timestamp, may_open: bool, jitter: f64) {
        self.record_outcome(1.0);
        self.consecutive_failures += 1;
        let is_frequent =
            self.outcomes >= MIN_OUTCOMES && self.failures > self.outcomes * MAX_FAILURE_RATIO;
        let is_tripped = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || is_frequent;
        match self.state {
            State::Closed if is_tripped && may_open => self.open(now, jitter),
            State::HalfOpen => self.open(now, jitter),
            State::Closed | State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Timestamp, jitter: f64) {
        let open_time = BASE_OPEN_TIME * (1 << self.openings.min(MAX_DOUBLINGS));
        self.openings += 1;
        self.state = State::Open { until: now + open_time.mul_f64(MIN_JITTER + jitter) };
    }

    fn record_outcome(&mut self, failure: f64) {
        if self.outcomes >= WINDOW_OUTCOMES {
            let decay = 1.0 - 1.0 / WINDOW_OUTCOMES;
            self.outcomes *= decay;
            self.failures *= decay;
        }
        self.outcomes += 1.0;
        self.failures += failure;
    }
}
