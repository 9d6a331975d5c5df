//! What all parts of one gateway share.

use crate::{
    clock::Clock,
    dialect::{Dialect, Publication},
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
    pub roster: RefCell<Membership>,
    /// Decisions on calls.
    pub balancer: RefCell<Balancer>,
    /// Shares of routes.
    pub split: RefCell<TrafficSplit>,
    /// Counters.
    pub metrics: Metrics,
    /// Asks for the planned stop.
    pub stop: CancellationToken,
    /// Ends every part after the planned stop.
    pub end: CancellationToken,
    /// Every task that the request path spawned.
    pub tasks: TaskTracker,
    /// Wakes those who follow changes of beliefs.
    pub changed: Notify,
    /// Wakes the timer of waiting calls.
    pub queued: Notify,
    routes: RefCell<Option<Rc<RouteTable>>>,
    waiting: RefCell<IndexMap<u64, oneshot::Sender<Decision>>>,
    /// Orders for calls whose tasks have not begun to wait for them yet.
    early: RefCell<IndexMap<u64, Decision>>,
    probes: mpsc::UnboundedSender<Probe>,
    next_call: Cell<u64>,
}

impl<Adapter> Gateway<Adapter>
where
    Adapter: Dialect + Publication,
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
            limits(&settings, &Share { slack: 0.0, deciders: 1 }),
            rand::random(),
        );
        let roster = roster(&settings).build(now);
        Self {
            adapter,
            clock,
            catalog: RefCell::default(),
            roster: RefCell::new(roster),
            balancer: RefCell::new(balancer),
            split: RefCell::default(),
            metrics: Metrics::new(),
            stop: CancellationToken::new(),
            end: CancellationToken::new(),
            tasks: TaskTracker::new(),
            changed: Notify::new(),
            queued: Notify::new(),
            routes: RefCell::default(),
            waiting: RefCell::default(),
            early: RefCell::default(),
            probes,
            next_call: Cell::new(1),
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
    pub fn next_call(&self) -> u64 {
        self.next_call.replace(self.next_call.get() + 1)
    }

    /// Takes over local settings that changed.
    pub fn reload(&self, settings: Settings) {
        self.roster.borrow_mut().set_seeds(settings.seed_hosts());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.share_budget();
        self.changed.notify_waiters();
    }

    /// Takes this gateway's part of the fleet's budget, by the number of gateways that live.
    pub fn share_budget(&self) {
        let share = {
            let roster = self.roster.borrow();
            let living = roster.alive_count();
            match roster.is_directed() {
                true => Share {
                    slack: SLACK_PART / roster.directed_count() as f64,
                    deciders: roster.directed_count(),
                },
                false => {
                    Share { slack: OTHERS_SLACK / living as f64, deciders: roster.directed_count() }
                }
            }
        };
        let limits = limits(&self.settings(), &share);
        self.balancer.borrow_mut().update_settings(limits);
    }

    /// Puts a changed catalog into force, and tells what changed.
    pub fn adopt(&self, source: Source) {
        let now = self.clock.now();
        let lines = self.catalog.borrow_mut().take_log_lines();
        for line in &lines {
            log::info!("control: {line} source={source:?}");
        }
        self.adopt_routes();
        self.balancer.borrow_mut().set_targets(now, &self.catalog.borrow());
        self.roster.borrow_mut().set_domain_slots(self.near_slots());
        self.refresh_roster();
        self.pump();
        self.changed.notify_waiters();
    }

    /// Calls that the targets of the own failure domain run at a time.
    fn near_slots(&self) -> u32 {
        let settings = self.settings();
        let catalog = self.catalog.borrow();
        let near = catalog.targets().filter(|l| l.record.failure_domain == settings.failure_domain);
        near.map(|l| l.record.slots).sum()
    }

    fn adopt_routes(&self) {
        let published = self.catalog.borrow().published().cloned();
        let Some(published) = published else { return };
        let current = self.routes().map_or(0, |table| table.published().version);
        if published.version <= current {
            return;
        }
        match RouteTable::new(published.as_ref().clone()) {
            Ok(table) => {
                let known = |name: &str| published.routes.iter().any(|r| *r.name == *name);
                self.split.borrow_mut().retain(known);
                self.metrics
                    .settings_version
                    .set(i64::try_from(published.version).unwrap_or(i64::MAX));
                *self.routes.borrow_mut() = Some(Rc::new(table));
            }
            Err(e) => {
                log::error!("control: settings version={} refused: {e}", published.version);
            }
        }
    }

    /// Tells the roster what this gateway knows.
    pub fn refresh_roster(&self) {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let mut roster = self.roster.borrow_mut();
        let phase = if self.stop.is_cancelled() {
            Phase::Leaving
        } else if self.routes.borrow().is_some() {
            Phase::Ready
        } else {
            Phase::Starting
        };
        let before = roster.phase();
        if before != phase {
            log::info!("control: phase={phase:?} before={before:?}");
        }
        let age = catalog.age(now);
        let reader = roster.is_reader(now, age);
        roster.update_status(phase, catalog.content_revision(), age, reader);
    }

    /// All metrics as text, those of the balancer as they are now.
    pub fn metrics_text(&self) -> String {
        let left = self.balancer.borrow_mut().extra_attempts_left(self.clock.now());
        for (service, left) in &left {
            self.metrics.set_retry_budget(service, *left);
        }
        self.metrics.encode()
    }

    /// Waits for the next order for the call `id`.
    pub fn await_order(&self, id: u64) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        if let Some(order) = self.early.borrow_mut().swap_remove(&id) {
            drop(sender.send(order));
            return receiver;
        }
        self.waiting.borrow_mut().insert(id, sender);
        self.queued.notify_one();
        receiver
    }

    /// Forgets a call whose task has ended.
    pub fn forget(&self, id: u64) {
        self.waiting.borrow_mut().swap_remove(&id);
        self.early.borrow_mut().swap_remove(&id);
        self.balancer.borrow_mut().forget(id);
        self.pump();
    }

    /// Starts or gives up waiting calls, as far as that is possible now.
    pub fn pump(&self) {
        let orders = self.balancer.borrow_mut().dispatch_waiting(self.clock.now());
        for (id, order) in orders {
            let waiter = self.waiting.borrow_mut().swap_remove(&id);
            match waiter {
                // A call whose task has ended is forgotten by the task itself.
                Some(waiter) => drop(waiter.send(order)),
                None => {
                    self.early.borrow_mut().insert(id, order);
                }
            }
        }
        self.order_probes();
    }

    /// Passes on the probes that the balancer ordered.
    pub fn order_probes(&self) {
        for probe in self.balancer.borrow_mut().take_probes() {
            // The prober ends after the last call.
            let _ = self.probes.send(probe);
        }
    }
}

/// This gateway's share of what the fleet may spend.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Part of the slack for second tries.
    slack: f64,
    /// Gateways that share out the probes.
    deciders: usize,
}

fn limits(settings: &Settings, share: &Share) -> BalancerSettings {
    let retries = &settings.retries;
    BalancerSettings {
        retry_ratio: retries.ratio * RATIO_PART,
        retry_slack: retries.slack * share.slack,
        retry_window: Duration::from_millis(retries.window_ms),
        crossing_cost: settings.crossing_cost_per_kb,
        probe_rate: settings.probes_per_s * PROBE_PART / share.deciders as f64,
    }
}

fn roster(settings: &Settings) -> MembershipBuilder {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = Heartbeat {
        host: Arc::clone(&settings.host),
        domain: Arc::clone(&settings.failure_domain),
        incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        sequence: 0,
        call_address: settings.listen.calls,
        capacity: settings.size.capacity(),
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
