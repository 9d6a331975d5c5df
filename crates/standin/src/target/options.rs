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
pub struct ShiftOptions {
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
    pub service: Duration,
    /// Distribution of service times.
    pub distribution: Distribution,
    /// Slot time that one probe takes.
    pub probe: Duration,
    /// Slot time that a new connection takes.
    pub connect: Duration,
    /// Connections that one target accepts; more are closed at once.
    pub connections: u64,
    /// Network delay added to each direction.
    pub net_delay: Duration,
    /// How long a new incarnation is cold.
    pub cold: Duration,
    /// Service times of a cold target are multiplied by this.
    pub cold_factor: f64,
    /// Slow neighbour.
    pub shift: Option<ShiftOptions>,
    /// Seed of service times and of the slow neighbour.
    pub seed: u64,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            slots: 2,
            backlog: 0,
            service: Duration::from_millis(10),
            distribution: Distribution::default(),
            probe: Duration::from_millis(6),
            connect: Duration::from_millis(1),
            connections: 240,
            net_delay: Duration::ZERO,
            cold: Duration::ZERO,
            cold_factor: 3.0,
            shift: None,
            seed: 1,
        }
    }
}
