//! State of one target at this gateway.

use super::{
    call::Probe, catalog::ListedTarget, cold::ColdTarget, limits::TargetLimit, load::TargetLoad,
    quarantine::ProcessId, rest::TargetRest, succession::AnswerTime,
};
use crate::Timestamp;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Minimum and maximum backoff after failures, during which the target gets no calls.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(4));
/// Minimum and maximum backoff after unanswered probes.
const PROBE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));
/// Consecutive failures after which a backoff starts; one is enough if no connection was
/// established.
const BROKEN_LIMIT: u32 = 2;
/// Maximum number of times a backoff doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Age of an attempt, in multiples of the expected duration, above which it counts as overdue.
const OVERDUE_AGE: f64 = 1.5;
/// Lower bound of the expected duration to which the age of an attempt is compared, in seconds.
const MIN_EXPECTED_SECONDS: f64 = 0.001;
/// Time for which what a target has said of itself, that it leaves or a limit, is remembered once the platform
/// does not list it any more. Its record may come back for a moment from a copy of the platform or a late write.
const RECORD_MEMORY: Duration = Duration::from_secs(300);
/// Time after the mark of a process that leaves for which another process gets no calls that may have said
/// it before its own record was known.
const SUCCESSOR_REST: Duration = Duration::from_secs(10);
/// Estimated calls, the new one included, by which a target may exceed its slots and still count as
/// having a free one. The calls of other gateways are not known exactly.
pub(super) const OTHER_CALLS_TOLERANCE: f64 = 0.5;
/// Time after an observation that a slot is free for which it is assumed to have stayed free until the next
/// one.
const FREE_MEMORY: Duration = Duration::from_millis(100);
/// Time for which a pending probe prevents further ones.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Attempt that is running at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) call: u64,
    /// When it was decided.
    pub(super) since: Timestamp,
    /// When its request was sent, or `since` until then: a connection may have to be opened first.
    pub(super) sent: Timestamp,
    /// Expected duration in seconds.
    pub(super) expected: f64,
    /// Whether the target was crowded at the start.
    pub(super) crowded: bool,
    /// Factor on the service time for slowdown, crowding and warm-up, relative to an idle, warm
    /// target of the usual speed.
    pub(super) scale: f64,
    /// Whether the slowdown was known at the start.
    pub(super) known: bool,
    /// Version of the target's limit that was known at the start.
    pub(super) limit_version: u64,
    /// Process that runs it.
    pub(super) process: ProcessId,
    /// Whether it counts for the rate of the target while that is cold.
    pub(super) cold: bool,
}

/// Record of a target, with whether its process is known to have lived since the latest list.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenTarget<'a> {
    pub(super) listed: &'a ListedTarget,
    pub(super) alive: bool,
}

/// Target with its running attempts, load and backoff state.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) started: Option<u64>,
    pub(super) process: ProcessId,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) domain: Arc<str>,
    /// Whether it is in the failure domain of this gateway.
    pub(super) local: bool,
    /// End of the warm-up.
    pub(super) warm_at: Timestamp,
    pub(super) running: Vec<RunningAttempt>,
    pub(super) load: TargetLoad,
    /// Since when a slot is known to be free, `None` if all were in use, and when that was observed.
    pub(super) free: (Option<Timestamp>, Timestamp),
    /// End of the backoff.
    pub(super) backoff_until: Timestamp,
    /// Another process uses the address; no calls are sent until the record changes.
    pub(super) moved: bool,
    /// When the pending probe was sent.
    pub(super) probe_sent: Option<Timestamp>,
    /// Consecutive probes that were not answered.
    pub(super) unanswered_probes: u32,
    /// Token bucket of probes: number of tokens, and when it was computed.
    pub(super) probe_tokens: (f64, Timestamp),
    /// Limit that the target has named, and the use of it.
    pub(super) limit: TargetLimit,
    /// Use of its rate while it is cold.
    pub(super) cold: ColdTarget,
    /// Rest that the target has asked for.
    pub(super) rest: TargetRest,
    /// When the target itself said that it leaves.
    pub(super) departed: Option<AnswerTime>,
    /// Since when the platform does not list it.
    pub(super) unlisted: Option<Timestamp>,
    /// Whether the process is known to have lived since this gateway knows its record.
    pub(super) alive: bool,
    /// Whether its failure domain is evacuated.
    pub(super) evacuated: bool,
}

