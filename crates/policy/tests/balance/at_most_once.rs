//! A call that is not idempotent runs at most once, and "not run" is only said of calls that no
//! target can have run.

use crate::fixture::{World, idle, ms, route, started};
use arbtest::arbtest;
use azuretally_policy::balance::{AttemptOutcome, Decision, Failure, NewAttempt, ProbeResult};
use std::sync::Arc;

#[test]
fn failed_answer_of_a_target_is_delivered_for_a_call_that_is_not_idempotent() {
    let mut world = World::new(3, 0);
    let (id, order) = world.arrive(ms(0), &route("sale", false));
    let start = started(order);
    let verdict = AttemptOutcome::Answered { ok: false, bytes: 0 };
    let order = world.end(ms(100), id, &start.target, verdict, None);
    assert_eq!(order, Decision::Deliver);
}

#[test]
fn failed_answer_of_a_target_is_tried_again_for_an_idempotent_call() {
    let mut world = World::new(3, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    let start = started(order);
    let verdict = AttemptOutcome::Answered { ok: false, bytes: 0 };
    let again = started(world.end(ms(50), id, &start.target, verdict, None));
    assert_ne!(again.target, start.target);
}

/// One call with the attempts that are under way and whether a target may have run it.
struct Tracked {
    id: u64,
    idempotent: bool,
    under_way: Vec<Arc<str>>,
    sends: u32,
    may_have_run: bool,
    over: bool,
}

impl Tracked {
    fn send(&mut self, start: &NewAttempt) {
        assert!(self.idempotent || !self.may_have_run, "sent again though it may have run");
        assert!(self.idempotent || self.under_way.is_empty(), "two attempts at a time");
        self.under_way.push(Arc::clone(&start.target));
        self.sends += 1;
    }

    fn take(&mut self, order: &Decision) {
        match order {
            Decision::Start(start) => self.send(start),
            Decision::GiveUp { not_run, .. } => {
                assert!(!*not_run || !self.may_have_run, "said not run of a call that may have");
                self.over = true;
            }
            Decision::Deliver => self.over = true,
            Decision::Wait => {}
        }
    }
}

#[test]
fn any_history_runs_a_call_at_most_once_and_refuses_truly() {
    arbtest(|u| {
        let (near, far) = (u.int_in_range(1..=4)?, u.int_in_range(0..=3)?);
        let mut world =
            if u.arbitrary()? { World::new(near, far) } else { World::fresh(near, far) };
        let routes = [route("sale", false), route("check", true)];
        let mut calls: Vec<Tracked> = Vec::new();
        let mut now = 0;
        for _ in 0..60 {
            now += u.int_in_range(0..=60)?;
            if u.ratio(2, 5)? {
                let route = &routes[u.int_in_range(0..=1)?];
                let (id, order) = world.arrive(ms(now), route);
                let mut call = Tracked {
                    id,
                    idempotent: route.idempotent,
                    under_way: Vec::new(),
                    sends: 0,
                    may_have_run: false,
                    over: false,
                };
                call.take(&order);
                calls.push(call);
            } else if let Some(call) = calls.iter_mut().find(|c| !c.over && !c.under_way.is_empty())
            {
                let target = call.under_way.remove(0);
                let sent = u.arbitrary()?;
                let verdict = match u.int_in_range(0..=4)? {
                    0 => AttemptOutcome::Answered { ok: true, bytes: 10 },
                    1 => AttemptOutcome::Answered { ok: false, bytes: 10 },
                    2 => AttemptOutcome::Refused,
                    3 => AttemptOutcome::Moved,
                    _ => AttemptOutcome::Failed { failure: Failure::Broken, sent },
                };
                call.may_have_run |= matches!(
                    verdict,
                    AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { sent: true, .. }
                );
                let order = world.end(ms(now), call.id, &target, verdict, Some(idle(1.0)));
                call.take(&order);
            } else if let Some(call) = calls.iter_mut().find(|c| !c.over) {
                call.may_have_run |= !call.under_way.is_empty();
                let order = world.balancer.expire(ms(now), call.id);
                call.take(&order);
            }
            for probe in world.balancer.take_probes() {
                let result = match u.int_in_range(0..=9)? {
                    0 => ProbeResult::NoAnswer,
                    1 => ProbeResult::NoReport,
                    _ => ProbeResult::Report(idle(if now % 3 == 0 { 5.0 } else { 1.0 })),
                };
                world.balancer.probe_ended(ms(now), &probe, result);
            }
            for (id, order) in world.balancer.dispatch_waiting(ms(now)) {
                if let Some(call) = calls.iter_mut().find(|c| c.id == id) {
                    call.take(&order);
                }
            }
            assert!(calls.iter().all(|c| c.sends <= 2 + 4), "more attempts than the route allows");
        }
        Ok(())
    });
}
