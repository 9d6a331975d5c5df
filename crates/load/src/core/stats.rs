//! Statistics of finished calls: counts, worth and latency percentiles.

use super::{mix::Mix, sample::Sample};
use azuretally_api::record::Outcome;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Longest latency that a histogram can represent, in µs.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// Latency percentiles in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl Percentiles {
    /// Computes the percentiles of `latencies`. All are 0 if there are none.
    pub fn from_latencies<I>(latencies: I) -> Self
    where
        I: IntoIterator<Item = Duration>,
    {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        else {
            return Self::default();
        };
        for latency in latencies {
            histogram.saturating_record((latency.as_micros() as u64).max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        Self { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}

/// Statistics of a group of calls. `sent` is the sum of `answered`, `not_run` and `unknown`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallStats {
    /// Calls sent.
    pub sent: u64,
    /// Calls answered by a target.
    pub answered: u64,
    /// Calls answered by a target with an error status.
    pub faults: u64,
    /// Calls with the outcome "not run".
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Successful answers within the timeout of the operation.
    pub in_time: u64,
    /// Total worth of all calls sent.
    pub worth_sent: f64,
    /// Total worth of the successful answers in time.
    pub worth: f64,
    /// Latency percentiles of the answered calls.
    pub latency: Percentiles,
    /// Number of calls that were not answered, by reason.
    pub reasons: IndexMap<Arc<str>, u64>,
}

impl CallStats {
    /// Computes the statistics of `samples`.
    pub fn from_samples<'a, I>(mix: &Mix, samples: I) -> Self
    where
        I: IntoIterator<Item = &'a Sample>,
    {
        let mut stats = Self::default();
        let mut latencies = Vec::new();
        for sample in samples {
            stats.add(mix, sample);
            if sample.result.outcome == Outcome::Answered {
                latencies.push(sample.latency);
            }
        }
        stats.latency = Percentiles::from_latencies(latencies);
        stats
    }

    /// Returns the fraction of the calls sent that were answered successfully in time.
    pub fn in_time_share(&self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.in_time as f64 / self.sent as f64 }
    }

    /// Returns whether every call sent has exactly one outcome.
    pub fn is_conserved(&self) -> bool {
        self.sent == self.answered + self.not_run + self.unknown
    }

    fn add(&mut self, mix: &Mix, sample: &Sample) {
        let operation = &mix.operations[sample.operation];
        self.sent += 1;
        self.worth_sent += operation.worth;
        match sample.result.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        if sample.result.outcome == Outcome::Answered && !sample.result.is_success {
            self.faults += 1;
        }
        if sample.result.is_success && sample.latency <= operation.timeout {
            self.in_time += 1;
            self.worth += operation.worth;
        }
        if let Some(reason) = &sample.result.reason {
            *self.reasons.entry(Arc::clone(reason)).or_default() += 1;
        }
    }
}

/// Outcomes of all calls of one load.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Number of calls passed to the sender.
    pub sent: u64,
    /// Finished calls.
    pub samples: Vec<Sample>,
}

impl Outcomes {
    /// Computes the statistics of each operation, in the order of the mix.
    pub fn by_operation(&self, mix: &Mix) -> IndexMap<Arc<str>, CallStats> {
        let stats =
            |i| CallStats::from_samples(mix, self.samples.iter().filter(|s| s.operation == i));
        mix.operations.iter().enumerate().map(|(i, o)| (Arc::clone(&o.name), stats(i))).collect()
    }

    /// Computes the statistics of all calls.
    pub fn total(&self, mix: &Mix) -> CallStats {
        CallStats::from_samples(mix, &self.samples)
    }

    /// Returns whether every call passed to the sender finished with exactly one outcome.
    pub fn is_conserved(&self, mix: &Mix) -> bool {
        let total = self.total(mix);
        total.is_conserved() && total.sent == self.sent
    }

    /// Computes the latency percentiles of the answered calls that were scheduled from `from`
    /// (inclusive) to `to` (exclusive).
    pub fn window(&self, from: Duration, to: Duration) -> Percentiles {
        let inside =
            |s: &&Sample| s.at >= from && s.at < to && s.result.outcome == Outcome::Answered;
        Percentiles::from_latencies(self.samples.iter().filter(inside).map(|s| s.latency))
    }
}
