//! Event loop that drives the fleet state machine.

use super::{
    handle::{ControlCounters, TargetReport},
    load::LoadMeter,
    peers::{Inbox, PeerConnections},
    platform::PlatformClient,
    view_builder::{ViewBuilder, with_free_slots},
};
use crate::context::Context;
use azuretally_api::platform::{HOSTS_PATH, SETTINGS_PATH};
use azuretally_policy::{
    Timestamp,
    fleet::{
        Action, Fleet, Lifecycle, Pacer, PeerStateChange, PublishedRevision, Topic, token_interval,
    },
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two events, ticks included, above which the process is considered to have been
/// paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Minimum time between two views, unless the lifecycle state of this entry changed.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// How long the platform holds a watch request while there is no change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Interval, before jitter, at which an entry that is not a watcher checks whether it has become
/// one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum random delay of the first request to the platform.
const MAX_START_JITTER: Duration = Duration::from_millis(50);

/// State of the control loop. No `RefCell` is borrowed across an `.await`.
#[derive(Debug)]
pub(super) struct ControlLoop {
    context: Arc<Context>,
    fleet: RefCell<Fleet>,
    peers: RefCell<PeerConnections>,
    pacer: RefCell<Pacer>,
    rng: RefCell<Pcg64Mcg>,
    view_builder: RefCell<ViewBuilder>,
    load_meter: RefCell<LoadMeter>,
    /// Whether the published view is out of date.
    is_dirty: Cell<bool>,
    published_at: Cell<Timestamp>,
    last_event: Cell<Timestamp>,
    token_issued: Cell<Option<Timestamp>>,
    /// Lifecycle state in the published view.
    state: Cell<Lifecycle>,
}

impl ControlLoop {
    pub(super) fn new(
        context: &Arc<Context>,
        fleet: Fleet,
        peers: PeerConnections,
        rng: Pcg64Mcg,
    ) -> Self {
        let now = context.clock.now();
        Self {
            context: Arc::clone(context),
            fleet: RefCell::new(fleet),
            peers: RefCell::new(peers),
            pacer: RefCell::new(Pacer::new(now, 1)),
            rng: RefCell::new(rng),
            view_builder: RefCell::default(),
            load_meter: RefCell::new(LoadMeter::new(context)),
            is_dirty: Cell::new(true),
            published_at: Cell::new(Timestamp::default()),
            last_event: Cell::new(now),
            token_issued: Cell::new(None),
            state: Cell::new(Lifecycle::Starting),
        }
    }

    /// Runs until the process shuts down.
    pub(super) async fn run(&self, inbox: Inbox) {
        tokio::select! {
            () = self.context.shutdown.cancelled() => {}
            () = self.process_events(inbox) => {}
            () = self.watch_platform(Topic::Settings, SETTINGS_PATH) => {}
            () = self.watch_platform(Topic::Hosts, HOSTS_PATH) => {}
        }
    }

    async fn process_events(&self, mut inbox: Inbox) {
        let Some(mut reports) = self.context.control.take_reports() else { return };
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_leaving = false;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(Self::tick),
                Some(bytes) = inbox.recv() => self.handle(|this, now| this.receive(now, &bytes)),
                Some(report) = reports.recv() => self.handle(|this, _| this.apply_report(report)),
                () = self.context.stop.cancelled(), if !is_leaving => {
                    is_leaving = true;
                    self.handle(|this, _| this.fleet.borrow_mut().leave());
                }
            }
        }
    }

    /// Passes a report of the request path to the state machine.
    fn apply_report(&self, report: TargetReport) {
        let mut fleet = self.fleet.borrow_mut();
        match report {
            TargetReport::Leaving(report) => {
                log::info!("control: target {} is leaving", report.target);
                fleet.report_leaving(report);
            }
            TargetReport::Serving { target, incarnation } => {
                fleet.report_serving(&target, incarnation.as_deref());
            }
        }
    }

    /// Handles one event: reads the clock and detects a pause of the process, runs `handler`, then
    /// performs the actions of the state machine and publishes changes of the view.
    fn handle<Handler>(&self, handler: Handler)
    where
        Handler: FnOnce(&Self, Timestamp),
    {
        let now = self.context.clock.now();
        let gap = now.since(self.last_event.replace(now));
        if gap > PAUSE_THRESHOLD {
            log::warn!("control: the process was paused for {gap:?}");
            self.fleet.borrow_mut().handle_pause(now);
            self.context.control.notify_pause();
        }
        handler(self, now);
        self.perform_actions();
        self.publish(now);
    }

    fn tick(&self, now: Timestamp) {
        let mut fleet = self.fleet.borrow_mut();
        for (service, free) in self.context.control.free_slot_counts() {
            fleet.set_free_slots(&service, free);
        }
        let interval = token_interval(fleet.members().iter().count());
        if self.token_issued.get().is_none_or(|at| now.since(at) >= interval) {
            self.token_issued.set(Some(now));
            fleet.set_token(self.context.mint_token());
        }
        self.load_meter.borrow_mut().report(&self.context, &mut fleet, now);
        fleet.tick(now);
    }

    fn receive(&self, now: Timestamp, bytes: &[u8]) {
        let counters = &self.context.control.counters;
        ControlCounters::add(&counters.taken_messages, 1);
        ControlCounters::add(&counters.taken_bytes, bytes.len());
        if let Err(e) = self.fleet.borrow_mut().receive(now, bytes) {
            ControlCounters::add(&counters.dropped_messages, 1);
            log::debug!("control: received message dropped: {e}");
        }
    }

    fn perform_actions(&self) {
        let actions = self.fleet.borrow_mut().take_actions();
        let mut peers = self.peers.borrow_mut();
        let counters = &self.context.control.counters;
        for action in actions {
            match action {
                Action::Send { address, bytes } => peers.send(address, bytes, counters),
                Action::Redial(address) => {
                    ControlCounters::add(&counters.redials, 1);
                    peers.disconnect(address);
                }
            }
        }
    }

    fn publish(&self, now: Timestamp) {
        let mut fleet = self.fleet.borrow_mut();
        if fleet.take_view_changed() {
            self.is_dirty.set(true);
        }
        let is_too_early = now.since(self.published_at.get()) < MIN_PUBLISH_INTERVAL;
        if is_too_early && self.state.get() == fleet.state() {
            return;
        }
        if self.is_dirty.replace(false) {
            self.published_at.set(now);
            fleet.take_slot_updates();
            self.log_peer_changes(&fleet.take_state_changes());
            let view = self.view_builder.borrow_mut().build(&self.context, &fleet, now);
            if self.state.replace(view.state) != view.state {
                log::info!("control: {} revision={}", view.state.as_str(), view.revision);
            }
            if let Some(settings) = &view.settings {
                self.pacer.borrow_mut().set_entries(settings.entries);
            }
            self.context.publish(view);
            return;
        }
        let updated_services = fleet.take_slot_updates();
        if !updated_services.is_empty() {
            self.published_at.set(now);
            self.context.publish(with_free_slots(
                &self.context.view(),
                &fleet,
                &updated_services,
                now,
            ));
        }
    }

    fn log_peer_changes(&self, changes: &[PeerStateChange]) {
        for change in changes {
            log::info!("control: peer {} is {}", change.host, change.to.as_str());
        }
    }

    /// Watches one document of the platform while this entry is a watcher.
    async fn watch_platform(&self, topic: Topic, path: &str) {
        let mut client = PlatformClient::new(self.context.local.platform.clone());
        sleep(self.jitter(MAX_START_JITTER)).await;
        loop {
            let now = self.context.clock.now();
            if !self.fleet.borrow().is_watcher(now) {
                sleep(WATCHER_CHECK_INTERVAL + self.jitter(WATCHER_CHECK_INTERVAL)).await;
                continue;
            }
            let permit = self.pacer.borrow_mut().take(now);
            if let Err(wait) = permit {
                sleep(wait).await;
                continue;
            }
            self.watch_once(topic, path, &mut client).await;
        }
    }

    /// Sends one watch request. A serving entry waits for a change; in any other state, the
    /// platform responds at once.
    async fn watch_once(&self, topic: Topic, path: &str, client: &mut PlatformClient) {
        let after = PublishedRevision::from_code(self.fleet.borrow().revisions(topic).seen);
        let wait = match self.fleet.borrow().state() {
            Lifecycle::Serving => WATCH_WAIT,
            _ => Duration::ZERO,
        };
        let counters = &self.context.control.counters;
        ControlCounters::add(&counters.platform_calls, 1);
        let result = client.watch(path, after, wait).await;
        let succeeded = match &result {
            Ok(None) => true,
            Ok(Some(document)) => document.revision > after,
            Err(_) => false,
        };
        self.handle(|this, now| {
            let mut fleet = this.fleet.borrow_mut();
            match result {
                Ok(Some(document)) => {
                    let verdict = fleet.apply_platform_document(
                        now,
                        topic,
                        document.revision.code(),
                        &document.text,
                    );
                    log::info!("control: {path} revision={} {verdict:?}", document.revision);
                    let hosts = fleet.hosts().accepted().map_or(0, |list| list.value.unreadable);
                    if topic == Topic::Hosts && hosts > 0 {
                        log::warn!("control: {path} without {hosts} hosts that cannot be read");
                    }
                }
                Ok(None) => fleet.record_platform_contact(now),
                Err(e) => log::debug!("control: {path}: {e}"),
            }
            if succeeded {
                this.pacer.borrow_mut().succeeded();
            } else {
                ControlCounters::add(&counters.platform_failures, 1);
                this.pacer.borrow_mut().failed(now, &mut this.rng.borrow_mut());
            }
        });
    }

    fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(self.rng.borrow_mut().random_range(0.0..1.0))
    }
}
