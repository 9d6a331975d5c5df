//! State shared by all tasks of a gateway.

use crate::{
    adapter::{CallAdapter, PlatformAdapter, TargetNotice},
    budget::Budget,
    clock::{Clock, unix_ms},
    control::UnreadableMessages,
    load_meter::{LatenessMeter, LoadMeter},
    metrics::Metrics,
    settings::Settings,
    stop::StopTimes,
};
use azuretally_api::retry_after::RetryAfter;
use azuretally_policy::{
    Timestamp,
    balance::{
        Balancer, BalancerSettings, Build, CallNotice, Catalog, ColdBound, CrashCheck,
        CrashEvidence, Decision, GatewayLoad, Heartbeat, HeartbeatExtension, KnownData,
        LimitNotice, MESSAGE_GENERATION, Membership, MembershipBuilder, Outgoing, Phase, Probe,
        ProcessId, ReadState, Revision, RouteTable, Source, StreamEnd, TrafficSplit,
    },
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    future::pending,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Fraction of the configured retry ratio that a gateway applies to the calls it accepts.
const RETRY_RATIO_SHARE: f64 = 0.95;
/// Fraction of the fleet's retry slack that is divided among the gateways that callers are directed
/// to. Less than half, since one window can see two sets of them when all gateways restart.
const DIRECTED_SLACK_SHARE: f64 = 0.45;
/// Fraction of the fleet's retry slack for the other gateways. Each of them gets this fraction
/// divided by the number of all live gateways.
const OTHER_SLACK_SHARE: f64 = 0.08;
/// Fraction of a target's probe rate that is divided among the gateways that callers are directed
/// to. The remainder covers the probes of the other gateways.
const DIRECTED_PROBE_SHARE: f64 = 0.8;

/// Answers of which one ends its connection while this gateway sheds callers. Most callers should not move
/// before the effect on the first ones shows in the loads.
const ANSWERS_PER_SHED_CALLER: u32 = 4;

/// Interval at which the rates of cold targets are assigned at most: ranking the gateways for each datagram would
/// cost more in large failure domains.
const COLD_INTERVAL: Duration = Duration::from_millis(50);

/// Thousandths of a core.
const CORE: f64 = 1_000.0;

/// Version of the gateway program.
pub(crate) const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Time for which a call waits for settings that another gateway is known to use.
const MAX_UPDATE_WAIT: Duration = Duration::from_millis(300);
/// Time after which the platform's data would contain settings that another gateway is known to use.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(2);

/// Time after the start for which the settings of peers that know nothing of evacuations are not used. A gateway that
/// neither the platform nor a peer has told of evacuations by then serves calls without them, since it may be
/// the only one.
const MAX_EVACUATIONS_WAIT: Duration = Duration::from_secs(5);

/// Version of the settings under which another gateway has answered a relayed call.
#[derive(Clone, Copy, Debug, Default)]
struct RelayedVersion {
    version: u64,
    /// When it was first named.
    named: Timestamp,
}

/// State shared by all tasks of one gateway.
///
/// All tasks run on one thread. A borrow of a [`RefCell`] must not be held across an await point.
#[derive(Debug)]
pub struct Gateway<Adapter> {
    /// Translates header names and message formats of the platform.
    pub adapter: Adapter,
    /// Local settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Known settings and targets that the platform publishes.
    pub catalog: RefCell<Catalog>,
    /// Known gateways of the fleet.
    pub membership: RefCell<Membership>,
    /// Decides when calls are sent, retried, hedged or given up, and chooses their targets.
    pub balancer: RefCell<Balancer>,
    /// Splits the calls of each route among its services.
    pub split: RefCell<TrafficSplit>,
    /// Counts and lines on messages of other gateways that could not be read.
    pub unreadable_messages: RefCell<UnreadableMessages>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Bytes that connections of all ports hold.
    pub budget: Rc<Budget>,
    /// Cancelled when the planned stop begins: calls in flight are finished first.
    pub drain: CancellationToken,
    /// Cancelled when draining is complete: every task ends.
    pub shutdown: CancellationToken,
    /// Tracks the connections of callers.
    pub tasks: TaskTracker,
    /// Notified when the catalog, the membership or the settings change.
    pub changed: Notify,
    /// Notified when a call begins to wait, to start the timer that dispatches waiting calls.
    pub call_queued: Notify,
    /// Notified when a target has not answered, which may call for a check of the reach.
    pub target_failed: Notify,
    /// Notified when an attempt broke off, which may call for a check of its target.
    pub attempt_broken: Notify,
    /// Latest version of the settings under which another gateway has answered a relayed call.
    relayed_version: Cell<RelayedVersion>,
    /// Whether this gateway is cut off from all targets and knows others to which it can relay calls.
    may_relay: watch::Sender<bool>,
    /// When the rates of cold targets are assigned anew.
    cold_due: Cell<Timestamp>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    load: RefCell<LoadMeter>,
    lateness: RefCell<LatenessMeter>,
    /// Whether callers should leave their connections to this gateway, and answers since they should.
    sheds_callers: Cell<bool>,
    answers: Cell<u32>,
    /// Until when calls are read, [`Timestamp::MAX`] until the planned stop begins.
    reading_end: Cell<Timestamp>,
    /// Until when calls are served, once the planned stop has begun.
    serving_end: watch::Sender<Option<Timestamp>>,
    /// Channels to the tasks of waiting calls, by call id.
    waiters: RefCell<IndexMap<u64, oneshot::Sender<Decision>>>,
    /// Decisions made before the task of the call began to wait for them.
    early_decisions: RefCell<IndexMap<u64, Decision>>,
    probes: mpsc::UnboundedSender<Probe>,
    next_id: Cell<u64>,
}

impl<Adapter> Gateway<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Creates a gateway without published settings, targets or peers.
    ///
    /// Probes that the balancer requests are sent to `probes`.
    pub fn new(adapter: Adapter, settings: Settings, probes: mpsc::UnboundedSender<Probe>) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let domain = Arc::clone(&settings.failure_domain);
        let mut balancer = Balancer::new(
            domain,
            balancer_settings(&settings, &BudgetShare { slack: 0.0, directed_gateways: 1 }),
            rand::random(),
        );
        balancer.set_epoch(unix_ms());
        let membership = membership_builder(&settings).build(now);
        let metrics = Metrics::new();
        let budget = Rc::new(Budget::new(clock, metrics.budget.clone(), &settings.size));
        Self {
            adapter,
            clock,
            catalog: RefCell::default(),
            membership: RefCell::new(membership),
            balancer: RefCell::new(balancer),
            split: RefCell::default(),
            unreadable_messages: RefCell::default(),
            metrics,
            budget,
            drain: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            tasks: TaskTracker::new(),
            changed: Notify::new(),
            call_queued: Notify::new(),
            target_failed: Notify::new(),
            attempt_broken: Notify::new(),
            relayed_version: Cell::default(),
            may_relay: watch::Sender::default(),
            cold_due: Cell::default(),
            routes: RefCell::default(),
            load: RefCell::default(),
            lateness: RefCell::default(),
            sheds_callers: Cell::default(),
            answers: Cell::default(),
            reading_end: Cell::new(Timestamp::MAX),
            serving_end: watch::Sender::default(),
            waiters: RefCell::default(),
            early_decisions: RefCell::default(),
            probes,
            next_id: Cell::new(1),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Returns the local settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the routes in force, or `None` until the first settings arrive.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the routes in force, of `min_version` at least and of what other gateways have answered
    /// relayed calls under. Waits for an update if they are older, and returns `None` if it does not
    /// arrive in time or no settings have arrived at all.
    pub async fn routes_from(&self, min_version: u64) -> Option<Rc<RouteTable>> {
        let min_version = min_version.max(self.believed_version());
        let is_current = |table: &Rc<RouteTable>| table.published().version >= min_version;
        let table = self.routes()?;
        if is_current(&table) {
            return Some(table);
        }
        let update = async {
            loop {
                let changed = self.changed.notified();
                if let Some(table) = self.routes().filter(is_current) {
                    return table;
                }
                changed.await;
            }
        };
        timeout(MAX_UPDATE_WAIT, update).await.ok()
    }

    /// Records that another gateway has answered a relayed call under settings `version`. This one must
    /// not serve later calls under earlier ones, unless the platform turns out not to have them.
    pub fn record_relayed_version(&self, version: u64) {
        if version > self.believed_version() && version != self.relayed_version.get().version {
            self.relayed_version.set(RelayedVersion { version, named: self.clock.now() });
        }
    }

    /// Returns the latest version that another gateway has named in this way, 0 if there is none or if
    /// the platform has confirmed since that it has no such settings.
    fn believed_version(&self) -> u64 {
        let RelayedVersion { version, named } = self.relayed_version.get();
        let now = self.clock.now();
        let age = self.catalog.borrow().age(now);
        let is_refuted = age.is_some_and(|age| now - age > named + MAX_UPDATE_DELAY);
        if is_refuted { 0 } else { version }
    }

    /// Reads and serves calls for the times of a planned stop only. Waiting calls that cannot be
    /// answered by then are given up at once.
    pub fn serve_until_stop(&self, times: &StopTimes) {
        let now = self.clock.now();
        self.reading_end.set(now + times.reading);
        let end = now + times.serving;
        self.balancer.borrow_mut().drain(end);
        self.serving_end.send_replace(Some(end));
        self.dispatch_waiting();
    }

    /// Returns whether a call that has been read now may still be served.
    pub fn is_reading(&self) -> bool {
        self.clock.now() <= self.reading_end.get()
    }

    /// Returns whether calls may still be sent to targets.
    pub fn is_serving(&self) -> bool {
        self.serving_end.borrow().is_none_or(|end| self.clock.now() < end)
    }

    /// Waits until calls are no longer served.
    pub async fn serving_ended(&self) {
        let mut receiver = self.serving_end.subscribe();
        let end = receiver.wait_for(Option::is_some).await.ok().and_then(|end| *end);
        match end {
            Some(end) => sleep(end.since(self.clock.now())).await,
            None => pending().await,
        }
    }

    /// Allocates an id for a new call, unique within this process.
    pub fn next_call_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Applies changed local settings.
    ///
    /// The listening sockets, the identity and capacity in heartbeats, the failure domain of the
    /// balancer, the number and lifetime of directions, the time in which the control servers close
    /// and the log level stay as they were at the start.
    pub fn reload_settings(&self, settings: Settings) {
        self.membership.borrow_mut().set_seeds(settings.seed_hosts());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.update_budget_share();
        self.changed.notify_waiters();
    }

    /// Recomputes this gateway's share of the fleet's retry and probe budgets from the numbers of
    /// live gateways and of gateways that callers are directed to.
    pub fn update_budget_share(&self) {
        let share = {
            let membership = self.membership.borrow();
            let alive = membership.alive_count();
            match membership.is_directed() {
                true => BudgetShare {
                    slack: DIRECTED_SLACK_SHARE / membership.directed_count() as f64,
                    directed_gateways: membership.directed_count(),
                },
                false => BudgetShare {
                    slack: OTHER_SLACK_SHARE / alive as f64,
                    directed_gateways: membership.directed_count(),
                },
            }
        };
        let balancer_settings = balancer_settings(&self.settings(), &share);
        self.balancer.borrow_mut().update_settings(balancer_settings);
    }

    /// Follows the loads of the gateways: recomputes this one's share of the budgets, and whether it sheds
    /// callers.
    pub fn update_load_shares(&self) {
        self.update_budget_share();
        let sheds_callers = self.membership.borrow().sheds_callers();
        if self.sheds_callers.replace(sheds_callers) != sheds_callers {
            log::info!("control: sheds callers={sheds_callers}");
        }
    }

    /// Returns whether the next answer is the last one on its connection, so that its caller connects anew:
    /// during a planned stop, or in turn while this gateway sheds callers.
    pub fn ends_connection(&self) -> bool {
        if self.drain.is_cancelled() {
            return true;
        }
        if !self.sheds_callers.get() {
            return false;
        }
        self.answers.set(self.answers.get().wrapping_add(1));
        let is_shed = self.answers.get().is_multiple_of(ANSWERS_PER_SHED_CALLER);
        if is_shed {
            self.metrics.shed_callers.inc();
        }
        is_shed
    }

    /// Applies a changed catalog to the routes, the balancer and the membership, and logs what
    /// changed.
    pub fn apply_catalog(&self, source: Source) {
        let now = self.clock.now();
        let lines = self.catalog.borrow_mut().take_log_lines();
        for line in &lines {
            log::info!("control: {line} source={source:?}");
        }
        self.apply_routes();
        self.balancer.borrow_mut().set_targets(now, &self.catalog.borrow());
        let evacuated = self.catalog.borrow().evacuated_domains().len();
        self.metrics.evacuated_domains.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        self.assign_cold_targets();
        self.membership.borrow_mut().set_domain_slots(self.domain_slots());
        self.refresh_membership();
        self.dispatch_waiting();
        self.changed.notify_waiters();
    }

    /// Returns the total number of slots of the targets in this gateway's failure domain.
    fn domain_slots(&self) -> u32 {
        let settings = self.settings();
        let catalog = self.catalog.borrow();
        let local =
            catalog.targets().filter(|t| t.record.failure_domain == settings.failure_domain);
        local.map(|t| t.record.slots).fold(0, u32::saturating_add)
    }

    /// Returns whether the settings may come into force: calls must not be sent to evacuated targets after a
    /// start, and settings of a peer of an earlier build come without the evacuations.
    fn is_informed(&self) -> bool {
        let waited = self.clock.now().since(Timestamp::default());
        self.catalog.borrow().knows_evacuations() || waited >= MAX_EVACUATIONS_WAIT
    }

    /// Returns whether settings are known that are to come into force now, since evacuations could not be
    /// learned in time.
    pub fn may_use_settings(&self) -> bool {
        let is_waiting =
            self.routes.borrow().is_none() && self.catalog.borrow().published().is_some();
        is_waiting && self.is_informed()
    }

    fn apply_routes(&self) {
        if !self.is_informed() {
            return;
        }
        let published = self.catalog.borrow().published().cloned();
        let Some(published) = published else { return };
        let current = self.routes().map_or(0, |table| table.published().version);
        if published.version <= current {
            return;
        }
        let table = RouteTable::new(published.as_ref().clone());
        self.report_refused_routes(&table);
        let is_published = |name: &str| published.routes.iter().any(|r| *r.name == *name);
        self.split.borrow_mut().retain(is_published);
        self.metrics.settings_version.set(i64::try_from(published.version).unwrap_or(i64::MAX));
        *self.routes.borrow_mut() = Some(Rc::new(table));
    }

    fn report_refused_routes(&self, table: &RouteTable) {
        let refused = table.refused();
        self.metrics.unusable_routes.set(i64::try_from(refused.len()).unwrap_or(i64::MAX));
        if refused.is_empty() {
            return;
        }
        self.metrics.incomplete_settings.inc();
        let version = table.published().version;
        log::warn!("control: settings version={version} in force without {} routes", refused.len());
        for reason in refused {
            log::warn!("control: settings version={version}: {reason}");
        }
    }

    /// Updates this gateway's own entry in the membership: its phase, the revision and age of its
    /// catalog, and whether it reads the platform.
    pub fn refresh_membership(&self) {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let mut membership = self.membership.borrow_mut();
        let phase = if self.drain.is_cancelled() {
            Phase::Leaving
        } else if self.routes.borrow().is_some() {
            match self.balancer.borrow().is_cut_off() {
                true => Phase::Detached,
                false => Phase::Ready,
            }
        } else {
            Phase::Starting
        };
        let before = membership.phase();
        if before != phase {
            log::info!("control: phase={phase:?} before={before:?}");
        }
        let age = catalog.age(now);
        let reader = membership.is_reader(now, age);
        let gauge = |number| i64::try_from(number).unwrap_or(i64::MAX);
        let Revision { era, number } = catalog.revision();
        self.metrics.platform_era.set(gauge(era));
        self.metrics.platform_revision.set(gauge(number));
        let known = KnownData {
            revision: catalog.content_revision(),
            settings: catalog.settings_version(),
        };
        membership.update_status(phase, known, age, reader);
        let mut load = self.load.borrow_mut();
        load.update(now, self.next_id.get());
        let used = load.for_calls() * self.settings().size.cores * CORE;
        membership.set_load(used as u32);
        self.metrics.busy_share.set(load.busy());
    }

    /// Records that a timer which was due at `due` came now.
    pub fn record_timer(&self, due: Timestamp) {
        let now = self.clock.now();
        let late = now.since(due);
        self.metrics.lateness.observe(late.as_secs_f64());
        self.balancer.borrow_mut().record_lateness(now, late);
        if self.lateness.borrow_mut().record(now, late) {
            let waiting = self.balancer.borrow().waiting_calls();
            let (ms, connections) = (late.as_millis(), self.tasks.len());
            log::warn!(
                "control: event loop late ms={ms} waiting={waiting} connections={connections}"
            );
        }
    }

    /// Returns for about how long a call that is read now has waited to be read.
    pub fn reading_delay(&self) -> Duration {
        self.lateness.borrow().lateness(self.clock.now())
    }

    /// Returns all metrics in text format, with the retry budgets and the generations as of now.
    pub fn metrics_text(&self) -> String {
        let budgets = self.balancer.borrow_mut().extra_attempts_left(self.clock.now());
        for (service, left) in &budgets {
            self.metrics.set_retry_budget(service, *left);
        }
        self.metrics.set_generations(&self.membership.borrow().alive_by_generation());
        for (service, count) in self.balancer.borrow().resting_targets(self.clock.now()) {
            self.metrics.set_resting_targets(service, count);
        }
        for (service, count) in self.balancer.borrow().departed_targets() {
            self.metrics.set_departed_targets(service, count);
        }
        for (service, count) in self.balancer.borrow().cold_targets(self.clock.now()) {
            self.metrics.set_cold_targets(service, count);
        }
        for (service, count) in self.balancer.borrow().cold_misses() {
            self.metrics.set_cold_misses(service, count);
        }
        self.metrics.encode()
    }

    /// Returns a channel that receives the next decision on the call `id`.
    pub fn await_decision(&self, id: u64) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        if let Some(decision) = self.early_decisions.borrow_mut().swap_remove(&id) {
            drop(sender.send(decision));
            return receiver;
        }
        self.waiters.borrow_mut().insert(id, sender);
        self.call_queued.notify_one();
        receiver
    }

    /// Removes a call whose task has ended.
    pub fn forget_call(&self, id: u64) {
        self.waiters.borrow_mut().swap_remove(&id);
        self.early_decisions.borrow_mut().swap_remove(&id);
        {
            let mut balancer = self.balancer.borrow_mut();
            balancer.abandon_attempts(self.clock.now(), id);
            balancer.forget(id);
        }
        self.dispatch_waiting();
    }

    /// Passes the balancer's decisions on waiting calls to the tasks of these calls.
    pub fn dispatch_waiting(&self) {
        let decisions = self.balancer.borrow_mut().dispatch_waiting(self.clock.now());
        for (id, decision) in decisions {
            let waiter = self.waiters.borrow_mut().swap_remove(&id);
            match waiter {
                // If the task has ended meanwhile, it removes the call itself.
                Some(waiter) => drop(waiter.send(decision)),
                None => {
                    self.early_decisions.borrow_mut().insert(id, decision);
                }
            }
        }
        self.forward_probes();
        self.report_target_changes();
    }

    /// Logs what the balancer has learned about targets, and wakes the task that announces it.
    pub fn report_target_changes(&self) {
        for line in self.balancer.borrow_mut().take_log_lines() {
            log::info!("control: {line}");
        }
        let balancer = self.balancer.borrow();
        if balancer.has_limit_changes() || balancer.has_call_changes() {
            self.changed.notify_waiters();
        }
    }

    /// Returns when the reach is to be checked next, [`Timestamp::MAX`] if there is no need.
    pub fn reach_check_due(&self) -> Timestamp {
        let peers_cut_off = self.membership.borrow().needs_reach_check();
        self.balancer.borrow().reach_check_due(self.clock.now(), peers_cut_off)
    }

    /// Records the result of a check of the reach.
    pub fn reach_checked(&self, asked: usize, answered: usize) {
        let changed = self.balancer.borrow_mut().reach_checked(self.clock.now(), asked, answered);
        self.report_target_changes();
        if changed {
            self.refresh_membership();
            self.refresh_relays();
            self.changed.notify_waiters();
            self.dispatch_waiting();
        }
    }

    /// Records that a check of the reach proved nothing, since this gateway was late itself.
    pub fn reach_check_void(&self) {
        self.balancer.borrow_mut().reach_check_void();
        self.report_target_changes();
    }

    /// Wakes the calls that wait for a gateway to which they can be relayed, if there is one now.
    pub fn refresh_relays(&self) {
        let may_relay = !self.relay_peers().is_empty();
        self.may_relay.send_if_modified(|known| std::mem::replace(known, may_relay) != may_relay);
    }

    /// Waits until this gateway is cut off from all targets and calls can be relayed to another one.
    pub async fn until_relay_possible(&self) {
        // The sender lives as long as the gateway.
        let _ = self.may_relay.subscribe().wait_for(|may_relay| *may_relay).await;
    }

    /// Returns the gateways to which a call can be relayed, none unless this one is cut off from all
    /// targets.
    pub fn relay_peers(&self) -> Vec<SocketAddr> {
        match self.balancer.borrow().is_cut_off() {
            true => self.membership.borrow().relay_peers(),
            false => Vec::new(),
        }
    }

    /// Returns the addresses for calls of the gateways to which a call is relayed that the one at `refused_by`
    /// has refused.
    pub fn further_relay_peers(&self, refused_by: SocketAddr) -> Vec<SocketAddr> {
        let mut peers = match self.balancer.borrow().is_cut_off() {
            true => self.membership.borrow().further_relay_peers(),
            false => Vec::new(),
        };
        peers.retain(|peer| *peer != refused_by);
        peers
    }

    /// Assigns the rates of cold targets by the present membership.
    pub fn assign_cold_targets(&self) {
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        if now >= self.cold_due.get() && balancer.has_cold_rates() {
            self.cold_due.set(now + COLD_INTERVAL);
            balancer.assign_cold_targets(now, self.membership.borrow().cold_assignment());
        }
    }

    /// Assigns the limits of targets by the present membership, and passes changes on to it.
    pub fn exchange_limits(&self) {
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        if !balancer.has_limits() {
            return;
        }
        let mut membership = self.membership.borrow_mut();
        let assignment = membership.limit_assignment();
        balancer.assign_limits(now, |domain, target| assignment.share(domain, target));
        membership.announce_limits(balancer.take_limit_changes(), None);
        membership.set_limits(balancer.limits());
    }

    /// Adopts the limits that the gateway at `from` knows, and returns what it does not know yet.
    pub fn merge_limits(&self, from: IpAddr, notices: &[LimitNotice]) -> Vec<LimitNotice> {
        let now = self.clock.now();
        let (adopted, outdated) = self.balancer.borrow_mut().merge_limits(now, notices);
        self.membership.borrow_mut().announce_limits(adopted, Some(from));
        self.report_target_changes();
        outdated
    }

    /// Returns the checks of targets at which attempts broke off that have to be made now.
    pub fn take_crash_checks(&self) -> Vec<CrashCheck> {
        let checks = self.balancer.borrow_mut().take_crash_checks(self.clock.now());
        self.report_target_changes();
        checks
    }

    /// Records the result of a check whether the process of a target has ended.
    pub fn crash_checked(&self, check: &CrashCheck, evidence: CrashEvidence) {
        let now = self.clock.now();
        if self.balancer.borrow_mut().crash_checked(now, check.process, evidence) {
            self.metrics.target_crashes.inc();
        }
        self.report_target_changes();
        self.dispatch_waiting();
    }

    /// Records how the body of an answer that was passed on as it arrived has ended.
    pub fn record_stream_end(&self, end: &StreamEnd) {
        self.balancer.borrow_mut().stream_ended(self.clock.now(), end);
        if !end.is_complete {
            self.attempt_broken.notify_one();
        }
        self.report_target_changes();
        self.dispatch_waiting();
    }

    /// Reviews the calls that are suspected of crashing targets, and passes changes on to the
    /// membership.
    pub fn exchange_calls(&self) {
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.review_crashes(now);
        let mut membership = self.membership.borrow_mut();
        balancer.allow_trials(membership.all_know_trials());
        membership.announce_calls(balancer.take_call_changes(now), None);
        if let Some(notices) = balancer.take_call_notices(now) {
            let count = i64::try_from(balancer.quarantined_count()).unwrap_or(i64::MAX);
            self.metrics.quarantined_digests.set(count);
            membership.set_calls(notices);
        }
    }

    /// Adopts what the gateway at `from` knows of calls that crash targets, and returns messages with
    /// what it does not know yet.
    pub fn merge_calls(&self, from: IpAddr, notices: &[CallNotice]) -> Vec<Outgoing> {
        let now = self.clock.now();
        let (adopted, unknown) = self.balancer.borrow_mut().merge_calls(now, notices);
        self.membership.borrow_mut().announce_calls(adopted, Some(from));
        self.report_target_changes();
        Membership::call_replies(from, unknown)
    }

    /// Records what an answer of `process`, listed as target `name`, says of itself. Its request was sent at
    /// `sent_at`.
    pub fn record_notice(
        &self,
        service: &Arc<str>,
        name: &str,
        process: ProcessId,
        notice: &TargetNotice,
        sent_at: Timestamp,
    ) {
        let at = self.clock.answer_time(sent_at);
        if notice.leaving && self.balancer.borrow_mut().record_departure(at, service, name, process)
        {
            self.metrics.record_departure(service);
        }
        match notice.rest {
            RetryAfter::Absent => {}
            RetryAfter::Unreadable => self.metrics.record_rest(service, "unreadable"),
            RetryAfter::After(time) => {
                let mut balancer = self.balancer.borrow_mut();
                if balancer.record_rest(at, service, name, process, time) {
                    self.metrics.record_rest(service, "asked");
                }
            }
        }
    }

    /// Records that another gateway has passed on an answer of `process`, listed as target `name`, which
    /// says that it leaves.
    pub fn record_relayed_departure(&self, name: &str, process: ProcessId) {
        let at = self.clock.answer_time(self.clock.now());
        let service = self.balancer.borrow_mut().record_relayed_departure(at, name, process);
        if let Some(service) = service {
            self.metrics.record_departure(&service);
        }
    }

    /// Passes the probes that the balancer requested to the probe task.
    pub fn forward_probes(&self) {
        for probe in self.balancer.borrow_mut().take_probes() {
            // Sending only fails once the probe task has ended, which is after the last call.
            let _ = self.probes.send(probe);
        }
    }
}

