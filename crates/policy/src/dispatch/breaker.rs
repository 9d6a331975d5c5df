//! Circuit breaker of one target.
//!
//! Opens after consecutive failures or at a high share of failures; after a jittered pause that
//! doubles with each opening, one trial call decides. ("Cascading Failure": a breaker whose
//! half-open trials send real traffic oscillates, and a target that fails fast must not pass for
//! a healthy one.)

use crate::Timestamp;
use std::time::Duration;

/// Failures in a row that open the breaker.
const MAX_CONSECUTIVE: u32 = 5;
/// Share of failures that opens the breaker.
const MAX_FAILURES: f64 = 0.5;
/// Outcomes below which the share tells nothing.
const MIN_OUTCOMES: f64 = 8.0;
/// Outcomes over which the share forgets.
const MEMORY_OUTCOMES: f64 = 20.0;
/// First pause.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Doublings of the pause.
const MAX_DOUBLINGS: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Timestamp },
    Trial,
}

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Passage {
    /// Calls.
    Calls,
    /// One call, to see whether the target is back.
    Trial,
    /// Nothing.
    Nothing,
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
    pub(super) fn passage(&self, now: Timestamp) -> Passage {
        match self.state {
            State::Closed => Passage::Calls,
            State::Open { until } if now >= until => Passage::Trial,
            State::Open { .. } | State::Trial => Passage::Nothing,
        }
    }

    /// When the next trial is due, while open.
    pub(super) fn trial_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::Trial => None,
        }
    }

    /// Whether calls may pass.
    pub(super) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// The trial starts.
    pub(super) fn start_trial(&mut self) {
        self.state = State::Trial;
    }

    /// The trial ended without telling anything, as after a cancellation or a refusal.
    pub(super) fn void_trial(&mut self, now: Timestamp) {
        if self.state == State::Trial {
            self.state = State::Open { until: now + FIRST_PAUSE };
        }
    }

    /// A call succeeded. Returns whether that closed the breaker.
    pub(super) fn succeeded(&mut self) -> bool {
        self.count(0.0);
        self.consecutive = 0;
        if self.state == State::Trial {
            let openings = self.openings;
            *self = Self::new();
            self.openings = openings;
            return true;
        }
        if self.outcomes >= MEMORY_OUTCOMES - 1.0 && self.failures < 0.5 {
            self.openings = 0;
        }
        false
    }

    /// A call failed. Opens the breaker when `may_open`; `jitter` is in 0 to 1.
    pub(super) fn failed(&mut self, now: Timestamp, may_open: bool, jitter: f64) {
        self.count(1.0);
        self.consecutive += 1;
        let often = self.outcomes >= MIN_OUTCOMES && self.failures > self.outcomes * MAX_FAILURES;
        let due = self.consecutive >= MAX_CONSECUTIVE || often;
        match self.state {
            State::Closed if due && may_open => self.open(now, jitter),
            State::Trial => self.open(now, jitter),
            State::Closed | State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Timestamp, jitter: f64) {
        let pause = FIRST_PAUSE * (1 << self.openings.min(MAX_DOUBLINGS));
        self.openings += 1;
        self.state = State::Open { until: now + pause.mul_f64(0.5 + jitter) };
    }

    fn count(&mut self, failure: f64) {
        if self.outcomes >= MEMORY_OUTCOMES {
            let keep = 1.0 - 1.0 / MEMORY_OUTCOMES;
            self.outcomes *= keep;
            self.failures *= keep;
        }
        self.outcomes += 1.0;
        self.failures += failure;
    }
}
