//! Targets that do not answer: a second attempt is made beside the first one, which is never given up
//! while nothing better has come.

use crate::fixture::{World, idle, ms, route, started};
use azuretally_policy::balance::{AttemptOutcome, Decision, HedgeDecision, ProbeResult};

#[test]
fn silent_attempt_gets_a_second_one_beside_it() {
    let mut world = World::new(3, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    let first = started(order);
    let mut at = first.hedge_at.expect("a second attempt is considered");
    let second = loop {
        match world.balancer.consider_hedge(at, id) {
            HedgeDecision::Start(start) => break start,
            HedgeDecision::Later(later) => at = later,
            HedgeDecision::Never => panic!("no second attempt at {at:?}"),
        }
    };
    assert_ne!(second.target, first.target);
    assert!(at < ms(600), "the second attempt came only at {at:?}");
}

#[test]
fn call_that_is_not_idempotent_gets_no_second_attempt() {
    let mut world = World::new(3, 0);
    let (id, order) = world.arrive(ms(0), &route("sale", false));
    assert_eq!(started(order).hedge_at, None);
    assert_eq!(world.balancer.consider_hedge(ms(500), id), HedgeDecision::Never);
}

#[test]
fn call_under_way_at_its_deadline_is_not_said_to_be_not_run() {
    let mut world = World::new(1, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    started(order);
    let order = world.balancer.expire(ms(1_000), id);
    assert!(matches!(order, Decision::GiveUp { not_run: false, .. }), "{order:?}");
}

/// The second attempt of a call of 160 ms has to begin between 208 and 224 ms to be in time, and its
/// target is probed first.
#[test]
fn second_attempt_is_in_time_although_its_target_is_probed_first() {
    let mut world = World::new(3, 0);
    let check = route("check", true);
    let (id, order) = world.arrive(ms(0), &check);
    let start = started(order);
    let verdict = AttemptOutcome::Answered { ok: true, bytes: 100 };
    world.end(ms(160), id, &start.target, verdict, Some(idle(1.0)));
    world.balancer.forget(id);
    let (id, _) = world.arrive(ms(1_000), &check);
    let probes = world.balancer.take_probes();
    for probe in &probes {
        world.balancer.probe_ended(ms(1_000), probe, ProbeResult::Report(idle(1.0)));
    }
    let orders = world.balancer.dispatch_waiting(ms(1_000));
    let [(_, Decision::Start(first))] = orders.as_slice() else { panic!("{orders:?}") };
    let mut at = first.hedge_at.expect("a second attempt is considered");
    loop {
        match world.balancer.consider_hedge(at, id) {
            HedgeDecision::Start(_) => break,
            HedgeDecision::Later(later) => at = later,
            HedgeDecision::Never => panic!("no second attempt at {at:?}"),
        }
        for probe in world.balancer.take_probes() {
            world.balancer.probe_ended(at, &probe, ProbeResult::Report(idle(1.0)));
        }
    }
    assert!(at <= ms(1_224), "the second attempt came only at {at:?}");
}
