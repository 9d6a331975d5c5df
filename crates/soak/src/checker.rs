//! Records what callers and targets observe and checks it against the guarantees of the gateways.

use crate::{
    crashes::{CRASH_ROUTE, CrashChecks},
    departures::DepartureChecks,
    limits::LimitChecks,
    rests::RestChecks,
    stops::{self, Call, CallEnd, Route, Stop, StopCounts},
    upgrades::Exception,
};
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time after which a leaving target must receive no new calls.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time after which published settings must be in effect at every gateway.
pub(crate) const SETTINGS_BOUND: Duration = Duration::from_secs(2);
/// Time without a fault after which the time bounds apply to a gateway again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed per first attempt within the window.
const BUDGET_RATIO: f64 = 0.2;
/// Retries allowed within the window on top of the ratio.
pub(crate) const BUDGET_SLACK: f64 = 60.0;
/// Time before a kill within which log lines may be lost: the process may have been suspended for
/// the longest duration of a fault, and it buffers lines for a moment.
const LOG_LOSS_WINDOW: Duration = Duration::from_secs(4);
/// Most violations that are kept.
const MAX_VIOLATIONS: usize = 20;

/// Result of a call as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// A target answered with status 200.
    Answered,
    /// The gateway answered that the call did not run.
    NotRun,
    /// The gateway answered that the outcome is unknown, or the target answered with an error.
    Unknown,
    /// The connection closed before the answer was complete.
    Cut,
    /// The request was not sent.
    Unsent,
    /// The caller stopped waiting.
    GaveUp,
}

/// A call for which the caller has a result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    pub(crate) id: u64,
    /// Gateway that the caller used.
    pub(crate) gateway: usize,
    pub(crate) result: CallResult,
    /// Number of times that targets ran the call.
    pub(crate) runs: u32,
    /// Time since the end of the call.
    pub(crate) age: Duration,
    /// Whether the gateway was killed before it was certain to have logged the outcome.
    pub(crate) unwritten: bool,
}

/// Where a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival<'a> {
    /// Name of the target.
    pub(crate) target: &'a str,
    /// Start number of the target.
    pub(crate) start: u64,
    /// Gateway that sent the request, if gateways can be told apart at targets.
    pub(crate) gateway: Option<usize>,
}

/// Number of calls, and of those that were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Served {
    pub(crate) all: u64,
    pub(crate) served: u64,
}

/// When the platform recorded that a target is leaving or gone.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    first: Instant,
    /// `None` while a copy from which the platform was restored lists the target as before.
    listed: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    calls: IndexMap<u64, Call>,
    /// Time of the last start or unplanned fault at each gateway.
    last_fault: IndexMap<usize, Instant>,
    /// Unplanned faults at each gateway.
    faults: IndexMap<usize, Vec<Instant>>,
    /// Gateways that run the older build.
    older: IndexSet<usize>,
    /// Starts of the processes of each gateway.
    starts: IndexMap<usize, Vec<Instant>>,
    /// Gateways in a planned stop.
    stopping: IndexSet<usize>,
    /// All planned stops of the run.
    stops: Vec<Stop>,
    /// Targets that are leaving or gone.
    leaving: IndexMap<String, Leaving>,
    /// Settings versions with the time at which each was published.
    published: Vec<(u64, Instant)>,
    /// Highest settings version seen in effect, by gateway and incarnation.
    highest_versions: IndexMap<(usize, u32), u64>,
    /// Arrivals at targets by service: time, and whether it counts as a first attempt.
    arrivals: IndexMap<String, VecDeque<(Instant, bool)>>,
    /// Limits of targets, and the requests that they got.
    limits: LimitChecks,
    /// Rests of targets, and the requests that they got.
    rests: RestChecks,
    /// Targets that have said that they leave.
    departures: DepartureChecks,
    /// Time of the last start or freeze of each gateway.
    disturbed: IndexMap<usize, Instant>,
    /// Calls that crash targets.
    crashes: CrashChecks,
    /// Times of the disturbances of the platform.
    outages: Vec<Instant>,
    /// Gateways that are cut off from all targets, whose calls others send to targets.
    detached: Vec<usize>,
    violations: Vec<String>,
    /// Number of calls by result.
    counts: IndexMap<&'static str, u64>,
    /// Calls that ended within the last [`SETTLE_TIME`]: time, and whether they were answered.
    recent_calls: VecDeque<(Instant, bool)>,
}

