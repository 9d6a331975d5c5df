//! Admission, order, choice of target and second tries of all calls at one gateway.
//!
//! A call waits here, not at a target: it is bound to a target only when one has a free slot. Among
//! waiting calls those that can still be answered within their objective come first, by rank and
//! then by objective; late ones use what is left. A call that cannot be answered before its
//! deadline is given up at once, so that its caller can come back.

use super::{
    budget::WindowBudget,
    catalog::{Catalog, Listed},
    load::LoadReport,
    routes::Route,
    service::{Choice, Place, Running, Service, Target, Wish},
};
use crate::Timestamp;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Expected wait, in parts of the time left, beyond which a call is refused on arrival.
const WAIT_PART: f64 = 0.9;
/// Calls that may wait for one service.
const QUEUE: usize = 512;
/// Range of times after which callers are asked to come back.
const COME_BACK: (f64, f64) = (0.02, 2.0);
/// Seconds after which a caller may come back whose call was refused by targets while others are
/// free.
const REFUSED: f64 = 0.04;
/// Time after which a caller may come back when no target is known.
const NO_TARGET: Duration = Duration::from_millis(500);
/// Part of the own slots in use above which no second try is started beside a first one.
const HEDGE_USAGE: f64 = 0.6;
/// Second tries that hedges leave to retries.
const HEDGE_RESERVE: f64 = 2.0;
/// Part of the budget of second tries that is kept for calls that are the most urgent of a service or
/// came back, and for those that are both. A call that is refused for the first time can come back.
const RESERVES: [f64; 3] = [0.25, 0.12, 0.0];
/// Time by which a caller's time has to be shorter than usual for the call to count as one that came
/// back.
const RETURN_GAP: Duration = Duration::from_millis(5);
/// Age of an attempt, in expected times, at which a second one beside it is considered.
const HEDGE_AGE: f64 = 1.3;
/// Age of an attempt, in expected times, from which its target is taken for silent.
const SILENT_AGE: f64 = 3.0;
/// Spreads the beginnings of the searches of calls one after the other; a prime.
const SPREAD: usize = 7_919;
/// Pause before a second attempt is considered again.
const HEDGE_PAUSE: Duration = Duration::from_millis(4);
/// The same once the second attempt will be late in any case, or while there is no budget for it.
const RESCUE_PAUSE: Duration = Duration::from_millis(64);
/// Calls that may be held for a better place before others are looked at no more.
const HELD: usize = 8;
/// Expected times that must be left for the second attempt.
const HEDGE_ROOM: f64 = 1.1;
/// Attempts that may fail without having been sent before a call is given up.
const UNSENT: u32 = 4;
/// Age of an attempt, in expected times, at which a second one is made although it will be late: the
/// target may never answer.
const RESCUE_AGE: f64 = 2.5;

/// Limits that come from local settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Second tries allowed per call.
    pub retry_ratio: f64,
    /// Second tries allowed in each window besides, for this gateway.
    pub retry_slack: f64,
    /// Window of the two.
    pub retry_window: Duration,
    /// Part of a call's worth that 1 kB to another failure domain costs.
    pub crossing: f64,
    /// Probes that one target may get from this gateway in a second.
    pub probe_rate: f64,
}

/// Order to ask a target for its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Service of the target.
    pub service: Arc<str>,
    /// Name of the target.
    pub target: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
}

/// What becomes of a second attempt beside the first one.
#[derive(Clone, Debug, PartialEq)]
pub enum Hedge {
    /// Start it.
    Start(Start),
    /// Look again at this time.
    Later(Timestamp),
    /// There will be none.
    Never,
}

/// A call as it arrived.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number, unique at this gateway.
    pub id: u64,
    /// Route that it took.
    pub route: Arc<Route>,
    /// Service that takes it.
    pub service: Arc<str>,
    /// Until when an answer has its full worth.
    pub objective: Timestamp,
    /// Until when an answer is of use.
    pub deadline: Timestamp,
    /// Time that the caller allows, where it says so.
    pub patience: Option<Duration>,
    /// Whether its body is at hand for a second try.
    pub replayable: bool,
}

