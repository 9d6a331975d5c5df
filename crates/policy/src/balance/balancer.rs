//! Admission, queueing, target selection, retries and hedges of all calls at one gateway.
//!
//! Calls queue at the gateway, not at a target: a call is assigned to a target only when one has a
//! free slot. Waiting calls that can still be answered within their objective go first, ordered by
//! priority and then by objective; late ones use the remaining slots. A call that cannot be
//! answered before its deadline is given up at once, so that its caller can retry. While the gateway
//! drains, the same holds for the time at which it stops.

mod cooling;
mod crashes;
mod departing;
mod evacuating;
mod learning;
mod limiting;
mod reaching;
mod resting;
mod retries;
mod shedding;
mod trying;

use super::{
    answers::RecentAnswers,
    budget::RetryBudget,
    call::{
        Attempt, AttemptOutcome, AttemptResult, BalancerSettings, Call, Decision, GiveUpReason,
        NewAttempt, Probe,
    },
    catalog::Catalog,
    crashes::{AccusedProcess, BrokenTarget},
    limits::LimitNotice,
    probing::ProbeGate,
    quarantine::{CallDigest, ProcessId, Quarantine},
    queue::{QueueRank, WaitQueue},
    reach::ReachTracker,
    records::TargetRecord,
    refusals::RefusalTracker,
    service::{Candidate, Choice, ChoiceRequest, DRAIN_MARGIN, Service},
    target::{RunningAttempt, SeenTarget},
};
use crate::Timestamp;
use cooling::ColdView;
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use retries::HEDGE_MARGIN;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Expected time until the answer, as a fraction of the time until the deadline, above which a call
/// is given up instead of queued.
const MAX_WAIT_FRACTION: f64 = 0.9;
/// Maximum number of calls that may wait for one service.
const QUEUE_LIMIT: usize = 512;
/// Age of an attempt, in multiples of the expected time at an idle target, at which a hedge is
/// considered.
const HEDGE_AGE: f64 = 1.3;
/// Stride between the search offsets of consecutive calls; a prime, to spread them over the
/// targets.
const OFFSET_STRIDE: usize = 7_919;
/// Deferred calls after which a pass over the queue considers no further calls for a start.
const MAX_DEFERRED: usize = 8;
/// Waiting calls that are taken from the queue at a time.
const DISPATCH_BATCH: usize = 16;
/// Age of an attempt, in multiples of the expected time, at which a hedge is sent even if it will
/// be late: the target may never answer.
const FORCED_HEDGE_AGE: f64 = 2.5;
/// Lower bound of the capacity of a service when the time for its waiting calls is estimated, in
/// seconds of work per second.
const MIN_CAPACITY: f64 = 0.1;
/// Upper bound of the times from which the start of a hedge is computed, in seconds.
const MAX_HEDGE_SECONDS: f64 = 3_600.0;

/// State of one pass over the calls that wait for a service.
#[derive(Clone, Copy, Debug, Default)]
struct DispatchPass {
    /// Seconds of work that the targets do per second.
    capacity: f64,
    /// Whether every waiting call has to be checked for reasons to give it up.
    checks_all: bool,
    /// Expected seconds until the next call starts.
    wait: f64,
    /// Calls that were left in the queue and are not held.
    ahead: usize,
    /// Calls that were deferred, or wait for probes.
    deferred: usize,
    /// Whether no slot is free.
    is_full: bool,
}

impl DispatchPass {
    /// Returns whether no further call can start or has to be checked.
    fn is_over(&self) -> bool {
        !self.checks_all && (self.is_full || self.deferred >= MAX_DEFERRED)
    }
}

/// Call with the state of its attempts.
#[derive(Clone, Debug)]
struct CallState {
    call: Call,
    /// Whether this call is the retry of a refused one.
    came_back: bool,
    /// Targets that the call has been sent to.
    tried: Vec<Arc<str>>,
    /// Attempts that are running.
    running: u32,
    /// Whether the call is queued.
    waiting: bool,
    /// Attempts of which a part may have been sent.
    sent: u32,
    /// Attempts that failed before anything was sent.
    unsent: u32,
    /// When a hedge is sent even if it will be late.
    forced_hedge: Timestamp,
    /// Whether a target may have run the call.
    may_have_run: bool,
    /// Attempts that broke off without an answer.
    broken: u32,
}

