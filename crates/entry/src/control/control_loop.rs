//! The loop around the fleet state machine.

use super::{
    handle::ControlCounters,
    load::LoadMeter,
    peers::{Inbox, PeerSockets},
    platform::PlatformClient,
    view_builder::{ViewBuilder, with_slots},
};
use crate::context::Context;
use azuretally_api::platform::{HOSTS_PATH, SETTINGS_PATH};
use azuretally_policy::{
    Timestamp,
    fleet::{Action, Fleet, Lifecycle, Pacer, PeerStateChange, Topic, token_interval},
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};
use tokio::time::{MissedTickBehavior, interval, sleep};

const TICK: Duration = Duration::from_millis(50);
/// A gap between two turns of the loop that counts as a pause of the process.
const PAUSE_GAP: Duration = Duration::from_millis(500);
/// Least time between two views.
const PUBLISH_PAUSE: Duration = Duration::from_millis(10);
/// How long a watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time after which an entry that need not watch looks again whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
const START_JITTER: Duration = Duration::from_millis(50);

/// Everything that control works with. Borrows never last over a wait.
#[derive(Debug)]
pub(super) struct ControlLoop {
    context: Arc<Context>,
    fleet: RefCell<Fleet>,
    peers: RefCell<PeerSockets>,
    pacer: RefCell<Pacer>,
    random: RefCell<Pcg64Mcg>,
    assembler: RefCell<ViewBuilder>,
    meter: RefCell<LoadMeter>,
    dirty: Cell<bool>,
    published: Cell<Timestamp>,
    turned: Cell<Timestamp>,
    minted: Cell<Option<Timestamp>>,
    state: Cell<Lifecycle>,
}

impl ControlLoop {
    pub(super) fn new(
        context: &Arc<Context>,
        fleet: Fleet,
        peers: PeerSockets,
        random: Pcg64Mcg,
    ) -> Self {
        let now = context.clock.now();
        Self {
            context: Arc::clone(context),
            fleet: RefCell::new(fleet),
            peers: RefCell::new(peers),
            pacer: RefCell::new(Pacer::new(now, 1)),
            random: RefCell::new(random),
            assembler: RefCell::default(),
            meter: RefCell::new(LoadMeter::new(context)),
            dirty: Cell::new(true),
            published: Cell::new(Timestamp::default()),
            turned: Cell::new(now),
            minted: Cell::new(None),
            state: Cell::new(Lifecycle::Starting),
        }
    }

    /// Runs until the end of the process.
    pub(super) async fn run(&self, inbox: Inbox) {
        tokio::select! {
            () = self.context.shutdown.cancelled() => {}
            () = self.turn(inbox) => {}
            () = self.follow(Topic::Settings, SETTINGS_PATH) => {}
            () = self.follow(Topic::Hosts, HOSTS_PATH) => {}
        }
    }

    pub(super) fn close(self) {
        self.peers.into_inner().close();
    }

