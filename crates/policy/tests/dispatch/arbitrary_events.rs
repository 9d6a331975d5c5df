//! Checks invariants of the dispatcher under arbitrary events: reordered, late, duplicated or
//! unrelated to any call.

use crate::fixture::{CHOICES, call, config, entry_name, entry_set, ms, target_name, targets};
use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, LoadReport, ServiceConfig, TargetNotice,
        TargetRefusal,
    },
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

const TARGETS: usize = 4;
/// Size of the random input of one scenario, in bytes.
const INPUT_BYTES: u64 = 16 * 1024;
const SCENARIOS: u64 = 400;

/// Model of what the request path of the entry knows.
#[derive(Default)]
struct Model {
    /// Arrived calls that have not ended, with whether they are idempotent.
    open_calls: HashMap<u64, bool>,
    ended: HashSet<u64>,
    /// Attempts in flight, by call and target or peer.
    in_flight: HashSet<(u64, Arc<str>)>,
    /// Calls that an attempt may have executed.
    may_have_run: HashSet<u64>,
    /// Ends of the rests that targets asked for.
    rests: HashMap<Arc<str>, Timestamp>,
    now: Timestamp,
}

impl Model {
    /// Records the end of a call, which must be open and have no attempts in flight.
    fn end(&mut self, id: u64) {
        assert!(self.open_calls.remove(&id).is_some(), "call {id} ended twice or never arrived");
        assert!(self.ended.insert(id));
        assert!(!self.in_flight.iter().any(|(c, _)| *c == id), "call {id} ended while in flight");
    }

    /// Checks the actions against the model and applies them.
    fn apply(&mut self, actions: &[Action], leaving: &HashSet<Arc<str>>) {
        for action in actions {
            match action {
                Action::Dispatch { call, target, .. } => {
                    let known = self.open_calls.get(&call.0).copied();
                    let Some(idempotent) = known else { panic!("{call:?} is not open") };
                    assert!(
                        idempotent || !self.may_have_run.contains(&call.0),
                        "started again after it may have run"
                    );
                    let running = self.in_flight.iter().any(|(c, _)| *c == call.0);
                    assert!(
                        idempotent || !running,
                        "two concurrent attempts of a call that is not idempotent"
                    );
                    assert!(!leaving.contains(target), "{target} is leaving");
                    assert!(!self.is_resting(target), "{target} rests");
                    assert!(self.in_flight.insert((call.0, Arc::clone(target))));
                }
                Action::Relay { call, peer } => {
                    assert!(self.open_calls.contains_key(&call.0));
                    assert!(!self.in_flight.iter().any(|(c, _)| *c == call.0));
                    assert!(self.in_flight.insert((call.0, Arc::clone(peer))));
                }
                Action::Refuse { call, retry_after, .. } => {
                    assert!(
                        !self.may_have_run.contains(&call.0),
                        "refused as not run, but may have run"
                    );
                    assert!(!retry_after.is_zero());
                    self.end(call.0);
                }
                Action::Unknown { call, .. } => self.end(call.0),
                Action::Cancel { call, target } => {
                    assert!(
                        self.in_flight.remove(&(call.0, Arc::clone(target))),
                        "cancelled an attempt that is not in flight"
                    );
                }
                Action::Probe { target } => {
                    assert!(!self.is_resting(target), "{target} rests");
                }
            }
        }
    }

    fn is_resting(&self, target: &Arc<str>) -> bool {
        self.rests.get(target).is_some_and(|until| *until > self.now)
    }
}

struct Scenario<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    dispatcher: Dispatcher,
    config: ServiceConfig,
    model: Model,
    leaving: HashSet<Arc<str>>,
    listed: HashSet<Arc<str>>,
    now: Timestamp,
    next_id: u64,
}

