//! Token buckets that limit retries, hedges, redirects and probes.

use crate::Timestamp;
use std::time::Duration;

/// Number of first attempts whose tokens an idle budget accumulates, which bounds bursts.
const BURST_FIRST_ATTEMPTS: f64 = 100.0;
/// Upper bound of the time until the next probe is affordable, in µs.
const MAX_PROBE_WAIT_US: f64 = 1e15;

/// Limits further attempts to a ratio of first attempts.
///
/// Over any period, the number of further attempts is at most `ratio` times the first attempts of
/// that period plus a burst of `ratio` times 100, or of one if that is more and `ratio` is not
/// zero. The bucket starts full.
#[derive(Clone, Debug)]
pub(super) struct RatioBudget {
    ratio: f64,
    tokens: f64,
}

impl RatioBudget {
    /// Creates a full budget that allows `ratio` further attempts per first attempt.
    pub(super) fn new(ratio: f64) -> Self {
        let mut budget = Self { ratio: non_negative(ratio), tokens: 0.0 };
        budget.tokens = budget.burst();
        budget
    }

    /// Changes the ratio. Tokens above the new burst size are discarded.
    pub(super) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = non_negative(ratio);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Adds the tokens earned by one first attempt.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst());
    }

    /// Takes the token for one further attempt. Returns whether one was available.
    pub(super) fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn burst(&self) -> f64 {
        (self.ratio * BURST_FIRST_ATTEMPTS).max(if self.ratio > 0.0 { 1.0 } else { 0.0 })
    }
}

/// Limits the target time spent on probes per second.
#[derive(Clone, Debug)]
pub(super) struct ProbeTimeBudget {
    /// Target time earned, in seconds per second.
    share: f64,
    /// Target time that one probe takes, which is also the capacity of the bucket.
    cost_us: f64,
    tokens_us: f64,
    refilled_at: Option<Timestamp>,
}

impl ProbeTimeBudget {
    /// Creates an empty budget of `share` seconds of target time per second, where each probe takes
    /// `cost`.
    pub(super) fn new(share: f64, cost: Duration) -> Self {
        let mut budget = Self { share: 0.0, cost_us: 0.0, tokens_us: 0.0, refilled_at: None };
        budget.update(share, cost);
        budget
    }

    /// Changes share and cost. Tokens above the new capacity are discarded.
    pub(super) fn update(&mut self, share: f64, cost: Duration) {
        self.share = non_negative(share);
        self.cost_us = (cost.as_micros() as f64).max(1.0);
        self.tokens_us = self.tokens_us.min(self.cost_us);
    }

    /// Takes the tokens for one probe. Returns whether enough were available. The bucket holds at
    /// most the tokens for one probe.
    pub(super) fn try_withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens_us < self.cost_us {
            return false;
        }
        self.tokens_us -= self.cost_us;
        true
    }

    /// Returns the time until the next probe is affordable, or `None` if the share is zero.
    pub(super) fn time_to_next(&mut self, now: Timestamp) -> Option<Duration> {
        self.refill(now);
        if self.share <= 0.0 {
            return None;
        }
        let missing_us = (self.cost_us - self.tokens_us).max(0.0);
        Some(Duration::from_micros(
            (missing_us / self.share).ceil().min(MAX_PROBE_WAIT_US) as u64 + 1,
        ))
    }

    /// Discards all tokens.
    pub(super) fn reset(&mut self, now: Timestamp) {
        self.tokens_us = 0.0;
        self.refilled_at = Some(now);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_us = now.since(*self.refilled_at.get_or_insert(now)).as_micros() as f64;
        self.refilled_at = self.refilled_at.max(Some(now));
        self.tokens_us = (self.tokens_us + elapsed_us * self.share).min(self.cost_us);
    }
}

/// Maps negative and non-finite ratios to zero.
fn non_negative(ratio: f64) -> f64 {
    if ratio.is_finite() { ratio.max(0.0) } else { 0.0 }
}
