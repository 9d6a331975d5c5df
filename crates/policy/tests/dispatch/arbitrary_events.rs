//! Whatever events come, in any order, late or twice, the dispatcher keeps its promises.

use crate::fixture::{CHOICES, call, entry_name, entry_set, ms, plan, target_name, targets};
use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, LoadReport, ServiceConfig, TargetRefusal,
    },
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

const TARGETS: usize = 4;
/// Size of the random input of one history, in bytes.
const SIZE: u64 = 16 * 1024;
const HISTORIES: u64 = 400;

/// What the request path would know.
#[derive(Default)]
struct Ledger {
    /// Arrived calls that have not ended, with whether they may run again.
    open: HashMap<u64, bool>,
    ended: HashSet<u64>,
    /// Attempts in flight by call and target or peer.
    live: HashSet<(u64, Arc<str>)>,
    /// Calls that an attempt may have run.
    maybe_run: HashSet<u64>,
}

impl Ledger {
    fn end(&mut self, id: u64) {
        assert!(self.open.remove(&id).is_some(), "call {id} ended twice or never came");
        assert!(self.ended.insert(id));
        assert!(!self.live.iter().any(|(c, _)| *c == id), "call {id} ended while in flight");
    }

    fn take(&mut self, actions: &[Action], leaving: &HashSet<Arc<str>>) {
        for action in actions {
            match action {
                Action::Dispatch { call, target, .. } => {
                    let open = self.open.get(&call.0).copied();
                    let Some(idempotent) = open else { panic!("{call:?} is not open") };
                    assert!(idempotent || !self.maybe_run.contains(&call.0), "ran twice");
                    let running = self.live.iter().any(|(c, _)| *c == call.0);
                    assert!(idempotent || !running, "two attempts of a call that runs once");
                    assert!(!leaving.contains(target), "{target} is leaving");
                    assert!(self.live.insert((call.0, Arc::clone(target))));
                }
                Action::Relay { call, peer } => {
                    assert!(self.open.contains_key(&call.0));
                    assert!(!self.live.iter().any(|(c, _)| *c == call.0));
                    assert!(self.live.insert((call.0, Arc::clone(peer))));
                }
                Action::Refuse { call, retry_after, .. } => {
                    assert!(!self.maybe_run.contains(&call.0), "may have run, told as not run");
                    assert!(!retry_after.is_zero());
                    self.end(call.0);
                }
                Action::Unknown { call, .. } => self.end(call.0),
                Action::Cancel { call, target } => {
                    assert!(self.live.remove(&(call.0, Arc::clone(target))), "nothing to cancel");
                }
                Action::Probe { .. } => {}
            }
        }
    }
}

struct History<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    dispatcher: Dispatcher,
    plan: ServiceConfig,
    ledger: Ledger,
    leaving: HashSet<Arc<str>>,
    now: Timestamp,
    next: u64,
}

