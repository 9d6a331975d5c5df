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
const HOLD_FRACTION: f64 = 0.3;
/// Interval at which late waiting calls are checked for whether they can still be answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time constant with which earlier starts are forgotten.
const START_MEMORY: Duration = Duration::from_millis(1_500);
/// Upper bound of the time between two looks at the waiting calls that counts as waiting. While calls wait,
/// they are looked at far more often.
const MAX_GAP: Duration = Duration::from_millis(50);
/// Time for which the rate that the capacity of all targets suggests is assumed to have been observed.
const ASSUMED_SECONDS: f64 = 0.5;

/// What is learned of the calls of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// Quantile of the run times of each route, in multiples of the expected time at an idle target.
    quantiles: IndexMap<Arc<str>, f64>,
    starts: StartRate,
    late_starts: StartRate,
    /// When the late waiting calls are checked next.
    next_check: Timestamp,
}

/// Rate at which calls of this gateway start while others wait.
///
/// Other gateways use the same targets, so the rate can be far below the capacity of the targets.
#[derive(Clone, Copy, Debug, Default)]
struct StartRate {
    /// Starts while calls waited, with exponentially decaying weights.
    starts: f64,
    /// Seconds in which calls waited, with the same weights.
    seconds: f64,
    /// Up to when the seconds are counted.
    until: Timestamp,
    /// Whether calls wait since then.
    is_waiting: bool,
}

impl StartRate {
    fn advance(&mut self, now: Timestamp, is_waiting: bool) {
        if self.is_waiting {
            let elapsed = now.since(self.until).min(MAX_GAP).as_secs_f64();
            let kept = (-elapsed / START_MEMORY.as_secs_f64()).exp();
            self.starts *= kept;
            self.seconds = self.seconds * kept + elapsed;
        }
        self.until = now;
        self.is_waiting = is_waiting;
    }

    fn record(&mut self, now: Timestamp) {
        if self.is_waiting {
            self.advance(now, true);
            self.starts += 1.0;
        }
    }

    /// Returns the expected seconds until `count` calls have started, for which all targets together need
    /// `seconds`.
    fn seconds_for(&self, count: f64, seconds: f64) -> f64 {
        if count <= 0.0 || seconds <= 0.0 {
            return 0.0;
        }
        let assumed = count / seconds * ASSUMED_SECONDS;
        count * (self.seconds + ASSUMED_SECONDS) / (self.starts + assumed)
    }
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

    /// Records whether calls wait from now on, and whether late ones do.
    pub(super) fn record_waiting(&mut self, now: Timestamp, any: bool, late: bool) {
        self.starts.advance(now, any);
        self.late_starts.advance(now, late);
    }

    /// Records that a call starts.
    pub(super) fn record_start(&mut self, now: Timestamp, late: bool) {
        self.starts.record(now);
        if late {
            self.late_starts.record(now);
        }
    }

    /// Returns whether the late waiting calls have to be checked now, and notes that they are.
    pub(super) fn take_check_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Returns the expected seconds until `ahead` calls have started, for which all targets together need
    /// `seconds`. If `late`, they are late calls.
    pub(super) fn start_seconds(&self, ahead: usize, seconds: f64, late: bool) -> f64 {
        let starts = if late { &self.late_starts } else { &self.starts };
        starts.seconds_for(ahead as f64, seconds)
    }

    fn quantile(&self, route: &Route) -> f64 {
        self.quantiles.get(&route.name).copied().unwrap_or(1.0)
    }
}

impl CallSeconds {
    /// Returns the time for which a slot has to be free before a call with this objective takes it.
    pub(super) fn hold_time(self, now: Timestamp, objective: Timestamp) -> Duration {
        let is_late = self.is_late(now, objective);
        Duration::from_secs_f64(if is_late { self.base * HOLD_FRACTION } else { 0.0 })
    }

    /// Returns whether a call that starts now will probably miss its objective.
    pub(super) fn is_late(self, now: Timestamp, objective: Timestamp) -> bool {
        objective < now + Duration::from_secs_f64(self.safe)
    }
}
