//! Process clock.
//!
//! The clock reads `CLOCK_BOOTTIME`, which also advances while the host is suspended. A pause of
//! the process therefore always shows as a gap between two readings. The time of day is read only to
//! compare it with what other hosts name.

use azuretally_policy::{Timestamp, UnixTime, balance::AnswerTime};
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

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

    /// Returns the time of an answer that arrives now, to a request that was sent at `sent_at`.
    pub fn answer_time(&self, sent_at: Timestamp) -> AnswerTime {
        let now = self.now();
        let elapsed_ms = now.since(sent_at).as_millis() as u64;
        AnswerTime { now, sent: UnixTime::from_millis(unix_ms().saturating_sub(elapsed_ms)) }
    }
}

/// Returns the time of day in ms since the Unix epoch, 0 before it.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn boottime_us() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}
