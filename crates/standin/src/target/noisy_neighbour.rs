//! Noisy neighbour that slows down a changing set of targets of a group.

use super::options::NoisyNeighbourOptions;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Pseudo-random schedule of the slow targets. Equal seeds give equal schedules.
#[derive(Debug)]
pub struct NoisyNeighbour {
    options: NoisyNeighbourOptions,
    rng: Pcg64Mcg,
    move_at: Duration,
    slow: Vec<bool>,
}

impl NoisyNeighbour {
    /// Creates the schedule of a group of `targets` targets.
    pub fn new(options: NoisyNeighbourOptions, targets: usize, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { options, rng, move_at: Duration::ZERO, slow: vec![false; targets] }
    }

    /// Returns the factor for service times of `target` at the time `elapsed` since the start of
    /// the group. `elapsed` must not decrease from call to call.
    pub fn factor(&mut self, elapsed: Duration, target: usize) -> f64 {
        while elapsed >= self.move_at {
            self.move_to_next();
        }
        if self.slow[target] { self.options.factor } else { 1.0 }
    }

    /// Chooses the slow targets of the next period and its length.
    fn move_to_next(&mut self) {
        let slow_count = (self.options.share * self.slow.len() as f64).round() as usize;
        for (i, slow) in self.slow.iter_mut().enumerate() {
            *slow = i < slow_count;
        }
        self.slow.shuffle(&mut self.rng);
        let (low, high) = (self.options.shortest, self.options.longest);
        let dwell = low + (high.saturating_sub(low)).mul_f64(self.rng.random::<f64>());
        self.move_at += dwell.max(Duration::from_millis(1));
    }
}
