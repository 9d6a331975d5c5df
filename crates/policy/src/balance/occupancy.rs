//! Fullness of a target: attempts that it has never accepted, as its load reports show, and attempts
//! that it has rejected.
//!
//! A target whose slots and queue are occupied either does not answer a request or resets its
//! connection. Silence alone does not show fullness, since single runs take many times the usual time. A
//! report that was made after a request must have arrived does, if it counts fewer calls than this
//! gateway has there.

use super::{
    load::LoadReport,
    quarantine::ProcessId,
    target::{RunningAttempt, Target},
};
use crate::Timestamp;
use std::{sync::Arc, time::Duration};

/// Time within which a request that is being sent has arrived at its target.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);
/// Time between two reports that have to agree. An answer that was sent just before the first one may
/// arrive after it.
const CONFIRMATION_TIME: Duration = Duration::from_millis(50);
/// Age up to which a report shows whether a target is full: about the time in which a queue of 4 ends.
const REPORT_MEMORY: Duration = Duration::from_secs(1);
/// Age of an attempt, in multiples of the expected time, from which a report is asked for. Like that of a
/// hedge.
const SILENT_AGE: f64 = 1.3;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Nothing has been sent yet.
    Decided,
    /// The request has been sent.
    Sent,
    /// The target has never accepted the request, as its reports show. It is nevertheless possible that
    /// it runs.
    Unaccepted,
    /// The head of the answer has arrived.
    Answering,
}

/// What a full target has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullTargetEvent {
    /// It has never accepted an attempt, as its reports show.
    Unaccepted,
    /// It has ended the connection of an attempt before any answer.
    Rejected,
}

impl FullTargetEvent {
    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unaccepted => "unaccepted",
            Self::Rejected => "rejected-full",
        }
    }
}

/// Notice of an attempt that a full target has not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullTargetNotice {
    /// Number of the call.
    pub call: u64,
    /// Service of the target.
    pub service: Arc<str>,
    /// What the target has done.
    pub event: FullTargetEvent,
}

/// Load report with the time at which it was asked for; it was not made before.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskedReport {
    pub(super) report: LoadReport,
    pub(super) asked: Timestamp,
}

/// Attempts that a first report lacks and a second one has to confirm.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// When the first report was asked for, and when it arrived.
    asked: Timestamp,
    arrived: Timestamp,
    /// Smallest number of attempts that the reports since then lack.
    missing: usize,
}

/// What the reports of a target say of the attempts there.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Occupancy {
    doubt: Option<Doubt>,
}

impl Occupancy {
    /// Compares a report of `process` that arrived now with the attempts there. Marks those that were never
    /// accepted and returns their calls.
    ///
    /// The calls of a report may all be those of other gateways, so the number of attempts found is a
    /// lower bound. Of several that may be meant, those sent first are marked: the others have had less
    /// time to be answered.
    pub(super) fn compare(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        asked: &AskedReport,
        running: &mut [RunningAttempt],
    ) -> Vec<u64> {
        // A report that was asked for earlier shows nothing of the attempts in doubt.
        if self.doubt.is_some_and(|doubt| asked.asked < doubt.asked) {
            return Vec::new();
        }
        let reported = (asked.report.running + asked.report.waiting) as usize;
        let has_arrived = |r: &RunningAttempt, at: Timestamp| {
            let is_unanswered = matches!(r.progress, Progress::Sent | Progress::Unaccepted);
            r.process == process && is_unanswered && r.sent + ARRIVAL_TIME <= at
        };
        let own = running.iter().filter(|r| has_arrived(r, asked.asked)).count();
        let known = running
            .iter()
            .filter(|r| r.process == process && r.progress == Progress::Unaccepted)
            .count();
        let missing = own.saturating_sub(reported).saturating_sub(known);
        let Some(doubt) = self.doubt.filter(|_| missing > 0) else {
            let first = Doubt { asked: asked.asked, arrived: now, missing };
            self.doubt = (missing > 0).then_some(first);
            return Vec::new();
        };
        let missing = missing.min(doubt.missing);
        if asked.asked < doubt.arrived + CONFIRMATION_TIME {
            self.doubt = Some(Doubt { missing, ..doubt });
            return Vec::new();
        }
        self.doubt = None;
        let mut found: Vec<&mut RunningAttempt> = running
            .iter_mut()
            .filter(|r| r.progress == Progress::Sent && has_arrived(r, doubt.asked))
            .collect();
        found.sort_by_key(|r| r.sent);
        found.truncate(missing);
        for attempt in &mut found {
            attempt.progress = Progress::Unaccepted;
        }
        found.into_iter().map(|r| r.call).collect()
    }
}

impl Target {
    /// Returns the number of attempts that occupy a slot or a place in the queue, as far as known.
    pub(super) fn occupied(&self) -> usize {
        self.running.iter().filter(|r| r.progress != Progress::Unaccepted).count()
    }

    /// Records a report. Returns the calls whose attempts it shows never to have been accepted.
    pub(super) fn record_report(&mut self, now: Timestamp, asked: &AskedReport) -> Vec<u64> {
        let unaccepted =
            self.occupancy.compare(now, self.process, asked, self.running.as_mut_slice());
        let own = u32::try_from(self.occupied()).unwrap_or(u32::MAX);
        self.load.record_report(now, asked.report, own);
        self.record_usage(now);
        unaccepted
    }

    /// Returns whether the latest report, with the attempts sent since then, shows that calls have to queue.
    /// The length of the queue is not known.
    pub(super) fn seems_full(&self, now: Timestamp) -> bool {
        let Some((report, at)) = self.load.latest_report() else { return false };
        let since = self.running.iter().filter(|r| r.sent > at).count();
        let all = (report.running + report.waiting) as usize + since;
        now.since(at) <= REPORT_MEMORY && all > report.slots as usize
    }

    /// Returns whether a full target has ended the connection of `attempt` before any answer, so that this
    /// is no fault.
    pub(super) fn has_rejected(&self, now: Timestamp, attempt: &RunningAttempt) -> bool {
        let has_no_answer = attempt.progress != Progress::Answering;
        has_no_answer && attempt.process == self.process && self.seems_full(now)
    }

    /// Returns whether the silence of call `id` may come from fullness, so that it is no fault.
    pub(super) fn may_be_silent(&self, now: Timestamp, id: u64) -> bool {
        let is_unaccepted = |r: &RunningAttempt| r.progress == Progress::Unaccepted;
        self.running.iter().any(|r| r.call == id && is_unaccepted(r)) || self.seems_full(now)
    }

    /// Returns whether a report may show that an attempt was never accepted.
    pub(super) fn needs_report(&self, now: Timestamp) -> bool {
        let is_silent = |r: &RunningAttempt| {
            let age = now.since(r.sent);
            r.progress == Progress::Sent
                && age > ARRIVAL_TIME
                && age.as_secs_f64() > r.expected * SILENT_AGE
        };
        self.load.latest_report().is_some() && self.running.iter().any(is_silent)
    }
}
