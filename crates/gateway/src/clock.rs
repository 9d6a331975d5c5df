//! The clock of the process.
//!
//! The boot-time clock also counts the time for which a host was suspended, so a pause of the
//! process shows as a gap.

use azuretally_policy::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Boot-time clock with its origin at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin_us: boot_us() }
    }

    /// Time since start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(boot_us().saturating_sub(self.origin_us))
    }
}

fn boot_us() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}