impl Target {
    pub(super) fn new(now: Timestamp, seen: &SeenTarget<'_>, domain: &str) -> Self {
        let listed = seen.listed;
        let record = &listed.record;
        Self {
            name: Arc::clone(&record.name),
            address: record.address,
            started: record.started,
            process: ProcessId::new(&record.name, record.started),
            slots: record.slots.max(1),
            leaving: record.leaving,
            domain: Arc::clone(&record.failure_domain),
            local: &*record.failure_domain == domain,
            warm_at: listed.read + record.warmup,
            running: Vec::new(),
            load: TargetLoad::default(),
            free: (Some(now), now),
            backoff_until: now,
            moved: false,
            probe_sent: None,
            unanswered_probes: 0,
            probe_tokens: (1.0, now),
            limit: TargetLimit::default(),
            cold: ColdTarget::default(),
            rest: TargetRest::default(),
            departed: None,
            unlisted: None,
            alive: seen.alive,
            evacuated: false,
        }
    }

    /// Notes whether a slot is free.
    pub(super) fn record_usage(&mut self, now: Timestamp) {
        let used = self.running.len() as f64 + self.load.other_calls(now);
        let is_free = used + OTHER_CALLS_TOLERANCE < f64::from(self.slots);
        let (since, seen) = self.free;
        let since = since.filter(|_| now.since(seen) <= FREE_MEMORY);
        self.free = (is_free.then(|| since.unwrap_or(now)), now);
    }

    /// Returns whether a slot has been free for `time`, as far as is known.
    pub(super) fn was_free_for(&self, now: Timestamp, time: Duration) -> bool {
        let (since, seen) = self.free;
        // Calls that are cancelled free slots too, which is not observed at targets that report no load.
        let since = since.unwrap_or(seen + FREE_MEMORY);
        time.is_zero() || now.since(since) >= time
    }

    /// Returns whether a probe may be sent now, at most `rate` per second.
    pub(super) fn may_probe(&self, now: Timestamp, rate: f64) -> bool {
        let none_pending = self.probe_sent.is_none_or(|at| now.since(at) > PROBE_TIMEOUT);
        none_pending && self.is_askable(now) && self.available_tokens(now, rate) >= 1.0
    }

    /// Returns the tokens for probes that are available now.
    pub(super) fn available_tokens(&self, now: Timestamp, rate: f64) -> f64 {
        let (tokens, at) = self.probe_tokens;
        (tokens + now.since(at).as_secs_f64() * rate).min(rate.max(1.0))
    }

    /// Records that a probe is sent now.
    pub(super) fn record_probe(&mut self, now: Timestamp, rate: f64) {
        self.probe_tokens = (self.available_tokens(now, rate) - 1.0, now);
        self.probe_sent = Some(now);
    }

    /// Returns how to ask the target, a part of `service`.
    pub(super) fn probe(&self, now: Timestamp, service: &Arc<str>) -> Probe {
        Probe {
            service: Arc::clone(service),
            target: Arc::clone(&self.name),
            address: self.address,
            process: self.process,
            limit: self.limit.rate(),
            resting: self.rest.is_resting(now),
            cold: self.cold.is_cold(now),
        }
    }

    /// Updates the fields that may change while the process runs.
    pub(super) fn update_record(&mut self, seen: &SeenTarget<'_>) {
        let listed = seen.listed;
        self.alive |= seen.alive;
        let record = &listed.record;
        self.slots = record.slots.max(1);
        self.leaving = record.leaving;
        self.unlisted = None;
        self.warm_at = listed.read + record.warmup;
    }