/// Checks the guarantees during a run; shared by callers, targets, platform and fault injection.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    state: Mutex<State>,
}

impl Checker {
    /// Records that a caller is about to send a call.
    pub(crate) fn record_send(&self, id: u64, route: Route) {
        self.state.lock().calls.insert(id, Call::new(route));
    }

    /// Records that the last byte of a call has been sent.
    pub(crate) fn record_sent(&self, id: u64) {
        if let Some(call) = self.state.lock().calls.get_mut(&id) {
            call.sent_at = Instant::now();
        }
    }

    /// Records that a target has received a call, one that crashes targets if it has a number
    /// `crash`. Checks that gateways without a fault stop sending these.
    pub(crate) fn record_receipt(&self, id: u64, crash: Option<u64>) {
        let mut state = self.state.lock();
        let Some(call) = state.calls.get_mut(&id) else { return };
        call.holders += 1;
        let gateway = call.route.gateway;
        if let Some(crash) = crash
            && !state.is_excused(Exception::CrashingCalls, gateway)
            && state.is_settled(gateway, Instant::now())
        {
            let violation = state.crashes.record_receipt(crash);
            violation.into_iter().for_each(|violation| state.add_violation(violation));
        }
    }

    /// Changes what is recorded of the calls that crash targets.
    pub(crate) fn change_crashes<Change, Result>(&self, change: Change) -> Result
    where
        Change: FnOnce(&mut CrashChecks) -> Result,
    {
        change(&mut self.state.lock().crashes)
    }

    /// Records that a target no longer has a call. `broken_off` tells whether the target ended the
    /// connection by itself instead of answering.
    pub(crate) fn record_release(&self, id: u64, broken_off: bool) {
        if let Some(call) = self.state.lock().calls.get_mut(&id) {
            call.holders -= 1;
            call.worked_until = Some(Instant::now());
            call.broken_off |= broken_off;
        }
    }

    /// Records that a target starts to run a call. Checks that the call was sent, that a call that
    /// is not idempotent runs once, that a refused call does not run, and that a leaving target
    /// gets no new calls.
    pub(crate) fn record_run(&self, id: u64, target: &str, service: &str) {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.record_arrival(now, id, service);
        let Some(call) = state.calls.get_mut(&id) else {
            state.add_violation(format!("unasked: call {id} ran at {target} but was never sent"));
            return;
        };
        call.runs += 1;
        let (runs, idempotent, result, gateway) =
            (call.runs, call.route.idempotent, call.result(), call.route.gateway);
        if runs > 1 && !idempotent {
            state.add_violation(format!(
                "twice: call {id} ran {runs} times, most recently at {target}"
            ));
        }
        if result == Some(CallResult::NotRun) {
            state.add_violation(format!(
                "refused: call {id} ran at {target} after it was reported as not run"
            ));
        }
        if let Some(leaving) = state.leaving.get(target).copied()
            && !state.is_excused(Exception::RestoredPlatform, gateway)
            && state.is_settled(gateway, now)
            && (state.is_leaving_due(leaving, now)
                || state.has_known_leaving(leaving, gateway, now))
        {
            let delay = now - leaving.first;
            state.add_violation(format!(
                "leaving: call {id} ran at {target} {delay:?} after its listing as leaving or gone"
            ));
        }
    }

    /// Records that a target names another limit from now on, or none.
    pub(crate) fn record_limit(&self, target: &str, rate: Option<f64>) {
        self.state.lock().limits.record_limit(Instant::now(), target, rate);
    }

    /// Records that a target asks a gateway for rest.
    pub(crate) fn record_rest(&self, arrival: &Arrival<'_>, span: Duration) {
        if let Some(gateway) = arrival.gateway {
            self.state.lock().rests.record_rest(arrival.start, gateway, span);
        }
    }

