//! State machine that schedules the calls of one service at one entry.

mod admission;
mod changes;
mod outcome;
mod rests;
mod start;
mod timers;

use super::{
    budget::{ProbeTimeBudget, RatioBudget},
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

/// Maximum ratio of redirects (further attempts after refusals) to first attempts. A refusal costs
/// a target next to nothing, and a target that refused is paused, so the ratio is higher than that
/// of retries.
const REDIRECT_RATIO: f64 = 2.0;
/// Service time assumed before the first sample, in µs.
const DEFAULT_SERVICE_US: f64 = 1_000.0;
/// Lower bound of the random factor on a delay; the upper bound is higher by 1.
const MIN_JITTER: f64 = 0.5;
/// Range to which the quantile of service times after which a hedge is due is limited.
const HEDGE_QUANTILE_RANGE: (f64, f64) = (0.5, 0.999);

/// Schedules the calls of one service at one entry.
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
    /// Service times of all operations together.
    overall_times: ServiceTimes,
    retry_budget: RatioBudget,
    hedge_budget: RatioBudget,
    redirect_budget: RatioBudget,
    probe_budget: ProbeTimeBudget,
    /// Calls in backoff by the time of their next attempt.
    backoffs: BTreeSet<(Timestamp, CallId)>,
    /// Calls by the time of their next hedge check.
    hedge_times: BTreeSet<(Timestamp, CallId)>,
    /// When target selection for the head of the queue is to be repeated.
    recheck_at: Option<Timestamp>,
    /// When the next probe is considered.
    probe_at: Option<Timestamp>,
    /// End of the last process pause. Timings of attempts that started before it are discarded.
    resumed_at: Timestamp,
    /// Whether any targets have been known; targets added later start cold.
    had_targets: bool,
    /// Number of rests that targets asked for since it was last taken.
    rests: u64,
    next_seq: u64,
    random: Pcg64Mcg,
}

impl Dispatcher {
    /// Creates a dispatcher without targets. Equal seeds and events result in equal actions.
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
            probe_budget: ProbeTimeBudget::new(config.probe_share, config.probe_cost),
            backoffs: BTreeSet::new(),
            hedge_times: BTreeSet::new(),
            recheck_at: None,
            probe_at: None,
            resumed_at: Timestamp::default(),
            had_targets: false,
            rests: 0,
            next_seq: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            config,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(call) => self.handle_arrival(now, call, actions),
            Event::Answered { call, target, ok, elapsed, report } => {
                self.handle_answer(now, call, &target, ok, elapsed, report, actions);
            }
            Event::Refused { call, target, refusal, report } => {
                self.handle_refusal(now, call, &target, refusal, report, actions);
            }
            Event::Noticed { target, notice } => self.handle_notice(now, &target, notice),
            Event::Failed { call, target, kind, not_executed } => {
                self.handle_failure(now, call, &target, kind, not_executed, actions);
            }
            Event::PeerRefused { call, peer } => {
                self.handle_peer_refusal(now, call, &peer, actions)
            }
            Event::PeerDone { call, peer } => self.handle_peer_done(now, call, &peer),
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

    /// Returns when [`Event::Tick`] is due next, or `None` if no timer is set.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let expiry = self.queue.earliest_expiry().map(|(at, _)| at);
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        let hedge = self.hedge_times.first().map(|(at, _)| *at);
        let all = [expiry, backoff, hedge, self.recheck_at, self.probe_at];
        all.into_iter().flatten().min()
    }

    /// Returns the number of free slots that this entry can offer to the other entries of the set:
    /// those at targets not known to be slow, minus its own waiting calls.
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

    /// Returns the number of calls that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of calls in flight at each target, for display.
    pub fn in_flight(&self) -> IndexMap<Arc<str>, u32> {
        self.targets.iter().map(|(name, t)| (Arc::clone(name), t.in_flight)).collect()
    }

    /// Handles expired timers, then starts the calls, hedges and probes that can start.
    fn advance(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.expire_waiting(now, actions);
        self.requeue_after_backoff(now, actions);
        self.start_calls(now, actions);
        self.start_hedges(now, actions);
        self.send_probe(now, actions);
    }

    /// Returns the mean service time of an operation in µs.
    fn expected_us(&self, operation: usize) -> f64 {
        let known = self.service_times.get(operation).and_then(ServiceTimes::mean_us);
        known.or(self.overall_times.mean_us()).unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Returns the mean service time of all operations in µs.
    fn mean_us(&self) -> f64 {
        self.overall_times.mean_us().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Returns the time constant of the slowness estimates in µs.
    fn decay_us(&self) -> f64 {
        slowness::decay_us(self.mean_us())
    }

    /// Returns whether each slot is owned by one entry of the set.
    fn uses_ownership(&self) -> bool {
        matches!(self.config.choice, BalancingPolicy::Owned | BalancingPolicy::OwnedShared)
    }

    /// Returns a random duration between 0.5 and 1.5 times `mean`.
    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(MIN_JITTER + self.random.random::<f64>())
    }
}

/// Returns the quantile of service times after which hedging stays within the budget.
fn hedge_quantile(config: &ServiceConfig) -> f64 {
    if config.hedge_ratio > 0.0 {
        (1.0 - config.hedge_ratio).clamp(HEDGE_QUANTILE_RANGE.0, HEDGE_QUANTILE_RANGE.1)
    } else {
        1.0
    }
}