/// Identifies one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The call.
    pub call: u64,
    /// Name of the target.
    pub target: Arc<str>,
}

/// Order to send a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Name of the target.
    pub target: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// 1 for the first attempt of the call.
    pub number: u32,
    /// When a second attempt beside this one is to be considered.
    pub hedge_at: Option<Timestamp>,
    /// Expected time in ms, for the log.
    pub expected_ms: u64,
    /// Whether the target is in the failure domain of this gateway.
    pub near: bool,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It cannot end before its deadline.
    Deadline,
    /// Too many calls wait.
    QueueFull,
    /// No target of the service may be used.
    NoTarget,
    /// Every target that it was sent to refused it.
    Refused,
    /// It may have run, and must not or cannot be sent again.
    Lost,
}

impl GiveUp {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }
}

/// What has to be done for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send it.
    Start(Start),
    /// Wait for the next order.
    Wait,
    /// Deliver the answer at hand.
    Deliver,
    /// Tell the caller that it is given up.
    GiveUp {
        /// Why.
        reason: GiveUp,
        /// Whether no target can have run it, now or later.
        not_run: bool,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made.
    Connect,
    /// The exchange broke off or was not understood.
    Broken,
}

/// What a target said or did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// A whole answer; `ok` is false where the target itself failed.
    Answered {
        /// Whether the target is sound.
        ok: bool,
        /// Bytes of both bodies.
        bytes: usize,
    },
    /// It said that it did not and will not run the call.
    Refused,
    /// Another process has its address.
    Moved,
    /// The exchange failed; `sent` tells whether any of the call may have reached the target.
    Failed {
        /// How.
        failure: Failure,
        /// Whether the target may run it.
        sent: bool,
    },
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// The attempt.
    pub attempt: Attempt,
    /// What came of it.
    pub verdict: Verdict,
    /// Load that the target reported.
    pub report: Option<LoadReport>,
}

/// Figures of the queues, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls that wait.
    pub waiting: usize,
    /// Calls under way at targets.
    pub running: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    call: Call,
    /// Whether the caller seems to have been refused before.
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
    limits: Limits,
    services: IndexMap<Arc<str>, Service>,
    budgets: IndexMap<Arc<str>, WindowBudget>,
    /// Most urgent rank of the calls that each service got.
    urgent: IndexMap<Arc<str>, u32>,
    /// Longest time that callers of each route allowed.
    patience: IndexMap<Arc<str>, Duration>,
    calls: IndexMap<u64, Entry>,
    queues: IndexMap<Arc<str>, Vec<u64>>,
    probes: Vec<Probe>,
    random: Pcg64Mcg,
}

