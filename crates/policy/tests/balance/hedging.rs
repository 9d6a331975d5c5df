//! Targets that do not answer: the call is hedged, and its first attempt is not cancelled before an
//! answer has arrived.

use crate::fixture::{Fixture, expect_start, idle_report, ms, route};
use azuretally_policy::balance::{AttemptOutcome, Decision, HedgeDecision, ProbeResult};

#[test]
fn silent_attempt_is_hedged() {
    let mut fixture = Fixture::new(3, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    let first = expect_start(decision);
    let mut at = first.hedge_at.expect("a hedge is considered");
    let second = loop {
        match fixture.balancer.consider_hedge(at, id) {
            HedgeDecision::Start(start) => break start,
            HedgeDecision::Later(later) => at = later,
            HedgeDecision::Never => panic!("no hedge at {at:?}"),
        }
    };
    assert_ne!(second.target, first.target);
    assert!(at < ms(600), "the hedge started only at {at:?}");
}

#[test]
fn call_that_is_not_idempotent_is_not_hedged() {
    let mut fixture = Fixture::new(3, 0);
    let (id, decision) = fixture.submit(ms(0), &route("sale", false));
    assert_eq!(expect_start(decision).hedge_at, None);
    assert_eq!(fixture.balancer.consider_hedge(ms(500), id), HedgeDecision::Never);
}

#[test]
fn call_running_at_its_deadline_is_not_reported_as_not_run() {
    let mut fixture = Fixture::new(1, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    expect_start(decision);
    let decision = fixture.balancer.expire(ms(1_000), id);
    assert!(matches!(decision, Decision::GiveUp { not_run: false, .. }), "{decision:?}");
}

/// A hedge of a call of 160 ms has to begin between 208 and 224 ms to be in time, although its
/// target is probed first.
#[test]
fn hedge_is_in_time_although_its_target_is_probed_first() {
    let mut fixture = Fixture::new(3, 0);
    let check = route("check", true);
    let (id, decision) = fixture.submit(ms(0), &check);
    let start = expect_start(decision);
    let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
    fixture.end_attempt(ms(160), id, &start.target, outcome, Some(idle_report(1.0)));
    fixture.balancer.forget(id);
    let (id, _) = fixture.submit(ms(1_000), &check);
    let probes = fixture.balancer.take_probes();
    for probe in &probes {
        fixture.balancer.probe_ended(ms(1_000), probe, ProbeResult::Report(idle_report(1.0)));
    }
    let decisions = fixture.balancer.dispatch_waiting(ms(1_000));
    let [(_, Decision::Start(first))] = decisions.as_slice() else { panic!("{decisions:?}") };
    let mut at = first.hedge_at.expect("a hedge is considered");
    loop {
        match fixture.balancer.consider_hedge(at, id) {
            HedgeDecision::Start(_) => break,
            HedgeDecision::Later(later) => at = later,
            HedgeDecision::Never => panic!("no hedge at {at:?}"),
        }
        for probe in fixture.balancer.take_probes() {
            fixture.balancer.probe_ended(at, &probe, ProbeResult::Report(idle_report(1.0)));
        }
    }
    assert!(at <= ms(1_224), "the hedge started only at {at:?}");
}