    /// Records that a target answers the call `id` and says that it leaves.
    pub(crate) fn record_departure(&self, id: u64, arrival: &Arrival<'_>) {
        if let Some(gateway) = arrival.gateway {
            self.state.lock().departures.record_answer(id, arrival.start, gateway);
        }
    }

    /// Returns the number of rests that targets asked for, and of targets and gateways that have
    /// passed on that these leave.
    pub(crate) fn rest_counts(&self) -> (u64, usize) {
        let state = self.state.lock();
        (state.rests.count(), state.departures.count())
    }

    /// Records that a gateway is frozen or runs again.
    pub(crate) fn record_freeze(&self, gateway: usize) {
        self.state.lock().disturbed.insert(gateway, Instant::now());
    }

    /// Records that a target got the call `id`, or a probe. Checks the rests and the leaving of the
    /// target, and its limit unless the gateway of the call has had a fault.
    pub(crate) fn record_request(&self, id: Option<u64>, arrival: &Arrival<'_>) {
        let target = arrival.target;
        self.state.lock().check_arrival(id, arrival);
        let mut state = self.state.lock();
        let now = Instant::now();
        let call = id.and_then(|id| state.calls.get(&id));
        if call.is_none_or(|call| state.is_settled(call.route.gateway, now)) {
            let violation = state.limits.record_arrival(now, target);
            violation.into_iter().for_each(|violation| state.add_violation(violation));
        }
    }

    /// Counts the calls sent between `from` and `until` to the gateways in `numbers`, and to the
    /// others. Calls of gateways with a fault around that time are left out, and those of callers
    /// that left early.
    pub(crate) fn count_served(
        &self,
        numbers: &[usize],
        from: Instant,
        until: Instant,
    ) -> (Served, Served) {
        let state = self.state.lock();
        let (mut cut, mut others) = (Served::default(), Served::default());
        let is_disturbed = |gateway: usize, at: Instant| {
            let near = |fault: &Instant| at < *fault + SETTLE_TIME && *fault < at + SETTLE_TIME;
            let faults = state.faults.get(&gateway).into_iter().flatten();
            faults.chain(state.starts.get(&gateway).into_iter().flatten()).any(near)
        };
        for call in state.calls.values().filter(|c| (from..until).contains(&c.sent_at)) {
            let Some(end) = call.end else { continue };
            let left = end.result == CallResult::GaveUp && !end.timed_out;
            let is_crash = call.route.operation == CRASH_ROUTE;
            // Others tell it of settings that it does not have, so it refuses calls.
            let is_excused = state.is_excused(Exception::RestoredPlatform, call.route.gateway);
            if left || is_crash || is_excused || is_disturbed(call.route.gateway, call.sent_at) {
                continue;
            }
            let is_cut = numbers.contains(&call.route.gateway);
            let served = if is_cut { &mut cut } else { &mut others };
            served.all += 1;
            served.served += u64::from(end.result == CallResult::Answered);
        }
        (cut, others)
    }

    /// Returns whether the call is one that crashes targets, or was sent beside one.
    pub(crate) fn is_crash_call(&self, id: u64) -> bool {
        let state = self.state.lock();
        state.calls.get(&id).is_some_and(|call| call.route.operation == CRASH_ROUTE)
    }

    /// Records that a target refused a call.
    pub(crate) fn record_refusal(&self, id: u64, service: &str) {
        self.state.lock().record_arrival(Instant::now(), id, service);
    }

    /// Records the end of a call. Checks that a call reported as not run did not run.
    pub(crate) fn record_end(&self, id: u64, end: CallEnd) {
        let mut state = self.state.lock();
        let name = match end.result {
            CallResult::Answered => "answered",
            CallResult::NotRun => "not-run",
            CallResult::Unknown => "unknown",
            CallResult::Cut => "cut",
            CallResult::Unsent => "unsent",
            CallResult::GaveUp => "gave-up",
        };
        *state.counts.entry(name).or_default() += 1;
        let gateway = state.calls.get(&id).map(|call| call.route.gateway);
        if !gateway.is_some_and(|g| state.is_excused(Exception::RestoredPlatform, g)) {
            state.recent_calls.push_back((end.at, end.result == CallResult::Answered));
        }
        while state.recent_calls.front().is_some_and(|(at, _)| end.at - *at > SETTLE_TIME) {
            state.recent_calls.pop_front();
        }
        if end.result == CallResult::Answered {
            state.departures.record_end(id);
        }
        let Some(call) = state.calls.get_mut(&id) else { return };
        call.end = Some(end);
        if end.result == CallResult::NotRun && call.runs > 0 {
            state.add_violation(format!("refused: call {id} ran but was reported as not run"));
        }
    }

