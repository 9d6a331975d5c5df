//! Decides about calls of one service that compete for too few slots.
//!
//! Whether a call can still meet its objective is judged by the run times that its route had lately at the
//! targets as they are, crowded or slow, including their spread. The expected time at an idle target is
//! too short for this: under load, every call would start at the last moment and end late.
//!
//! Late calls leave a slot that has become free to the calls in time of all gateways for a moment. Without
//! this, a gateway that has no call in time at the moment runs late ones in the slots that calls in time
//! at other gateways need.

use super::routes::Route;
use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Fraction of the calls of a route that run no longer than the time counted for one.
const RUN_QUANTILE: f64 = 0.75;
/// Weight of one answer in the learned quantile.
const QUANTILE_WEIGHT: f64 = 0.05;
/// Range of the quantile, in multiples of the expected time at an idle target.
const QUANTILE_RANGE: (f64, f64) = (0.25, 20.0);
/// Upper bound of the time counted for a call, as a fraction of the objective of its route: however slow
/// the targets are, calls that have just arrived count as in time.
const MAX_OBJECTIVE_FRACTION: f64 = 0.75;
/// Time for which a slot has to be free before a late call takes it, as a fraction of the expected time at
/// an idle target. Meanwhile the other gateways, which do not know of each other's calls, can find the
/// slot for calls that can be in time.
const HOLD_FRACTION: f64 = 0.5;

/// What is learned of the calls of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// Quantile of the run times of each route, in multiples of the expected time at an idle target.
    quantiles: IndexMap<Arc<str>, f64>,
}

/// Time that a call needs, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallSeconds {
    /// At an idle, warm target of the usual speed.
    pub(super) base: f64,
    /// To be answered in time with a high probability.
    pub(super) safe: f64,
}

impl Admission {
    /// Records that a call of `route` with the expected time `base` took `seconds`.
    pub(super) fn record_run(&mut self, route: &Route, base: f64, seconds: f64) {
        let old = self.quantile(route);
        // Rises and falls balance where the given fraction of the runs is shorter.
        let step = if seconds > base * old { RUN_QUANTILE } else { RUN_QUANTILE - 1.0 };
        let new = (old * (1.0 + step * QUANTILE_WEIGHT)).clamp(QUANTILE_RANGE.0, QUANTILE_RANGE.1);
        self.quantiles.insert(Arc::clone(&route.name), new);
    }

    /// Returns the time that a call of `route` needs, given its expected time `base` at an idle target.
    pub(super) fn call_seconds(&self, route: &Route, base: f64) -> CallSeconds {
        let limit = route.objective.as_secs_f64() * MAX_OBJECTIVE_FRACTION;
        CallSeconds { base, safe: (base * self.quantile(route)).min(limit) }
    }

    fn quantile(&self, route: &Route) -> f64 {
        self.quantiles.get(&route.name).copied().unwrap_or(1.0)
    }
}

impl CallSeconds {
    /// Returns the time for which a slot has to be free before a call with this objective takes it.
    pub(super) fn hold_time(self, now: Timestamp, objective: Timestamp) -> Duration {
        let is_late = now + Duration::from_secs_f64(self.safe) > objective;
        Duration::from_secs_f64(if is_late { self.base * HOLD_FRACTION } else { 0.0 })
    }
}
