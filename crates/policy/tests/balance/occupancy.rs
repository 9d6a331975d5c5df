//! Targets that are full: they leave requests unanswered, or reset connections.

use crate::fixture::{Fixture, expect_start, ms, route};
use azuretally_policy::{
    Timestamp,
    balance::{
        AttemptOutcome, Decision, Failure, FullTargetEvent, HedgeDecision, LoadReport, NewAttempt,
        ProbeResult, Route,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
const BROKEN: AttemptOutcome = AttemptOutcome::Failed { failure: Failure::Broken, sent: true };

fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport { running, waiting, slots: 2, slowdown: None }
}

impl Fixture {
    /// Sends a call of `route`.
    fn send(&mut self, now: Timestamp, route: &Arc<Route>) -> (u64, NewAttempt) {
        let (id, decision) = self.submit_distinct(now, route);
        let attempt = expect_start(decision);
        assert!(self.begin_request(now, id, &attempt.target));
        (id, attempt)
    }

    /// Lets each of `targets` answer one call with `report`.
    fn answer_first_calls(&mut self, now: Timestamp, targets: usize, report: LoadReport) {
        let check = route("check", true);
        let calls: Vec<_> = (0..targets * 2).map(|_| self.send(now, &check)).collect();
        for (id, attempt) in calls {
            self.end_attempt(
                now + Duration::from_millis(160),
                id,
                &attempt.target,
                ANSWERED,
                Some(report),
            );
            self.balancer.forget(id);
        }
    }

    /// Answers the probes that are due at `now` with `report`. Returns their number.
    fn answer_probes(&mut self, now: Timestamp, report: LoadReport) -> usize {
        let probes = self.balancer.take_probes();
        for probe in &probes {
            self.balancer.probe_ended(now, probe, ProbeResult::Report(report));
        }
        probes.len()
    }
}

/// Two attempts occupy the only target. Neither is answered, and a third call waits.
struct Stuck {
    fixture: Fixture,
    calls: [(u64, NewAttempt); 2],
    waiting: u64,
}

fn stuck(name: &str, idempotent: bool) -> Stuck {
    let mut fixture = Fixture::new(1, 0);
    fixture.answer_first_calls(ms(0), 1, load(0, 0));
    let route = route(name, idempotent);
    let calls = [fixture.send(ms(200), &route), fixture.send(ms(205), &route)];
    let (waiting, decision) = fixture.submit_distinct(ms(210), &route);
    assert_eq!(decision, Decision::Wait);
    Stuck { fixture, calls, waiting }
}

/// A slot was lost until the deadline of a call that its target had never accepted.
#[test]
fn slot_of_an_attempt_that_was_never_accepted_is_free_again() {
    let Stuck { mut fixture, calls, waiting } = stuck("sale", false);
    assert!(fixture.balancer.dispatch_waiting(ms(600)).is_empty());
    assert_eq!(fixture.answer_probes(ms(605), load(1, 0)), 1);
    // An answer may still be on its way: a second report has to agree.
    assert!(fixture.balancer.dispatch_waiting(ms(610)).is_empty());
    assert_eq!(fixture.answer_probes(ms(615), load(1, 0)), 1);
    assert!(fixture.balancer.dispatch_waiting(ms(700)).is_empty());
    assert_eq!(fixture.answer_probes(ms(705), load(1, 0)), 1);
    let decisions = fixture.balancer.dispatch_waiting(ms(710));
    let [(id, Decision::Start(_))] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!(*id, waiting);
    let notices = fixture.balancer.take_full_notices();
    let [notice] = notices.as_slice() else { panic!("{notices:?}") };
    assert_eq!((notice.call, notice.event), (calls[0].0, FullTargetEvent::Unaccepted));
    // It may run all the same, so it is not sent again, and its answer counts.
    assert_eq!(fixture.balancer.consider_hedge(ms(720), calls[0].0), HedgeDecision::Never);
    let (id, attempt) = &calls[0];
    let decision = fixture.end_attempt(ms(900), *id, &attempt.target, ANSWERED, None);
    assert_eq!(decision, Decision::Deliver);
    let decision = fixture.balancer.expire(ms(1_300), calls[1].0);
    assert!(matches!(decision, Decision::GiveUp { not_run: false, .. }), "{decision:?}");
}

/// Guards against slots that are taken twice because single runs take long.
#[test]
fn silence_without_a_later_report_changes_nothing() {
    let Stuck { mut fixture, .. } = stuck("sale", false);
    for at in (220..1_000).step_by(10) {
        let decisions = fixture.balancer.dispatch_waiting(ms(at));
        let is_start = |d: &Decision| matches!(d, Decision::Start(_));
        assert!(!decisions.iter().any(|(_, d)| is_start(d)), "{at} ms: {decisions:?}");
        for probe in fixture.balancer.take_probes() {
            fixture.balancer.probe_ended(ms(at + 5), &probe, ProbeResult::NoAnswer);
        }
    }
    assert!(fixture.balancer.take_full_notices().is_empty());
}

/// Guards against an answer that is being received being taken for one that never comes.
#[test]
fn attempt_whose_answer_is_arriving_was_accepted() {
    let Stuck { mut fixture, calls, .. } = stuck("check", true);
    for (id, attempt) in &calls {
        fixture.balancer.answer_began("service", &attempt.target, *id);
    }
    for at in (220..1_000).step_by(10) {
        fixture.balancer.dispatch_waiting(ms(at));
        fixture.answer_probes(ms(at + 5), load(0, 0));
    }
    assert!(fixture.balancer.take_full_notices().is_empty());
}

/// Guards against attempts that are taken for lost because other gateways have few calls there.
#[test]
fn attempts_that_reports_count_were_accepted() {
    let Stuck { mut fixture, .. } = stuck("check", true);
    for at in (220..1_000).step_by(10) {
        fixture.balancer.dispatch_waiting(ms(at));
        fixture.answer_probes(ms(at + 5), load(2, 0));
    }
    assert!(fixture.balancer.take_full_notices().is_empty());
}

/// A call that may run twice waited for its forced hedge although its target had never accepted it.
#[test]
fn repeatable_call_that_was_never_accepted_is_tried_elsewhere() {
    let mut fixture = Fixture::new(2, 0);
    fixture.answer_first_calls(ms(0), 2, load(0, 0));
    let check = route("check", true);
    let calls: Vec<_> = (0..3).map(|n| fixture.send(ms(200 + n), &check)).collect();
    let at_target = |name: &Arc<str>| calls.iter().filter(|(_, a)| a.target == *name).count();
    let first = calls.iter().find(|(_, a)| at_target(&a.target) == 2).expect("two calls");
    let due = first.1.hedge_at.expect("a hedge is considered");
    // So many slots are in use that only a forced hedge is sent, at 600 ms.
    let mut at = due;
    let found = loop {
        let decision = fixture.balancer.consider_hedge(at, first.0);
        assert!(matches!(decision, HedgeDecision::Later(_)), "{at:?}: {decision:?}");
        fixture.answer_probes(at + Duration::from_millis(5), load(1, 0));
        let notices = fixture.balancer.take_full_notices();
        if let Some(notice) = notices.first() {
            break notice.call;
        }
        at = at + Duration::from_millis(10);
        assert!(at < ms(590), "not found");
    };
    assert_eq!(found, first.0);
    let at = at + Duration::from_millis(5);
    assert!(fixture.balancer.is_hedge_due(at, found));
    let decision = fixture.balancer.consider_hedge(at, found);
    let HedgeDecision::Start(second) = decision else { panic!("{decision:?}") };
    assert_ne!(second.target, first.1.target);
    let decision = fixture.end_attempt(at, found, &second.target, ANSWERED, None);
    assert_eq!(decision, Decision::Deliver);
}

/// Ends two unsafe calls at one of two targets with a reset, after it has reported `report`. Returns whether
/// it gets a call 260 ms later, while the other one is occupied.
fn serves_after_resets(report: LoadReport, begun: bool) -> bool {
    let mut fixture = Fixture::new(2, 0);
    fixture.answer_first_calls(ms(0), 2, report);
    let sale = route("sale", false);
    // Reports of queues keep calls away for some time.
    let calls: Vec<_> = (0..4).map(|_| fixture.send(ms(1_050), &sale)).collect();
    let reset = Arc::clone(&calls[0].1.target);
    for (id, attempt) in calls.iter().filter(|(_, a)| a.target == reset) {
        if begun {
            fixture.balancer.answer_began("service", &attempt.target, *id);
        }
        let decision = fixture.end_attempt(ms(1_060), *id, &attempt.target, BROKEN, None);
        let Decision::GiveUp { not_run, .. } = decision else { panic!("{decision:?}") };
        assert!(!not_run, "the target may have run it");
    }
    let rejected = fixture.balancer.take_full_notices().len();
    let (_, decision) = fixture.submit_distinct(ms(1_320), &sale);
    match decision {
        Decision::Start(start) => {
            assert_eq!((start.target, rejected), (reset, 2));
            true
        }
        Decision::Wait => {
            assert_eq!(rejected, 0);
            false
        }
        other => panic!("{other:?}"),
    }
}

/// Resets by a full target led to a failure backoff, as those of a broken one have to.
#[test]
fn reset_by_a_full_target_is_no_fault() {
    assert!(serves_after_resets(load(2, 3), false));
    assert!(!serves_after_resets(load(0, 0), false), "a real fault");
    assert!(!serves_after_resets(load(2, 3), true), "an answer that breaks off");
}

/// Target with 2 slots and a queue of 4, in a model without a network.
#[derive(Default)]
struct ModelTarget {
    /// Calls with their gateway and the time left, those that run first.
    calls: VecDeque<(usize, u64, u32)>,
}

/// How a full target treats a request.
#[derive(Clone, Copy, PartialEq)]
enum WhenFull {
    Silent,
    Reset,
}

const SLOTS: usize = 2;
const PLACES: usize = 6;
const TARGETS: usize = 3;
const GATEWAYS: usize = 8;

/// Gateways that share targets and know of each other only by reports.
struct Model {
    gateways: Vec<Fixture>,
    targets: BTreeMap<Arc<str>, ModelTarget>,
    when_full: WhenFull,
    random: Pcg64Mcg,
    /// Calls that were sent, by gateway, with the number of times.
    sent: BTreeMap<(usize, u64), u32>,
    unsafe_calls: BTreeSet<(usize, u64)>,
    hedges: Vec<(Timestamp, usize, u64)>,
    ends: Vec<(Timestamp, usize, u64)>,
    answered: usize,
    unaccepted: usize,
    rejected: usize,
    notices: usize,
}

impl Model {
    fn new(when_full: WhenFull, seed: u64) -> Self {
        let gateways: Vec<_> = (0..GATEWAYS as u64)
            .map(|n| Fixture::with_seed(TARGETS as u8, seed * 100 + n))
            .collect();
        let names = (0..TARGETS).map(|n| Arc::from(format!("target-{n}")));
        Self {
            gateways,
            targets: names.map(|name| (name, ModelTarget::default())).collect(),
            when_full,
            random: Pcg64Mcg::seed_from_u64(seed),
            sent: BTreeMap::new(),
            unsafe_calls: BTreeSet::new(),
            hedges: Vec::new(),
            ends: Vec::new(),
            answered: 0,
            unaccepted: 0,
            rejected: 0,
            notices: 0,
        }
    }

    fn report(&self, target: &str) -> LoadReport {
        let calls = self.targets[target].calls.len();
        load(calls.min(SLOTS) as u32, calls.saturating_sub(SLOTS) as u32)
    }

    fn apply(&mut self, now: Timestamp, gateway: usize, id: u64, decision: Decision) {
        match decision {
            Decision::Start(start) => self.start(now, gateway, id, &start),
            Decision::Wait => {}
            Decision::Deliver => {
                self.answered += 1;
                self.gateways[gateway].balancer.forget(id);
            }
            Decision::GiveUp { not_run, .. } => {
                let was_sent = self.sent.contains_key(&(gateway, id));
                assert!(!(not_run && was_sent), "call {id} was sent, and reported as not run");
            }
        }
    }

    fn start(&mut self, now: Timestamp, gateway: usize, id: u64, start: &NewAttempt) {
        *self.sent.entry((gateway, id)).or_default() += 1;
        assert!(self.gateways[gateway].begin_request(now, id, &start.target));
        if let Some(at) = start.hedge_at {
            self.hedges.push((at, gateway, id));
        }
        let Some(target) = self.targets.get_mut(&start.target) else { panic!("{start:?}") };
        if target.calls.len() < PLACES {
            let run = self.random.random_range(100..=180);
            let run = if self.random.random_range(0..50) == 0 { run * 6 } else { run };
            target.calls.push_back((gateway, id, run));
        } else if self.when_full == WhenFull::Reset {
            self.rejected += 1;
            let decision = self.gateways[gateway].end_attempt(now, id, &start.target, BROKEN, None);
            self.apply(now, gateway, id, decision);
        } else {
            self.unaccepted += 1;
        }
    }

    fn take_ended(&mut self, target: &str) -> Option<(usize, u64)> {
        let calls = &mut self.targets.get_mut(target)?.calls;
        let at = calls.iter().take(SLOTS).position(|c| c.2 == 0)?;
        calls.remove(at).map(|(gateway, id, _)| (gateway, id))
    }

    /// Lets 1 ms pass.
    fn step(&mut self, now: Timestamp, arrivals: bool) {
        let names: Vec<Arc<str>> = self.targets.keys().cloned().collect();
        for name in &names {
            let Some(target) = self.targets.get_mut(name) else { continue };
            target.calls.iter_mut().take(SLOTS).for_each(|c| c.2 -= 1);
            while let Some((gateway, id)) = self.take_ended(name) {
                let report = self.report(name);
                let fixture = &mut self.gateways[gateway];
                let decision = fixture.end_attempt(now, id, name, ANSWERED, Some(report));
                self.apply(now, gateway, id, decision);
            }
        }
        for gateway in 0..GATEWAYS {
            if arrivals && self.random.random_range(0..140) == 0 {
                let is_unsafe = self.random.random();
                let route = if is_unsafe { route("sale", false) } else { route("check", true) };
                let (id, decision) = self.gateways[gateway].submit_distinct(now, &route);
                if is_unsafe {
                    self.unsafe_calls.insert((gateway, id));
                }
                self.ends.push((now + route.timeout, gateway, id));
                self.apply(now, gateway, id, decision);
            }
            for probe in self.gateways[gateway].balancer.take_probes() {
                let report = ProbeResult::Report(self.report(&probe.target));
                self.gateways[gateway].balancer.probe_ended(now, &probe, report);
            }
            for (id, decision) in self.gateways[gateway].balancer.dispatch_waiting(now) {
                self.apply(now, gateway, id, decision);
            }
            for notice in self.gateways[gateway].balancer.take_full_notices() {
                self.notices += 1;
                self.hedges.push((now, gateway, notice.call));
            }
        }
        for (_, gateway, id) in self.hedges.extract_if(.., |h| h.0 <= now).collect::<Vec<_>>() {
            match self.gateways[gateway].balancer.consider_hedge(now, id) {
                HedgeDecision::Start(start) => self.start(now, gateway, id, &start),
                HedgeDecision::Later(at) => self.hedges.push((at, gateway, id)),
                HedgeDecision::Never => {}
            }
        }
        for (_, gateway, id) in self.ends.extract_if(.., |e| e.0 <= now).collect::<Vec<_>>() {
            self.gateways[gateway].balancer.expire(now, id);
            for target in self.targets.values_mut() {
                target.calls.retain(|c| (c.0, c.1) != (gateway, id));
            }
        }
    }
}

/// Several gateways fill targets with 2 slots that they share. Guards against unsafe calls that are sent again,
/// and against slots and targets that stay unused after the load.
#[test]
fn gateways_that_share_full_targets_send_unsafe_calls_once_and_recover() {
    for when_full in [WhenFull::Silent, WhenFull::Reset] {
        for seed in 1..=5 {
            let mut model = Model::new(when_full, seed);
            for at in 0..8_000 {
                // Twice what the targets can run at first, then little.
                model.step(ms(at), at < 4_000 || at % 4 == 0);
            }
            for call in &model.unsafe_calls {
                let sent = model.sent.get(call).copied().unwrap_or_default();
                assert!(sent <= 1, "{call:?} was sent {sent} times");
            }
            println!(
                "seed {seed}: sent {}, answered {}, unaccepted {}, rejected {}, found {}",
                model.sent.len(),
                model.answered,
                model.unaccepted,
                model.rejected,
                model.notices,
            );
            let (sent, answered) = (model.sent.len(), model.answered);
            for at in 8_000..10_000 {
                model.step(ms(at), at % 4 == 0);
            }
            let sent = model.sent.len() - sent;
            let answered = model.answered - answered;
            assert!(sent > 0 && answered * 10 >= sent * 9, "{answered} of {sent} answered");
        }
    }
}
