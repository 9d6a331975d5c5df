//! Rate limiting of calls to the platform.
//!
//! The platform counts every call, with a pending watch as one call, and slows down its answers to
//! all readers if there are too many. A token bucket limits each entry to a static part of the
//! fleet's share, so that the total holds through outages, partitions and replacements. Failed
//! calls are retried with exponential backoff and full jitter, so that entries do not retry in
//! lockstep.

use crate::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Calls per second that all entries together may make: a tenth of what the platform grants all of
/// its readers.
pub const FLEET_CALLS_PER_S: f64 = 200.0;

/// Time between caller tokens of an entry in a small fleet.
const MIN_TOKEN_INTERVAL: Duration = Duration::from_secs(120);
/// Time between caller tokens of an entry in a large fleet: half of a token's lifetime.
const MAX_TOKEN_INTERVAL: Duration = Duration::from_secs(300);
/// Time between caller tokens for each member of the fleet, within the two limits above.
const TOKEN_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(470);

/// Returns the time between two caller tokens of an entry. It increases with the number of members,
/// since each token is sent to all of them.
pub fn token_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    TOKEN_INTERVAL_PER_MEMBER.saturating_mul(members).clamp(MIN_TOKEN_INTERVAL, MAX_TOKEN_INTERVAL)
}

/// Upper limit of the backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper limit of the backoff after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum number of times the upper limit of the backoff doubles.
const MAX_DOUBLINGS: u32 = 10;
/// Capacity of the token bucket, in calls.
const BURST_CALLS: f64 = 4.0;
/// Calls in the token bucket of a new process.
const INITIAL_CALLS: f64 = 2.0;

/// Rate limiter for the calls of one entry.
#[derive(Clone, Debug)]
pub struct Pacer {
    calls_per_s: f64,
    tokens: f64,
    refilled: Timestamp,
    failures: u32,
    retry_at: Timestamp,
}

impl Pacer {
    /// Creates the rate limiter of one of `entries` entries. It allows a small initial burst.
    pub fn new(now: Timestamp, entries: u32) -> Self {
        let calls_per_s = FLEET_CALLS_PER_S / f64::from(entries.max(1));
        Self { calls_per_s, tokens: INITIAL_CALLS, refilled: now, failures: 0, retry_at: now }
    }

    /// Sets the configured number of entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.calls_per_s = FLEET_CALLS_PER_S / f64::from(entries.max(1));
    }

    /// Takes one call from the token bucket.
    ///
    /// # Errors
    ///
    /// The time to wait, if the bucket is empty or a backoff is running.
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

    /// Records a successful call, which resets the backoff.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call: the next one waits for a random backoff.
    pub fn failed(&mut self, now: Timestamp, random: &mut Pcg64Mcg) {
        let limit =
            INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(MAX_BACKOFF);
        self.failures += 1;
        let backoff = limit.mul_f64(random.random_range(0.0..1.0));
        self.retry_at = self.retry_at.max(now + backoff);
    }
}
