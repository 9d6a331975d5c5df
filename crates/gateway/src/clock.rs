//! Process clock.
//!
//! The clock reads `CLOCK_BOOTTIME`, which also advances while the host is suspended. A pause of
//! the process therefore always shows as a gap between two readings.

use azuretally_policy::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Boot-time clock whose origin is the call of [`Clock::start`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: u64,
}

impl Clock {
    /// Returns a clock whose origin is the current time.
    pub fn start() -> Self {
        Self { origin_us: boottime_us() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(boottime_us().saturating_sub(self.origin_us))
    }
}

fn boottime_us() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}