/// Makes the decisions on all calls at one gateway. Performs no I/O.
#[derive(Clone, Debug)]
pub struct Balancer {
    domain: Arc<str>,
    settings: BalancerSettings,
    services: IndexMap<Arc<str>, Service>,
    budgets: IndexMap<Arc<str>, RetryBudget>,
    /// Highest priority, which is the lowest number, seen among the calls of each service.
    top_priority: IndexMap<Arc<str>, u32>,
    /// Refused calls of each service.
    refusals: IndexMap<Arc<str>, RefusalTracker>,
    calls: IndexMap<u64, CallState>,
    queues: IndexMap<Arc<str>, WaitQueue>,
    probes: Vec<Probe>,
    probe_gate: ProbeGate,
    /// Targets whose limits are known, also those that have ended: service and name.
    limited: IndexSet<(Arc<str>, Arc<str>)>,
    /// Limits that this gateway has learned from answers and not announced yet.
    limit_changes: Vec<LimitNotice>,
    /// Which rates of cold targets this gateway may use.
    cold_view: ColdView,
    /// Time of the origin of timestamps, in ms since the Unix epoch.
    epoch_ms: u64,
    reach: ReachTracker,
    quarantine: Quarantine,
    answers: RecentAnswers,
    /// Targets at which attempts broke off and that have not been checked yet.
    broken: IndexMap<ProcessId, BrokenTarget>,
    /// Processes whose end calls are suspected of.
    accused: IndexMap<ProcessId, AccusedProcess>,
    /// Whether this gateway may make trials of quarantined calls.
    makes_trials: bool,
    /// Calls of which this gateway has learned something and not announced it yet.
    call_changes: IndexSet<CallDigest>,
    /// Whether what is known of calls has changed since it was last returned as a whole.
    has_news: bool,
    /// When the times in it are brought up to date.
    next_refresh: Timestamp,
    /// When calls that have not come again are forgotten.
    next_expiry: Timestamp,
    log_lines: Vec<String>,
    /// When the gateway stops, [`Timestamp::MAX`] if it does not.
    drain_end: Timestamp,
    random: Pcg64Mcg,
}