impl History<'_, '_> {
    fn step(&mut self) -> Result<()> {
        self.now = self.now + ms(u64::from(self.u.arbitrary::<u8>()? / 16));
        let event = match self.u.int_in_range(0..=19)? {
            0..=6 => self.arrival()?,
            7..=13 => match self.end_of_live()? {
                Some(event) => event,
                None => return Ok(()),
            },
            14 => self.stray()?,
            15 => self.caller_gone()?,
            16 => self.targets()?,
            17 => self.peers()?,
            18 => self.changed_plan()?,
            _ if self.u.arbitrary()? => {
                self.now = self.now + ms(300);
                Event::ProcessPaused(ms(300))
            }
            _ => Event::Tick,
        };
        self.handle(event);
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        // A cancellation for a call that ends by an answer comes with that answer.
        let ends = match &event {
            Event::Answered { call, target, .. } | Event::PeerDone { call, peer: target } => {
                self.ledger.live.remove(&(call.0, Arc::clone(target))).then_some(call.0)
            }
            Event::CallerDisconnected(call) => {
                self.ledger.open.contains_key(&call.0).then_some(call.0)
            }
            _ => None,
        };
        self.dispatcher.handle(self.now, event, &mut actions);
        let (cancels, rest): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|a| matches!(a, Action::Cancel { call, .. } if Some(call.0) == ends));
        self.ledger.take(&cancels, &self.leaving);
        if let Some(id) = ends {
            self.ledger.end(id);
        }
        self.ledger.take(&rest, &self.leaving);
        assert!(self.dispatcher.waiting() <= self.plan.queue_limit.max(1));
    }

    fn arrival(&mut self) -> Result<Event> {
        self.next += 1;
        let operation = self.u.int_in_range(0..=3)?;
        let caller = ["a", "b", "c"][self.u.int_in_range(0..=2)?];
        let deadline = self.now + ms(u64::from(self.u.arbitrary::<u8>()?));
        let mut call = call(self.next, caller, operation, deadline);
        call.replayable = self.u.ratio(4, 5)?;
        call.relayable = self.u.arbitrary()?;
        let idempotent = self.plan.operations.get(operation).is_some_and(|o| o.idempotent);
        self.ledger.open.insert(self.next, idempotent);
        Ok(Event::Arrived(call))
    }

    fn end_of_live(&mut self) -> Result<Option<Event>> {
        let mut live: Vec<_> = self.ledger.live.iter().cloned().collect();
        live.sort();
        if live.is_empty() {
            return Ok(None);
        }
        let (id, target) = self.u.choose(&live)?.clone();
        if target.starts_with("entry") {
            return self.end_of_relay(id, target).map(Some);
        }
        let report = self.report()?;
        let call = CallId(id);
        Ok(Some(match self.u.int_in_range(0..=5)? {
            0..=2 => {
                let ok = self.u.ratio(3, 4)?;
                let elapsed = ms(u64::from(self.u.arbitrary::<u8>()?));
                Event::Answered { call, target, ok, elapsed, report }
            }
            3 => {
                self.ledger.live.remove(&(id, Arc::clone(&target)));
                let refusal = if self.u.ratio(1, 8)? {
                    self.leaving.insert(Arc::clone(&target));
                    TargetRefusal::Draining
                } else {
                    TargetRefusal::Busy
                };
                Event::Refused { call, target, refusal, report: None }
            }
            _ => {
                self.ledger.live.remove(&(id, Arc::clone(&target)));
                let kind = *self.u.choose(&[
                    FailureKind::Connect,
                    FailureKind::Broken,
                    FailureKind::Timeout,
                ])?;
                let not_executed: bool = self.u.arbitrary()?;
                if !not_executed {
                    self.ledger.maybe_run.insert(id);
                }
                Event::Failed { call, target, kind, not_executed }
            }
        }))
    }

    fn end_of_relay(&mut self, id: u64, peer: Arc<str>) -> Result<Event> {
        let call = CallId(id);
        Ok(match self.u.int_in_range(0..=2)? {
            0 => Event::PeerDone { call, peer },
            1 => {
                self.ledger.live.remove(&(id, Arc::clone(&peer)));
                Event::PeerRefused { call, peer }
            }
            _ => {
                self.ledger.live.remove(&(id, Arc::clone(&peer)));
                let not_executed: bool = self.u.arbitrary()?;
                if !not_executed {
                    self.ledger.maybe_run.insert(id);
                }
                let kind = FailureKind::Connect;
                Event::Failed { call, target: peer, kind, not_executed }
            }
        })
    }

    /// An event that belongs to nothing in flight.
    fn stray(&mut self) -> Result<Event> {
        let call = CallId(self.u.int_in_range(0..=self.next + 1)?);
        let target = target_name(self.u.int_in_range(0..=TARGETS)?);
        if self.ledger.live.contains(&(call.0, Arc::clone(&target))) {
            return Ok(Event::Tick);
        }
        Ok(match self.u.int_in_range(0..=5)? {
            0 => Event::Answered { call, target, ok: true, elapsed: ms(1), report: None },
            1 => {
                let refusal = TargetRefusal::Busy;
                Event::Refused { call, target, refusal, report: None }
            }
            2 => Event::Failed { call, target, kind: FailureKind::Broken, not_executed: false },
            3 => Event::PeerRefused { call, peer: target },
            4 => Event::PeerDone { call, peer: target },
            _ => Event::Probed { target, report: None },
        })
    }

    fn caller_gone(&mut self) -> Result<Event> {
        Ok(Event::CallerDisconnected(CallId(self.u.int_in_range(0..=self.next + 1)?)))
    }

    fn targets(&mut self) -> Result<Event> {
        let mut plans = targets(TARGETS, 2);
        for plan in &mut plans {
            plan.leaving = self.u.ratio(1, 4)?;
            plan.slots = self.u.int_in_range(0..=3)?;
        }
        let kept = self.u.int_in_range(0..=TARGETS)?;
        plans.truncate(kept);
        let named: HashSet<_> = plans.iter().map(|p| Arc::clone(&p.name)).collect();
        for n in 0..TARGETS {
            let name = target_name(n);
            if !named.contains(&name) {
                self.leaving.insert(name);
            }
        }
        for plan in &plans {
            // A target that drained by its own word stays so, as far as this list can tell.
            if plan.leaving {
                self.leaving.insert(Arc::clone(&plan.name));
            }
        }
        self.leaving.retain(|n| !plans.iter().any(|p| p.name == *n && !p.leaving));
        Ok(Event::TargetsChanged(plans))
    }

    fn peers(&mut self) -> Result<Event> {
        let mut set = entry_set(self.u.int_in_range(0..=4)?);
        for peer in &mut set {
            peer.free = self.u.int_in_range(0..=2)?;
        }
        if self.u.ratio(1, 4)? {
            set.retain(|p| p.host != entry_name(0));
        }
        Ok(Event::PeersChanged(set))
    }

    fn changed_plan(&mut self) -> Result<Event> {
        self.plan.choice = *self.u.choose(&CHOICES)?;
        self.plan.queue_limit = self.u.int_in_range(0..=8)?;
        self.plan.hedge_ratio = *self.u.choose(&[0.0, 0.1])?;
        Ok(Event::ConfigChanged(Arc::new(self.plan.clone())))
    }

    fn report(&mut self) -> Result<Option<LoadReport>> {
        let busy = self.u.int_in_range(0..=2)?;
        Ok(self.u.arbitrary::<bool>()?.then_some(LoadReport { busy, draining: false }))
    }

    /// Ends all that is in flight and lets all deadlines pass.
    fn settle(&mut self) {
        while let Some((id, target)) = self.ledger.live.iter().next().cloned() {
            let call = CallId(id);
            let event = if target.starts_with("entry") {
                Event::PeerDone { call, peer: target }
            } else {
                Event::Answered { call, target, ok: true, elapsed: ms(1), report: None }
            };
            self.handle(event);
        }
        self.now = self.now + ms(10_000);
        self.handle(Event::Tick);
    }
}

#[test]
fn every_call_ends_exactly_once() {
    for history in 0..HISTORIES {
        arbtest(|u| {
            let mut plan = plan(*u.choose(&CHOICES)?);
            plan.queue_limit = 8;
            plan.retry_ratio = 0.5;
            let dispatcher = Dispatcher::new(Arc::new(plan.clone()), 7);
            let mut history = History {
                u,
                dispatcher,
                plan,
                ledger: Ledger::default(),
                leaving: HashSet::new(),
                now: Timestamp::from_millis(1_000),
                next: 0,
            };
            history.handle(Event::TargetsChanged(targets(TARGETS, 2)));
            while !history.u.is_empty() {
                history.step()?;
            }
            history.settle();
            assert!(history.ledger.open.is_empty(), "never ended: {:?}", history.ledger.open);
            Ok(())
        })
        .seed(history << 32 | SIZE)
        .run();
    }
}
