//! How slow a target is, seen from the entry's own calls alone.
//!
//! The estimate is exposure over completions: slot time spent at the target, in units of the mean
//! service time of the operations run there, divided by the number of calls that completed. Calls
//! still in flight add exposure as they age, so that a stalled target is seen before it answers.
//! Both sums forget exponentially, so that a target without recent calls returns to the prior.

use crate::Timestamp;
use std::time::Duration;

/// Mean service times after which exposure and completions have decayed to 1/e.
const DECAY_SERVICES: f64 = 8.0;
/// Bounds of the memory.
const MIN_DECAY: Duration = Duration::from_millis(30);
const MAX_DECAY: Duration = Duration::from_secs(2);
/// Completions beyond which older ones count less.
const MAX_COMPLETIONS: f64 = 6.0;
/// Weight of the prior, in completions of mean length.
const PRIOR_WEIGHT: f64 = 2.0;
/// Exposure assumed for each call in flight when a further one is to start, so that a target about
/// which little is known gets one call before it gets two.
const IN_FLIGHT_EXPOSURE: f64 = 1.0;
/// Exposure charged for an answer that tells of a fault.
const FAULT_EXPOSURE: f64 = 4.0;

/// Exposure and completions of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct SlownessEstimate {
    exposure: f64,
    completions: f64,
    /// Sum of 1 / mean service time over the calls in flight, per µs.
    exposure_rate: f64,
    in_flight: u32,
    updated_at: Timestamp,
}

/// Time after which earlier exposure has decayed to 1/e, given the mean service time.
pub(super) fn decay_us(mean_us: f64) -> f64 {
    let (min, max) = (MIN_DECAY.as_micros() as f64, MAX_DECAY.as_micros() as f64);
    (mean_us * DECAY_SERVICES).clamp(min, max)
}

impl SlownessEstimate {
    /// A call with the given expected service time starts.
    pub(super) fn start(&mut self, now: Timestamp, decay_us: f64, expected_us: f64) {
        self.decay_to(now, decay_us);
        self.exposure_rate += 1.0 / expected_us.max(1.0);
        self.in_flight += 1;
    }

    /// A call that had been expected to take `expected_us` leaves the target.
    pub(super) fn finish(&mut self, now: Timestamp, decay_us: f64, expected_us: f64) {
        self.decay_to(now, decay_us);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.exposure_rate -= 1.0 / expected_us.max(1.0);
        if self.in_flight == 0 || self.exposure_rate < 0.0 {
            self.exposure_rate = 0.0;
        }
    }

    /// The call that just left had been answered.
    pub(super) fn record_completion(&mut self) {
        self.completions += 1.0;
        if self.completions > MAX_COMPLETIONS {
            self.exposure *= MAX_COMPLETIONS / self.completions;
            self.completions = MAX_COMPLETIONS;
        }
    }

    /// The call that just left brought a fault in place of a result.
    pub(super) fn record_fault(&mut self) {
        self.exposure += FAULT_EXPOSURE;
    }

    /// Slowness relative to the mean of all targets: 1 is the mean, more is slower.
    pub(super) fn current(&self, now: Timestamp, decay_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, decay_us);
        (exposure + PRIOR_WEIGHT) / (completions + PRIOR_WEIGHT)
    }

    /// Slowness to reckon with for one more call.
    pub(super) fn with_next_call(&self, now: Timestamp, decay_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, decay_us);
        let in_flight_exposure = IN_FLIGHT_EXPOSURE * f64::from(self.in_flight);
        (exposure + in_flight_exposure + PRIOR_WEIGHT) / (completions + PRIOR_WEIGHT)
    }

    /// Forgets everything but the calls in flight.
    pub(super) fn reset(&mut self, now: Timestamp) {
        self.exposure = 0.0;
        self.completions = 0.0;
        self.updated_at = now;
    }

    fn decay_to(&mut self, now: Timestamp, decay_us: f64) {
        (self.exposure, self.completions) = self.decayed(now, decay_us);
        self.updated_at = self.updated_at.max(now);
    }

    fn decayed(&self, now: Timestamp, decay_us: f64) -> (f64, f64) {
        let elapsed_us = now.since(self.updated_at).as_micros() as f64;
        if elapsed_us == 0.0 {
            return (self.exposure, self.completions);
        }
        let factor = (-elapsed_us / decay_us).exp();
        let accrued = self.exposure_rate * decay_us * (1.0 - factor);
        (self.exposure * factor + accrued, self.completions * factor)
    }
}
