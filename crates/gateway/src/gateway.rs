//! What all parts of one gateway share.

use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    clock::Clock,
    metrics::Metrics,
    settings::Settings,
};
use azuretally_policy::balance::{
    Balancer, BalancerSettings, Catalog, Decision, Heartbeat, Membership, MembershipBuilder, Phase,
    Probe, RouteTable, Source, TrafficSplit,
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Part of the second tries per call that a gateway allows itself of the calls that it takes.
const RATIO_PART: f64 = 0.95;
/// Part of the slack of the fleet that the gateways share out to which callers are directed. A window
/// may see two sets of them, when all start anew.
const SLACK_PART: f64 = 0.45;
/// Part of the slack that the other gateways share out.
const OTHERS_SLACK: f64 = 0.08;

/// Part of the probes that a target may get which the gateways that callers are directed to share
/// out; the rest covers the others.
const PROBE_PART: f64 = 0.8;

/// Shared by all tasks of one gateway, all on one thread. Borrows never last over a wait.
#[derive(Debug)]
pub struct Gateway<Adapter> {
    /// Names and formats of the platform.
    pub adapter: Adapter,
    /// Local settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Belief of settings and targets.
    pub catalog: RefCell<Catalog>,
    /// Belief of the other gateways.
    pub membership: RefCell<Membership>,
    /// Decisions on calls.
    pub balancer: RefCell<Balancer>,
    /// Shares of routes.
    pub traffic_split: RefCell<TrafficSplit>,
    /// Counters.
    pub metrics: Metrics,
    /// Asks for the planned stop.
    pub drain: CancellationToken,
    /// Ends every part after the planned stop.
    pub shutdown: CancellationToken,
    /// Every task that the request path spawned.
    pub tasks: TaskTracker,
    /// Wakes those who follow changes of beliefs.
    pub changed: Notify,
    /// Wakes the timer of waiting calls.
    pub call_queued: Notify,
    routes: RefCell<Option<Rc<RouteTable>>>,
    waiters: RefCell<IndexMap<u64, oneshot::Sender<Decision>>>,
    /// Orders for calls whose tasks have not begun to wait for them yet.
    early_decisions: RefCell<IndexMap<u64, Decision>>,
    probes: mpsc::UnboundedSender<Probe>,
    next_id: Cell<u64>,
}

impl<Adapter> Gateway<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// A gateway that knows nothing yet.
    ///
    /// Probes that the balancer orders go to `probes`.
    pub fn new(adapter: Adapter, settings: Settings, probes: mpsc::UnboundedSender<Probe>) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let domain = Arc::clone(&settings.failure_domain);
        let balancer = Balancer::new(
            domain,
            balancer_settings(&settings, &BudgetShare { slack: 0.0, directed_gateways: 1 }),
            rand::random(),
        );
        let membership = membership_builder(&settings).build(now);
        Self {
            adapter,
            clock,
            catalog: RefCell::default(),
            membership: RefCell::new(membership),
            balancer: RefCell::new(balancer),
            traffic_split: RefCell::default(),
            metrics: Metrics::new(),
            drain: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            tasks: TaskTracker::new(),
            changed: Notify::new(),
            call_queued: Notify::new(),
            routes: RefCell::default(),
            waiters: RefCell::default(),
            early_decisions: RefCell::default(),
            probes,
            next_id: Cell::new(1),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Local settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Routes in force, nothing before the first.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// A number for a new call.
    pub fn next_call_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Takes over local settings that changed.
    pub fn reload_settings(&self, settings: Settings) {
        self.membership.borrow_mut().set_seeds(settings.seed_hosts());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.update_budget_share();
        self.changed.notify_waiters();
    }

    /// Takes this gateway's part of the fleet's budget, by the number of gateways that live.
    pub fn update_budget_share(&self) {
        let share = {
            let membership = self.membership.borrow();
            let living = membership.alive_count();
            match membership.is_directed() {
                true => BudgetShare {
                    slack: SLACK_PART / membership.directed_count() as f64,
                    directed_gateways: membership.directed_count(),
                },
                false => BudgetShare {
                    slack: OTHERS_SLACK / living as f64,
                    directed_gateways: membership.directed_count(),
                },
            }
        };
        let balancer_settings = balancer_settings(&self.settings(), &share);
        self.balancer.borrow_mut().update_settings(balancer_settings);
    }

    /// Puts a changed catalog into force, and tells what changed.
    pub fn apply_catalog(&self, source: Source) {
        let now = self.clock.now();
        let lines = self.catalog.borrow_mut().take_log_lines();
        for line in &lines {
            log::info!("control: {line} source={source:?}");
        }
        self.apply_routes();
        self.balancer.borrow_mut().set_targets(now, &self.catalog.borrow());
        self.membership.borrow_mut().set_domain_slots(self.domain_slots());
        self.refresh_membership();
        self.dispatch_waiting();
        self.changed.notify_waiters();
    }

    /// Calls that the targets of the own failure domain run at a time.
    fn domain_slots(&self) -> u32 {
        let settings = self.settings();
        let catalog = self.catalog.borrow();
        let near = catalog.targets().filter(|l| l.record.failure_domain == settings.failure_domain);
        near.map(|l| l.record.slots).sum()
    }

    fn apply_routes(&self) {
        let published = self.catalog.borrow().published().cloned();
        let Some(published) = published else { return };
        let current = self.routes().map_or(0, |table| table.published().version);
        if published.version <= current {
            return;
        }
        match RouteTable::new(published.as_ref().clone()) {
            Ok(table) => {
                let known = |name: &str| published.routes.iter().any(|r| *r.name == *name);
                self.traffic_split.borrow_mut().retain(known);
                self.metrics.version.set(i64::try_from(published.version).unwrap_or(i64::MAX));
                *self.routes.borrow_mut() = Some(Rc::new(table));
            }
            Err(e) => {
                log::error!("control: settings version={} refused: {e}", published.version);
            }
        }
    }

    /// Tells the membership what this gateway knows.
    pub fn refresh_membership(&self) {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let mut membership = self.membership.borrow_mut();
        let phase = if self.drain.is_cancelled() {
            Phase::Leaving
        } else if self.routes.borrow().is_some() {
            Phase::Ready
        } else {
            Phase::Starting
        };
        let before = membership.phase();
        if before != phase {
            log::info!("control: phase={phase:?} before={before:?}");
        }
        let age = catalog.age(now);
        let reader = membership.is_reader(now, age);
        membership.update_status(phase, catalog.content_revision(), age, reader);
    }

    /// All metrics as text, those of the balancer as they are now.
    pub fn metrics_text(&self) -> String {
        let left = self.balancer.borrow_mut().extra_attempts_left(self.clock.now());
        for (service, left) in &left {
            self.metrics.set_tries_left(service, *left);
        }
        self.metrics.text()
    }

    /// Waits for the next order for the call `id`.
    pub fn await_decision(&self, id: u64) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        if let Some(order) = self.early_decisions.borrow_mut().swap_remove(&id) {
            drop(sender.send(order));
            return receiver;
        }
        self.waiters.borrow_mut().insert(id, sender);
        self.call_queued.notify_one();
        receiver
    }

    /// Forgets a call whose task has ended.
    pub fn forget_call(&self, id: u64) {
        self.waiters.borrow_mut().swap_remove(&id);
        self.early_decisions.borrow_mut().swap_remove(&id);
        self.balancer.borrow_mut().forget(id);
        self.dispatch_waiting();
    }

    /// Starts or gives up waiting calls, as far as that is possible now.
    pub fn dispatch_waiting(&self) {
        let orders = self.balancer.borrow_mut().dispatch_waiting(self.clock.now());
        for (id, order) in orders {
            let waiter = self.waiters.borrow_mut().swap_remove(&id);
            match waiter {
                // A call whose task has ended is forgotten by the task itself.
                Some(waiter) => drop(waiter.send(order)),
                None => {
                    self.early_decisions.borrow_mut().insert(id, order);
                }
            }
        }
        self.forward_probes();
    }

    /// Passes on the probes that the balancer ordered.
    pub fn forward_probes(&self) {
        for probe in self.balancer.borrow_mut().take_probes() {
            // The prober ends after the last call.
            let _ = self.probes.send(probe);
        }
    }
}

