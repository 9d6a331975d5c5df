//! Times of a planned stop, as parts of the grace time.

use std::time::Duration;

/// Fraction of the grace time during which new connections are still accepted, since callers cache
/// directions for a while.
const ACCEPTING_FRACTION: f64 = 0.45;
/// Fraction of the grace time during which calls are read. One that arrives later could not be
/// finished if its target is slow.
const READING_FRACTION: f64 = 0.5;
/// Fraction of the grace time during which calls are served. A call that is still running then ends
/// with an unknown outcome, which must not happen before five sixths of the grace time.
const SERVING_FRACTION: f64 = 0.875;
/// Fraction of the grace time in which the last answers reach their callers before the exit.
const FLUSH_FRACTION: f64 = 0.041;
/// Fraction of the grace time after that in which the connections of the control servers close.
const CLOSING_FRACTION: f64 = 0.041;

/// Times of a planned stop. The remainder of the grace time is left for the exit of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time from the beginning of the stop during which new connections are accepted.
    pub accepting: Duration,
    /// Time from the beginning of the stop during which calls are read.
    pub reading: Duration,
    /// Time from the beginning of the stop during which calls are served.
    pub serving: Duration,
    /// Time after that in which the answers to the last calls are sent.
    pub flush: Duration,
    /// Time after that in which the connections of the control servers close.
    pub closing: Duration,
}

impl StopTimes {
    /// Divides `grace`, the time from SIGTERM to SIGKILL.
    pub fn new(grace: Duration) -> Self {
        Self {
            accepting: grace.mul_f64(ACCEPTING_FRACTION),
            reading: grace.mul_f64(READING_FRACTION),
            serving: grace.mul_f64(SERVING_FRACTION),
            flush: grace.mul_f64(FLUSH_FRACTION),
            closing: grace.mul_f64(CLOSING_FRACTION),
        }
    }
}
