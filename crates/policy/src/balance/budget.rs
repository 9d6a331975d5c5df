//! Retry budget over a sliding window: this gateway's part of a budget that all gateways share.
//!
//! Extra attempts are retries and hedges. Nothing is coordinated: each gateway allows itself a
//! ratio of the calls that it received, plus its part of a fixed slack. The sum over all gateways
//! therefore stays within the budget of the fleet however calls are distributed, also after
//! restarts, which begin with no credit for earlier calls.

use crate::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Number of buckets per window; expired buckets are dropped one at a time.
const BUCKETS: u32 = 20;
/// Lower bound of the time that one bucket covers.
const MIN_BUCKET_WIDTH: Duration = Duration::from_millis(1);

/// Calls and extra attempts counted in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Time since the origin, in bucket widths.
    number: u64,
    calls: u32,
    extra: u32,
}

/// Limits extra attempts (retries and hedges) within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    /// Duration that one bucket covers.
    width: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` extra attempts per call, plus `slack` in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let width = (window / BUCKETS).max(MIN_BUCKET_WIDTH);
        Self { ratio, slack, width, buckets: VecDeque::new() }
    }

    /// Changes ratio, slack and window. Recorded counts are kept, each at the start of its bucket.
    pub fn configure(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        let old = std::mem::replace(&mut self.width, (window / BUCKETS).max(MIN_BUCKET_WIDTH));
        if old != self.width {
            self.renumber(old);
        }
    }

    /// Moves the counts from buckets of the width `old` to those of the present one.
    fn renumber(&mut self, old: Duration) {
        for bucket in std::mem::take(&mut self.buckets) {
            let number = bucket.number * width_us(old) / width_us(self.width);
            match self.buckets.back_mut() {
                Some(last) if last.number == number => {
                    last.calls += bucket.calls;
                    last.extra += bucket.extra;
                }
                _ => self.buckets.push_back(Bucket { number, ..bucket }),
            }
        }
    }

    /// Records a new call.
    pub fn record_call(&mut self, now: Timestamp) {
        self.bucket(now).calls += 1;
    }

    /// Returns the extra attempts that remain now; negative if the limit has dropped below the
    /// number already made.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        let allowed = self.allowed(now);
        let extra: u32 = self.buckets.iter().map(|b| b.extra).sum();
        allowed - f64::from(extra)
    }

    /// Returns the extra attempts that the window allows, including those already made.
    pub fn allowed(&mut self, now: Timestamp) -> f64 {
        self.calls(now) * self.ratio + self.slack
    }

    /// Returns the number of calls in the window.
    pub fn calls(&mut self, now: Timestamp) -> f64 {
        self.bucket(now);
        let calls: u32 = self.buckets.iter().map(|b| b.calls).sum();
        f64::from(calls)
    }

    /// Takes one extra attempt if at least `reserve` would remain. Returns whether it was taken.
    pub fn try_take(&mut self, now: Timestamp, reserve: f64) -> bool {
        if self.remaining(now) < 1.0 + reserve {
            return false;
        }
        self.bucket(now).extra += 1;
        true
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let number = now.as_micros() / width_us(self.width);
        // Keep one bucket more than the window, since the oldest one is only partly inside it.
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

/// Returns the width of a bucket in µs, at least 1.
fn width_us(width: Duration) -> u64 {
    (width.as_micros() as u64).max(1)
}
