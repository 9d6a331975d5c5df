//! Measures how busy the process is and how late its event loop runs.

use azuretally_policy::Timestamp;
use std::time::Duration;
use tokio::runtime::Handle;

/// Shortest time over which the load is measured.
const MIN_WINDOW: Duration = Duration::from_millis(200);
/// Time for which the greatest lateness counts.
const LATENESS_WINDOW: Duration = Duration::from_millis(100);
/// Lateness from which it is logged.
const NOTABLE_LATENESS: Duration = Duration::from_millis(100);
/// Minimum time between two log lines on lateness.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Weight of a new window in the mean of those without calls.
const IDLE_WEIGHT: f64 = 0.2;

/// Measures the share of time in which the event loop had work.
///
/// All work of the process but the writing of its log is done by one thread. While that thread does not
/// wait for events, it either runs or waits for its share of a core, so the fraction of time in which it
/// does not wait is the fraction of the share that is used.
#[derive(Debug, Default)]
pub struct LoadMeter {
    since: Timestamp,
    /// Time in which the event loop had work, and calls read, until then.
    before: (Duration, u64),
    busy: f64,
    /// Mean of the windows without calls: what control and the start take.
    idle: f64,
    for_calls: f64,
}

impl LoadMeter {
    /// Brings the measurement up to date; `calls` is the number of calls read so far.
    pub fn update(&mut self, now: Timestamp, calls: u64) {
        let window = now.since(self.since);
        let Ok(handle) = Handle::try_current() else { return };
        if window < MIN_WINDOW {
            return;
        }
        let total = handle.metrics().worker_total_busy_duration(0);
        let spent = total.saturating_sub(self.before.0);
        self.busy = (spent.as_secs_f64() / window.as_secs_f64()).min(1.0);
        if calls == self.before.1 {
            self.idle += (self.busy - self.idle) * IDLE_WEIGHT;
            self.for_calls = 0.0;
        } else {
            self.for_calls = (self.busy - self.idle).max(0.0);
        }
        (self.since, self.before) = (now, (total, calls));
    }

    /// Returns the fraction of time in which the event loop had work, in the last complete window.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Returns the part of it that is due to calls.
    pub fn for_calls(&self) -> f64 {
        self.for_calls
    }
}

/// Keeps how late timers of the event loop came recently.
///
/// An event that arrives waits about as long as a timer that is due, since the loop gets to both in turn.
#[derive(Debug, Default)]
pub struct LatenessMeter {
    greatest: Duration,
    at: Timestamp,
    next_log: Timestamp,
}

impl LatenessMeter {
    /// Records that a timer came `late`. Returns whether that is worth a log line now.
    pub fn record(&mut self, now: Timestamp, late: Duration) -> bool {
        if late >= self.greatest || now.since(self.at) >= LATENESS_WINDOW {
            (self.greatest, self.at) = (late, now);
        }
        if late < NOTABLE_LATENESS || now < self.next_log {
            return false;
        }
        self.next_log = now + LOG_INTERVAL;
        true
    }

    /// Returns the greatest lateness of the last 100 ms, or of the last timer if it came earlier.
    pub fn lateness(&self, now: Timestamp) -> Duration {
        if now.since(self.at) >= LATENESS_WINDOW { Duration::ZERO } else { self.greatest }
    }
}
