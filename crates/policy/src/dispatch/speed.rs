//! How slow a target is, seen from the entry's own calls alone.
//!
//! The estimate is exposure over completions: slot time spent at the target, in units of the mean
//! service time of the operations run there, divided by the number of calls that completed. Calls
//! still in flight add exposure as they age, so that a stalled target is seen before it answers.
//! Both sums forget exponentially, so that a target without recent calls returns to the prior.

use crate::Timestamp;
use std::time::Duration;

/// Mean service times after which exposure and completions have decayed to 1/e.
const MEMORY_SERVICES: f64 = 8.0;
/// Bounds of the memory.
const MIN_MEMORY: Duration = Duration::from_millis(30);
const MAX_MEMORY: Duration = Duration::from_secs(2);
/// Completions beyond which older ones count less.
const MAX_COMPLETIONS: f64 = 6.0;
/// Weight of the prior, in completions of mean length.
const PRIOR: f64 = 2.0;
/// Exposure assumed for each call in flight when a further one is to start, so that a target about
/// which little is known gets one call before it gets two.
const CAUTION: f64 = 1.0;
/// Exposure charged for an answer that tells of a fault.
const FAULT_EXPOSURE: f64 = 4.0;

/// Exposure and completions of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Speed {
    exposure: f64,
    completions: f64,
    /// Sum of 1 / mean service time over the calls in flight, per µs.
    running: f64,
    in_flight: u32,
    at: Timestamp,
}

/// Time after which earlier exposure has decayed to 1/e, given the mean service time.
pub(super) fn memory_us(mean_us: f64) -> f64 {
    let (min, max) = (MIN_MEMORY.as_micros() as f64, MAX_MEMORY.as_micros() as f64);
    (mean_us * MEMORY_SERVICES).clamp(min, max)
}

impl Speed {
    /// A call with the given expected service time starts.
    pub(super) fn start(&mut self, now: Timestamp, memory_us: f64, expected_us: f64) {
        self.advance(now, memory_us);
        self.running += 1.0 / expected_us.max(1.0);
        self.in_flight += 1;
    }

    /// A call that had been expected to take `expected_us` leaves the target.
    pub(super) fn end(&mut self, now: Timestamp, memory_us: f64, expected_us: f64) {
        self.advance(now, memory_us);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.running -= 1.0 / expected_us.max(1.0);
        if self.in_flight == 0 || self.running < 0.0 {
            self.running = 0.0;
        }
    }

    /// The call that just left had been answered.
    pub(super) fn complete(&mut self) {
        self.completions += 1.0;
        if self.completions > MAX_COMPLETIONS {
            self.exposure *= MAX_COMPLETIONS / self.completions;
            self.completions = MAX_COMPLETIONS;
        }
    }

    /// The call that just left brought a fault in place of a result.
    pub(super) fn fault(&mut self) {
        self.exposure += FAULT_EXPOSURE;
    }

    /// Slowness relative to the mean of all targets: 1 is the mean, more is slower.
    pub(super) fn slowness(&self, now: Timestamp, memory_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, memory_us);
        (exposure + PRIOR) / (completions + PRIOR)
    }

    /// Slowness to reckon with for one more call.
    pub(super) fn slowness_of_next(&self, now: Timestamp, memory_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, memory_us);
        let caution = CAUTION * f64::from(self.in_flight);
        (exposure + caution + PRIOR) / (completions + PRIOR)
    }

    /// Forgets everything but the calls in flight.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.exposure = 0.0;
        self.completions = 0.0;
        self.at = now;
    }

    fn advance(&mut self, now: Timestamp, memory_us: f64) {
        (self.exposure, self.completions) = self.decayed(now, memory_us);
        self.at = self.at.max(now);
    }

    fn decayed(&self, now: Timestamp, memory_us: f64) -> (f64, f64) {
        let us = now.since(self.at).as_micros() as f64;
        if us == 0.0 {
            return (self.exposure, self.completions);
        }
        let keep = (-us / memory_us).exp();
        let gained = self.running * memory_us * (1.0 - keep);
        (self.exposure * keep + gained, self.completions * keep)
    }
}