/// This gateway's share of what the fleet may spend.
#[derive(Clone, Copy, Debug)]
struct BudgetShare {
    /// Part of the slack for second tries.
    slack: f64,
    /// Gateways that share out the probes.
    directed_gateways: usize,
}

fn balancer_settings(settings: &Settings, share: &BudgetShare) -> BalancerSettings {
    let retries = &settings.retries;
    BalancerSettings {
        retry_ratio: retries.ratio * RATIO_PART,
        retry_slack: retries.slack * share.slack,
        retry_window: Duration::from_millis(retries.window_ms),
        crossing_cost: settings.crossing_cost_per_kb,
        probe_rate: settings.probes_per_s * PROBE_PART / share.directed_gateways as f64,
    }
}

fn membership_builder(settings: &Settings) -> MembershipBuilder {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = Heartbeat {
        host: Arc::clone(&settings.host),
        domain: Arc::clone(&settings.failure_domain),
        incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        sequence: 0,
        call_address: settings.listen.calls,
        capacity: settings.size.power(),
        phase: Phase::Starting,
        settled: false,
        revision: 0,
        age_ms: None,
        reader: false,
        remote_primaries: Vec::new(),
    };
    MembershipBuilder::new(own)
        .seeds(settings.seed_hosts())
        .gateways_per_domain(settings.directions.gateways)
        .lifetime(Duration::from_millis(settings.directions.lifetime_ms))
}
