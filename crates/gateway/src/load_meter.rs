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

/// Measures the share of time in which the event loop had work.
///
/// All work of the process but the writing of its log is done by one thread. While that thread does not wait for events,
/// it either runs or waits for its share of a core, so the fraction of time in which it does not wait is
/// the fraction of the share that is used.
#[derive(Debug, Default)]
pub struct LoadMeter {
    since: Timestamp,
    busy: Duration,
    fraction: f64,
}

impl LoadMeter {
    /// Returns the fraction of time in which the event loop had work, as of the last complete window.
    pub fn busy_fraction(&mut self, now: Timestamp) -> f64 {
        let window = now.since(self.since);
        if window >= MIN_WINDOW
            && let Ok(handle) = Handle::try_current()
        {
            let busy = handle.metrics().worker_total_busy_duration(0);
            let spent = busy.saturating_sub(self.busy);
            self.fraction = (spent.as_secs_f64() / window.as_secs_f64()).min(1.0);
            (self.since, self.busy) = (now, busy);
        }
        self.fraction
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
