//! The slow neighbour that moves over the targets of a group.

use super::options::NoisyNeighbourOptions;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Says which targets are slow at a given time. Equal seeds give equal histories.
#[derive(Debug)]
pub struct NoisyNeighbour {
    options: NoisyNeighbourOptions,
    rng: Pcg64Mcg,
    until: Duration,
    slow: Vec<bool>,
}

impl NoisyNeighbour {
    /// The history of `targets` targets from their start on.
    pub fn new(options: NoisyNeighbourOptions, targets: usize, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { options, rng, until: Duration::ZERO, slow: vec![false; targets] }
    }

    /// By how much the service times of `target` are multiplied at `at` since the start. Times
    /// must not go back.
    pub fn factor(&mut self, at: Duration, target: usize) -> f64 {
        while at >= self.until {
            self.step();
        }
        if self.slow[target] { self.options.factor } else { 1.0 }
    }

    fn step(&mut self) {
        let n = (self.options.share * self.slow.len() as f64).round() as usize;
        for (i, slow) in self.slow.iter_mut().enumerate() {
            *slow = i < n;
        }
        self.slow.shuffle(&mut self.rng);
        let (low, high) = (self.options.shortest, self.options.longest);
        let stay = low + (high.saturating_sub(low)).mul_f64(self.rng.random::<f64>());
        self.until += stay.max(Duration::from_millis(1));
    }
}