impl Balancer {
    /// Creates a balancer in failure domain `domain` without targets. Equal seeds and events give
    /// equal decisions.
    pub fn new(domain: Arc<str>, settings: BalancerSettings, seed: u64) -> Self {
        Self {
            domain,
            settings,
            services: IndexMap::new(),
            budgets: IndexMap::new(),
            top_priority: IndexMap::new(),
            refusals: IndexMap::new(),
            calls: IndexMap::new(),
            queues: IndexMap::new(),
            probes: Vec::new(),
            probe_gate: ProbeGate::default(),
            limited: IndexSet::new(),
            limit_changes: Vec::new(),
            cold_view: ColdView::default(),
            epoch_ms: 0,
            reach: ReachTracker::default(),
            quarantine: Quarantine::default(),
            answers: RecentAnswers::default(),
            broken: IndexMap::new(),
            accused: IndexMap::new(),
            makes_trials: true,
            call_changes: IndexSet::new(),
            has_news: false,
            next_refresh: Timestamp::default(),
            next_expiry: Timestamp::default(),
            log_lines: Vec::new(),
            drain_end: Timestamp::MAX,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes the settings.
    pub fn update_settings(&mut self, settings: BalancerSettings) {
        self.settings = settings;
        for budget in self.budgets.values_mut() {
            budget.configure(settings.retry_ratio, settings.retry_slack, settings.retry_window);
        }
    }

    /// Records that a timer of the gateway came `late`: while it is late itself, it probes no targets and
    /// blames none for answers to probes that it has not read in time.
    pub fn record_lateness(&mut self, now: Timestamp, late: Duration) {
        self.probe_gate.record_lateness(now, late);
    }

    /// Announces that the gateway stops at `until`.
    ///
    /// From now on no attempt starts that is not expected to end by then. Waiting calls that cannot
    /// be answered by then are given up by [`Self::dispatch_waiting`], and calls that are still
    /// running then have to be ended with [`Self::expire`]. A later call of this method can bring
    /// the end forward, but not put it off.
    pub fn drain(&mut self, until: Timestamp) {
        self.drain_end = self.drain_end.min(until);
        for service in self.services.values_mut() {
            service.is_changed = true;
        }
    }

    /// Updates the targets from `catalog`.
    pub fn set_targets(&mut self, now: Timestamp, catalog: &Catalog) {
        let mut listed: IndexMap<Arc<str>, Vec<SeenTarget<'_>>> = IndexMap::new();
        for name in self.services.keys() {
            listed.insert(Arc::clone(name), Vec::new());
        }
        let latest = latest_starts(catalog);
        let is_replaced = |record: &TargetRecord| {
            record.started.is_some() && record.started < latest.get(&record.address).copied()
        };
        for target in catalog.targets().filter(|t| !is_replaced(&t.record)) {
            let seen = SeenTarget { listed: target, alive: catalog.is_written(target) };
            listed.entry(Arc::clone(&target.record.service)).or_default().push(seen);
        }
        for (name, targets) in listed {
            let service = self.services.entry(name).or_default();
            service.set_targets(now, &targets, &self.domain);
        }
        self.mark_evacuated(catalog.evacuated_domains());
        self.update_cold_targets(now, catalog);
        self.forget_departing();
    }

    /// Admits, queues or gives up a call that arrived.
    pub fn submit(&mut self, now: Timestamp, mut call: Call) -> Decision {
        let settings = self.settings;
        let budget = self.budgets.entry(Arc::clone(&call.service)).or_insert_with(|| {
            RetryBudget::new(settings.retry_ratio, settings.retry_slack, settings.retry_window)
        });
        if !call.relayed {
            budget.record_call(now);
        }
        let priority = call.route.priority;
        let top_priority = self.top_priority.entry(Arc::clone(&call.service)).or_insert(priority);
        *top_priority = priority.min(*top_priority);
        let id = call.id;
        let refusals = self.refusals.entry(Arc::clone(&call.service)).or_default();
        let earlier = refusals.match_return(now, &call.origin());
        // From the caller's view the objective counts from its first call.
        call.objective = earlier.map_or(call.objective, |earlier| earlier.min(call.objective));
        let state = CallState {
            came_back: earlier.is_some(),
            call,
            tried: Vec::new(),
            running: 0,
            waiting: false,
            sent: 0,
            unsent: 0,
            forced_hedge: Timestamp::MAX,
            may_have_run: false,
            broken: 0,
        };
        let marked = self.quarantined_digest(&state.call);
        self.calls.insert(id, state);
        if let Some(digest) = marked {
            self.quarantine.record_repeat(now, &digest);
            if !self.join_trial(now, id, digest) {
                return self.give_up(now, id, GiveUpReason::Quarantined);
            }
        }
        self.start_or_queue(now, id)
    }

    /// Records the end of an attempt and decides what happens to the call next.
    pub fn attempt_ended(&mut self, now: Timestamp, result: &AttemptResult) -> Decision {
        let id = result.attempt.call;
        let running = self.remove_running(now, &result.attempt);
        self.record_result(now, result, running);
        self.record_evidence(now, result, running);
        let Some(state) = self.calls.get_mut(&id) else { return Decision::Wait };
        state.running = state.running.saturating_sub(u32::from(running.is_some()));
        match result.outcome {
            AttemptOutcome::Answered { ok: true, .. } | AttemptOutcome::Began { ok: true, .. } => {
                return Decision::Deliver;
            }
            AttemptOutcome::Answered { ok: false, .. }
            | AttemptOutcome::Began { ok: false, .. } => {
                state.may_have_run = true;
                if state.running > 0 {
                    return Decision::Wait;
                }
                return self.retry(now, id).unwrap_or(Decision::Deliver);
            }
            AttemptOutcome::Refused | AttemptOutcome::Moved => {}
            AttemptOutcome::Withheld | AttemptOutcome::Failed { sent: false, .. } => {
                state.sent -= 1;
                state.unsent += 1;
            }
            AttemptOutcome::Failed { sent: true, .. } => state.may_have_run = true,
        }
        if state.running > 0 {
            return Decision::Wait;
        }
        self.retry(now, id).unwrap_or_else(|| self.abandon(now, id, GiveUpReason::Refused))
    }

    /// Returns the probes that have to be sent now.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Returns the log lines on changes of targets since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Gives up a call whose deadline has passed, or all of them at the end of a drain.
    pub fn expire(&mut self, now: Timestamp, id: u64) -> Decision {
        let mut reason = GiveUpReason::Deadline;
        if let Some(state) = self.calls.get_mut(&id) {
            state.may_have_run |= state.running > 0;
            if now < state.call.deadline && now >= self.drain_end {
                reason = GiveUpReason::Stopping;
            }
        }
        self.penalize_silent(now, id);
        self.give_up(now, id, reason)
    }

    /// Removes a call that has ended or whose caller has disconnected; its attempts have been
    /// cancelled.
    pub fn forget(&mut self, id: u64) {
        let Some(state) = self.calls.swap_remove(&id) else { return };
        for digest in state.call.digests.iter() {
            self.quarantine.leave_trial(&digest, id);
        }
        if state.waiting
            && let Some(queue) = self.queues.get_mut(&state.call.service)
        {
            queue.remove(&state.call);
        }
        if let Some(service) = self.services.get_mut(&state.call.service) {
            for name in &state.tried {
                let Some(target) = service.targets.get_mut(name) else { continue };
                let before = target.running.len();
                target.running.retain(|r| r.call != id);
                service.is_changed |= target.running.len() < before;
            }
        }
    }

    /// Returns decisions for waiting calls that can start or have to be given up now.
    pub fn dispatch_waiting(&mut self, now: Timestamp) -> Vec<(u64, Decision)> {
        let mut decisions = Vec::new();
        for index in 0..self.queues.len() {
            self.dispatch_queue(now, index, &mut decisions);
        }
        decisions
    }

    /// Returns the remaining retry budget of each service.
    pub fn extra_attempts_left(&mut self, now: Timestamp) -> Vec<(Arc<str>, f64)> {
        self.budgets.iter_mut().map(|(name, b)| (Arc::clone(name), b.remaining(now))).collect()
    }

    /// Returns the number of waiting calls.
    pub fn waiting_calls(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    fn dispatch_queue(
        &mut self,
        now: Timestamp,
        index: usize,
        decisions: &mut Vec<(u64, Decision)>,
    ) {
        let Some((name, queue)) = self.queues.get_index(index) else { return };
        let name = Arc::clone(name);
        let Some(service) = self.services.get_mut(&name) else { return };
        service.record_waiting(now, queue);
        if queue.is_empty() || !service.take_dispatch_due(now) {
            return;
        }
        for id in queue.overdue(now, |route| service.call_seconds(route)) {
            self.give_up_waiting(now, &name, id, GiveUpReason::Deadline, decisions);
        }
        self.give_up_passed_over(now, &name, decisions);
        let mut pass = DispatchPass {
            capacity: self.capacity(now, &name),
            checks_all: self.must_check_all(now, &name),
            ..DispatchPass::default()
        };
        // The calls in `looked_at` remain in the queue and rank before those that follow.
        let mut looked_at = 0;
        loop {
            let ids = self.next_waiting(now, &name, looked_at);
            if ids.is_empty() {
                return;
            }
            for id in ids {
                if pass.is_over() {
                    return;
                }
                let stays = self.dispatch_call(now, &name, id, &mut pass, decisions);
                looked_at += usize::from(stays);
            }
        }
    }

    /// Returns the next calls that wait for the service, after the first `skipped` ones.
    fn next_waiting(&self, now: Timestamp, name: &str, skipped: usize) -> Vec<u64> {
        let (Some(service), Some(queue)) = (self.services.get(name), self.queues.get(name)) else {
            return Vec::new();
        };
        let order = queue.in_order(now, |route| service.call_seconds(route));
        order.skip(skipped).take(DISPATCH_BATCH).collect()
    }

    /// Starts a waiting call, gives it up or leaves it in the queue. Returns whether it stays there.
    fn dispatch_call(
        &mut self,
        now: Timestamp,
        name: &Arc<str>,
        id: u64,
        pass: &mut DispatchPass,
        decisions: &mut Vec<(u64, Decision)>,
    ) -> bool {
        if pass.checks_all
            && let Some(reason) = self.refusal_reason(now, id, pass)
        {
            self.give_up_waiting(now, name, id, reason, decisions);
            return false;
        }
        if self.is_held(now, id) {
            return true;
        }
        pass.wait += self.base_seconds(id) / pass.capacity;
        pass.ahead += 1;
        if pass.is_full || pass.deferred >= MAX_DEFERRED {
            return true;
        }
        match self.choose(now, id, false) {
            Choice::Take(candidate) => {
                pass.ahead -= 1;
                self.dequeue(name, id);
                if let Some(start) = self.start(now, id, &candidate) {
                    decisions.push((id, Decision::Start(start)));
                }
                return false;
            }
            Choice::Probe(_) | Choice::Defer => pass.deferred += 1,
            // A call that has tried some targets, or takes too long to end before the stop, may
            // find no slot where other calls do.
            Choice::Full => {
                let is_untried = self.calls.get(&id).is_some_and(|s| s.tried.is_empty());
                pass.is_full = is_untried && self.drain_end == Timestamp::MAX;
            }
        }
        true
    }

    /// Returns whether more than its deadline may keep a waiting call of the service from being served, so
    /// that each one has to be checked.
    fn must_check_all(&self, now: Timestamp, name: &str) -> bool {
        let Some(service) = self.services.get(name) else { return true };
        self.drain_end != Timestamp::MAX
            || service.is_wholly_evacuated()
            || self.quarantine.quarantined_count() > 0
            || service.limit_wait(now, 0).is_some()
            || service.rest_left(now).is_some()
    }

    /// Returns why a waiting call has to be given up now.
    fn refusal_reason(&self, now: Timestamp, id: u64, pass: &DispatchPass) -> Option<GiveUpReason> {
        let service = self.calls.get(&id).map(|state| &*state.call.service);
        if service.is_some_and(|name| self.lacks_targets_by_evacuation(name)) {
            return Some(GiveUpReason::Evacuated);
        }
        self.miss_reason(now, id, pass.wait)
            .or_else(|| self.is_call_quarantined(now, id).then_some(GiveUpReason::Quarantined))
            .or_else(|| self.misses_limits(now, id, pass.ahead).then(|| self.limit_reason(now, id)))
            .or_else(|| self.misses_rest(now, id).then_some(GiveUpReason::Resting))
    }

    fn give_up_waiting(
        &mut self,
        now: Timestamp,
        name: &Arc<str>,
        id: u64,
        reason: GiveUpReason,
        decisions: &mut Vec<(u64, Decision)>,
    ) {
        self.dequeue(name, id);
        let decision = self.abandon(now, id, reason);
        decisions.push((id, decision));
    }

    /// Returns the rank of a call among the waiting ones.
    fn queue_rank(&self, now: Timestamp, id: u64) -> QueueRank {
        let unknown = (true, u32::MAX, Timestamp::MAX);
        let Some(state) = self.calls.get(&id) else { return unknown };
        let Some(service) = self.services.get(&state.call.service) else { return unknown };
        WaitQueue::rank(now, &state.call, service.call_seconds(&state.call.route))
    }

    /// Returns why the call can no longer be answered in time: not before its deadline, or, if it
    /// starts after `wait` seconds, not before the end of the drain.
    fn miss_reason(&self, now: Timestamp, id: u64, wait: f64) -> Option<GiveUpReason> {
        let Some(state) = self.calls.get(&id) else { return Some(GiveUpReason::Deadline) };
        if now + Duration::from_secs_f64(self.base_seconds(id)) > state.call.deadline {
            return Some(GiveUpReason::Deadline);
        }
        self.misses_drain(now, id, wait).then_some(GiveUpReason::Stopping)
    }

    /// Returns whether the call cannot be answered before the end of the drain if it starts after
    /// `wait` seconds.
    fn misses_drain(&self, now: Timestamp, id: u64, wait: f64) -> bool {
        let needed = wait + self.base_seconds(id) * DRAIN_MARGIN;
        needed > self.drain_end.since(now).as_secs_f64()
    }

    /// Returns the expected seconds of the call at an idle, warm target of the usual speed.
    fn base_seconds(&self, id: u64) -> f64 {
        let Some(state) = self.calls.get(&id) else { return 0.0 };
        let service = self.services.get(&state.call.service);
        service.map_or(0.0, |s| s.base_seconds(&state.call.route))
    }

    /// Returns the seconds of work that the targets of the service do per second.
    fn capacity(&self, now: Timestamp, service: &str) -> f64 {
        self.services.get(service).map_or(MIN_CAPACITY, |s| s.capacity(now).max(MIN_CAPACITY))
    }

    /// Starts the call, queues it or gives it up.
    fn start_or_queue(&mut self, now: Timestamp, id: u64) -> Decision {
        let Some(state) = self.calls.get(&id) else { return Decision::Wait };
        let name = Arc::clone(&state.call.service);
        if !self.services.get(&name).is_some_and(Service::has_usable) {
            let reason = match self.lacks_targets_by_evacuation(&name) {
                true => GiveUpReason::Evacuated,
                false => GiveUpReason::NoTarget,
            };
            return self.give_up(now, id, reason);
        }
        self.count_cold_miss(now, &name);
        if self.misses_rest(now, id) {
            return self.give_up(now, id, GiveUpReason::Resting);
        }
        let waiting = self.queues.get(&name).map_or(0, WaitQueue::len);
        let ahead = self.counts_before(now, id).any(|(_, count)| count > 0);
        if !ahead && let Choice::Take(candidate) = self.choose(now, id, false) {
            return self.start(now, id, &candidate).map_or(Decision::Wait, Decision::Start);
        }
        if waiting >= QUEUE_LIMIT {
            return self.give_up(now, id, GiveUpReason::QueueFull);
        }
        let wait = self.queue_seconds(now, id).max(self.late_seconds(now, id));
        let left = self.calls.get(&id).map_or(Duration::ZERO, |s| s.call.deadline.since(now));
        if wait + self.typical_seconds(id) > left.as_secs_f64() * MAX_WAIT_FRACTION {
            let service = self.services.get(&name);
            let is_limited = service.is_some_and(|s| s.limit_wait(now, 0).is_some());
            let reason = match is_limited {
                true => self.limit_reason(now, id),
                false => GiveUpReason::Deadline,
            };
            return self.give_up(now, id, reason);
        }
        if self.misses_drain(now, id, wait) {
            return self.give_up(now, id, GiveUpReason::Stopping);
        }
        if let Some(state) = self.calls.get_mut(&id) {
            let queue = self.queues.entry(Arc::clone(&name)).or_default();
            queue.insert(&state.call);
            state.waiting = true;
            if let Some(service) = self.services.get_mut(&name) {
                service.record_waiting(now, queue);
            }
        }
        Decision::Wait
    }

    /// Estimates the seconds until the call starts, given the work queued before it.
    fn queue_seconds(&self, now: Timestamp, id: u64) -> f64 {
        let Some(state) = self.calls.get(&id) else { return 0.0 };
        let service = self.services.get(&state.call.service);
        let count = self.counts_before(now, id).map(|(_, count)| count).sum();
        if let Some(wait) = service.and_then(|s| s.limit_wait(now, count)) {
            return wait;
        }
        let counts = self.counts_before(now, id);
        let ahead: f64 = counts.map(|(seconds, count)| seconds * count as f64).sum();
        let seconds = ahead / self.capacity(now, &state.call.service);
        service.map_or(seconds, |s| s.admission.start_seconds(count, seconds, false))
    }

    /// Returns the number of waiting calls of each route that rank before the call, with the expected
    /// seconds of one.
    fn counts_before(&self, now: Timestamp, id: u64) -> impl Iterator<Item = (f64, usize)> {
        let rank = self.queue_rank(now, id);
        let name = self.calls.get(&id).map(|state| &*state.call.service);
        let service = name.and_then(|name| self.services.get(name));
        let queue = name.and_then(|name| self.queues.get(name));
        let found = service.zip(queue);
        found.into_iter().flat_map(move |(service, queue)| {
            queue.counts_before(now, rank, |route| service.call_seconds(route))
        })
    }

    /// Returns the expected seconds of the call at a typical target.
    fn typical_seconds(&self, id: u64) -> f64 {
        let Some(state) = self.calls.get(&id) else { return 0.0 };
        let service = self.services.get(&state.call.service);
        service.map_or(0.0, |s| s.typical_seconds(&state.call.route))
    }

    /// Chooses a slot, and requests the probes that are needed for the choice.
    fn choose(&mut self, now: Timestamp, id: u64, good_only: bool) -> Choice {
        if self.is_held(now, id) {
            return Choice::Full;
        }
        let Some(state) = self.calls.get(&id) else { return Choice::Full };
        let Some(service) = self.services.get_mut(&state.call.service) else { return Choice::Full };
        let waiting = self.queues.get(&state.call.service).map_or(0, WaitQueue::len);
        let probe_rate = if self.probe_gate.is_open(now) { self.settings.probe_rate } else { 0.0 };
        let choice = service.choose(&ChoiceRequest {
            now,
            route: &state.call.route,
            objective: state.call.objective,
            deadline: state.call.deadline.min(self.drain_end),
            drain_end: self.drain_end,
            tried: &state.tried,
            crossing_cost: self.settings.crossing_cost,
            good_only,
            contended: waiting > usize::from(state.waiting),
            probe_rate,
            offset: (id as usize).wrapping_mul(OFFSET_STRIDE) % service.targets.len().max(1),
        });
        if let Choice::Probe(indices) = &choice {
            for index in indices {
                let Some((_, target)) = service.targets.get_index_mut(*index) else { continue };
                target.record_probe(now, probe_rate);
                self.probes.push(target.probe(now, &state.call.service));
            }
        }
        choice
    }

    fn start(&mut self, now: Timestamp, id: u64, candidate: &Candidate) -> Option<NewAttempt> {
        self.start_trial(now, id);
        let state = self.calls.get_mut(&id)?;
        let service = self.services.get_mut(&state.call.service)?;
        service.record_start(now, &state.call);
        let base = service.base_seconds(&state.call.route);
        let (_, target) = service.targets.get_index_mut(candidate.index)?;
        target.running.push(RunningAttempt {
            call: id,
            since: now,
            sent: now,
            expected: candidate.expected,
            crowded: candidate.crowded,
            scale: candidate.scale,
            known: candidate.is_measured(),
            limit_version: target.limit.version(),
            process: target.process,
            cold: target.cold.take(now),
        });
        target.record_usage(now);
        target.limit.take(now);
        state.tried.push(Arc::clone(&target.name));
        state.running += 1;
        state.sent += 1;
        let repeatable = state.call.route.idempotent
            && state.call.replayable
            && state.sent < state.call.route.attempts;
        let seconds = |s: f64| Duration::from_secs_f64(s.clamp(0.0, MAX_HEDGE_SECONDS));
        let early = now + seconds(base * HEDGE_AGE);
        let last = state.call.objective - seconds(base * HEDGE_MARGIN);
        let forced = now + seconds(candidate.expected.max(base) * FORCED_HEDGE_AGE);
        state.forced_hedge = forced;
        let hedge_at = if early <= last { early } else { forced };
        Some(NewAttempt {
            target: Arc::clone(&target.name),
            address: target.address,
            number: state.sent + state.unsent,
            hedge_at: repeatable.then_some(hedge_at),
            expected_ms: (candidate.expected * 1_000.0) as u64,
            report_ms: target.load.report_age(now).map(|age| age.as_millis() as u64),
            same_domain: candidate.local,
            limit: target.limit.rate(),
            process: target.process,
        })
    }

    fn dequeue(&mut self, service: &Arc<str>, id: u64) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        state.waiting = false;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(&state.call);
        }
    }

    fn remove_running(&mut self, now: Timestamp, attempt: &Attempt) -> Option<RunningAttempt> {
        let service = &self.calls.get(&attempt.call)?.call.service;
        let service = self.services.get_mut(service)?;
        let target = service.targets.get_mut(&attempt.target)?;
        let at = target.running.iter().position(|r| r.call == attempt.call)?;
        service.is_changed = true;
        let running = target.running.swap_remove(at);
        // The slot was in use until now.
        target.free = (None, now);
        target.record_usage(now);
        Some(running)
    }
}

/// Returns when the latest process started at each address. The record of an earlier one outlives it for some
/// seconds, or comes back with a restored platform; what it is asked would reach the later one.
fn latest_starts(catalog: &Catalog) -> IndexMap<SocketAddr, u64> {
    let mut latest = IndexMap::new();
    for target in catalog.targets() {
        if let Some(started) = target.record.started {
            let last = latest.entry(target.record.address).or_insert(started);
            *last = started.max(*last);
        }
    }
    latest
}
