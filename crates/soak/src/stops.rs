//! Planned stops, and what became of the calls around them.

use crate::checker::CallResult;
use indexmap::IndexMap;
use std::{
    fmt,
    time::{Duration, Instant},
};

/// Time after the grace time until which calls count as around the stop.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Time before a call within which an unplanned fault excuses its loss.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Calls sent later than this after SIGTERM are not excused by the work of their target.
const LATE_CALL_TIME: Duration = Duration::from_secs(3);
/// The work of a target excuses a loss after this part of the grace time.
const WORK_FRACTION: f64 = 5.0 / 6.0;
/// Time after which a call that a gateway has read must not be dropped, even if no target has it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Where a call goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    /// Name of the operation.
    pub(crate) operation: &'static str,
    /// How the caller uses connections, for violations.
    pub(crate) habit: &'static str,
    /// Whether there is no link between the caller and the gateway.
    pub(crate) is_direct: bool,
    pub(crate) idempotent: bool,
    pub(crate) gateway: usize,
    /// Process of the gateway that accepted the connection.
    pub(crate) incarnation: u32,
}

/// End of a call as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEnd {
    pub(crate) at: Instant,
    pub(crate) result: CallResult,
    /// Bytes of the answer that were received.
    pub(crate) received: usize,
    /// Whether the time limit of the call had been reached.
    pub(crate) timed_out: bool,
}

/// State of one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) route: Route,
    /// When its first byte was about to be sent.
    pub(crate) began_at: Instant,
    /// The same, later when its last byte had been sent.
    pub(crate) sent_at: Instant,
    /// Number of times that targets ran the call.
    pub(crate) runs: u32,
    /// Number of targets that have the call now.
    pub(crate) holders: u32,
    /// When a target last ended its work on the call. `None` if no target has had it.
    pub(crate) worked_until: Option<Instant>,
    /// Whether a target ended its connection instead of answering.
    pub(crate) broken_off: bool,
    pub(crate) end: Option<CallEnd>,
    /// Whether the gateway was killed before it was certain to have logged the outcome.
    pub(crate) unwritten: bool,
}

/// A planned stop of a gateway process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub(crate) gateway: usize,
    pub(crate) incarnation: u32,
    /// When SIGTERM was sent.
    pub(crate) began: Instant,
    pub(crate) grace: Duration,
    /// Connections of callers that were open.
    pub(crate) connections: usize,
}

/// Number of calls around planned stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// Planned stops.
    pub stops: usize,
    /// Connections of callers that were open when they began.
    pub connections: usize,
    /// Calls with a complete answer.
    pub whole: usize,
    /// Calls answered as not run.
    pub refused: usize,
    /// Calls lost without an excuse.
    pub cut: usize,
    /// Calls lost to a target, a time limit, an unplanned fault or the end of the grace time.
    pub excused: usize,
    /// Calls whose connection ended before a target got them.
    pub unread: usize,
}

impl fmt::Display for StopCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let open = self.connections as f64 / self.stops.max(1) as f64;
        let Self { stops, whole, refused, cut, excused, unread, .. } = self;
        write!(
            f,
            "{stops} stops with {open:.1} connections each: {whole} whole, {refused} refused, {cut} \
             cut, {excused} excused, {unread} unread"
        )
    }
}

/// What became of a call around a planned stop.
enum Fate {
    Whole,
    Refused,
    Cut,
    Excused,
    Unread,
}

impl Call {
    pub(crate) fn new(route: Route) -> Self {
        let now = Instant::now();
        Self {
            route,
            began_at: now,
            sent_at: now,
            runs: 0,
            holders: 0,
            worked_until: None,
            broken_off: false,
            end: None,
            unwritten: false,
        }
    }

    pub(crate) fn result(&self) -> Option<CallResult> {
        self.end.map(|end| end.result)
    }

    fn was_passed_on(&self) -> bool {
        self.holders > 0 || self.worked_until.is_some()
    }
}

