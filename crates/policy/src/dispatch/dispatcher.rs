//! The state machine of one service at one entry.

mod admission;
mod changes;
mod outcome;
mod start;
mod timers;

use super::{
    budget::{ProbeBudget, RatioBudget},
    calls::Calls,
    config::ServiceConfig,
    event::{Action, CallId, Event},
    peers::Peers,
    queue::Queue,
    selection::Selector,
    service_time::ServiceTimes,
    slowness,
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
const REDIRECT_RATIO: f64 = 2.0;
/// Service time assumed before any was seen, in µs.
const DEFAULT_SERVICE_US: f64 = 1_000.0;

/// Decides about the calls of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    config: Arc<ServiceConfig>,
    selector: Selector,
    targets: Targets,
    calls: Calls,
    queue: Queue,
    peers: Peers,
    /// Service times by operation.
    service_times: Vec<ServiceTimes>,
    overall_times: ServiceTimes,
    retry_budget: RatioBudget,
    hedge_budget: RatioBudget,
    redirect_budget: RatioBudget,
    probe_budget: ProbeBudget,
    /// Calls by the time of their next attempt.
    backoffs: BTreeSet<(Timestamp, CallId)>,
    /// Calls by the time at which a hedge is due.
    hedge_times: BTreeSet<(Timestamp, CallId)>,
    /// When the head of the queue is to be looked at again.
    recheck_at: Option<Timestamp>,
    probe_at: Option<Timestamp>,
    /// Samples of attempts from before this time are of no use.
    resumed_at: Timestamp,
    had_targets: bool,
    next_seq: u64,
    random: Pcg64Mcg,
}

impl Dispatcher {
    /// A dispatcher without targets. Equal seeds and events give equal actions.
    pub fn new(config: Arc<ServiceConfig>, seed: u64) -> Self {
        let quantile = hedge_quantile(&config);
        Self {
            selector: Selector::new(config.choice),
            targets: Targets::new(),
            calls: Calls::new(),
            queue: Queue::new(&config),
            peers: Peers::default(),
            service_times: config.operations.iter().map(|_| ServiceTimes::new(quantile)).collect(),
            overall_times: ServiceTimes::new(1.0),
            retry_budget: RatioBudget::new(config.retry_ratio),
            hedge_budget: RatioBudget::new(config.hedge_ratio),
            redirect_budget: RatioBudget::new(REDIRECT_RATIO),
            probe_budget: ProbeBudget::new(config.probe_share, config.probe_cost),
            backoffs: BTreeSet::new(),
            hedge_times: BTreeSet::new(),
            recheck_at: None,
            probe_at: None,
            resumed_at: Timestamp::default(),
            had_targets: false,
            next_seq: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            config,
        }
    }

    /// Takes in one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(call) => self.handle_arrival(now, call, actions),
            Event::Answered { call, target, ok, elapsed, report } => {
                self.handle_answer(now, call, &target, ok, elapsed, report, actions);
            }
            Event::Refused { call, target, refusal, report } => {
                self.handle_refusal(now, call, &target, refusal, report, actions);
            }
            Event::Failed { call, target, kind, not_executed } => {
                self.handle_failure(now, call, &target, kind, not_executed, actions);
            }
            Event::PeerRefused { call, peer } => {
                self.handle_peer_refusal(now, call, &peer, actions)
            }
            Event::PeerDone { call, peer } => self.handle_peer_done(call, &peer),
            Event::CallerDisconnected(call) => self.handle_disconnect(now, call, actions),
            Event::Probed { target, report } => self.handle_probe(now, &target, report),
            Event::ConfigChanged(config) => self.update_config(now, config, actions),
            Event::TargetsChanged(targets) => self.update_targets(now, targets),
            Event::PeersChanged(peers) => self.update_peers(peers),
            Event::ProcessPaused(gap) => self.handle_pause(now, gap),
            Event::Tick => {}
        }
        self.advance(now, actions);
    }

    /// When [`Event::Tick`] is due next, if ever.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let expiry = self.queue.earliest_expiry().map(|(at, _)| at);
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        let hedge = self.hedge_times.first().map(|(at, _)| *at);
        let all = [expiry, backoff, hedge, self.recheck_at, self.probe_at];
        all.into_iter().flatten().min()
    }

    /// Slots of this entry that are free beyond its own waiting calls, at targets that are not
    /// known to be slow. This is what the other entries of the set are to be told.
    pub fn free_slots(&self, now: Timestamp) -> u32 {
        let decay_us = self.decay_us();
        let is_fast_enough = |slowness: &slowness::SlownessEstimate| {
            slowness.current(now, decay_us) <= start::MAX_SHARED_SLOWNESS
        };
        let targets =
            self.targets.values().filter(|t| t.free_slots(now) > 0 && is_fast_enough(&t.slowness));
        let free: u32 = targets.map(|t| t.free_slots(now)).sum();
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
        self.expire_waiting(now, actions);
        self.requeue_after_backoff(now, actions);
        self.start_calls(now, actions);
        self.start_hedges(now, actions);
        self.send_probe(now, actions);
    }

    /// Mean service time of an operation in µs.
    fn expected_us(&self, operation: usize) -> f64 {
        let known = self.service_times.get(operation).and_then(ServiceTimes::mean_us);
        known.or(self.overall_times.mean_us()).unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Mean service time of all operations in µs.
    fn mean_us(&self) -> f64 {
        self.overall_times.mean_us().unwrap_or(DEFAULT_SERVICE_US)
    }

    fn decay_us(&self) -> f64 {
        slowness::decay_us(self.mean_us())
    }

    fn uses_ownership(&self) -> bool {
        matches!(self.config.choice, BalancingPolicy::Owned | BalancingPolicy::OwnedShared)
    }

    /// A random duration between half of `mean` and one and a half of it.
    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.random.random::<f64>())
    }
}

/// Quantile of service times after which a hedge is worth its cost under the plan's budget.
fn hedge_quantile(config: &ServiceConfig) -> f64 {
    if config.hedge_ratio > 0.0 { (1.0 - config.hedge_ratio).clamp(0.5, 0.999) } else { 1.0 }
}
