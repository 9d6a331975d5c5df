//! Admission, order, choice of target and second tries of all calls at one gateway.
//!
//! A call waits here, not at a target: it is bound to a target only when one has a free slot. Among
//! waiting calls those that can still be answered within their objective come first, by rank and
//! then by objective; late ones use what is left. A call that cannot be answered before its
//! deadline is given up at once, so that its caller can come back.

mod learning;
mod tries;

use super::{
    budget::RetryBudget,
    call::{
        Attempt, AttemptOutcome, AttemptResult, BalancerSettings, Call, Decision, GiveUpReason,
        NewAttempt, Probe,
    },
    catalog::{Catalog, ListedTarget},
    returning::Returning,
    service::{Choice, Place, Service, Wish},
    target::Running,
};
use crate::Timestamp;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{sync::Arc, time::Duration};
use tries::HEDGE_ROOM;

/// Expected wait, in parts of the time left, beyond which a call is refused on arrival.
const WAIT_PART: f64 = 0.9;
/// Calls that may wait for one service.
const QUEUE: usize = 512;
/// Age of an attempt, in expected times, at which a second one beside it is considered.
const HEDGE_AGE: f64 = 1.3;
/// Spreads the beginnings of the searches of calls one after the other; a prime.
const SPREAD: usize = 7_919;
/// Calls that may be held for a better place before others are looked at no more.
const HELD: usize = 8;
/// Age of an attempt, in expected times, at which a second one is made although it will be late: the
/// target may never answer.
const RESCUE_AGE: f64 = 2.5;

#[derive(Clone, Debug)]
struct Entry {
    call: Call,
    /// Whether the caller was refused a moment ago.
    returned: bool,
    tried: Vec<Arc<str>>,
    running: u32,
    waiting: bool,
    /// Attempts of which something was sent.
    sent: u32,
    unsent: u32,
    /// When a second attempt is made however late it will be.
    rescue_at: Timestamp,
    /// Whether a target may have run it.
    doubtful: bool,
}

/// Decides about all calls at one gateway.
#[derive(Clone, Debug)]
pub struct Balancer {
    domain: Arc<str>,
    limits: BalancerSettings,
    services: IndexMap<Arc<str>, Service>,
    budgets: IndexMap<Arc<str>, RetryBudget>,
    /// Most urgent rank of the calls that each service got.
    urgent: IndexMap<Arc<str>, u32>,
    /// Calls of each service that were refused, and how many come back.
    returning: IndexMap<Arc<str>, Returning>,
    calls: IndexMap<u64, Entry>,
    queues: IndexMap<Arc<str>, Vec<u64>>,
    probes: Vec<Probe>,
    random: Pcg64Mcg,
}