    /// Counts the calls around planned stops. Checks that no stop cut off a call that a target had
    /// or that the gateway had read a while ago. `is_read` tells whether a gateway has read a call.
    pub(crate) fn check_stops<IsRead>(&self, is_read: IsRead) -> StopCounts
    where
        IsRead: Fn(u64) -> bool,
    {
        let mut state = self.state.lock();
        let (counts, losses) = stops::count(&state.calls, &state.stops, &state.faults, is_read);
        for loss in losses {
            state.add_violation(loss);
        }
        counts
    }

    /// Records an answer that is not the complete answer to the call.
    pub(crate) fn record_wrong_answer(&self, id: u64, problem: &str) {
        self.state.lock().add_violation(format!("mixed: call {id}: {problem}"));
    }

    /// Records that a call of the moving route was answered under settings version `version`. The
    /// call was sent at `sent_at`, when `min_version` had already been seen in effect. Checks that
    /// published settings take effect in time and that no earlier version returns.
    pub(crate) fn record_version(
        &self,
        gateway: usize,
        incarnation: u32,
        sent_at: Instant,
        min_version: u64,
        version: u64,
    ) {
        let mut state = self.state.lock();
        let is_due = |(_, at): &&(u64, Instant)| sent_at - SETTINGS_BOUND > *at;
        let required = state.published.iter().filter(is_due).map(|(v, _)| *v).max().unwrap_or(0);
        let is_excused = state.is_excused(Exception::RestoredPlatform, gateway);
        if version < required
            && !is_excused
            && state.is_settled(gateway, sent_at)
            && state.is_platform_settled(sent_at)
        {
            state.add_violation(format!(
                "settings: gateway {gateway} uses version {version}, expected at least {required}"
            ));
        }
        if version < min_version && !is_excused {
            state.add_violation(format!(
                "reverted: gateway {gateway} went back to version {version} after {min_version}"
            ));
        }
        let highest = state.highest_versions.get(&(gateway, incarnation)).copied().unwrap_or(0);
        state.highest_versions.insert((gateway, incarnation), version.max(highest));
    }

    /// Returns the highest settings version seen in effect at an incarnation of a gateway. A call
    /// sent to it now must not be answered under a lower one.
    pub(crate) fn highest_version(&self, gateway: usize, incarnation: u32) -> u64 {
        self.state.lock().highest_versions.get(&(gateway, incarnation)).copied().unwrap_or(0)
    }

    /// Records an unplanned fault at a gateway or its links.
    pub(crate) fn record_fault(&self, gateway: usize) {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.last_fault.insert(gateway, now);
        state.faults.entry(gateway).or_default().push(now);
    }

    /// Records that a gateway is started. The time bounds apply to it once it has settled.
    pub(crate) fn record_start(&self, gateway: usize) {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.last_fault.insert(gateway, now);
        state.starts.entry(gateway).or_default().push(now);
        state.disturbed.insert(gateway, now);
    }

    /// Records which build a gateway is started with.
    pub(crate) fn record_build(&self, gateway: usize, is_older: bool) {
        let mut state = self.state.lock();
        match is_older {
            true => state.older.insert(gateway),
            false => state.older.swap_remove(&gateway),
        };
    }

    /// Returns whether a gateway runs the older build.
    pub(crate) fn is_older(&self, gateway: usize) -> bool {
        self.state.lock().older.contains(&gateway)
    }

    /// Returns whether the time bounds apply to calls sent to a gateway at `at`.
    pub(crate) fn has_time_bounds(&self, gateway: usize, at: Instant) -> bool {
        let state = self.state.lock();
        state.is_settled(gateway, at) && state.is_platform_settled(at)
    }

