//! Service times of operations, as this entry saw them.

use hdrhistogram::Histogram;

/// Samples over which the mean forgets.
const MEAN_WINDOW_SAMPLES: f64 = 128.0;
/// Samples after which a histogram is set aside.
const WINDOW_SAMPLES: u64 = 1024;
/// Samples after which the cached quantile is worked out again.
const REFRESH_SAMPLES: u64 = 64;
/// Longest service time that is told apart, in µs.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Quantile that counts as the longest usual time.
const P99: f64 = 0.99;
/// Samples below which no quantile is known.
const MIN_SAMPLES: u64 = 100;

/// Recent service times of one operation.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    /// Time of all attempts, completed or not, in µs.
    sum_us: f64,
    /// Attempts that completed.
    samples: f64,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    quantile: f64,
    quantile_us: Option<u64>,
    p99_us: Option<u64>,
    since_refresh: u64,
}

impl ServiceTimes {
    /// No samples yet; `quantile` is the one that [`Self::quantile_us`] gives.
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

    /// Takes in one service time.
    pub(super) fn record(&mut self, us: u64) {
        self.sum_us += us as f64;
        self.samples += 1.0;
        if self.samples > MEAN_WINDOW_SAMPLES {
            self.sum_us *= MEAN_WINDOW_SAMPLES / self.samples;
            self.samples = MEAN_WINDOW_SAMPLES;
        }
        self.record_histogram(us);
    }

    /// Takes in an attempt that was cut off after `us`. Without these the mean would fall as calls
    /// are cut off, since only the short ones complete.
    pub(super) fn record_timeout(&mut self, us: u64) {
        if self.samples > 0.0 {
            self.sum_us += us as f64;
        }
    }

    /// The same samples with another quantile.
    pub(super) fn take_with_quantile(&mut self, quantile: f64) -> Self {
        let mut times = std::mem::replace(self, Self::new(quantile));
        times.quantile = quantile;
        times.refresh_quantiles();
        times
    }

    /// Mean in µs, or nothing without samples.
    pub(super) fn mean_us(&self) -> Option<f64> {
        (self.samples > 0.0).then(|| self.sum_us / self.samples)
    }

    /// The quantile in µs, or nothing with too few samples.
    pub(super) fn quantile_us(&self) -> Option<u64> {
        self.quantile_us
    }

    /// Time that 99 of 100 attempts stay below in µs, or nothing with too few samples.
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