impl Balancer {
    /// A balancer in `domain` without targets. Equal seeds and events give equal orders.
    pub fn new(domain: Arc<str>, limits: BalancerSettings, seed: u64) -> Self {
        Self {
            domain,
            limits,
            services: IndexMap::new(),
            budgets: IndexMap::new(),
            urgent: IndexMap::new(),
            returning: IndexMap::new(),
            calls: IndexMap::new(),
            queues: IndexMap::new(),
            probes: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes the limits.
    pub fn update_settings(&mut self, limits: BalancerSettings) {
        self.limits = limits;
        for budget in self.budgets.values_mut() {
            budget.configure(limits.retry_ratio, limits.retry_slack, limits.retry_window);
        }
    }

    /// Takes over the targets that `catalog` lists.
    pub fn set_targets(&mut self, now: Timestamp, catalog: &Catalog) {
        let mut listed: IndexMap<Arc<str>, Vec<&ListedTarget>> = IndexMap::new();
        for name in self.services.keys() {
            listed.insert(Arc::clone(name), Vec::new());
        }
        for target in catalog.targets() {
            listed.entry(Arc::clone(&target.record.service)).or_default().push(target);
        }
        for (name, targets) in listed {
            let service = self.services.entry(name).or_default();
            service.set_targets(now, &targets, &self.domain);
        }
    }

    /// A call arrived.
    pub fn submit(&mut self, now: Timestamp, mut call: Call) -> Decision {
        let limits = self.limits;
        let budget = self.budgets.entry(Arc::clone(&call.service)).or_insert_with(|| {
            RetryBudget::new(limits.retry_ratio, limits.retry_slack, limits.retry_window)
        });
        budget.record_call(now);
        let rank = call.route.priority;
        let urgent = self.urgent.entry(Arc::clone(&call.service)).or_insert(rank);
        *urgent = rank.min(*urgent);
        let id = call.id;
        let returning = self.returning.entry(Arc::clone(&call.service)).or_default();
        let before = returning.arrived(now, &call.origin());
        // For the caller the time has run since its first call.
        call.objective = before.map_or(call.objective, |before| before.min(call.objective));
        let entry = Entry {
            returned: before.is_some(),
            call,
            tried: Vec::new(),
            running: 0,
            waiting: false,
            sent: 0,
            unsent: 0,
            rescue_at: Timestamp::MAX,
            doubtful: false,
        };
        self.calls.insert(id, entry);
        self.place(now, id)
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Timestamp, ending: &AttemptResult) -> Decision {
        let id = ending.attempt.call;
        let running = self.release(&ending.attempt);
        self.note(now, ending, running);
        let Some(entry) = self.calls.get_mut(&id) else { return Decision::Wait };
        entry.running = entry.running.saturating_sub(u32::from(running.is_some()));
        match ending.outcome {
            AttemptOutcome::Answered { ok: true, .. } => return Decision::Deliver,
            AttemptOutcome::Answered { ok: false, .. } => {
                entry.doubtful = true;
                if entry.running > 0 {
                    return Decision::Wait;
                }
                return self.again(now, id).unwrap_or(Decision::Deliver);
            }
            AttemptOutcome::Refused | AttemptOutcome::Moved => {}
            AttemptOutcome::Failed { sent: false, .. } => {
                entry.sent -= 1;
                entry.unsent += 1;
            }
            AttemptOutcome::Failed { sent: true, .. } => entry.doubtful = true,
        }
        if entry.running > 0 {
            return Decision::Wait;
        }
        self.again(now, id).unwrap_or_else(|| self.lost(now, id, GiveUpReason::Refused))
    }

    /// Probes that have to be sent now.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// The deadline of the call has come.
    pub fn expire(&mut self, now: Timestamp, id: u64) -> Decision {
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.doubtful |= entry.running > 0;
        }
        self.blame_silent(now, id);
        self.give_up(now, id, GiveUpReason::Deadline)
    }

    /// The call is over, or its caller is gone: its attempts have been cancelled.
    pub fn forget(&mut self, id: u64) {
        let Some(entry) = self.calls.swap_remove(&id) else { return };
        if entry.waiting
            && let Some(queue) = self.queues.get_mut(&entry.call.service)
        {
            queue.retain(|waiting| *waiting != id);
        }
        if let Some(service) = self.services.get_mut(&entry.call.service) {
            for target in service.targets.values_mut() {
                target.running.retain(|r| r.call != id);
            }
        }
    }

    /// Orders for waiting calls that can start or have to be given up now.
    pub fn dispatch_waiting(&mut self, now: Timestamp) -> Vec<(u64, Decision)> {
        let mut orders = Vec::new();
        for index in 0..self.queues.len() {
            self.drain(now, index, &mut orders);
        }
        orders
    }

    /// Second tries that are left for each service.
    pub fn extra_attempts_left(&mut self, now: Timestamp) -> Vec<(Arc<str>, f64)> {
        self.budgets.iter_mut().map(|(name, b)| (Arc::clone(name), b.remaining(now))).collect()
    }

    /// Calls that wait.
    pub fn waiting_calls(&self) -> usize {
        self.queues.values().map(Vec::len).sum()
    }

    fn drain(&mut self, now: Timestamp, index: usize, orders: &mut Vec<(u64, Decision)>) {
        let Some((service, queue)) = self.queues.get_index(index) else { return };
        if queue.is_empty() {
            return;
        }
        let service = Arc::clone(service);
        let mut ids = queue.clone();
        ids.sort_by_key(|id| self.rank(now, *id));
        let mut full = false;
        let mut held = 0;
        for id in ids {
            if self.is_hopeless(now, id) {
                self.leave_queue(&service, id);
                let order = self.lost(now, id, GiveUpReason::Deadline);
                orders.push((id, order));
                continue;
            }
            if full || held >= HELD {
                continue;
            }
            match self.choose(now, id, false) {
                Choice::Take(place) => {
                    self.leave_queue(&service, id);
                    if let Some(start) = self.start(now, id, &place) {
                        orders.push((id, Decision::Start(start)));
                    }
                }
                Choice::Probe(_) | Choice::Hold => held += 1,
                // A call that has been somewhere may find no place where others do.
                Choice::Full => full = self.calls.get(&id).is_some_and(|e| e.tried.is_empty()),
            }
        }
    }

    /// Order of waiting calls: those that can be answered in time first, then rank, then objective.
    fn rank(&self, now: Timestamp, id: u64) -> (bool, u32, Timestamp) {
        let Some(entry) = self.calls.get(&id) else { return (true, u32::MAX, Timestamp::MAX) };
        let route = &entry.call.route;
        let base = self.services.get(&entry.call.service).map_or(0.0, |s| s.base(route));
        let late = now + Duration::from_secs_f64(base) > entry.call.objective;
        (late, route.priority, entry.call.objective)
    }

    /// Whether the call cannot end before its deadline any more.
    fn is_hopeless(&self, now: Timestamp, id: u64) -> bool {
        let Some(entry) = self.calls.get(&id) else { return true };
        let service = self.services.get(&entry.call.service);
        let base = service.map_or(0.0, |s| s.base(&entry.call.route));
        now + Duration::from_secs_f64(base) > entry.call.deadline
    }

    /// Starts the call, lets it wait or gives it up.
    fn place(&mut self, now: Timestamp, id: u64) -> Decision {
        let Some(entry) = self.calls.get(&id) else { return Decision::Wait };
        let name = Arc::clone(&entry.call.service);
        if !self.services.get(&name).is_some_and(Service::has_usable) {
            return self.give_up(now, id, GiveUpReason::NoTarget);
        }
        let waiting = self.queues.get(&name).map_or(0, Vec::len);
        let ahead = self.queues.get(&name).is_some_and(|queue| {
            let own = self.rank(now, id);
            queue.iter().any(|other| self.rank(now, *other) < own)
        });
        if !ahead && let Choice::Take(place) = self.choose(now, id, false) {
            return self.start(now, id, &place).map_or(Decision::Wait, Decision::Start);
        }
        if waiting >= QUEUE {
            return self.give_up(now, id, GiveUpReason::QueueFull);
        }
        let left = self.calls.get(&id).map_or(Duration::ZERO, |e| e.call.deadline.since(now));
        if self.expected_wait(now, id) > left.as_secs_f64() * WAIT_PART {
            return self.give_up(now, id, GiveUpReason::Deadline);
        }
        self.queues.entry(name).or_default().push(id);
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.waiting = true;
        }
        Decision::Wait
    }

