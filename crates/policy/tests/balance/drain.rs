//! A gateway that stops: no attempt starts that is not expected to end by then, and every call ends
//! by then with exactly one true outcome.

use crate::fixture::{Fixture, expect_start, idle_report, ms, route};
use arbtest::arbtest;
use azuretally_policy::balance::{
    AttemptOutcome, Decision, Failure, GiveUpReason, HedgeDecision, NewAttempt, ProbeResult, Route,
};
use std::{sync::Arc, time::Duration};

/// Expected duration of the first calls of the fixture's routes, in ms.
const BASE_MS: u64 = 160;

fn is_stopping(decision: &Decision, expected_not_run: bool) -> bool {
    matches!(
        decision,
        Decision::GiveUp { reason: GiveUpReason::Stopping, not_run, retry_after }
            if *not_run == expected_not_run && !retry_after.is_zero()
    )
}

/// Guards against a call that starts although the gateway exits before it can end.
#[test]
fn call_that_cannot_end_before_the_stop_is_given_up_on_arrival() {
    let mut fixture = Fixture::new(1, 0);
    fixture.balancer.drain(ms(BASE_MS));
    let (_, decision) = fixture.submit(ms(1), &route("check", true));
    assert!(is_stopping(&decision, true), "{decision:?}");
    assert_eq!(fixture.balancer.waiting_calls(), 0);
}

/// Guards against refusing calls that can still be answered.
#[test]
fn call_that_can_end_before_the_stop_is_started() {
    let mut fixture = Fixture::new(1, 0);
    fixture.balancer.drain(ms(2 * BASE_MS));
    expect_start(fixture.submit(ms(1), &route("check", true)).1);
}

/// Guards against calls that wait until the exit behind others that fill the time until then.
#[test]
fn waiting_calls_that_cannot_end_before_the_stop_are_given_up_at_once() {
    let mut fixture = Fixture::new(1, 0);
    let check =
        Arc::new(Route { timeout: Duration::from_secs(60), ..Route::clone(&route("check", true)) });
    for _ in 0..40 {
        fixture.submit(ms(0), &check);
    }
    let waiting = fixture.balancer.waiting_calls();
    fixture.balancer.drain(ms(1_000));
    let decisions = fixture.balancer.dispatch_waiting(ms(1));
    assert!(decisions.iter().all(|(_, d)| is_stopping(d, true)), "{decisions:?}");
    let left = fixture.balancer.waiting_calls();
    assert!((1..=12).contains(&left), "{left} of {waiting} calls wait for 2 slots and 1 s");
}

/// Guards against a call called "not run" that is running when the gateway exits.
#[test]
fn call_running_at_the_stop_is_not_reported_as_not_run() {
    let mut fixture = Fixture::new(1, 0);
    let (id, decision) = fixture.submit(ms(0), &route("sale", false));
    expect_start(decision);
    fixture.balancer.drain(ms(500));
    let decision = fixture.balancer.expire(ms(500), id);
    assert!(is_stopping(&decision, false), "{decision:?}");
}

/// Guards against a drain that lasts longer than announced.
#[test]
fn later_end_does_not_put_off_the_stop() {
    let mut fixture = Fixture::new(1, 0);
    fixture.balancer.drain(ms(100));
    fixture.balancer.drain(ms(10_000));
    let (_, decision) = fixture.submit(ms(1), &route("check", true));
    assert!(is_stopping(&decision, true), "{decision:?}");
}

/// Guards against a call that no target can end in time holding up those behind it.
#[test]
fn call_too_long_for_the_stop_does_not_hold_up_others() {
    let mut fixture = Fixture::new(1, 0);
    let timeout = Duration::from_secs(10);
    let check = Arc::new(Route { timeout, ..Route::clone(&route("check", true)) });
    let long = Route {
        timeout,
        objective: Duration::from_secs(3),
        priority: 0,
        ..Route::clone(&route("long", true))
    };
    let mut at = 0;
    // The target takes three times as long as expected.
    for _ in 0..12 {
        let (id, decision) = fixture.submit(ms(at), &check);
        at += 3 * BASE_MS;
        let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
        fixture.end_attempt(ms(at), id, &expect_start(decision).target, outcome, None);
    }
    fixture.balancer.drain(ms(at + 2_200));
    let (_, decision) = fixture.submit(ms(at), &Arc::new(long));
    assert_eq!(decision, Decision::Wait);
    let (short, decision) = fixture.submit(ms(at), &check);
    let is_short_start =
        |(id, d): &(u64, Decision)| *id == short && matches!(d, Decision::Start(_));
    let is_started = matches!(decision, Decision::Start(_))
        || fixture.balancer.dispatch_waiting(ms(at + 1)).iter().any(is_short_start);
    assert!(is_started, "{decision:?}");
}

/// Call with its running attempts and its outcome.
struct TrackedCall {
    id: u64,
    idempotent: bool,
    running: Vec<Arc<str>>,
    may_have_run: bool,
    ended: bool,
}

/// History of calls at a gateway that begins to drain at some time.
struct History {
    fixture: Fixture,
    calls: Vec<TrackedCall>,
    now: u64,
    drain_end: Option<u64>,
}

impl History {
    fn start_attempt(&mut self, id: u64, start: &NewAttempt) {
        let ends_at = self.now + start.expected_ms;
        let in_time = self.drain_end.is_none_or(|end| ends_at <= end);
        assert!(in_time, "ends at {ends_at}, after {:?}", self.drain_end);
        let Some(call) = self.calls.iter_mut().find(|c| c.id == id) else { return };
        assert!(!call.ended, "sent after its end");
        assert!(call.idempotent || !call.may_have_run, "sent again although it may have run");
        assert!(call.idempotent || call.running.is_empty(), "two concurrent attempts");
        call.running.push(Arc::clone(&start.target));
    }

