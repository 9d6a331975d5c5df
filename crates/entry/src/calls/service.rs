//! One service at this entry: its dispatcher, the tasks that wait for it, and its timer.

use super::{
    limits::FREE_INTERVAL,
    mailbox::{Mailbox, Step},
    targets::Targets,
};
use crate::{clock::Clock, view::ServiceView};
use arc_swap::ArcSwap;
use azuretally_policy::{
    Timestamp,
    dispatch::{Action, Call, CallId, Dispatcher, Event, PeerSlots, ServiceConfig, TargetInfo},
};
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    mem,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use tokio::sync::{Notify, mpsc};

/// A probe that a dispatcher asked for.
#[derive(Debug)]
pub(super) struct ProbeOrder {
    /// The service.
    pub(super) service: Arc<Service>,
    /// Name of the target.
    pub(super) target: Arc<str>,
}

#[derive(Debug)]
struct Waiter {
    mailbox: Arc<Mailbox>,
    arrival: Timestamp,
    started: bool,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    plan: Arc<ServiceConfig>,
    targets: Vec<TargetInfo>,
    peers: Vec<PeerSlots>,
    waiters: IndexMap<CallId, Waiter>,
    actions: Vec<Action>,
    wakeup: Option<Timestamp>,
    told_free: Timestamp,
}

/// One service at this entry.
#[derive(Debug)]
pub(super) struct Service {
    /// Targets with their addresses.
    pub(super) targets: ArcSwap<Targets>,
    clock: Clock,
    free: Arc<AtomicU32>,
    state: Mutex<State>,
    timer: Notify,
    probes: mpsc::UnboundedSender<ProbeOrder>,
}

/// What a call needs to know of the plan under which it was taken in.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    /// The plan.
    pub(super) plan: Arc<ServiceConfig>,
    /// Index of the operation in the plan.
    pub(super) operation: usize,
}

impl Service {
    /// A service under its first plan.
    pub(super) fn new(
        plan: Arc<ServiceConfig>,
        clock: Clock,
        free: Arc<AtomicU32>,
        probes: mpsc::UnboundedSender<ProbeOrder>,
    ) -> Self {
        let dispatcher = Dispatcher::new(Arc::clone(&plan), rand::random());
        Self {
            targets: ArcSwap::default(),
            clock,
            free,
            state: Mutex::new(State {
                dispatcher,
                plan,
                targets: Vec::new(),
                peers: Vec::new(),
                waiters: IndexMap::new(),
                actions: Vec::new(),
                wakeup: None,
                told_free: Timestamp::default(),
            }),
            timer: Notify::new(),
            probes,
        }
    }

    /// The plan in force and the index of `operation` in it.
    pub(super) fn admit(&self, operation: &str) -> Option<Admitted> {
        let plan = Arc::clone(&self.state.lock().plan);
        let operation = plan.operations.iter().position(|o| *o.name == *operation)?;
        Some(Admitted { plan, operation })
    }

    /// Takes in a call; its steps go to `mailbox` until `Service::leave`.
    pub(super) fn arrive(self: &Arc<Self>, call: Call, mailbox: Arc<Mailbox>) {
        let mut state = self.state.lock();
        let waiter = Waiter { mailbox, arrival: self.clock.now(), started: false };
        state.waiters.insert(call.id, waiter);
        self.decide(state, Event::Arrived(call));
    }

    /// Forgets the mailbox of a call that has ended.
    pub(super) fn leave(&self, call: CallId) {
        self.state.lock().waiters.swap_remove(&call);
    }

    /// Takes in any other event.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.decide(self.state.lock(), event);
    }

    /// Takes over what changed between the last view and this one.
    pub(super) fn apply(self: &Arc<Self>, view: &ServiceView) {
        self.targets.store(Arc::new(Targets::new(view)));
        let plans: Vec<_> = view.targets.values().map(|t| t.info.clone()).collect();
        let mut events = Vec::new();
        {
            let mut state = self.state.lock();
            if !Arc::ptr_eq(&state.plan, &view.config) {
                state.plan = Arc::clone(&view.config);
                events.push(Event::ConfigChanged(Arc::clone(&view.config)));
            }
            if state.peers != view.entry_set {
                state.peers.clone_from(&view.entry_set);
                events.push(Event::PeersChanged(view.entry_set.clone()));
            }
            if state.targets != plans {
                state.targets.clone_from(&plans);
                events.push(Event::TargetsChanged(plans));
            }
        }
        for event in events {
            self.handle(event);
        }
    }

    /// Tells control of the free slots, and when the call that has waited longest for its first
    /// start arrived.
    pub(super) fn look(&self) -> Option<Timestamp> {
        let mut state = self.state.lock();
        self.tell_free(&mut state, self.clock.now());
        state.waiters.values().filter(|w| !w.started).map(|w| w.arrival).min()
    }

    /// Sends [`Event::Tick`] whenever it is due. Never returns.
    pub(super) async fn tick(self: Arc<Self>) {
        loop {
            let wakeup = self.state.lock().wakeup;
            let Some(wakeup) = wakeup else {
                self.timer.notified().await;
                continue;
            };
            let wait = wakeup - self.clock.now();
            tokio::select! {
                () = tokio::time::sleep(wait) => self.handle(Event::Tick),
                () = self.timer.notified() => {}
            }
        }
    }

    fn decide(self: &Arc<Self>, mut state: parking_lot::MutexGuard<'_, State>, event: Event) {
        let mut actions = mem::take(&mut state.actions);
        let now = self.clock.now();
        state.dispatcher.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.obey(&mut state, action);
        }
        state.actions = actions;
        if now - state.told_free >= FREE_INTERVAL {
            self.tell_free(&mut state, now);
        }
        let wakeup = state.dispatcher.next_wakeup();
        let sooner = match (wakeup, state.wakeup) {
            (Some(new), Some(old)) => new < old,
            (Some(_), None) => true,
            (None, _) => false,
        };
        state.wakeup = wakeup;
        drop(state);
        if sooner {
            self.timer.notify_one();
        }
    }

    fn tell_free(&self, state: &mut State, now: Timestamp) {
        state.told_free = now;
        self.free.store(state.dispatcher.free_slots(now), Ordering::Relaxed);
    }

    fn obey(self: &Arc<Self>, state: &mut State, action: Action) {
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
                // The receiver is gone only when the process ends.
                let _ = self.probes.send(ProbeOrder { service: Arc::clone(self), target });
                return;
            }
        };
        if let Some(waiter) = state.waiters.get_mut(&call) {
            waiter.started |= matches!(step, Step::Dispatch { .. } | Step::Relay { .. });
            waiter.mailbox.post(step);
        }
    }
}