    /// Seconds until the call would be answered, by the work that comes before it.
    fn expected_wait(&self, now: Timestamp, id: u64) -> f64 {
        let Some(entry) = self.calls.get(&id) else { return 0.0 };
        let Some(service) = self.services.get(&entry.call.service) else { return 0.0 };
        let own = self.rank(now, id);
        let queue = self.queues.get(&entry.call.service).map_or(&[][..], Vec::as_slice);
        let before = queue.iter().filter(|other| self.rank(now, **other) < own);
        let work = |id: &u64| self.calls.get(id).map_or(0.0, |e| service.base(&e.call.route));
        let ahead: f64 = before.map(work).sum();
        ahead / service.capacity().max(0.1) + service.usual(&entry.call.route)
    }

    /// Looks for a place, and orders the probes that are needed to find one.
    fn choose(&mut self, now: Timestamp, id: u64, picky: bool) -> Choice {
        let Some(entry) = self.calls.get(&id) else { return Choice::Full };
        let Some(service) = self.services.get_mut(&entry.call.service) else { return Choice::Full };
        let waiting = self.queues.get(&entry.call.service).map_or(0, Vec::len);
        let choice = service.choose(&Wish {
            now,
            route: &entry.call.route,
            objective: entry.call.objective,
            deadline: entry.call.deadline,
            tried: &entry.tried,
            crossing: self.limits.crossing_cost,
            picky,
            crowd: waiting > usize::from(entry.waiting),
            probe_rate: self.limits.probe_rate,
            offset: (id as usize).wrapping_mul(SPREAD) % service.targets.len().max(1),
        });
        if let Choice::Probe(indices) = &choice {
            for index in indices {
                let Some((_, target)) = service.targets.get_index_mut(*index) else { continue };
                target.probe(now, self.limits.probe_rate);
                self.probes.push(Probe {
                    service: Arc::clone(&entry.call.service),
                    target: Arc::clone(&target.name),
                    address: target.address,
                });
            }
        }
        choice
    }

    fn start(&mut self, now: Timestamp, id: u64, place: &Place) -> Option<NewAttempt> {
        let entry = self.calls.get_mut(&id)?;
        let service = self.services.get_mut(&entry.call.service)?;
        let base = service.base(&entry.call.route);
        let (_, target) = service.targets.get_index_mut(place.index)?;
        target.running.push(Running {
            call: id,
            since: now,
            expected: place.expected,
            crowded: place.crowded,
            scale: place.scale,
            known: place.is_known(),
        });
        entry.tried.push(Arc::clone(&target.name));
        entry.running += 1;
        entry.sent += 1;
        let repeatable = entry.call.route.idempotent
            && entry.call.replayable
            && entry.sent < entry.call.route.attempts;
        let seconds = |s: f64| Duration::from_secs_f64(s.clamp(0.0, 3_600.0));
        let early = now + seconds(base * HEDGE_AGE);
        let last = entry.call.objective - seconds(base * HEDGE_ROOM);
        let rescue = now + seconds(place.expected.max(base) * RESCUE_AGE);
        entry.rescue_at = rescue;
        let hedge_at = if early <= last { early } else { rescue };
        Some(NewAttempt {
            target: Arc::clone(&target.name),
            address: target.address,
            number: entry.sent + entry.unsent,
            hedge_at: repeatable.then_some(hedge_at),
            expected_ms: (place.expected * 1_000.0) as u64,
            report_ms: target.load.age(now).map(|age| age.as_millis() as u64),
            same_domain: place.near,
        })
    }

    fn leave_queue(&mut self, service: &Arc<str>, id: u64) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.retain(|waiting| *waiting != id);
        }
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.waiting = false;
        }
    }

    fn release(&mut self, attempt: &Attempt) -> Option<Running> {
        let service = &self.calls.get(&attempt.call)?.call.service;
        let target = self.services.get_mut(service)?.targets.get_mut(&attempt.target)?;
        let at = target.running.iter().position(|r| r.call == attempt.call)?;
        Some(target.running.swap_remove(at))
    }
}
