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
const MIN_TOKEN_INTERVAL: Duration = Duration::from_secs(120);
/// The same in a large fleet: half of the time for which a token may be used.
const MAX_TOKEN_INTERVAL: Duration = Duration::from_secs(300);
const TOKEN_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(470);

/// Time between two tokens of an entry. It grows with the fleet, since each token goes to everybody.
pub fn token_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    TOKEN_INTERVAL_PER_MEMBER.saturating_mul(members).clamp(MIN_TOKEN_INTERVAL, MAX_TOKEN_INTERVAL)
}

const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const BURST_CALLS: f64 = 4.0;
const INITIAL_CALLS: f64 = 2.0;

/// Pace of the calls of one entry.
#[derive(Clone, Debug)]
pub struct Pacer {
    calls_per_s: f64,
    tokens: f64,
    refilled: Timestamp,
    failures: u32,
    retry_at: Timestamp,
}

impl Pacer {
    /// A pacer for one of `entries` entries. A new process starts with a small burst.
    pub fn new(now: Timestamp, entries: u32) -> Self {
        let calls_per_s = FLEET_CALLS_PER_S / f64::from(entries.max(1));
        Self { calls_per_s, tokens: INITIAL_CALLS, refilled: now, failures: 0, retry_at: now }
    }

    /// The configured number of entries changed.
    pub fn set_entries(&mut self, entries: u32) {
        self.calls_per_s = FLEET_CALLS_PER_S / f64::from(entries.max(1));
    }

    /// Takes one call out of the budget, or tells how long to wait.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.tokens += now.since(self.refilled).as_secs_f64() * self.calls_per_s;
        self.tokens = self.tokens.min(BURST_CALLS);
        self.refilled = now;
        if now < self.retry_at {
            return Err(self.retry_at.since(now));
        }
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.calls_per_s));
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
        let limit = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(MAX_BACKOFF);
        self.failures += 1;
        let backoff = limit.mul_f64(random.random_range(0.0..1.0));
        self.retry_at = self.retry_at.max(now + backoff);
    }
}