impl Stop {
    fn concerns(&self, call: &Call, end: &CallEnd) -> bool {
        (self.gateway, self.incarnation) == (call.route.gateway, call.route.incarnation)
            && end.at >= self.began
            && call.sent_at <= self.began + self.grace + STOP_MARGIN
    }

    /// Returns what became of a call. `is_read` tells whether the gateway has read it, `faults` has
    /// the unplanned faults at the gateway.
    fn fate(&self, call: &Call, end: &CallEnd, is_read: bool, faults: &[Instant]) -> Option<Fate> {
        match end.result {
            CallResult::Answered | CallResult::Unknown => return Some(Fate::Whole),
            CallResult::NotRun => return Some(Fate::Refused),
            CallResult::GaveUp => return None,
            CallResult::Cut | CallResult::Unsent => {}
        }
        let is_late = is_read && end.at.saturating_duration_since(call.sent_at) > LOSS_SLACK;
        Some(match call.was_passed_on() || is_late {
            false => Fate::Unread,
            true if self.excuses(call, end, faults) => Fate::Excused,
            true => Fate::Cut,
        })
    }

    fn excuses(&self, call: &Call, end: &CallEnd, faults: &[Instant]) -> bool {
        let is_disturbed = |at: &Instant| (call.sent_at - CONTACT_TIME..=end.at).contains(at);
        let work_limit = self.began + self.grace.mul_f64(WORK_FRACTION);
        let worked_long = call.holders > 0 || call.worked_until.is_some_and(|at| at >= work_limit);
        call.broken_off
            || end.timed_out
            || faults.iter().any(is_disturbed)
            || (worked_long && end.at >= work_limit && call.sent_at <= self.began + LATE_CALL_TIME)
    }

    fn describe_loss(&self, id: u64, call: &Call, end: &CallEnd) -> String {
        let Route { operation, habit, is_direct, .. } = call.route;
        let path = if is_direct { "direct" } else { "by link" };
        let reason = if call.was_passed_on() { "a target had it" } else { "the gateway read it" };
        format!(
            "lost: call {id} ({operation}, {habit}, {path}) was cut off by the planned stop of \
             gateway {} {} ms after SIGTERM and {} ms after it was sent, with {} bytes of its \
             answer: {reason}",
            self.gateway,
            (end.at - self.began).as_millis(),
            end.at.saturating_duration_since(call.sent_at).as_millis(),
            end.received,
        )
    }
}

/// Counts the calls around planned stops and describes those that were lost without an excuse.
/// `is_read` tells whether a gateway has read a call, `faults` has the times of unplanned faults.
pub(crate) fn count<IsRead>(
    calls: &IndexMap<u64, Call>,
    stops: &[Stop],
    faults: &IndexMap<usize, Vec<Instant>>,
    is_read: IsRead,
) -> (StopCounts, Vec<String>)
where
    IsRead: Fn(u64) -> bool,
{
    let connections = stops.iter().map(|s| s.connections).sum();
    let mut counts = StopCounts { stops: stops.len(), connections, ..StopCounts::default() };
    let mut losses = Vec::new();
    for (&id, call) in calls {
        let Some(end) = call.end else { continue };
        let Some(stop) = stops.iter().find(|s| s.concerns(call, &end)) else { continue };
        let faults = faults.get(&stop.gateway).map_or(&[][..], Vec::as_slice);
        match stop.fate(call, &end, is_read(id), faults) {
            Some(Fate::Whole) => counts.whole += 1,
            Some(Fate::Refused) => counts.refused += 1,
            Some(Fate::Excused) => counts.excused += 1,
            Some(Fate::Unread) => counts.unread += 1,
            Some(Fate::Cut) => {
                counts.cut += 1;
                losses.push(stop.describe_loss(id, call, &end));
            }
            None => {}
        }
    }
    (counts, losses)
}
