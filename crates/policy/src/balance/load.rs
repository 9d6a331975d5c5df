//! Estimate of the load and speed of one target.
//!
//! Every report is outdated when it arrives, so each figure loses weight with age. The slowdown of
//! a shared machine is used for a short time only, and calls of other gateways are assumed to end.

use crate::Timestamp;
use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// How long a reported slowdown is used; machines change theirs several times a second.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(20);
/// Time constant with which the calls of other gateways seen in a report are assumed to end.
const OTHER_CALLS_DECAY: Duration = Duration::from_millis(300);
/// Time constant with which failures, refusals and slow answers are forgotten.
const FAILURE_DECAY: Duration = Duration::from_millis(2_500);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Range to which the ratio of observed to expected time of one answer is limited.
const LATENCY_RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// Load that a target reports on an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued at the target.
    pub waiting: u32,
    /// Calls that can run concurrently.
    pub slots: u32,
    /// Current service time as a multiple of the usual one, if the target reports it.
    pub slowdown: Option<f64>,
}

impl Display for LoadReport {
    /// Writes running, waiting and slots, and the slowdown if it was reported: `3/0/4@1.00`.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.waiting, self.slots)?;
        self.slowdown.map_or(Ok(()), |slowdown| write!(f, "@{slowdown:.2}"))
    }
}

/// Latest load report of a target.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: LoadReport,
    at: Timestamp,
    /// Calls at the target that came from other gateways.
    others: f64,
}

/// Moving average that decays to zero as time passes.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    value: f64,
    at: Timestamp,
}

impl DecayingMean {
    fn value_at(&self, now: Timestamp) -> f64 {
        self.value * decay(now.since(self.at), FAILURE_DECAY)
    }

    fn update(&mut self, now: Timestamp, sample: f64, weight: f64) {
        let old = self.value_at(now);
        self.value = old + (sample - old) * weight;
        self.at = now;
    }
}

/// Load and speed of one target as estimated by this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetLoad {
    latest: Option<ReceivedReport>,
    /// Share of attempts that failed.
    failures: DecayingMean,
    /// Share of attempts that were refused.
    refusals: DecayingMean,
    /// Mean of the natural logarithm of observed over expected time.
    latency_ratio: DecayingMean,
    /// Consecutive failures.
    failure_streak: u32,
}

impl TargetLoad {
    /// Records a report that arrived while `own` calls of this gateway were at the target.
    pub(super) fn record_report(&mut self, now: Timestamp, report: LoadReport, own: u32) {
        let all = f64::from(report.running + report.waiting);
        let others = (all - f64::from(own)).max(0.0);
        self.latest = Some(ReceivedReport { report, at: now, others });
    }

    /// Records an answer that took `ratio` times as long as expected.
    pub(super) fn record_answer(&mut self, now: Timestamp, ratio: f64) {
        self.failure_streak = 0;
        self.failures.update(now, 0.0, SAMPLE_WEIGHT);
        self.refusals.update(now, 0.0, SAMPLE_WEIGHT);
        let ratio = ratio.clamp(*LATENCY_RATIO_RANGE.start(), *LATENCY_RATIO_RANGE.end());
        self.latency_ratio.update(now, ratio.ln(), SAMPLE_WEIGHT);
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failure_streak += 1;
        self.failures.update(now, 1.0, SAMPLE_WEIGHT);
    }

    /// Forgets the failed attempts.
    pub(super) fn forget_failures(&mut self) {
        self.failures = DecayingMean::default();
        self.failure_streak = 0;
    }

    /// Records a refused attempt.
    pub(super) fn record_refusal(&mut self, now: Timestamp) {
        self.refusals.update(now, 1.0, SAMPLE_WEIGHT);
    }

    /// Returns the number of consecutive failures.
    pub(super) fn failure_streak(&self) -> u32 {
        self.failure_streak
    }

    /// Returns the estimated number of calls from other gateways at the target.
    pub(super) fn other_calls(&self, now: Timestamp) -> f64 {
        self.latest.map_or(0.0, |r| r.others * decay(now.since(r.at), OTHER_CALLS_DECAY))
    }

    /// Returns the reported slowdown if the report is recent enough.
    pub(super) fn recent_slowdown(&self, now: Timestamp) -> Option<f64> {
        let latest = self.latest.filter(|r| now.since(r.at) <= REPORT_TTL)?;
        latest.report.slowdown
    }

    /// Returns the age of the latest report.
    pub(super) fn report_age(&self, now: Timestamp) -> Option<Duration> {
        self.latest.map(|r| now.since(r.at))
    }

    /// Returns the ratio of observed to expected time of recent answers, at least 1.
    pub(super) fn latency_ratio(&self, now: Timestamp) -> f64 {
        self.latency_ratio.value_at(now).exp().max(1.0)
    }

    /// Returns the expected fraction of attempts that are neither refused nor fail.
    pub(super) fn success_rate(&self, now: Timestamp) -> f64 {
        (1.0 - self.failures.value_at(now)) * (1.0 - self.refusals.value_at(now))
    }
}

/// Returns the factor by which a figure of this age has decayed.
fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
