//! Options of a group of targets.

use std::time::Duration;

/// Distribution of service times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Distribution {
    /// Every service time equals the mean.
    Fixed,
    /// Service times are distributed exponentially.
    #[default]
    Exponential,
}

/// A noisy neighbour that slows down some targets of a group, and other ones after some time.
#[derive(Clone, Debug, PartialEq)]
pub struct NoisyNeighbourOptions {
    /// Shortest time until the set of slow targets changes.
    pub shortest: Duration,
    /// Longest time until the set of slow targets changes.
    pub longest: Duration,
    /// Share of the targets that are slow at any time, from 0 to 1.
    pub share: f64,
    /// Factor by which service times of slow targets are multiplied.
    pub factor: f64,
}

/// Options shared by all targets of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Calls that one target runs concurrently.
    pub slots: usize,
    /// Calls that may wait for a slot at one target; further ones are refused as busy.
    pub backlog: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Distribution of service times.
    pub distribution: Distribution,
    /// Slot time used by a probe.
    pub probe_time: Duration,
    /// Slot time used by a new connection.
    pub connect_time: Duration,
    /// Connections that may be open at one target; further ones are closed at once.
    pub max_connections: u64,
    /// Network delay added in each direction.
    pub net_delay: Duration,
    /// Time for which a new incarnation is cold.
    pub cold_period: Duration,
    /// Factor by which service times of a cold target are multiplied.
    pub cold_factor: f64,
    /// Noisy neighbour, if there is one.
    pub noisy_neighbour: Option<NoisyNeighbourOptions>,
    /// Seed of the service times and of the noisy neighbour.
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