    async fn turn(&self, mut inbox: Inbox) {
        let Some(mut sightings) = self.context.control.take_leaving_reports() else { return };
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaving = false;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.act(Self::tick),
                Some(bytes) = inbox.recv() => self.act(|shell, now| shell.receive(now, &bytes)),
                Some(sighting) = sightings.recv() => {
                    log::info!("control: target {} is leaving", sighting.target);
                    self.act(|shell, _| shell.fleet.borrow_mut().report_leaving(sighting));
                }
                () = self.context.stop.cancelled(), if !leaving => {
                    leaving = true;
                    self.act(|shell, _| shell.fleet.borrow_mut().leave());
                }
            }
        }
    }

    /// Does `step` after a look at the clock, then what the state machine asks for.
    fn act<Step>(&self, step: Step)
    where
        Step: FnOnce(&Self, Timestamp),
    {
        let now = self.context.clock.now();
        let gap = now.since(self.turned.replace(now));
        if gap > PAUSE_GAP {
            log::warn!("control: the process was paused for {gap:?}");
            self.fleet.borrow_mut().handle_pause(now);
            self.context.control.notify_pause();
        }
        step(self, now);
        self.obey();
        self.publish(now);
    }

    fn tick(&self, now: Timestamp) {
        let mut fleet = self.fleet.borrow_mut();
        for (service, free) in self.context.control.free_slot_counts() {
            fleet.set_free_slots(&service, free);
        }
        let pause = token_interval(fleet.members().iter().count());
        if self.minted.get().is_none_or(|at| now.since(at) >= pause) {
            self.minted.set(Some(now));
            fleet.set_token(self.context.mint_token());
        }
        self.meter.borrow_mut().report(&self.context, &mut fleet, now);
        fleet.tick(now);
    }

    fn receive(&self, now: Timestamp, bytes: &[u8]) {
        let counters = &self.context.control.counters;
        ControlCounters::add(&counters.taken_messages, 1);
        ControlCounters::add(&counters.taken_bytes, bytes.len());
        if let Err(e) = self.fleet.borrow_mut().receive(now, bytes) {
            ControlCounters::add(&counters.dropped_messages, 1);
            log::debug!("control: message dropped: {e}");
        }
    }

    fn obey(&self) {
        let actions = self.fleet.borrow_mut().take_actions();
        let mut peers = self.peers.borrow_mut();
        let counters = &self.context.control.counters;
        for action in actions {
            match action {
                Action::Send { address, bytes } => peers.send(address, &bytes, counters),
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
            self.dirty.set(true);
        }
        let paused = now.since(self.published.get()) < PUBLISH_PAUSE;
        if paused && self.state.get() == fleet.state() {
            return;
        }
        if self.dirty.replace(false) {
            self.published.set(now);
            fleet.take_slot_updates();
            self.log(&fleet.take_state_changes());
            let view = self.assembler.borrow_mut().view(&self.context, &fleet, now);
            if self.state.replace(view.state) != view.state {
                log::info!("control: {} revision={}", view.state.as_str(), view.revision);
            }
            if let Some(published) = &view.settings {
                self.pacer.borrow_mut().set_entries(published.entries);
            }
            self.context.publish(view);
            return;
        }
        let told = fleet.take_slot_updates();
        if !told.is_empty() {
            self.published.set(now);
            self.context.publish(with_slots(&self.context.view(), &fleet, &told, now));
        }
    }

    fn log(&self, changes: &[PeerStateChange]) {
        for change in changes {
            log::info!("control: peer {} is {}", change.host, change.to.as_str());
        }
    }

    /// Watches one value of the platform while this entry is to do so.
    async fn follow(&self, topic: Topic, path: &str) {
        let mut platform = PlatformClient::new(self.context.local.platform.clone());
        sleep(self.jitter(START_JITTER)).await;
        loop {
            let now = self.context.clock.now();
            if !self.fleet.borrow().is_watcher(now) {
                sleep(IDLE_PAUSE + self.jitter(IDLE_PAUSE)).await;
                continue;
            }
            let permit = self.pacer.borrow_mut().take(now);
            if let Err(wait) = permit {
                sleep(wait).await;
                continue;
            }
            self.watch(topic, path, &mut platform).await;
        }
    }

    async fn watch(&self, topic: Topic, path: &str, platform: &mut PlatformClient) {
        let after = self.fleet.borrow().revisions(topic).seen;
        let wait = match self.fleet.borrow().state() {
            Lifecycle::Serving => WATCH_WAIT,
            _ => Duration::ZERO,
        };
        let counters = &self.context.control.counters;
        ControlCounters::add(&counters.platform_calls, 1);
        let result = platform.watch(path, after, wait).await;
        let answered = match &result {
            Ok(None) => true,
            Ok(Some(answer)) => answer.revision > after,
            Err(_) => false,
        };
        self.act(|shell, now| {
            let mut fleet = shell.fleet.borrow_mut();
            match result {
                Ok(Some(answer)) => {
                    let verdict =
                        fleet.apply_platform_document(now, topic, answer.revision, &answer.text);
                    log::info!("control: {path} revision={} {verdict:?}", answer.revision);
                }
                Ok(None) => fleet.record_platform_contact(now),
                Err(e) => log::debug!("control: {path}: {e}"),
            }
            if answered {
                shell.pacer.borrow_mut().succeeded();
            } else {
                ControlCounters::add(&counters.platform_failures, 1);
                shell.pacer.borrow_mut().failed(now, &mut shell.random.borrow_mut());
            }
        });
    }

    fn jitter(&self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.borrow_mut().random_range(0.0..1.0))
    }
}
