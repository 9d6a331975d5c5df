//! What a group of targets is like.

use std::time::Duration;

/// How service times are distributed around their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Distribution {
    /// Every call takes the mean.
    Fixed,
    /// Exponential.
    #[default]
    Exponential,
}

/// A slow neighbour that moves over the targets of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct NoisyNeighbourOptions {
    /// Shortest time in one place.
    pub shortest: Duration,
    /// Longest time in one place.
    pub longest: Duration,
    /// Share of the targets that are slow at any time, 0 to 1.
    pub share: f64,
    /// Service times of slow targets are multiplied by this.
    pub factor: f64,
}

/// Everything that all targets of a group have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Calls that one target runs at once.
    pub slots: usize,
    /// Calls that may wait for a slot at the target; more are refused as busy.
    pub backlog: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Distribution of service times.
    pub distribution: Distribution,
    /// Slot time that one probe takes.
    pub probe_time: Duration,
    /// Slot time that a new connection takes.
    pub connect_time: Duration,
    /// Connections that one target accepts; more are closed at once.
    pub max_connections: u64,
    /// Network delay added to each direction.
    pub net_delay: Duration,
    /// How long a new incarnation is cold.
    pub cold_period: Duration,
    /// Service times of a cold target are multiplied by this.
    pub cold_factor: f64,
    /// Slow neighbour.
    pub noisy_neighbour: Option<NoisyNeighbourOptions>,
    /// Seed of service times and of the slow neighbour.
    pub seed: u64,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            slots: 2,
            backlog: 0,
            service_time: Duration::from_millis(10),
            distribution: Distribution::default(),
            probe_time: Duration::from_millis(6),
            connect_time: Duration::from_millis(1),
            max_connections: 240,
            net_delay: Duration::ZERO,
            cold_period: Duration::ZERO,
            cold_factor: 3.0,
            noisy_neighbour: None,
            seed: 1,
        }
    }
}
