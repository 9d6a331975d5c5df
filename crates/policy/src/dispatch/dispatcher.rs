//! The state machine of one service at one entry.

mod admission;
mod changes;
mod outcome;
mod start;
mod timers;

use super::{
    budget::{ShareBudget, TimeBudget},
    calls::Calls,
    choose::Chooser,
    config::ServiceConfig,
    event::{Action, CallId, Event},
    peers::Peers,
    queue::Queue,
    service_time::ServiceTime,
    speed,
    target::Targets,
};
use crate::Timestamp;
use azuretally_settings::BalancingPolicy;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Further attempts after refusals allowed per first try. A refusal costs a target next to nothing,
/// and the target that refused is paused, so this is wider than the budget of retries.
const REDIRECTS_PER_TRY: f64 = 2.0;
/// Service time assumed before any was seen, in µs.
const UNKNOWN_SERVICE_US: f64 = 1_000.0;

/// Decides about the calls of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    plan: Arc<ServiceConfig>,
    chooser: Chooser,
    targets: Targets,
    calls: Calls,
    queue: Queue,
    peers: Peers,
    /// Service times by operation.
    times: Vec<ServiceTime>,
    all_times: ServiceTime,
    retries: ShareBudget,
    hedges: ShareBudget,
    redirects: ShareBudget,
    probes: TimeBudget,
    /// Calls by the time of their next attempt.
    backoffs: BTreeSet<(Timestamp, CallId)>,
    /// Calls by the time at which a hedge is due.
    hedge_times: BTreeSet<(Timestamp, CallId)>,
    /// When the head of the queue is to be looked at again.
    look_again: Option<Timestamp>,
    probe_at: Option<Timestamp>,
    /// Samples of attempts from before this time are of no use.
    paused_at: Timestamp,
    has_targets: bool,
    next_seq: u64,
    random: Pcg64Mcg,
}

impl Dispatcher {
    /// A dispatcher without targets. Equal seeds and events give equal actions.
    pub fn new(plan: Arc<ServiceConfig>, seed: u64) -> Self {
        let quantile = hedge_quantile(&plan);
        Self {
            chooser: Chooser::new(plan.choice),
            targets: Targets::new(),
            calls: Calls::new(),
            queue: Queue::new(&plan),
            peers: Peers::default(),
            times: plan.operations.iter().map(|_| ServiceTime::new(quantile)).collect(),
            all_times: ServiceTime::new(1.0),
            retries: ShareBudget::new(plan.retry_ratio),
            hedges: ShareBudget::new(plan.hedge_ratio),
            redirects: ShareBudget::new(REDIRECTS_PER_TRY),
            probes: TimeBudget::new(plan.probe_share, plan.probe_cost),
            backoffs: BTreeSet::new(),
            hedge_times: BTreeSet::new(),
            look_again: None,
            probe_at: None,
            paused_at: Timestamp::default(),
            has_targets: false,
            next_seq: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            plan,
        }
    }

    /// Takes in one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(call) => self.arrive(now, call, actions),
            Event::Answered { call, target, ok, elapsed, report } => {
                self.answered(now, call, &target, ok, elapsed, report, actions);
            }
            Event::Refused { call, target, refusal, report } => {
                self.refused(now, call, &target, refusal, report, actions);
            }
            Event::Failed { call, target, kind, not_executed } => {
                self.failed(now, call, &target, kind, not_executed, actions);
            }
            Event::PeerRefused { call, peer } => self.peer_refused(now, call, &peer, actions),
            Event::PeerDone { call, peer } => self.peer_done(call, &peer),
            Event::CallerDisconnected(call) => self.caller_gone(now, call, actions),
            Event::Probed { target, report } => self.probed(now, &target, report),
            Event::ConfigChanged(plan) => self.change_plan(now, plan, actions),
            Event::TargetsChanged(targets) => self.change_targets(now, targets),
            Event::PeersChanged(peers) => self.change_peers(peers),
            Event::ProcessPaused(gap) => self.paused(now, gap),
            Event::Tick => {}
        }
        self.advance(now, actions);
    }

    /// When [`Event::Tick`] is due next, if ever.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let expiry = self.queue.earliest_expiry().map(|(at, _)| at);
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        let hedge = self.hedge_times.first().map(|(at, _)| *at);
        let all = [expiry, backoff, hedge, self.look_again, self.probe_at];
        all.into_iter().flatten().min()
    }

    /// Slots of this entry that are free beyond its own waiting calls, at targets that are not
    /// known to be slow. This is what the other entries of the set are to be told.
    pub fn free_slots(&self, now: Timestamp) -> u32 {
        let memory = self.memory_us();
        let sound = |speed: &speed::Speed| speed.slowness(now, memory) <= start::SHARED_SLOWNESS;
        let targets = self.targets.values().filter(|t| t.free(now) > 0 && sound(&t.speed));
        let free: u32 = targets.map(|t| t.free(now)).sum();
        free.saturating_sub(u32::try_from(self.queue.len()).unwrap_or(u32::MAX))
    }

    /// Number of calls that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of calls in flight at each target, for display.
    pub fn in_flight(&self) -> IndexMap<Arc<str>, u32> {
        self.targets.iter().map(|(name, t)| (Arc::clone(name), t.in_flight)).collect()
    }

    /// Brings everything that depends on time up to `now`, then starts what can start.
    fn advance(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        self.end_backoffs(now, actions);
        self.start_calls(now, actions);
        self.start_hedges(now, actions);
        self.start_probe(now, actions);
    }

    /// Mean service time of an operation in µs.
    fn expected_us(&self, operation: usize) -> f64 {
        let known = self.times.get(operation).and_then(ServiceTime::mean_us);
        known.or(self.all_times.mean_us()).unwrap_or(UNKNOWN_SERVICE_US)
    }

    /// Mean service time of all operations in µs.
    fn mean_us(&self) -> f64 {
        self.all_times.mean_us().unwrap_or(UNKNOWN_SERVICE_US)
    }

    fn memory_us(&self) -> f64 {
        speed::memory_us(self.mean_us())
    }

    fn is_owning(&self) -> bool {
        matches!(self.plan.choice, BalancingPolicy::Owned | BalancingPolicy::OwnedShared)
    }

    /// A random duration between half of `mean` and one and a half of it.
    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.random.random::<f64>())
    }
}

/// Quantile of service times after which a hedge is worth its cost under the plan's budget.
fn hedge_quantile(plan: &ServiceConfig) -> f64 {
    if plan.hedge_ratio > 0.0 { (1.0 - plan.hedge_ratio).clamp(0.5, 0.999) } else { 1.0 }
}
