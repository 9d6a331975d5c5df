//! Estimate of how slow a target is relative to the others, based only on calls of this entry.
//!
//! The estimate is exposure divided by completions. Exposure is the slot time spent at the target,
//! in units of the mean service time of the operations run there; completions is the number of
//! calls that completed. Calls in flight add exposure as they age, so a stalled target is detected
//! before it answers. Both sums decay exponentially, so the estimate of a target without recent
//! calls returns to the prior.

use crate::Timestamp;
use std::time::Duration;

/// Time constant of the decay, in mean service times.
const DECAY_SERVICES: f64 = 8.0;
/// Bounds of the time constant.
const MIN_DECAY: Duration = Duration::from_millis(30);
const MAX_DECAY: Duration = Duration::from_secs(2);
/// Number of completions after which older ones are scaled down.
const MAX_COMPLETIONS: f64 = 6.0;
/// Weight of the prior, in completions of mean duration.
const PRIOR_WEIGHT: f64 = 2.0;
/// Exposure added per call in flight when one more call is considered, so that a target with little
/// history gets one call before it gets two.
const IN_FLIGHT_EXPOSURE: f64 = 1.0;
/// Exposure added for an answer that reports a fault.
const FAULT_EXPOSURE: f64 = 4.0;

/// Exposure and completions of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct SlownessEstimate {
    exposure: f64,
    completions: f64,
    /// Exposure gained per µs: the sum of 1 / mean service time over the calls in flight.
    exposure_rate: f64,
    in_flight: u32,
    updated_at: Timestamp,
}

/// Returns the time constant of the decay for the given mean service time, both in µs.
pub(super) fn decay_us(mean_us: f64) -> f64 {
    let (min, max) = (MIN_DECAY.as_micros() as f64, MAX_DECAY.as_micros() as f64);
    (mean_us * DECAY_SERVICES).clamp(min, max)
}

impl SlownessEstimate {
    /// Records the start of a call with the given expected service time.
    pub(super) fn start(&mut self, now: Timestamp, decay_us: f64, expected_us: f64) {
        self.decay_to(now, decay_us);
        self.exposure_rate += 1.0 / expected_us.max(1.0);
        self.in_flight += 1;
    }

    /// Records that a call which was expected to take `expected_us` left the target.
    pub(super) fn finish(&mut self, now: Timestamp, decay_us: f64, expected_us: f64) {
        self.decay_to(now, decay_us);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.exposure_rate -= 1.0 / expected_us.max(1.0);
        if self.in_flight == 0 || self.exposure_rate < 0.0 {
            self.exposure_rate = 0.0;
        }
    }

    /// Records that the call which just left was answered successfully.
    pub(super) fn record_completion(&mut self) {
        self.completions += 1.0;
        if self.completions > MAX_COMPLETIONS {
            self.exposure *= MAX_COMPLETIONS / self.completions;
            self.completions = MAX_COMPLETIONS;
        }
    }

    /// Records that the call which just left was answered with a fault.
    pub(super) fn record_fault(&mut self) {
        self.exposure += FAULT_EXPOSURE;
    }

    /// Returns the slowness relative to the mean of all targets: 1 is the mean, larger is slower.
    pub(super) fn current(&self, now: Timestamp, decay_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, decay_us);
        (exposure + PRIOR_WEIGHT) / (completions + PRIOR_WEIGHT)
    }

    /// Returns the slowness to assume for one more call.
    pub(super) fn with_next_call(&self, now: Timestamp, decay_us: f64) -> f64 {
        let (exposure, completions) = self.decayed(now, decay_us);
        let in_flight_exposure = IN_FLIGHT_EXPOSURE * f64::from(self.in_flight);
        (exposure + in_flight_exposure + PRIOR_WEIGHT) / (completions + PRIOR_WEIGHT)
    }

    /// Discards everything except the calls in flight.
    pub(super) fn reset(&mut self, now: Timestamp) {
        self.exposure = 0.0;
        self.completions = 0.0;
        self.updated_at = now;
    }

    /// Updates exposure and completions to `now`.
    fn decay_to(&mut self, now: Timestamp, decay_us: f64) {
        (self.exposure, self.completions) = self.decayed(now, decay_us);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns exposure and completions at `now`.
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
