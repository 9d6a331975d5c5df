//! Budgets for work beyond first tries.

use crate::Timestamp;
use std::time::Duration;

/// First tries that an idle budget remembers, as a limit on bursts.
const MEMORY_TRIES: f64 = 100.0;

/// Second tries allowed as a share of first tries.
///
/// Over any stretch of time the second tries stay within `ratio` times the first tries of that
/// stretch plus a burst of `ratio` times 100, which is there at the start.
#[derive(Clone, Debug)]
pub(super) struct ShareBudget {
    ratio: f64,
    tokens: f64,
}

impl ShareBudget {
    /// A budget of `ratio` second tries per first try.
    pub(super) fn new(ratio: f64) -> Self {
        let mut budget = Self { ratio: sound(ratio), tokens: 0.0 };
        budget.tokens = budget.burst();
        budget
    }

    /// Changes the ratio; what has been saved above the new burst is lost.
    pub(super) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = sound(ratio);
        self.tokens = self.tokens.min(self.burst());
    }

    /// A first try was made.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst());
    }

    /// Takes one second try if the budget has it.
    pub(super) fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn burst(&self) -> f64 {
        (self.ratio * MEMORY_TRIES).max(if self.ratio > 0.0 { 1.0 } else { 0.0 })
    }
}

/// Target time that may be spent per second, saved up for a limited time.
#[derive(Clone, Debug)]
pub(super) struct TimeBudget {
    share: f64,
    cost_us: f64,
    saved_us: f64,
    at: Option<Timestamp>,
}

impl TimeBudget {
    /// An empty budget: `share` seconds of target time a second, `cost` of it per probe.
    pub(super) fn new(share: f64, cost: Duration) -> Self {
        let mut budget = Self { share: 0.0, cost_us: 0.0, saved_us: 0.0, at: None };
        budget.set(share, cost);
        budget
    }

    /// Changes share and cost; what has been saved stays within the new limit.
    pub(super) fn set(&mut self, share: f64, cost: Duration) {
        self.share = sound(share);
        self.cost_us = (cost.as_micros() as f64).max(1.0);
        self.saved_us = self.saved_us.min(self.cost_us);
    }

    /// Takes the cost of one probe if it has been saved up. At most one probe's cost is kept.
    pub(super) fn take(&mut self, now: Timestamp) -> bool {
        self.advance(now);
        if self.saved_us < self.cost_us {
            return false;
        }
        self.saved_us -= self.cost_us;
        true
    }

    /// Time until the next probe is affordable, or nothing when there is no budget at all.
    pub(super) fn wait(&mut self, now: Timestamp) -> Option<Duration> {
        self.advance(now);
        if self.share <= 0.0 {
            return None;
        }
        let missing = (self.cost_us - self.saved_us).max(0.0);
        Some(Duration::from_micros((missing / self.share).ceil().min(1e15) as u64 + 1))
    }

    /// Loses what has been saved up.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.saved_us = 0.0;
        self.at = Some(now);
    }

    fn advance(&mut self, now: Timestamp) {
        let since = now.since(*self.at.get_or_insert(now)).as_micros() as f64;
        self.at = self.at.max(Some(now));
        self.saved_us = (self.saved_us + since * self.share).min(self.cost_us);
    }
}

fn sound(ratio: f64) -> f64 {
    if ratio.is_finite() { ratio.max(0.0) } else { 0.0 }
}