    /// Records that the platform does not list the target.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        self.leaving = true;
        self.unlisted.get_or_insert(now);
    }

    /// Returns whether the state is kept although the platform does not list the target: a record may
    /// lapse although its process goes on.
    pub(super) fn is_kept(&self, now: Timestamp) -> bool {
        let has_departed = self.departed.is_some_and(|at| now.since(at.now) < RECORD_MEMORY);
        let is_recent = self.unlisted.is_some_and(|at| now.since(at) < RECORD_MEMORY);
        let has_limit = self.limit.rate().is_some() && is_recent;
        !self.running.is_empty() || self.rest.is_resting(now) || has_departed || has_limit
    }

    /// Returns the rest of a process that takes the place of this one and started at `started`. It does
    /// not take over the mark of a process that leaves, which would be for good.
    pub(super) fn rest_of_successor(&self, now: Timestamp, started: Option<u64>) -> TargetRest {
        let mut rest = self.rest.of_successor(now, started);
        if let Some(at) = self.departed.filter(|at| !at.is_before(started)) {
            rest.ask(at, SUCCESSOR_REST);
        }
        rest
    }

    /// Returns whether an answer that arrived at `at` and was booked to `process` may come from this one.
    pub(super) fn may_have_said(&self, at: AnswerTime, process: ProcessId) -> bool {
        self.process == process || !at.is_before(self.started)
    }

    pub(super) fn is_same_process(&self, listed: &ListedTarget) -> bool {
        self.started == listed.record.started && self.address == listed.record.address
    }

    /// Returns the requests per second that this gateway may send, `None` if there is no limit and the target is
    /// not cold.
    pub(super) fn admitted_rate(&self, now: Timestamp) -> Option<f64> {
        match (self.limit.own_rate(), self.cold.own_rate(now)) {
            (Some(limit), Some(cold)) => Some(limit.min(cold)),
            (limit, cold) => limit.or(cold),
        }
    }

    /// Returns the number of requests that may be sent now, infinite if there is no limit and the target is not
    /// cold.
    pub(super) fn admitted_now(&self, now: Timestamp) -> f64 {
        self.limit.tokens(now).min(self.cold.tokens(now))
    }

    /// Returns whether calls may be sent to the target at all.
    pub(super) fn is_usable(&self) -> bool {
        self.is_serving() && !self.evacuated
    }

    /// Returns whether the target takes calls, also if its failure domain is evacuated.
    pub(super) fn is_serving(&self) -> bool {
        !self.is_departing() && !self.moved
    }

    /// Returns whether the target ends as planned.
    pub(super) fn is_departing(&self) -> bool {
        self.leaving || self.departed.is_some()
    }

    /// Returns whether the target may be asked for its load or a sign of life: a probe uses up a limit
    /// like a call, and disturbs a rest.
    pub(super) fn is_askable(&self, now: Timestamp) -> bool {
        let is_cold = self.cold.is_cold(now);
        self.is_usable() && self.limit.rate().is_none() && !is_cold && !self.rest.is_resting(now)
    }

    /// Returns whether the target wants no further call now: its limit or its rate while it is cold is used up,
    /// or it has asked for rest.
    pub(super) fn wants_none(&self, now: Timestamp) -> bool {
        !self.limit.may_send(now)
            || !self.cold.may_send(now)
            || !self.rest.admits(now, self.running.iter())
    }

    /// Returns whether the request of `call`, whose attempt was decided earlier, may be sent now, and
    /// records that it is.
    pub(super) fn begin_request(&mut self, now: Timestamp, call: u64) -> bool {
        let others = self.running.iter().filter(|r| r.call != call);
        if self.departed.is_some() || self.evacuated || !self.rest.admits(now, others) {
            return false;
        }
        if let Some(running) = self.running.iter_mut().find(|r| r.call == call) {
            // The target has become cold since the attempt was decided.
            if !running.cold && self.cold.is_cold(now) {
                if !self.cold.may_send(now) {
                    return false;
                }
                running.cold = self.cold.take(now);
            }
            running.sent = now;
        }
        true
    }

    /// Returns whether the target must get no calls now, because it is in backoff or wants none.
    pub(super) fn is_held(&self, now: Timestamp) -> bool {
        self.in_backoff(now) || self.wants_none(now)
    }

    /// Returns whether the target is in backoff.
    pub(super) fn in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Records a failure and starts an exponential backoff if there were enough in a row. `connect`
    /// means that no connection was established; one such failure is enough.
    pub(super) fn record_failure(&mut self, now: Timestamp, connect: bool) {
        self.load.record_failure(now);
        let streak = self.load.failure_streak();
        let needed = if connect { 1 } else { BROKEN_LIMIT };
        if streak >= needed {
            let doublings = (streak - needed).min(MAX_DOUBLINGS);
            self.backoff_until =
                now + (FAILURE_BACKOFF.0 * (1 << doublings)).min(FAILURE_BACKOFF.1);
        }
    }

    /// Starts a short backoff after an unanswered probe. This does not count as a failure of a
    /// call: the gateway itself may have been too busy to send the probe or to read the answer.
    pub(super) fn record_unanswered_probe(&mut self, now: Timestamp) {
        self.unanswered_probes += 1;
        let doublings = (self.unanswered_probes - 1).min(MAX_DOUBLINGS);
        let backoff = (PROBE_BACKOFF.0 * (1 << doublings)).min(PROBE_BACKOFF.1);
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// Forgets the failures that led to a backoff.
    pub(super) fn end_backoff(&mut self, now: Timestamp) {
        self.backoff_until = self.backoff_until.min(now);
        self.unanswered_probes = 0;
        self.load.forget_failures();
    }

    /// Returns the largest ratio of elapsed time to [`OVERDUE_AGE`] times the expected duration
    /// over all running calls, at least 1.
    pub(super) fn overdue_ratio(&self, now: Timestamp) -> f64 {
        let ratio = |r: &RunningAttempt| {
            now.since(r.since).as_secs_f64() / r.expected.max(MIN_EXPECTED_SECONDS)
        };
        self.running.iter().map(ratio).fold(1.0, |a, b| a.max(b / OVERDUE_AGE))
    }
}
