//! Runs the dispatcher of one service and delivers its actions to the calls.

use super::{
    limits::FREE_SLOTS_INTERVAL,
    mailbox::{Mailbox, Step},
    target_addresses::TargetAddresses,
};
use crate::{clock::Clock, view::ServiceView};
use arc_swap::ArcSwap;
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, Call, CallId, Dispatcher, Event, PeerSlots, ServiceConfig, TargetInfo, TargetNotice,
    },
};
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use std::{
    mem,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};
use tokio::sync::{Notify, mpsc};

/// A probe requested by a dispatcher.
#[derive(Debug)]
pub(super) struct ProbeRequest {
    /// Service of the target.
    pub(super) service: Arc<Service>,
    /// Name of the target.
    pub(super) target: Arc<str>,
}

/// A call that has not ended.
#[derive(Debug)]
struct PendingCall {
    mailbox: Arc<Mailbox>,
    submitted_at: Timestamp,
    /// Whether the call was sent to a target or peer at least once.
    started: bool,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    config: Arc<ServiceConfig>,
    targets: Vec<TargetInfo>,
    peers: Vec<PeerSlots>,
    calls: IndexMap<CallId, PendingCall>,
    /// Empty buffer, kept for its capacity.
    actions: Vec<Action>,
    /// Time at which [`Event::Tick`] is due.
    wakeup: Option<Timestamp>,
    /// Time of the last update of the free slots.
    slots_updated: Timestamp,
    /// Targets that rested at the last sample.
    resting: IndexSet<Arc<str>>,
}

/// Gauges of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceSample {
    /// When the oldest of the calls that have not been sent to a target or peer yet was submitted.
    pub(super) oldest: Option<Timestamp>,
    /// Number of targets that rest.
    pub(super) resting: usize,
    /// Number of rests that targets have asked for since the last sample.
    pub(super) rests: u64,
}

/// One service of this entry.
#[derive(Debug)]
pub(super) struct Service {
    /// Addresses of the targets.
    pub(super) targets: ArcSwap<TargetAddresses>,
    clock: Clock,
    /// Number of free slots, read by the control thread.
    free_slots: Arc<AtomicU32>,
    state: Mutex<State>,
    /// Whether any target rests or drains, so that its incarnation matters.
    has_marks: AtomicBool,
    /// Notified when the next wakeup is earlier than before.
    wakeup_changed: Notify,
    probes: mpsc::UnboundedSender<ProbeRequest>,
}

/// Configuration under which a call was accepted.
#[derive(Clone, Debug)]
pub(super) struct CallConfig {
    /// Configuration of the service.
    pub(super) service: Arc<ServiceConfig>,
    /// Index of the operation in the configuration.
    pub(super) operation: usize,
}

impl Service {
    /// Creates a service with its initial configuration.
    pub(super) fn new(
        config: Arc<ServiceConfig>,
        clock: Clock,
        free_slots: Arc<AtomicU32>,
        probes: mpsc::UnboundedSender<ProbeRequest>,
    ) -> Self {
        let dispatcher = Dispatcher::new(Arc::clone(&config), rand::random());
        Self {
            targets: ArcSwap::default(),
            clock,
            free_slots,
            state: Mutex::new(State {
                dispatcher,
                config,
                targets: Vec::new(),
                peers: Vec::new(),
                calls: IndexMap::new(),
                actions: Vec::new(),
                wakeup: None,
                slots_updated: Timestamp::default(),
                resting: IndexSet::new(),
            }),
            has_marks: AtomicBool::new(false),
            wakeup_changed: Notify::new(),
            probes,
        }
    }

    /// Returns the current configuration for a call of `operation`, or `None` if the operation does
    /// not exist.
    pub(super) fn call_config(&self, operation: &str) -> Option<CallConfig> {
        let service = Arc::clone(&self.state.lock().config);
        let operation = service.operations.iter().position(|o| *o.name == *operation)?;
        Some(CallConfig { service, operation })
    }

    /// Submits a call to the dispatcher. Its steps are posted to `mailbox` until
    /// [`Service::remove_call`].
    pub(super) fn submit(self: &Arc<Self>, call: Call, mailbox: Arc<Mailbox>) {
        let mut state = self.state.lock();
        let pending_call = PendingCall { mailbox, submitted_at: self.clock.now(), started: false };
        state.calls.insert(call.id, pending_call);
        self.process(state, Event::Arrived(call));
    }

    /// Removes a call that has ended.
    pub(super) fn remove_call(&self, call: CallId) {
        self.state.lock().calls.swap_remove(&call);
    }