/// This gateway's share of the budgets of the fleet.
#[derive(Clone, Copy, Debug)]
struct BudgetShare {
    /// Fraction of the fleet's retry slack.
    slack: f64,
    /// Number of gateways that the probe rate is divided among.
    directed_gateways: usize,
}

fn balancer_settings(settings: &Settings, share: &BudgetShare) -> BalancerSettings {
    let retries = &settings.retries;
    BalancerSettings {
        retry_ratio: retries.ratio * RETRY_RATIO_SHARE,
        retry_slack: retries.slack * share.slack,
        retry_window: Duration::from_millis(retries.window_ms),
        crossing_cost: settings.crossing_cost_per_kb,
        probe_rate: settings.probes_per_s * DIRECTED_PROBE_SHARE / share.directed_gateways as f64,
        max_rest: Duration::from_millis(settings.max_rest_ms),
        cold_bound: ColdBound { over: settings.cold_over, slack: settings.cold_slack },
    }
}

fn membership_builder(settings: &Settings) -> MembershipBuilder {
    let own = Heartbeat {
        host: Arc::clone(&settings.host),
        domain: Arc::clone(&settings.failure_domain),
        incarnation: unix_ms(),
        sequence: 0,
        call_address: settings.listen.calls,
        capacity: settings.size.capacity(),
        phase: Phase::Starting,
        settled: false,
        revision: 0,
        age_ms: None,
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        build: Build { generation: MESSAGE_GENERATION, version: Arc::from(VERSION) },
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    };
    MembershipBuilder::new(own)
        .seeds(settings.seed_hosts())
        .gateways_per_domain(settings.directions.gateways)
        .lifetime(Duration::from_millis(settings.directions.lifetime_ms))
}
