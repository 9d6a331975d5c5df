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
pub struct WindowBudget {
    ratio: f64,
    slack: f64,
    width: Duration,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// A budget of `ratio` second tries per first try, plus `slack` in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let width = (window / BUCKETS).max(Duration::from_millis(1));
        Self { ratio, slack, width, buckets: VecDeque::new() }
    }

    /// Changes ratio, slack and window; what was counted stays counted.
    pub fn set(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.width = (window / BUCKETS).max(Duration::from_millis(1));
    }

    /// Counts a first try.
    pub fn first(&mut self, now: Timestamp) {
        self.bucket(now).first += 1;
    }

    /// Second tries that are left now.
    pub fn left(&mut self, now: Timestamp) -> f64 {
        let total = self.total(now);
        let second: u32 = self.buckets.iter().map(|b| b.second).sum();
        total - f64::from(second)
    }

    /// Second tries that the window allows, those that were made included.
    pub fn total(&mut self, now: Timestamp) -> f64 {
        self.firsts(now) * self.ratio + self.slack
    }

    /// First tries in the window.
    pub fn firsts(&mut self, now: Timestamp) -> f64 {
        self.bucket(now);
        let first: u32 = self.buckets.iter().map(|b| b.first).sum();
        f64::from(first)
    }

    /// Takes one second try if more than `reserve` would be left.
    pub fn take(&mut self, now: Timestamp, reserve: f64) -> bool {
        if self.left(now) < 1.0 + reserve {
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