    /// Passes any event other than an arrival to the dispatcher.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.process(self.state.lock(), event);
    }

    /// Applies what has changed since the last view.
    pub(super) fn apply(self: &Arc<Self>, view: &ServiceView) {
        self.targets.store(Arc::new(TargetAddresses::new(view)));
        let targets: Vec<_> = view.targets.values().map(|t| t.info.clone()).collect();
        let mut events = Vec::new();
        {
            let mut state = self.state.lock();
            if !Arc::ptr_eq(&state.config, &view.config) {
                state.config = Arc::clone(&view.config);
                events.push(Event::ConfigChanged(Arc::clone(&view.config)));
            }
            if state.peers != view.entry_set {
                state.peers.clone_from(&view.entry_set);
                events.push(Event::PeersChanged(view.entry_set.clone()));
            }
            if state.targets != targets {
                state.targets.clone_from(&targets);
                events.push(Event::TargetsChanged(targets));
            }
        }
        for event in events {
            self.handle(event);
        }
    }

    /// Passes what the head of a response of a target says about the target to the dispatcher, before
    /// the body has arrived. An incarnation alone only matters while a target rests or drains.
    pub(super) fn notice(self: &Arc<Self>, target: &Arc<str>, notice: TargetNotice) {
        if notice.rest.is_some() || notice.draining {
            self.has_marks.store(true, Ordering::Relaxed);
        } else if !self.has_marks.load(Ordering::Relaxed) {
            return;
        }
        self.handle(Event::Noticed { target: Arc::clone(target), notice });
    }

    /// Updates the free slots for the control thread, logs rests that began or ended, and returns the
    /// gauges.
    pub(super) fn sample(&self) -> ServiceSample {
        let mut state = self.state.lock();
        let now = self.clock.now();
        self.update_free_slots(&mut state, now);
        let state = &mut *state;
        let mut resting = IndexSet::new();
        for (target, until) in state.dispatcher.resting_targets(now) {
            if !state.resting.contains(target) {
                let ms = until.since(now).as_millis();
                log::info!("calls: target {target} asks for rest, {ms} ms left");
            }
            resting.insert(Arc::clone(target));
        }
        for target in state.resting.difference(&resting) {
            log::info!("calls: the rest of target {target} has ended");
        }
        self.has_marks.store(state.dispatcher.has_marks(), Ordering::Relaxed);
        state.resting = resting;
        let oldest = state.calls.values().filter(|c| !c.started).map(|c| c.submitted_at).min();
        let rests = state.dispatcher.take_rests();
        ServiceSample { oldest, resting: state.resting.len(), rests }
    }

    /// Passes [`Event::Tick`] to the dispatcher whenever it is due. Never returns.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let wakeup = self.state.lock().wakeup;
            let Some(wakeup) = wakeup else {
                self.wakeup_changed.notified().await;
                continue;
            };
            let wait = wakeup - self.clock.now();
            tokio::select! {
                () = tokio::time::sleep(wait) => self.handle(Event::Tick),
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    /// Passes an event to the dispatcher and carries out the actions that it returns.
    fn process(self: &Arc<Self>, mut state: parking_lot::MutexGuard<'_, State>, event: Event) {
        let mut actions = mem::take(&mut state.actions);
        let now = self.clock.now();
        state.dispatcher.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(&mut state, action);
        }
        state.actions = actions;
        if now - state.slots_updated >= FREE_SLOTS_INTERVAL {
            self.update_free_slots(&mut state, now);
        }
        let wakeup = state.dispatcher.next_wakeup();
        let is_earlier = match (wakeup, state.wakeup) {
            (Some(new), Some(old)) => new < old,
            (Some(_), None) => true,
            (None, _) => false,
        };
        state.wakeup = wakeup;
        drop(state);
        if is_earlier {
            self.wakeup_changed.notify_one();
        }
    }

    fn update_free_slots(&self, state: &mut State, now: Timestamp) {
        state.slots_updated = now;
        self.free_slots.store(state.dispatcher.free_slots(now), Ordering::Relaxed);
    }

    fn execute(self: &Arc<Self>, state: &mut State, action: Action) {
        let (call, step) = match action {
            Action::Dispatch { call, target, attempt } => {
                (call, Step::Dispatch { target, attempt })
            }
            Action::Relay { call, peer } => (call, Step::Relay { peer }),
            Action::Refuse { call, reason, retry_after } => {
                (call, Step::Refuse { reason, retry_after })
            }
            Action::Unknown { call, reason } => (call, Step::Unknown { reason }),
            Action::Cancel { call, target } => (call, Step::Cancel { target }),
            Action::Probe { target } => {
                // The receiver is dropped only when the process shuts down.
                let _ = self.probes.send(ProbeRequest { service: Arc::clone(self), target });
                return;
            }
        };
        if let Some(pending_call) = state.calls.get_mut(&call) {
            pending_call.started |= matches!(step, Step::Dispatch { .. } | Step::Relay { .. });
            pending_call.mailbox.post(step);
        }
    }
}