    fn apply(&mut self, id: u64, decision: &Decision) {
        if let Decision::Start(start) = decision {
            return self.start_attempt(id, start);
        }
        let Some(call) = self.calls.iter_mut().find(|c| c.id == id) else { return };
        match decision {
            Decision::GiveUp { not_run, .. } => {
                let may_have_run = call.may_have_run || !call.running.is_empty();
                assert!(!*not_run || !may_have_run, "called not run although it may have run");
                assert!(!call.ended, "two outcomes");
                call.ended = true;
            }
            Decision::Deliver => {
                assert!(!call.ended, "two outcomes");
                call.ended = true;
                self.fixture.balancer.forget(id);
            }
            Decision::Start(_) | Decision::Wait => {}
        }
    }

    fn submit(&mut self, route: &Arc<Route>) {
        let (id, decision) = self.fixture.submit(ms(self.now), route);
        let call = TrackedCall {
            id,
            idempotent: route.idempotent,
            running: Vec::new(),
            may_have_run: false,
            ended: false,
        };
        self.calls.push(call);
        self.apply(id, &decision);
    }

    fn end_attempt(&mut self, index: usize, outcome: AttemptOutcome) {
        let call = &mut self.calls[index];
        let target = call.running.remove(0);
        call.may_have_run |= matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { sent: true, .. }
        );
        let id = call.id;
        let report = Some(idle_report(1.0));
        let decision = self.fixture.end_attempt(ms(self.now), id, &target, outcome, report);
        self.apply(id, &decision);
    }

    fn hedge(&mut self, index: usize) {
        let id = self.calls[index].id;
        if let HedgeDecision::Start(start) = self.fixture.balancer.consider_hedge(ms(self.now), id)
        {
            self.start_attempt(id, &start);
        }
    }

    fn dispatch(&mut self) {
        for (id, decision) in self.fixture.balancer.dispatch_waiting(ms(self.now)) {
            self.apply(id, &decision);
        }
    }

    /// Ends all calls as their tasks do at the end of the drain.
    fn finish(&mut self, end: u64) {
        self.now = self.now.max(end);
        self.dispatch();
        assert_eq!(self.fixture.balancer.waiting_calls(), 0, "calls wait for a gateway that stops");
        let left: Vec<u64> = self.calls.iter().filter(|c| !c.ended).map(|c| c.id).collect();
        for id in left {
            let decision = self.fixture.balancer.expire(ms(self.now), id);
            self.apply(id, &decision);
        }
        assert!(self.calls.iter().all(|c| c.ended), "a call without an outcome");
    }
}

/// Guards against starts that the exit would cut, calls without an outcome, and untrue outcomes.
#[test]
fn any_history_with_a_stop_ends_every_call_by_then_with_one_true_outcome() {
    arbtest(|u| {
        let (local, remote) = (u.int_in_range(1..=4)?, u.int_in_range(0..=3)?);
        let fixture = match u.arbitrary()? {
            true => Fixture::new(local, remote),
            false => Fixture::before_first_answer(local, remote),
        };
        let mut history = History { fixture, calls: Vec::new(), now: 0, drain_end: None };
        let routes = [route("sale", false), route("check", true)];
        let drain_step = u.int_in_range(0..=40)?;
        let grace = u.int_in_range(0..=1_200)?;
        for step in 0..60 {
            history.now += u.int_in_range(0..=60)?;
            if step == drain_step {
                let end = history.now + grace;
                history.drain_end = Some(end);
                history.fixture.balancer.drain(ms(end));
                history.dispatch();
            }
            let running = history.calls.iter().position(|c| !c.ended && !c.running.is_empty());
            match (u.int_in_range(0..=5)?, running) {
                (0..=2, _) | (_, None) => {
                    let route = Arc::clone(&routes[u.int_in_range(0..=1)?]);
                    history.submit(&route);
                }
                (3, Some(index)) => history.hedge(index),
                (_, Some(index)) => {
                    let sent = u.arbitrary()?;
                    let outcome = match u.int_in_range(0..=4)? {
                        0 => AttemptOutcome::Answered { ok: true, bytes: 10 },
                        1 => AttemptOutcome::Answered { ok: false, bytes: 10 },
                        2 => AttemptOutcome::Refused,
                        3 => AttemptOutcome::Moved,
                        _ => AttemptOutcome::Failed { failure: Failure::Broken, sent },
                    };
                    history.end_attempt(index, outcome);
                }
            }
            for probe in history.fixture.balancer.take_probes() {
                let slowdown = if u.ratio(1, 3)? { 5.0 } else { 1.0 };
                let result = match u.int_in_range(0..=9)? {
                    0 => ProbeResult::NoAnswer,
                    1 => ProbeResult::NoReport,
                    _ => ProbeResult::Report(idle_report(slowdown)),
                };
                history.fixture.balancer.probe_ended(ms(history.now), &probe, result);
            }
            history.dispatch();
            if history.drain_end.is_some_and(|end| history.now >= end) {
                break;
            }
        }
        let Some(end) = history.drain_end else { return Ok(()) };
        history.finish(end);
        // A call that arrives after the end is told at once to go elsewhere.
        history.submit(&routes[0]);
        assert!(history.calls.iter().all(|c| c.ended), "a call was taken after the end");
        Ok(())
    });
}
