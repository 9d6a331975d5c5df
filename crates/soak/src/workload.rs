//! Operations that callers use, and the sizes of the targets and gateways that serve them.

use std::{ops::RangeInclusive, time::Duration};

/// Calls that a target runs concurrently in the mixed profile.
const MIXED_SLOTS: u32 = 2;
/// Time that a target takes to run a call in the mixed profile.
const MIXED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// One in this many calls of the planned profile takes [`LONG_FACTOR`] times as long.
const LONG_PERIOD: u64 = 32;
const LONG_FACTOR: u32 = 4;
/// Service times of the planned profile in percent of the mean.
const SPREAD_PERCENT: RangeInclusive<u64> = 25..=175;
/// Multiplier that spreads consecutive call ids evenly.
pub(crate) const ID_SPREAD: u64 = 7_919;

/// What a run puts the gateways through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Profile {
    /// Unplanned faults of every kind, and planned work between them.
    #[default]
    Mixed,
    /// Planned stops, restarts, hangups, settings and replaced targets alone.
    Planned,
}

/// A kind of call, which has a route of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operation {
    /// Name of the route and of the first part of the path.
    pub(crate) name: &'static str,
    pub(crate) idempotent: bool,
    /// Timeout of the route.
    pub(crate) timeout: Duration,
    /// Mean time that a target takes.
    pub(crate) service_time: Duration,
}

/// The operation whose route moves to another service with each settings version.
pub(crate) const MOVING: &str = "moving";

/// Operations and sizes of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workload {
    pub(crate) operations: [Operation; 5],
    /// Calls that a target runs concurrently.
    pub(crate) slots: u32,
    /// Time from SIGTERM until a gateway is killed.
    pub(crate) grace: Duration,
    /// Gateways of a failure domain that callers are directed to.
    pub(crate) directed: usize,
    /// Whether service times vary around the mean.
    varies: bool,
}

impl Workload {
    /// Returns the workload of `profile` for a number of gateways, targets and callers.
    pub(crate) fn new(profile: Profile, gateways: usize, targets: usize, callers: usize) -> Self {
        let planned = profile == Profile::Planned;
        let operation = |name, idempotent, timeout_ms, service_ms| {
            let (timeout, service_time) = match planned {
                true => (Duration::from_millis(timeout_ms), Duration::from_millis(service_ms)),
                false => (Duration::from_secs(1), MIXED_SERVICE_TIME),
            };
            Operation { name, idempotent, timeout, service_time }
        };
        let slots = u32::try_from(callers.div_ceil(targets)).unwrap_or(u32::MAX);
        Self {
            operations: [
                operation("check", true, 1_000, 160),
                operation("sale", false, 1_200, 210),
                operation("list", true, 2_500, 400),
                operation("view", true, 4_000, 640),
                operation(MOVING, true, 1_000, 20),
            ],
            slots: if planned { slots.max(MIXED_SLOTS) } else { MIXED_SLOTS },
            grace: Duration::from_secs(if planned { 6 } else { 3 }),
            directed: if planned { gateways.div_ceil(6) } else { 1 },
            varies: planned,
        }
    }

    /// Returns the operation of the routes that settings versions add.
    pub(crate) fn added_operation(&self) -> Operation {
        Operation {
            name: "added",
            idempotent: true,
            timeout: Duration::from_secs(1),
            service_time: MIXED_SERVICE_TIME,
        }
    }

    /// Returns the operation that a path belongs to.
    pub(crate) fn operation_of(&self, path: &str) -> Option<&Operation> {
        let name = path.trim_start_matches('/').split('/').next()?;
        self.operations.iter().find(|o| o.name == name)
    }

    /// Returns the time that a target takes to run a call.
    pub(crate) fn service_time(&self, id: u64, path: &str) -> Duration {
        let mean = self.operation_of(path).map_or(MIXED_SERVICE_TIME, |o| o.service_time);
        if !self.varies {
            return mean;
        }
        let spread = SPREAD_PERCENT.end() - SPREAD_PERCENT.start();
        let percent = SPREAD_PERCENT.start() + id.wrapping_mul(ID_SPREAD) % spread;
        let factor = if id.is_multiple_of(LONG_PERIOD) { LONG_FACTOR } else { 1 };
        mean.mul_f64(percent as f64 / 100.0) * factor
    }
}