    /// Records that a gateway is killed, which loses the log lines that it has not written.
    pub(crate) fn record_kill(&self, gateway: usize) {
        let mut state = self.state.lock();
        let now = Instant::now();
        for call in state.calls.values_mut().filter(|c| c.route.gateway == gateway) {
            call.unwritten |= call.end.is_none_or(|end| now - end.at < LOG_LOSS_WINDOW);
        }
    }

    /// Returns the calls for which callers have a result.
    pub(crate) fn ended_calls(&self) -> Vec<EndedCall> {
        let state = self.state.lock();
        let to_ended_call = |(id, call): (&u64, &Call)| {
            let end = call.end?;
            let (runs, unwritten) = (call.runs, call.unwritten);
            Some(EndedCall {
                id: *id,
                gateway: call.route.gateway,
                result: end.result,
                runs,
                age: end.at.elapsed(),
                unwritten,
            })
        };
        state.calls.iter().filter_map(to_ended_call).collect()
    }

    /// Records that a planned stop begins.
    pub(crate) fn record_stop(&self, stop: Stop) {
        let mut state = self.state.lock();
        state.stopping.insert(stop.gateway);
        state.stops.push(stop);
    }

    /// Records that the process of a planned stop is gone.
    pub(crate) fn record_stop_end(&self, gateway: usize) {
        self.state.lock().stopping.swap_remove(&gateway);
    }

    /// Returns the number of planned stops in progress.
    pub(crate) fn stopping_count(&self) -> usize {
        self.state.lock().stopping.len()
    }

    /// Returns whether a planned stop of the gateway is in progress.
    pub(crate) fn is_stopping(&self, gateway: usize) -> bool {
        self.state.lock().stopping.contains(&gateway)
    }

    /// Returns whether the gateway has had no fault for [`SETTLE_TIME`].
    pub(crate) fn is_settled(&self, gateway: usize) -> bool {
        self.state.lock().is_settled(gateway, Instant::now())
    }

    /// Records that the platform is disturbed.
    pub(crate) fn record_outage(&self) {
        self.state.lock().outages.push(Instant::now());
    }

    /// Records that the platform lists a target as neither leaving nor gone.
    pub(crate) fn record_listed(&self, target: &str) {
        self.state.lock().leaving.shift_remove(target);
    }

    /// Records that the platform lists a target as leaving or has removed it.
    pub(crate) fn record_leaving(&self, target: &str) {
        let now = Instant::now();
        let new = Leaving { first: now, listed: Some(now) };
        let mut state = self.state.lock();
        state.leaving.entry(target.to_owned()).or_insert(new).listed.get_or_insert(now);
    }

    /// Records that the platform was restored from a copy with settings version `version`, which
    /// lists the targets `listed` as neither leaving nor gone.
    pub(crate) fn record_restore<'a, Names>(&self, version: u64, listed: Names)
    where
        Names: Iterator<Item = &'a str>,
    {
        let mut state = self.state.lock();
        state.outages.push(Instant::now());
        state.published.retain(|(published, _)| *published <= version);
        for name in listed {
            if let Some(leaving) = state.leaving.get_mut(name) {
                leaving.listed = None;
            }
        }
    }

    /// Records which gateways are cut off from all targets.
    pub(crate) fn record_detached(&self, numbers: &[usize]) {
        self.state.lock().detached = numbers.to_vec();
    }

    /// Records that the platform published a settings version.
    pub(crate) fn record_published(&self, version: u64) {
        self.state.lock().published.push((version, Instant::now()));
    }

    /// Records a broken guarantee.
    pub(crate) fn record_violation(&self, text: String) {
        self.state.lock().add_violation(text);
    }

    /// Returns the fraction of calls answered within the last [`SETTLE_TIME`], 0 without calls.
    pub(crate) fn answered_share(&self) -> f64 {
        let state = self.state.lock();
        let answered = state.recent_calls.iter().filter(|(_, answered)| *answered).count();
        if state.recent_calls.is_empty() {
            0.0
        } else {
            answered as f64 / state.recent_calls.len() as f64
        }
    }

