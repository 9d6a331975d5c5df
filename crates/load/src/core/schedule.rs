//! When calls are due.
//!
//! Arrivals are a Poisson process, drawn beforehand from a seed. They do not wait for answers:
//! a caller of a real shop does not know how long the others' calls take.

use super::mix::Mix;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Callers of a load unless stated otherwise.
pub const DEFAULT_CALLERS: u32 = 40;

/// Rate of calls up to a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// End of the phase, since the start of the load.
    pub until: Duration,
    /// Calls per second.
    pub rate: f64,
}

/// What is to be sent, and when.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Phases in order of time. The load ends with the last one.
    pub phases: Vec<Phase>,
    /// Equal seeds give equal calls.
    pub seed: u64,
    /// Number of callers, among whom the calls are spread evenly at random.
    pub callers: u32,
    /// Mean of the service times, which are drawn from the exponential distribution.
    pub service: Duration,
}

/// One call that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// Number of the call, from 0.
    pub number: u64,
    /// When the call is due, since the start of the load.
    pub at: Duration,
    /// Index into [`Mix::operations`].
    pub operation: usize,
    /// Index of the caller.
    pub caller: u32,
    /// Time that the call takes on a target at full speed.
    pub service: Duration,
}

impl Plan {
    /// A plan with one rate from start to end.
    pub fn steady(rate: f64, length: Duration, seed: u64) -> Self {
        let phases = vec![Phase { until: length, rate }];
        Self { phases, seed, callers: DEFAULT_CALLERS, service: Duration::ZERO }
    }

    /// When the last phase ends.
    pub fn end(&self) -> Duration {
        self.phases.last().map_or(Duration::ZERO, |p| p.until)
    }

    /// Draws every call of the plan.
    pub fn draw(&self, mix: &Mix) -> Vec<Due> {
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
                calls.push(Due {
                    number: calls.len() as u64,
                    at: Duration::from_secs_f64(at),
                    operation: pick(&mut rng, &weights),
                    caller: rng.random_range(0..self.callers.max(1)),
                    service: self.service.mul_f64(exponential(&mut rng)),
                });
            }
            start = end;
        }
        calls
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    -(1.0 - rng.random::<f64>()).ln()
}

fn pick<R>(rng: &mut R, weights: &[f64]) -> usize
where
    R: Rng,
{
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}