impl Scenario<'_, '_> {
    fn step(&mut self) -> Result<()> {
        self.now = self.now + ms(u64::from(self.u.arbitrary::<u8>()? / 16));
        let event = match self.u.int_in_range(0..=20)? {
            0..=6 => self.arrival()?,
            7..=13 => match self.end_attempt()? {
                Some(event) => event,
                None => return Ok(()),
            },
            14 => self.unmatched_event()?,
            15 => self.caller_disconnected()?,
            16 => self.targets()?,
            17 => self.peers()?,
            18 => self.changed_config()?,
            19 => self.rest()?,
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
        self.model.now = self.now;
        // The cancellations of a call that ends by this event must be applied before the call ends.
        let ended_call = match &event {
            Event::Answered { call, target, .. } | Event::PeerDone { call, peer: target } => {
                self.model.in_flight.remove(&(call.0, Arc::clone(target))).then_some(call.0)
            }
            Event::CallerDisconnected(call) => {
                self.model.open_calls.contains_key(&call.0).then_some(call.0)
            }
            _ => None,
        };
        self.dispatcher.handle(self.now, event, &mut actions);
        let (cancels, rest): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|a| matches!(a, Action::Cancel { call, .. } if Some(call.0) == ended_call));
        self.model.apply(&cancels, &self.leaving);
        if let Some(id) = ended_call {
            self.model.end(id);
        }
        self.model.apply(&rest, &self.leaving);
        assert!(self.dispatcher.waiting() <= self.config.queue_limit.max(1));
    }

    fn rest(&mut self) -> Result<Event> {
        let target = target_name(self.u.int_in_range(0..=TARGETS - 1)?);
        let rest = ms(u64::from(self.u.arbitrary::<u8>()?));
        if self.listed.contains(&target) {
            let until = self.model.rests.entry(Arc::clone(&target)).or_default();
            *until = (*until).max(self.now + rest);
        }
        let notice = TargetNotice { incarnation: None, rest: Some(rest), draining: false };
        Ok(Event::Noticed { target, notice })
    }

    fn arrival(&mut self) -> Result<Event> {
        self.next_id += 1;
        let operation = self.u.int_in_range(0..=3)?;
        let caller = ["a", "b", "c"][self.u.int_in_range(0..=2)?];
        let deadline = self.now + ms(u64::from(self.u.arbitrary::<u8>()?));
        let mut call = call(self.next_id, caller, operation, deadline);
        call.replayable = self.u.ratio(4, 5)?;
        call.relayable = self.u.arbitrary()?;
        let idempotent = self.config.operations.get(operation).is_some_and(|o| o.idempotent);
        self.model.open_calls.insert(self.next_id, idempotent);
        Ok(Event::Arrived(call))
    }

