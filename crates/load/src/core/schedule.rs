//! Schedule of calls.
//!
//! Arrivals form a Poisson process that is generated in advance from a seed. They do not depend on
//! answers (open loop): real callers do not know how long the calls of other callers take.

use super::mix::Mix;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Number of callers unless specified otherwise.
pub const DEFAULT_CALLERS: u32 = 40;

/// Phase of a load with a constant rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// End of the phase, since the start of the load.
    pub until: Duration,
    /// Rate in calls per second.
    pub rate: f64,
}

/// Parameters from which the calls of a load are generated.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Phases in chronological order. The load ends with the last one.
    pub phases: Vec<Phase>,
    /// Random seed. Equal seeds give equal calls.
    pub seed: u64,
    /// Number of callers. Each call is assigned to one of them uniformly at random.
    pub callers: u32,
    /// Mean service time. Service times are exponentially distributed.
    pub service_time: Duration,
}

/// Call with its scheduled time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Sequence number of the call, starting at 0.
    pub number: u64,
    /// Scheduled time, since the start of the load.
    pub at: Duration,
    /// Index into [`Mix::operations`].
    pub operation: usize,
    /// Index of the caller.
    pub caller: u32,
    /// Service time of the call on a target at full speed.
    pub service_time: Duration,
}

impl Plan {
    /// Creates a plan with one rate from start to end.
    pub fn constant_rate(rate: f64, duration: Duration, seed: u64) -> Self {
        let phases = vec![Phase { until: duration, rate }];
        Self { phases, seed, callers: DEFAULT_CALLERS, service_time: Duration::ZERO }
    }

    /// Returns the end of the last phase.
    pub fn end(&self) -> Duration {
        self.phases.last().map_or(Duration::ZERO, |p| p.until)
    }

    /// Generates all calls of the plan in chronological order.
    pub fn generate_calls(&self, mix: &Mix) -> Vec<ScheduledCall> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let weights: Vec<f64> = mix.operations.iter().map(|o| o.weight).collect();
        let mut calls = Vec::new();
        let mut start = 0.0;
        for phase in &self.phases {
            let end = phase.until.as_secs_f64();
            let mut at = start;
            loop {
                at += exponential(&mut rng) / phase.rate.max(f64::MIN_POSITIVE);
                if at >= end {
                    break;
                }
                calls.push(ScheduledCall {
                    number: calls.len() as u64,
                    at: Duration::from_secs_f64(at),
                    operation: pick_weighted(&mut rng, &weights),
                    caller: rng.random_range(0..self.callers.max(1)),
                    service_time: self.service_time.mul_f64(exponential(&mut rng)),
                });
            }
            start = end;
        }
        calls
    }
}

/// Draws a value from the exponential distribution with mean 1.
fn exponential<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    -(1.0 - rng.random::<f64>()).ln()
}

/// Draws an index with a probability proportional to its weight.
fn pick_weighted<R>(rng: &mut R, weights: &[f64]) -> usize
where
    R: Rng,
{
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}
