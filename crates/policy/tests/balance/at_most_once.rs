//! A call that is not idempotent runs at most once, and "not run" is only reported for calls that
//! no target can have run.

use crate::fixture::{Fixture, expect_start, idle_report, ms, route};
use arbtest::arbtest;
use azuretally_policy::balance::{AttemptOutcome, Decision, Failure, NewAttempt, ProbeResult};
use std::sync::Arc;

#[test]
fn failed_answer_is_delivered_if_the_call_is_not_idempotent() {
    let mut fixture = Fixture::new(3, 0);
    let (id, decision) = fixture.submit(ms(0), &route("sale", false));
    let start = expect_start(decision);
    let outcome = AttemptOutcome::Answered { ok: false, bytes: 0 };
    let decision = fixture.end_attempt(ms(100), id, &start.target, outcome, None);
    assert_eq!(decision, Decision::Deliver);
}

#[test]
fn failed_answer_is_retried_if_the_call_is_idempotent() {
    let mut fixture = Fixture::new(3, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    let start = expect_start(decision);
    let outcome = AttemptOutcome::Answered { ok: false, bytes: 0 };
    let again = expect_start(fixture.end_attempt(ms(50), id, &start.target, outcome, None));
    assert_ne!(again.target, start.target);
}

/// Call with its running attempts, and whether a target may have run it.
struct TrackedCall {
    id: u64,
    idempotent: bool,
    running: Vec<Arc<str>>,
    sends: u32,
    may_have_run: bool,
    ended: bool,
}

impl TrackedCall {
    fn send(&mut self, start: &NewAttempt) {
        assert!(self.idempotent || !self.may_have_run, "sent again although it may have run");
        assert!(self.idempotent || self.running.is_empty(), "two concurrent attempts");
        self.running.push(Arc::clone(&start.target));
        self.sends += 1;
    }

    fn apply(&mut self, decision: &Decision) {
        match decision {
            Decision::Start(start) => self.send(start),
            Decision::GiveUp { not_run, .. } => {
                assert!(
                    !*not_run || !self.may_have_run,
                    "reported as not run although it may have run"
                );
                self.ended = true;
            }
            Decision::Deliver => self.ended = true,
            Decision::Wait => {}
        }
    }
}

#[test]
fn any_history_runs_a_call_at_most_once_and_reports_not_run_correctly() {
    arbtest(|u| {
        let (local, remote) = (u.int_in_range(1..=4)?, u.int_in_range(0..=3)?);
        let mut fixture = if u.arbitrary()? {
            Fixture::new(local, remote)
        } else {
            Fixture::before_first_answer(local, remote)
        };
        let routes = [route("sale", false), route("check", true)];
        let mut calls: Vec<TrackedCall> = Vec::new();
        let mut now = 0;
        for _ in 0..60 {
            now += u.int_in_range(0..=60)?;
            if u.ratio(2, 5)? {
                let route = &routes[u.int_in_range(0..=1)?];
                let (id, decision) = fixture.submit(ms(now), route);
                let mut call = TrackedCall {
                    id,
                    idempotent: route.idempotent,
                    running: Vec::new(),
                    sends: 0,
                    may_have_run: false,
                    ended: false,
                };
                call.apply(&decision);
                calls.push(call);
            } else if let Some(call) = calls.iter_mut().find(|c| !c.ended && !c.running.is_empty())
            {
                let target = call.running.remove(0);
                let sent = u.arbitrary()?;
                let outcome = match u.int_in_range(0..=4)? {
                    0 => AttemptOutcome::Answered { ok: true, bytes: 10 },
                    1 => AttemptOutcome::Answered { ok: false, bytes: 10 },
                    2 => AttemptOutcome::Refused,
                    3 => AttemptOutcome::Moved,
                    _ => AttemptOutcome::Failed { failure: Failure::Broken, sent },
                };
                call.may_have_run |= matches!(
                    outcome,
                    AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { sent: true, .. }
                );
                let decision =
                    fixture.end_attempt(ms(now), call.id, &target, outcome, Some(idle_report(1.0)));
                call.apply(&decision);
            } else if let Some(call) = calls.iter_mut().find(|c| !c.ended) {
                call.may_have_run |= !call.running.is_empty();
                let decision = fixture.balancer.expire(ms(now), call.id);
                call.apply(&decision);
            }
            for probe in fixture.balancer.take_probes() {
                let result = match u.int_in_range(0..=9)? {
                    0 => ProbeResult::NoAnswer,
                    1 => ProbeResult::NoReport,
                    _ => ProbeResult::Report(idle_report(if now % 3 == 0 { 5.0 } else { 1.0 })),
                };
                fixture.balancer.probe_ended(ms(now), &probe, result);
            }
            for (id, decision) in fixture.balancer.dispatch_waiting(ms(now)) {
                if let Some(call) = calls.iter_mut().find(|c| c.id == id) {
                    call.apply(&decision);
                }
            }
            // Two attempts, and up to four that failed before anything was sent.
            assert!(calls.iter().all(|c| c.sends <= 2 + 4), "more attempts than the route allows");
        }
        Ok(())
    });
}