    fn end_attempt(&mut self) -> Result<Option<Event>> {
        let mut in_flight: Vec<_> = self.model.in_flight.iter().cloned().collect();
        in_flight.sort();
        if in_flight.is_empty() {
            return Ok(None);
        }
        let (id, target) = self.u.choose(&in_flight)?.clone();
        if target.starts_with("entry") {
            return self.end_relay(id, target).map(Some);
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
                self.model.in_flight.remove(&(id, Arc::clone(&target)));
                let refusal = if self.u.ratio(1, 8)? {
                    self.leaving.insert(Arc::clone(&target));
                    TargetRefusal::Draining
                } else {
                    TargetRefusal::Busy
                };
                Event::Refused { call, target, refusal, report: None }
            }
            _ => {
                self.model.in_flight.remove(&(id, Arc::clone(&target)));
                let kind = *self.u.choose(&[
                    FailureKind::Connect,
                    FailureKind::Broken,
                    FailureKind::Timeout,
                    FailureKind::Paused,
                ])?;
                let not_executed: bool = self.u.arbitrary()?;
                if !not_executed {
                    self.model.may_have_run.insert(id);
                }
                Event::Failed { call, target, kind, not_executed }
            }
        }))
    }

    fn end_relay(&mut self, id: u64, peer: Arc<str>) -> Result<Event> {
        let call = CallId(id);
        Ok(match self.u.int_in_range(0..=2)? {
            0 => Event::PeerDone { call, peer },
            1 => {
                self.model.in_flight.remove(&(id, Arc::clone(&peer)));
                Event::PeerRefused { call, peer }
            }
            _ => {
                self.model.in_flight.remove(&(id, Arc::clone(&peer)));
                let not_executed: bool = self.u.arbitrary()?;
                if !not_executed {
                    self.model.may_have_run.insert(id);
                }
                let kind = FailureKind::Connect;
                Event::Failed { call, target: peer, kind, not_executed }
            }
        })
    }

    /// Returns an event that matches nothing in flight.
    fn unmatched_event(&mut self) -> Result<Event> {
        let call = CallId(self.u.int_in_range(0..=self.next_id + 1)?);
        let target = target_name(self.u.int_in_range(0..=TARGETS)?);
        if self.model.in_flight.contains(&(call.0, Arc::clone(&target))) {
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

    fn caller_disconnected(&mut self) -> Result<Event> {
        Ok(Event::CallerDisconnected(CallId(self.u.int_in_range(0..=self.next_id + 1)?)))
    }

    fn targets(&mut self) -> Result<Event> {
        let mut infos = targets(TARGETS, 2);
        for info in &mut infos {
            info.leaving = self.u.ratio(1, 4)?;
            info.slots = self.u.int_in_range(0..=3)?;
        }
        let count = self.u.int_in_range(0..=TARGETS)?;
        infos.truncate(count);
        let listed: HashSet<_> = infos.iter().map(|p| Arc::clone(&p.name)).collect();
        for n in 0..TARGETS {
            let name = target_name(n);
            if !listed.contains(&name) {
                self.leaving.insert(name);
            }
        }
        for info in &infos {
            if info.leaving {
                self.leaving.insert(Arc::clone(&info.name));
            }
        }
        // A target that is listed as not leaving may get calls again, even if it reported that it
        // is draining.
        self.leaving.retain(|n| !infos.iter().any(|p| p.name == *n && !p.leaving));
        self.listed = listed;
        Ok(Event::TargetsChanged(infos))
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

    fn changed_config(&mut self) -> Result<Event> {
        self.config.choice = *self.u.choose(&CHOICES)?;
        self.config.queue_limit = self.u.int_in_range(0..=8)?;
        self.config.hedge_ratio = *self.u.choose(&[0.0, 0.1])?;
        Ok(Event::ConfigChanged(Arc::new(self.config.clone())))
    }

    fn report(&mut self) -> Result<Option<LoadReport>> {
        let busy = self.u.int_in_range(0..=2)?;
        Ok(self.u.arbitrary::<bool>()?.then_some(LoadReport { busy, draining: false }))
    }

    /// Ends all attempts in flight and lets all deadlines pass.
    fn drain(&mut self) {
        while let Some((id, target)) = self.model.in_flight.iter().next().cloned() {
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
    for scenario in 0..SCENARIOS {
        arbtest(|u| {
            let mut config = config(*u.choose(&CHOICES)?);
            config.queue_limit = 8;
            config.retry_ratio = 0.5;
            let dispatcher = Dispatcher::new(Arc::new(config.clone()), 7);
            let mut scenario = Scenario {
                u,
                dispatcher,
                config,
                model: Model::default(),
                leaving: HashSet::new(),
                listed: (0..TARGETS).map(target_name).collect(),
                now: Timestamp::from_millis(1_000),
                next_id: 0,
            };
            scenario.handle(Event::TargetsChanged(targets(TARGETS, 2)));
            while !scenario.u.is_empty() {
                scenario.step()?;
            }
            scenario.drain();
            assert!(
                scenario.model.open_calls.is_empty(),
                "calls that never ended: {:?}",
                scenario.model.open_calls
            );
            Ok(())
        })
        .seed(scenario << 32 | INPUT_BYTES)
        .run();
    }
}
