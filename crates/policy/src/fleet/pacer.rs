//! Pace of the calls to the platform.
//!
//! The platform counts each call, a waiting watch as one, and slows its answers to everybody when
//! there are too many. A token bucket holds each entry to a static part of the fleet's share, so
//! that the sum holds through outages, partitions and replacements. Failed calls back off
//! exponentially with full jitter, so that the fleet does not come back as one.

use crate::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Calls per second that all entries together may make: a tenth of what the platform gives to all
/// its readers.
pub const FLEET_CALLS_PER_S: f64 = 200.0;

/// Time between two tokens of an entry in a small fleet.
const TOKEN_PAUSE: Duration = Duration::from_secs(120);
/// The same in a large fleet: half of the time for which a token may be used.
const LONGEST_TOKEN_PAUSE: Duration = Duration::from_secs(300);
const TOKEN_PAUSE_PER_MEMBER: Duration = Duration::from_millis(470);

/// Time between two tokens of an entry. It grows with the fleet, since each token goes to everybody.
pub fn token_pause(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    TOKEN_PAUSE_PER_MEMBER.saturating_mul(members).clamp(TOKEN_PAUSE, LONGEST_TOKEN_PAUSE)
}

const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const LAST_BACKOFF: Duration = Duration::from_secs(5);
const BURST_CALLS: f64 = 4.0;
const START_CALLS: f64 = 2.0;

/// Pace of the calls of one entry.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    tokens: f64,
    filled: Timestamp,
    failures: u32,
    resume: Timestamp,
}

impl Pacer {
    /// A pacer for one of `entries` entries. A new process starts with a small burst.
    pub fn new(now: Timestamp, entries: u32) -> Self {
        let rate = FLEET_CALLS_PER_S / f64::from(entries.max(1));
        Self { rate, tokens: START_CALLS, filled: now, failures: 0, resume: now }
    }

    /// The configured number of entries changed.
    pub fn set_entries(&mut self, entries: u32) {
        self.rate = FLEET_CALLS_PER_S / f64::from(entries.max(1));
    }

    /// Takes one call out of the budget, or tells how long to wait.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.tokens += now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = self.tokens.min(BURST_CALLS);
        self.filled = now;
        if now < self.resume {
            return Err(self.resume.since(now));
        }
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// A call succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// A call failed: the next one waits.
    pub fn failed(&mut self, now: Timestamp, random: &mut Pcg64Mcg) {
        let limit = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(LAST_BACKOFF);
        self.failures += 1;
        let pause = limit.mul_f64(random.random_range(0.0..1.0));
        self.resume = self.resume.max(now + pause);
    }
}
