//! Counts, worth and percentiles of finished calls.

use super::{mix::Mix, sample::Sample};
use azuretally_api::record::Outcome;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Longest latency that a histogram holds, in µs.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// Latency at three points of the distribution, in ms.
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
    /// Percentiles of `latencies`, all zero when there are none.
    pub fn of<I>(latencies: I) -> Self
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

/// Sums over a group of calls. They obey `sent = answered + not_run + unknown`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls sent.
    pub sent: u64,
    /// Calls answered by a target.
    pub answered: u64,
    /// Answers that tell of a fault of the target.
    pub faults: u64,
    /// Calls told to be not run.
    pub not_run: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Successful answers within the time of the operation.
    pub in_time: u64,
    /// Worth of all calls sent.
    pub worth_sent: f64,
    /// Worth of the successful answers in time.
    pub worth: f64,
    /// Latency of the answered calls.
    pub latency: Percentiles,
    /// Reasons of calls that were not answered.
    pub reasons: IndexMap<Arc<str>, u64>,
}

impl Tally {
    /// Sums over `samples`.
    pub fn of<'a, I>(mix: &Mix, samples: I) -> Self
    where
        I: IntoIterator<Item = &'a Sample>,
    {
        let mut tally = Self::default();
        let mut latencies = Vec::new();
        for sample in samples {
            tally.add(mix, sample);
            if sample.verdict.outcome == Outcome::Answered {
                latencies.push(sample.latency);
            }
        }
        tally.latency = Percentiles::of(latencies);
        tally
    }

    /// Share of the calls sent that were answered with success in time.
    pub fn in_time_share(&self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.in_time as f64 / self.sent as f64 }
    }

    /// Whether every call sent has exactly one outcome.
    pub fn is_conserved(&self) -> bool {
        self.sent == self.answered + self.not_run + self.unknown
    }

    fn add(&mut self, mix: &Mix, sample: &Sample) {
        let operation = &mix.operations[sample.operation];
        self.sent += 1;
        self.worth_sent += operation.worth;
        match sample.verdict.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        if sample.verdict.outcome == Outcome::Answered && !sample.verdict.ok {
            self.faults += 1;
        }
        if sample.verdict.ok && sample.latency <= operation.timeout {
            self.in_time += 1;
            self.worth += operation.worth;
        }
        if let Some(reason) = &sample.verdict.reason {
            *self.reasons.entry(Arc::clone(reason)).or_default() += 1;
        }
    }
}

/// Everything that one load gave.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Calls handed to the sender.
    pub sent: u64,
    /// Finished calls.
    pub samples: Vec<Sample>,
}

impl Outcomes {
    /// Sums by operation, in the order of the mix.
    pub fn by_operation(&self, mix: &Mix) -> IndexMap<Arc<str>, Tally> {
        let tally = |i| Tally::of(mix, self.samples.iter().filter(|s| s.operation == i));
        mix.operations.iter().enumerate().map(|(i, o)| (Arc::clone(&o.name), tally(i))).collect()
    }

    /// Sums over all calls.
    pub fn total(&self, mix: &Mix) -> Tally {
        Tally::of(mix, &self.samples)
    }

    /// Whether every call handed out came back with exactly one outcome.
    pub fn is_conserved(&self, mix: &Mix) -> bool {
        let total = self.total(mix);
        total.is_conserved() && total.sent == self.sent
    }

    /// Percentiles of the answered calls that were due from `from` to `to`.
    pub fn window(&self, from: Duration, to: Duration) -> Percentiles {
        let inside =
            |s: &&Sample| s.at >= from && s.at < to && s.verdict.outcome == Outcome::Answered;
        Percentiles::of(self.samples.iter().filter(inside).map(|s| s.latency))
    }
}
