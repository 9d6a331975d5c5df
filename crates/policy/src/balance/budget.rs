//! Budget of second tries over a sliding window, one part of a budget that all gateways share.
//!
//! Nothing is coordinated: each gateway allows itself a ratio of the first tries that it has seen
//! itself, plus its part of a fixed slack. The sum over all gateways then stays within the budget
//! of the fleet whatever way calls are spread, also after restarts, which begin with no credit.

use crate::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Buckets in which a window is counted; older ones are dropped one at a time.
const BUCKETS: u32 = 20;

/// First and second tries in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first: u32,
    second: u32,
}

/// Second tries allowed within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    width: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget of `ratio` second tries per first try, plus `slack` in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let width = (window / BUCKETS).max(Duration::from_millis(1));
        Self { ratio, slack, width, buckets: VecDeque::new() }
    }

    /// Changes ratio, slack and window; what was counted stays counted.
    pub fn configure(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.width = (window / BUCKETS).max(Duration::from_millis(1));
    }

    /// Counts a first try.
    pub fn record_call(&mut self, now: Timestamp) {
        self.bucket(now).first += 1;
    }

    /// Second tries that are left now.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        let allowed = self.allowed(now);
        let second: u32 = self.buckets.iter().map(|b| b.second).sum();
        allowed - f64::from(second)
    }

    /// Second tries that the window allows, those that were made included.
    pub fn allowed(&mut self, now: Timestamp) -> f64 {
        self.calls(now) * self.ratio + self.slack
    }

    /// First tries in the window.
    pub fn calls(&mut self, now: Timestamp) -> f64 {
        self.bucket(now);
        let first: u32 = self.buckets.iter().map(|b| b.first).sum();
        f64::from(first)
    }

    /// Takes one second try if more than `reserve` would be left.
    pub fn try_take(&mut self, now: Timestamp, reserve: f64) -> bool {
        if self.remaining(now) < 1.0 + reserve {
            return false;
        }
        self.bucket(now).second += 1;
        true
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let number = now.as_micros() / (self.width.as_micros() as u64).max(1);
        // One bucket more than the window, since the oldest one is only partly inside.
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