    /// Returns the number of calls by result.
    pub(crate) fn counts(&self) -> IndexMap<&'static str, u64> {
        self.state.lock().counts.clone()
    }

    /// Returns the violations.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}

impl State {
    fn add_violation(&mut self, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(text);
        }
    }

    /// Returns whether a build that runs now cannot keep what is checked at a gateway.
    fn is_excused(&self, exception: Exception, gateway: usize) -> bool {
        match exception {
            Exception::RestoredPlatform => self.older.contains(&gateway),
            // Others learn nothing of the crashes under calls of a gateway of the older build.
            Exception::CrashingCalls => !self.older.is_empty(),
        }
    }

    fn is_settled(&self, gateway: usize, at: Instant) -> bool {
        self.last_fault.get(&gateway).is_none_or(|fault| at > *fault + SETTLE_TIME)
    }

    fn is_platform_settled(&self, at: Instant) -> bool {
        self.outages.last().is_none_or(|outage| at > *outage + SETTLE_TIME)
    }

    /// Returns whether all gateways must know by now what the platform has recorded of a target. What
    /// it recorded while it had not settled counts from when it has.
    fn is_leaving_due(&self, leaving: Leaving, now: Instant) -> bool {
        let Some(listed) = leaving.listed else { return false };
        let calm = listed - SETTLE_TIME..=listed;
        let was_settled = !self.outages.iter().any(|outage| calm.contains(outage));
        now > listed + LEAVING_BOUND
            && self.is_platform_settled(if was_settled { now } else { now - LEAVING_BOUND })
    }

    /// Returns whether the process of a gateway must have known of a leaving target within the bound
    /// of the first listing, so that nothing the platform shows later may bring the target back.
    fn has_known_leaving(&self, leaving: Leaving, gateway: usize, now: Instant) -> bool {
        let (since, due) = (leaving.first - SETTLE_TIME, leaving.first + LEAVING_BOUND);
        let in_time = |at: &Instant| (since..=due).contains(at);
        let at_gateway = |times: &IndexMap<usize, Vec<Instant>>, from, until| {
            let mut times = times.get(&gateway).into_iter().flatten();
            times.any(|at| (from..=until).contains(at))
        };
        now > due
            && !self.detached.contains(&gateway)
            && !self.outages.iter().any(in_time)
            && !at_gateway(&self.faults, since, due)
            && !at_gateway(&self.starts, since, now)
    }

    /// Checks the rests and the leaving of a target for a request that it got.
    fn check_arrival(&mut self, id: Option<u64>, arrival: &Arrival<'_>) {
        let Arrival { start, gateway: Some(gateway), .. } = *arrival else { return };
        if self.older.contains(&gateway) {
            return;
        }
        let fault = self.last_fault.get(&gateway).copied();
        let is_cut = self.detached.contains(&gateway);
        let broken = self.rests.record_arrival(start, gateway, fault).filter(|_| !is_cut);
        let sent = id.and_then(|id| self.calls.get(&id)).map(|call| call.began_at);
        let disturbed = self.disturbed.get(&gateway).copied();
        let late =
            sent.and_then(|sent| self.departures.record_arrival(start, gateway, sent, disturbed));
        broken.into_iter().chain(late).for_each(|violation| self.add_violation(violation));
    }

    /// Records an arrival at a target and checks the retry budget of the service.
    fn record_arrival(&mut self, now: Instant, id: u64, service: &str) {
        let first = self.calls.get(&id).is_some_and(|c| c.runs == 0);
        let arrivals = self.arrivals.entry(service.to_owned()).or_default();
        // A refused arrival is not counted as a run, so the attempt after it counts as a first
        // attempt too. The number of retries is therefore a lower bound.
        arrivals.push_back((now, first));
        while arrivals.front().is_some_and(|(at, _)| now - *at > BUDGET_WINDOW) {
            arrivals.pop_front();
        }
        let first_attempts = arrivals.iter().filter(|(_, first)| *first).count() as f64;
        let retries = arrivals.len() as f64 - first_attempts;
        if retries > first_attempts * BUDGET_RATIO + BUDGET_SLACK {
            self.add_violation(format!(
                "budget: {retries} retries for {first_attempts} first attempts at service {service}"
            ));
        }
    }
}
