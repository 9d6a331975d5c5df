//! Service times of operations, as observed by this entry.

use hdrhistogram::Histogram;

/// Number of samples after which older ones decay exponentially in the mean.
const MEAN_WINDOW_SAMPLES: f64 = 128.0;
/// Number of samples per histogram before a new one is started.
const WINDOW_SAMPLES: u64 = 1024;
/// Number of samples between updates of the cached quantiles.
const REFRESH_SAMPLES: u64 = 64;
/// Largest value the histogram distinguishes, in µs; larger ones are recorded as this value.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Quantile used as the upper bound of usual service times.
const P99: f64 = 0.99;
/// Minimum number of samples in a histogram before its quantiles are used.
const MIN_SAMPLES: u64 = 100;

/// Recent service times of one operation.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    /// Total time of all attempts, completed or timed out, in µs.
    sum_us: f64,
    /// Number of completed attempts.
    samples: f64,
    /// Histogram of the latest samples, not yet full.
    current: Option<Histogram<u32>>,
    /// Last full histogram; once there is one, the quantiles are taken from it.
    previous: Option<Histogram<u32>>,
    /// Configured quantile, 0 to 1.
    quantile: f64,
    /// Cached value of the configured quantile, in µs.
    quantile_us: Option<u64>,
    /// Cached 99th percentile, in µs.
    p99_us: Option<u64>,
    /// Samples since the cached quantiles were updated.
    since_refresh: u64,
}

impl ServiceTimes {
    /// Creates an empty instance; `quantile` is the one reported by [`Self::quantile_us`].
    pub(super) fn new(quantile: f64) -> Self {
        Self {
            sum_us: 0.0,
            samples: 0.0,
            current: None,
            previous: None,
            quantile,
            quantile_us: None,
            p99_us: None,
            since_refresh: 0,
        }
    }

    /// Records the service time of a completed attempt, in µs.
    pub(super) fn record(&mut self, us: u64) {
        self.sum_us += us as f64;
        self.samples += 1.0;
        if self.samples > MEAN_WINDOW_SAMPLES {
            self.sum_us *= MEAN_WINDOW_SAMPLES / self.samples;
            self.samples = MEAN_WINDOW_SAMPLES;
        }
        self.record_histogram(us);
    }

    /// Records an attempt that timed out after `us`. Only the time is counted, not a completion:
    /// otherwise the mean would fall when calls time out, because only the short ones complete.
    pub(super) fn record_timeout(&mut self, us: u64) {
        if self.samples > 0.0 {
            self.sum_us += us as f64;
        }
    }

    /// Moves the samples into an instance with another quantile, leaving `self` empty.
    pub(super) fn take_with_quantile(&mut self, quantile: f64) -> Self {
        let mut times = std::mem::replace(self, Self::new(quantile));
        times.quantile = quantile;
        times.refresh_quantiles();
        times
    }

    /// Returns the mean in µs, or `None` without samples.
    pub(super) fn mean_us(&self) -> Option<f64> {
        (self.samples > 0.0).then(|| self.sum_us / self.samples)
    }

    /// Returns the configured quantile in µs, or `None` with too few samples.
    pub(super) fn quantile_us(&self) -> Option<u64> {
        self.quantile_us
    }

    /// Returns the 99th percentile in µs, or `None` with too few samples.
    pub(super) fn p99_us(&self) -> Option<u64> {
        self.p99_us
    }

    fn record_histogram(&mut self, us: u64) {
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, MAX_RECORDED_US, 1).ok();
        }
        let Some(current) = &mut self.current else { return };
        current.saturating_record(us.max(1));
        self.since_refresh += 1;
        if current.len() >= WINDOW_SAMPLES {
            self.previous = self.current.take();
        }
        if self.since_refresh >= REFRESH_SAMPLES {
            self.since_refresh = 0;
            self.refresh_quantiles();
        }
    }

    fn refresh_quantiles(&mut self) {
        let has_enough = |h: &&Histogram<u32>| h.len() >= MIN_SAMPLES;
        let source = self.previous.as_ref().or(self.current.as_ref()).filter(has_enough);
        self.quantile_us = source.map(|h| h.value_at_quantile(self.quantile));
        self.p99_us = source.map(|h| h.value_at_quantile(P99));
    }
}
