//! Time as the state machines see it.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Time since an arbitrary origin of one process, in µs, by a clock that also counts suspension.
/// Timestamps of different processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest time that can be told.
    pub const MAX: Self = Self(u64::MAX);

    /// The given number of µs after the origin.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// The given number of ms after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// µs since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
