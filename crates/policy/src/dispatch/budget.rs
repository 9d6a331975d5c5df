//! Budgets for work beyond first tries.

use crate::Timestamp;
use std::time::Duration;

/// First tries that an idle budget remembers, as a limit on bursts.
const BURST_FIRST_ATTEMPTS: f64 = 100.0;

/// Second tries allowed as a share of first tries.
///
/// Over any stretch of time the second tries stay within `ratio` times the first tries of that
/// stretch plus a burst of `ratio` times 100, which is there at the start.
#[derive(Clone, Debug)]
pub(super) struct RatioBudget {
    ratio: f64,
    tokens: f64,
}

impl RatioBudget {
    /// A budget of `ratio` second tries per first try.
    pub(super) fn new(ratio: f64) -> Self {
        let mut budget = Self { ratio: non_negative(ratio), tokens: 0.0 };
        budget.tokens = budget.burst();
        budget
    }

    /// Changes the ratio; what has been saved above the new burst is lost.
    pub(super) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = non_negative(ratio);
        self.tokens = self.tokens.min(self.burst());
    }

    /// A first try was made.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst());
    }

    /// Takes one second try if the budget has it.
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

/// Target time that may be spent per second, saved up for a limited time.
#[derive(Clone, Debug)]
pub(super) struct ProbeBudget {
    share: f64,
    cost_us: f64,
    tokens_us: f64,
    refilled_at: Option<Timestamp>,
}

impl ProbeBudget {
    /// An empty budget: `share` seconds of target time a second, `cost` of it per probe.
    pub(super) fn new(share: f64, cost: Duration) -> Self {
        let mut budget = Self { share: 0.0, cost_us: 0.0, tokens_us: 0.0, refilled_at: None };
        budget.update(share, cost);
        budget
    }

    /// Changes share and cost; what has been saved stays within the new limit.
    pub(super) fn update(&mut self, share: f64, cost: Duration) {
        self.share = non_negative(share);
        self.cost_us = (cost.as_micros() as f64).max(1.0);
        self.tokens_us = self.tokens_us.min(self.cost_us);
    }

    /// Takes the cost of one probe if it has been saved up. At most one probe's cost is kept.
    pub(super) fn try_withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens_us < self.cost_us {
            return false;
        }
        self.tokens_us -= self.cost_us;
        true
    }

    /// Time until the next probe is affordable, or nothing when there is no budget at all.
    pub(super) fn time_to_next(&mut self, now: Timestamp) -> Option<Duration> {
        self.refill(now);
        if self.share <= 0.0 {
            return None;
        }
        let missing_us = (self.cost_us - self.tokens_us).max(0.0);
        Some(Duration::from_micros((missing_us / self.share).ceil().min(1e15) as u64 + 1))
    }

    /// Loses what has been saved up.
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

fn non_negative(ratio: f64) -> f64 {
    if ratio.is_finite() { ratio.max(0.0) } else { 0.0 }
}
