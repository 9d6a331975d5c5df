//! Belief about the load and speed of one target.
//!
//! Every report is old when it arrives, so each figure is worth less the older it is: the pace of a
//! shared machine is believed for a moment only, the calls of others come to an end.

use crate::Timestamp;
use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// Time for which a reported pace is believed; machines change theirs several times a second.
const PACE_MEMORY: Duration = Duration::from_millis(20);
/// Time in which the calls of others that a report showed have mostly ended.
const OTHERS_MEMORY: Duration = Duration::from_millis(300);
/// Time in which failures and slow answers are mostly forgotten.
const FAULT_MEMORY: Duration = Duration::from_millis(2_500);
/// Weight of one more answer in the moving means.
const NEW_ANSWER: f64 = 0.3;
/// Range of slowness that is believed of one answer.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// What a target says of its load on an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at a time.
    pub slots: u32,
    /// How long work takes there now, 1 as usual, where the target tells it.
    pub slowdown: Option<f64>,
}

impl Display for LoadReport {
    /// Running, waiting and slots, and the pace where it is told: `3/0/4@1.00`.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.waiting, self.slots)?;
        self.slowdown.map_or(Ok(()), |slowdown| write!(f, "@{slowdown:.2}"))
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    report: LoadReport,
    at: Timestamp,
    /// Calls at the target beyond those of this gateway.
    others: f64,
}

/// A figure that falls back to nothing as time passes.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    value: f64,
    at: Timestamp,
}

impl Fading {
    fn now(&self, now: Timestamp) -> f64 {
        self.value * decay(now.since(self.at), FAULT_MEMORY)
    }

    fn add(&mut self, now: Timestamp, sample: f64, weight: f64) {
        let old = self.now(now);
        self.value = old + (sample - old) * weight;
        self.at = now;
    }
}

/// Load and speed of one target as this gateway sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    heard: Option<Heard>,
    /// Share of attempts that failed.
    faults: Fading,
    /// Share of attempts that were refused.
    refusals: Fading,
    /// Natural logarithm of observed over expected time.
    slowness: Fading,
    /// Failures in a row.
    streak: u32,
}

impl Load {
    /// Takes in a report that came while `own` calls of this gateway were at the target.
    pub(super) fn report(&mut self, now: Timestamp, report: LoadReport, own: u32) {
        let all = f64::from(report.running + report.waiting);
        let others = (all - f64::from(own)).max(0.0);
        self.heard = Some(Heard { report, at: now, others });
    }

    /// An answer took `ratio` times as long as expected.
    pub(super) fn answered(&mut self, now: Timestamp, ratio: f64) {
        self.streak = 0;
        self.faults.add(now, 0.0, NEW_ANSWER);
        self.refusals.add(now, 0.0, NEW_ANSWER);
        let ratio = ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        self.slowness.add(now, ratio.ln(), NEW_ANSWER);
    }

    /// An attempt failed.
    pub(super) fn failed(&mut self, now: Timestamp) {
        self.streak += 1;
        self.faults.add(now, 1.0, NEW_ANSWER);
    }

    /// An attempt was refused.
    pub(super) fn refused(&mut self, now: Timestamp) {
        self.refusals.add(now, 1.0, NEW_ANSWER);
    }

    /// Failures in a row.
    pub(super) fn streak(&self) -> u32 {
        self.streak
    }

    /// Calls of others at the target.
    pub(super) fn others(&self, now: Timestamp) -> f64 {
        self.heard.map_or(0.0, |h| h.others * decay(now.since(h.at), OTHERS_MEMORY))
    }

    /// Pace that was reported a moment ago.
    pub(super) fn pace(&self, now: Timestamp) -> Option<f64> {
        let heard = self.heard.filter(|h| now.since(h.at) <= PACE_MEMORY)?;
        heard.report.slowdown
    }

    /// Age of the latest report.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.heard.map(|h| now.since(h.at))
    }

    /// Expected time over usual time by what was seen of answers, at least 1.
    pub(super) fn slowness(&self, now: Timestamp) -> f64 {
        self.slowness.now(now).exp().max(1.0)
    }

    /// Part of attempts that are expected to bring an answer.
    pub(super) fn reliability(&self, now: Timestamp) -> f64 {
        (1.0 - self.faults.now(now)) * (1.0 - self.refusals.now(now))
    }
}

fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
