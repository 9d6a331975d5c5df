//! Circuit breaker of one target.
//!
//! Opens after consecutive failures or at a high share of failures; after a jittered pause that
//! doubles with each opening, one trial call decides. ("Cascading Failure": a breaker whose
//! half-open trials send real traffic oscillates, and a target that fails fast must not pass for
//! a healthy one.)

use crate::Timestamp;
use std::time::Duration;

/// Failures in a row that open the breaker.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Share of failures that opens the breaker.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Outcomes below which the share tells nothing.
const MIN_OUTCOMES: f64 = 8.0;
/// Outcomes over which the share forgets.
const WINDOW_OUTCOMES: f64 = 20.0;
/// First pause.
const BASE_OPEN_TIME: Duration = Duration::from_millis(250);
/// Doublings of the pause.
const MAX_DOUBLINGS: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Timestamp },
    HalfOpen,
}

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// Calls.
    Any,
    /// One call, to see whether the target is back.
    Trial,
    /// Nothing.
    Denied,
}

/// Circuit breaker of one target.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    state: State,
    consecutive: u32,
    failures: f64,
    outcomes: f64,
    openings: u32,
}

impl Breaker {
    /// A closed breaker without history.
    pub(super) fn new() -> Self {
        Self { state: State::Closed, consecutive: 0, failures: 0.0, outcomes: 0.0, openings: 0 }
    }

    /// What may pass now.
    pub(super) fn permit(&self, now: Timestamp) -> Permit {
        match self.state {
            State::Closed => Permit::Any,
            State::Open { until } if now >= until => Permit::Trial,
            State::Open { .. } | State::HalfOpen => Permit::Denied,
        }
    }

    /// When the next trial is due, while open.
    pub(super) fn trial_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen => None,
        }
    }

    /// Whether calls may pass.
    pub(super) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// The trial starts.
    pub(super) fn start_trial(&mut self) {
        self.state = State::HalfOpen;
    }

    /// The trial ended without telling anything, as after a cancellation or a refusal.
    pub(super) fn abort_trial(&mut self, now: Timestamp) {
        if self.state == State::HalfOpen {
            self.state = State::Open { until: now + BASE_OPEN_TIME };
        }
    }

    /// A call succeeded. Returns whether that closed the breaker.
    pub(super) fn record_success(&mut self) -> bool {
        self.record_outcome(0.0);
        self.consecutive = 0;
        if self.state == State::HalfOpen {
            let openings = self.openings;
            *self = Self::new();
            self.openings = openings;
            return true;
        }
        if self.outcomes >= WINDOW_OUTCOMES - 1.0 && self.failures < 0.5 {
            self.openings = 0;
        }
        false
    }

    /// A call failed. Opens the breaker when `may_open`; `jitter` is in 0 to 1.
    pub(super) fn record_failure(&mut self, now: Timestamp, may_open: bool, jitter: f64) {
        self.record_outcome(1.0);
        self.consecutive += 1;
        let is_frequent =
            self.outcomes >= MIN_OUTCOMES && self.failures > self.outcomes * MAX_FAILURE_RATIO;
        let is_tripped = self.consecutive >= MAX_CONSECUTIVE_FAILURES || is_frequent;
        match self.state {
            State::Closed if is_tripped && may_open => self.open(now, jitter),
            State::HalfOpen => self.open(now, jitter),
            State::Closed | State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Timestamp, jitter: f64) {
        let open_time = BASE_OPEN_TIME * (1 << self.openings.min(MAX_DOUBLINGS));
        self.openings += 1;
        self.state = State::Open { until: now + open_time.mul_f64(0.5 + jitter) };
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
