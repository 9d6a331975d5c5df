//! Time type of the state machines.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Time since an arbitrary origin of one process, in µs, on a clock that also counts time during
/// which the machine is suspended. Timestamps of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest time that can be represented.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a timestamp from the number of µs since the origin.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a timestamp from the number of ms since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the number of µs since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Time of day by the clock of one host, in ms since the Unix epoch. The clocks of hosts differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Creates a time from the number of ms since the epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