impl Balancer {
    /// A balancer in `domain` without targets. Equal seeds and events give equal orders.
    pub fn new(domain: Arc<str>, limits: Limits, seed: u64) -> Self {
        Self {
            domain,
            limits,
            services: IndexMap::new(),
            budgets: IndexMap::new(),
            urgent: IndexMap::new(),
            patience: IndexMap::new(),
            calls: IndexMap::new(),
            queues: IndexMap::new(),
            probes: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        for budget in self.budgets.values_mut() {
            budget.set(limits.retry_ratio, limits.retry_slack, limits.retry_window);
        }
    }

    /// Takes over the targets that `catalog` lists.
    pub fn set_targets(&mut self, now: Timestamp, catalog: &Catalog) {
        let mut listed: IndexMap<Arc<str>, Vec<&Listed>> = IndexMap::new();
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
    pub fn arrive(&mut self, now: Timestamp, call: Call) -> Order {
        let limits = self.limits;
        let budget = self.budgets.entry(Arc::clone(&call.service)).or_insert_with(|| {
            WindowBudget::new(limits.retry_ratio, limits.retry_slack, limits.retry_window)
        });
        budget.first(now);
        let rank = call.route.priority;
        let urgent = self.urgent.entry(Arc::clone(&call.service)).or_insert(rank);
        *urgent = rank.min(*urgent);
        let id = call.id;
        let returned = self.has_returned(&call);
        let entry = Entry {
            returned,
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

    /// Whether the caller allows less time than callers of the route do at first.
    fn has_returned(&mut self, call: &Call) -> bool {
        let Some(patience) = call.patience else { return false };
        let longest = self.patience.entry(Arc::clone(&call.route.name)).or_insert(patience);
        *longest = patience.max(*longest);
        patience + RETURN_GAP < *longest
    }

    /// An attempt ended.
    pub fn ended(&mut self, now: Timestamp, ending: &Ending) -> Order {
        let id = ending.attempt.call;
        let running = self.release(&ending.attempt);
        self.note(now, ending, running);
        let Some(entry) = self.calls.get_mut(&id) else { return Order::Wait };
        entry.running = entry.running.saturating_sub(u32::from(running.is_some()));
        match ending.verdict {
            Verdict::Answered { ok: true, .. } => return Order::Deliver,
            Verdict::Answered { ok: false, .. } => {
                entry.doubtful = true;
                if entry.running > 0 {
                    return Order::Wait;
                }
                return self.again(now, id).unwrap_or(Order::Deliver);
            }
            Verdict::Refused | Verdict::Moved => {}
            Verdict::Failed { sent: false, .. } => {
                entry.sent -= 1;
                entry.unsent += 1;
            }
            Verdict::Failed { sent: true, .. } => entry.doubtful = true,
        }
        if entry.running > 0 {
            return Order::Wait;
        }
        self.again(now, id).unwrap_or_else(|| self.lost(id))
    }

    /// The time to consider a second attempt beside the first one has come.
    pub fn hedge(&mut self, now: Timestamp, id: u64) -> Hedge {
        let Some(entry) = self.calls.get(&id) else { return Hedge::Never };
        let route = &entry.call.route;
        if entry.running != 1 || !route.idempotent || !entry.call.replayable {
            return Hedge::Never;
        }
        let Some(service) = self.services.get(&entry.call.service) else { return Hedge::Never };
        let idle = self.queues.get(&entry.call.service).is_none_or(Vec::is_empty);
        let room = Duration::from_secs_f64(service.base(route) * HEDGE_ROOM);
        if entry.sent >= route.attempts || now + room > entry.call.deadline {
            return Hedge::Never;
        }
        let rescue = now >= entry.rescue_at;
        let early = now + room <= entry.call.objective;
        if !rescue && (!early || !idle || service.usage() > HEDGE_USAGE) {
            return Hedge::Later(entry.rescue_at);
        }
        let name = Arc::clone(&entry.call.service);
        match self.choose(now, id, !rescue) {
            Choice::Take(place) => {
                let budget = self.budgets.get_mut(&name);
                let reserve = if rescue { 0.0 } else { HEDGE_RESERVE };
                if !budget.is_some_and(|b| b.take(now, reserve)) {
                    return Hedge::Later(now + RESCUE_PAUSE);
                }
                self.start(now, id, &place).map_or(Hedge::Never, Hedge::Start)
            }
            Choice::Probe(_) | Choice::Hold | Choice::Full => {
                Hedge::Later(now + if rescue { RESCUE_PAUSE } else { HEDGE_PAUSE })
            }
        }
    }

    /// Probes that have to be sent now.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// A probe was answered, or was not answered in time.
    pub fn probed(&mut self, now: Timestamp, probe: &Probe, report: Option<LoadReport>) {
        let Some(service) = self.services.get_mut(&probe.service) else { return };
        if let Some(pace) = report.and_then(|r| r.pace) {
            service.learn_pace(pace);
        }
        let Some(target) = service.targets.get_mut(&probe.target) else { return };
        target.probed = None;
        match report {
            Some(report) => {
                let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
                target.load.report(now, report, own);
                target.unanswered = 0;
            }
            None => target.unanswered(now),
        }
    }

    /// The deadline of the call has come.
    pub fn expire(&mut self, now: Timestamp, id: u64) -> Order {
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.doubtful |= entry.running > 0;
        }
        self.blame_silent(now, id);
        self.give_up(id, GiveUp::Deadline)
    }

    /// Notes a failure of the targets that had far more time than the call should take there.
    fn blame_silent(&mut self, now: Timestamp, id: u64) {
        let Some(entry) = self.calls.get(&id) else { return };
        let Some(service) = self.services.get_mut(&entry.call.service) else { return };
        for target in service.targets.values_mut() {
            let age = |r: &Running| now.since(r.since).as_secs_f64();
            let silent =
                target.running.iter().any(|r| r.call == id && age(r) > r.expected * SILENT_AGE);
            if silent {
                target.failed(now, false);
            }
        }
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

    /// Gives an attempt's slot back while the call goes on elsewhere.
    pub fn cancel(&mut self, attempt: &Attempt) {
        if self.release(attempt).is_some()
            && let Some(entry) = self.calls.get_mut(&attempt.call)
        {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Orders for waiting calls that can start or have to be given up now.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(u64, Order)> {
        let mut orders = Vec::new();
        for index in 0..self.queues.len() {
            self.drain(now, index, &mut orders);
        }
        orders
    }

    /// Calls that wait and run.
    pub fn report(&self) -> Report {
        let waiting = self.queues.values().map(Vec::len).sum();
        let running = self.calls.values().map(|e| e.running as usize).sum();
        Report { waiting, running }
    }

    /// Second tries left for `service`.
    pub fn budget_left(&mut self, now: Timestamp, service: &str) -> f64 {
        self.budgets.get_mut(service).map_or(self.limits.retry_slack, |b| b.left(now))
    }

    fn drain(&mut self, now: Timestamp, index: usize, orders: &mut Vec<(u64, Order)>) {
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
                let order = self.lost_in_queue(id);
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
                        orders.push((id, Order::Start(start)));
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
    fn place(&mut self, now: Timestamp, id: u64) -> Order {
        let Some(entry) = self.calls.get(&id) else { return Order::Wait };
        let name = Arc::clone(&entry.call.service);
        if !self.services.get(&name).is_some_and(Service::has_usable) {
            return self.give_up(id, GiveUp::NoTarget);
        }
        let waiting = self.queues.get(&name).map_or(0, Vec::len);
        let ahead = self.queues.get(&name).is_some_and(|queue| {
            let own = self.rank(now, id);
            queue.iter().any(|other| self.rank(now, *other) < own)
        });
        if !ahead && let Choice::Take(place) = self.choose(now, id, false) {
            return self.start(now, id, &place).map_or(Order::Wait, Order::Start);
        }
        if waiting >= QUEUE {
            return self.give_up(id, GiveUp::QueueFull);
        }
        let left = self.calls.get(&id).map_or(Duration::ZERO, |e| e.call.deadline.since(now));
        if self.expected_wait(now, id) > left.as_secs_f64() * WAIT_PART {
            return self.give_up(id, GiveUp::Deadline);
        }
        self.queues.entry(name).or_default().push(id);
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.waiting = true;
        }
        Order::Wait
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
            crossing: self.limits.crossing,
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

    fn start(&mut self, now: Timestamp, id: u64, place: &Place) -> Option<Start> {
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
        Some(Start {
            target: Arc::clone(&target.name),
            address: target.address,
            number: entry.sent + entry.unsent,
            hedge_at: repeatable.then_some(hedge_at),
            expected_ms: (place.expected * 1_000.0) as u64,
            near: place.near,
        })
    }

    /// Tries a call again, if it may and can be.
    fn again(&mut self, now: Timestamp, id: u64) -> Option<Order> {
        let entry = self.calls.get(&id)?;
        let route = &entry.call.route;
        let allowed = !entry.doubtful || route.idempotent;
        let sent = entry.sent > 0;
        if !allowed || !entry.call.replayable || entry.sent >= route.attempts {
            return None;
        }
        if entry.unsent >= UNSENT || self.is_hopeless(now, id) {
            return None;
        }
        // What never reached a target needs no budget.
        if sent {
            let service = Arc::clone(&entry.call.service);
            let urgent = self.urgent.get(&service).is_none_or(|rank| route.priority <= *rank);
            let claims = usize::from(urgent) + usize::from(entry.returned);
            let budget = self.budgets.get_mut(&service)?;
            let reserve = budget.total(now) * RESERVES[claims];
            if !budget.take(now, reserve) {
                return None;
            }
        }
        let order = self.place(now, id);
        Some(order)
    }

    fn lost(&mut self, id: u64) -> Order {
        let doubtful = self.calls.get(&id).is_some_and(|e| e.doubtful);
        self.give_up(id, if doubtful { GiveUp::Lost } else { GiveUp::Refused })
    }

    fn lost_in_queue(&mut self, id: u64) -> Order {
        let doubtful = self.calls.get(&id).is_some_and(|e| e.doubtful);
        self.give_up(id, if doubtful { GiveUp::Lost } else { GiveUp::Deadline })
    }

    fn give_up(&mut self, id: u64, reason: GiveUp) -> Order {
        let doubtful = self.calls.get(&id).is_some_and(|e| e.doubtful);
        let retry_after = match reason {
            GiveUp::NoTarget => self.jittered(NO_TARGET.as_secs_f64()),
            GiveUp::Refused if self.is_idle(id) => self.jittered(REFUSED),
            _ => {
                let drained = self.drained(id);
                self.jittered(drained)
            }
        };
        self.forget(id);
        Order::GiveUp { reason, not_run: !doubtful, retry_after }
    }

    /// Whether no call waits for the service of call `id`.
    fn is_idle(&self, id: u64) -> bool {
        let Some(entry) = self.calls.get(&id) else { return true };
        self.queues.get(&entry.call.service).is_none_or(Vec::is_empty)
    }

    /// Seconds until the calls that wait now have been served.
    fn drained(&self, id: u64) -> f64 {
        let Some(entry) = self.calls.get(&id) else { return COME_BACK.0 };
        let Some(service) = self.services.get(&entry.call.service) else { return COME_BACK.0 };
        let queue = self.queues.get(&entry.call.service).map_or(&[][..], Vec::as_slice);
        let work = |id: &u64| self.calls.get(id).map_or(0.0, |e| service.base(&e.call.route));
        let all: f64 = queue.iter().map(work).sum();
        all / service.capacity().max(0.1) + service.base(&entry.call.route)
    }

    /// A time around `seconds`, spread so that callers do not come back together.
    fn jittered(&mut self, seconds: f64) -> Duration {
        let spread = 0.7 + 0.6 * self.random.random::<f64>();
        Duration::from_secs_f64((seconds * spread).clamp(COME_BACK.0, COME_BACK.1))
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

    /// Learns from the end of an attempt.
    fn note(&mut self, now: Timestamp, ending: &Ending, running: Option<Running>) {
        let Some(entry) = self.calls.get(&ending.attempt.call) else { return };
        let route = Arc::clone(&entry.call.route);
        let Some(service) = self.services.get_mut(&entry.call.service) else { return };
        if let (Verdict::Answered { ok: true, bytes }, Some(running)) = (ending.verdict, running) {
            service.learn(now, &route, &running, bytes);
        }
        if let Some(pace) = ending.report.and_then(|r| r.pace) {
            service.learn_pace(pace);
        }
        let base = service.base(&route);
        let Some(target) = service.targets.get_mut(&ending.attempt.target) else { return };
        learn_target(now, target, ending, running, base);
    }
}

fn learn_target(
    now: Timestamp,
    target: &mut Target,
    ending: &Ending,
    running: Option<Running>,
    base: f64,
) {
    if let Some(report) = ending.report {
        let own = u32::try_from(target.running.len()).unwrap_or(u32::MAX);
        target.load.report(now, report, own);
    }
    match ending.verdict {
        Verdict::Answered { ok: true, .. } => {
            if let Some(running) = running {
                let usual = base * running.scale;
                target.load.answered(now, now.since(running.since).as_secs_f64() / usual);
            }
        }
        Verdict::Answered { ok: false, .. } => target.load.failed(now),
        Verdict::Refused => target.load.refused(now),
        Verdict::Moved => target.moved = true,
        Verdict::Failed { failure, .. } => target.failed(now, failure == Failure::Connect),
    }
}
