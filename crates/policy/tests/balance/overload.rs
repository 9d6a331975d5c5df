//! Overload: more calls than slots, machines that are slow for a short time, and the backlog after
//! an outage.

use crate::fixture::{Fixture, expect_start, idle_report, ms, route};
use azuretally_policy::balance::{AttemptOutcome, Decision, LoadReport, ProbeResult, Route};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::VecDeque, net::IpAddr, sync::Arc};

/// Answers every requested probe with `slowdown`, and returns the number of probes.
fn answer_probes(fixture: &mut Fixture, at: u64, slowdown: f64) -> usize {
    let probes = fixture.balancer.take_probes();
    for probe in &probes {
        fixture.balancer.probe_ended(ms(at), probe, ProbeResult::Report(idle_report(slowdown)));
    }
    probes.len()
}

/// Creates a fixture whose targets are known to report their slowdown.
fn reporting_fixture(local: u8, remote: u8) -> Fixture {
    let mut fixture = Fixture::before_first_answer(local, remote);
    let check = route("check", true);
    let (id, _) = fixture.submit(ms(0), &check);
    answer_probes(&mut fixture, 0, 1.0);
    let decisions = fixture.balancer.dispatch_waiting(ms(0));
    let [(_, Decision::Start(start))] = decisions.as_slice() else { panic!("{decisions:?}") };
    let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
    fixture.end_attempt(ms(160), id, &start.target, outcome, Some(idle_report(1.0)));
    fixture.balancer.forget(id);
    fixture
}

/// After a restart of all gateways under load, the first calls must not go to slow or full targets
/// without a probe.
#[test]
fn first_calls_after_a_start_probe_targets() {
    let mut fixture = Fixture::before_first_answer(4, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    assert_eq!(decision, Decision::Wait);
    let probes = fixture.balancer.take_probes();
    let [slow, usual] = probes.as_slice() else { panic!("{probes:?}") };
    fixture.balancer.probe_ended(ms(1), slow, ProbeResult::Report(idle_report(5.0)));
    fixture.balancer.probe_ended(ms(1), usual, ProbeResult::Report(idle_report(1.0)));
    let decisions = fixture.balancer.dispatch_waiting(ms(1));
    let [(first, Decision::Start(start))] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!((*first, &start.target), (id, &usual.target));
}

/// Targets that send no load reports are probed only until the first one has answered.
#[test]
fn targets_without_load_reports_are_not_probed_again() {
    let mut fixture = Fixture::before_first_answer(4, 0);
    let check = route("check", true);
    fixture.submit(ms(0), &check);
    for probe in fixture.balancer.take_probes() {
        fixture.balancer.probe_ended(ms(1), &probe, ProbeResult::NoReport);
    }
    assert!(matches!(
        fixture.balancer.dispatch_waiting(ms(1)).as_slice(),
        [(_, Decision::Start(_))]
    ));
    expect_start(fixture.submit(ms(10), &check).1);
    assert_eq!(fixture.balancer.take_probes(), []);
}

/// At any time a quarter of the machines is five times slower than the others, and the set of slow
/// machines changes.
#[test]
fn call_waits_while_all_free_machines_are_slow_and_starts_on_the_first_normal_one() {
    let mut fixture = reporting_fixture(2, 0);
    let (id, decision) = fixture.submit(ms(1_000), &route("check", true));
    assert_eq!(decision, Decision::Wait);
    assert!(answer_probes(&mut fixture, 1_001, 5.0) > 0, "free targets are probed first");
    assert_eq!(fixture.balancer.dispatch_waiting(ms(1_001)), []);
    // The slowdown in a report expires quickly; then the targets are probed again.
    fixture.balancer.dispatch_waiting(ms(1_060));
    assert!(answer_probes(&mut fixture, 1_061, 1.0) > 0, "targets are probed again");
    let decisions = fixture.balancer.dispatch_waiting(ms(1_061));
    assert!(
        matches!(decisions.as_slice(), [(first, Decision::Start(_))] if *first == id),
        "{decisions:?}"
    );
}

/// The set of slow machines changes every 150 ms, so a report that is 25 ms old is outdated.
#[test]
fn target_is_probed_again_when_its_report_is_old() {
    let mut fixture = reporting_fixture(1, 0);
    let check = route("check", true);
    let (id, _) = fixture.submit(ms(1_000), &check);
    answer_probes(&mut fixture, 1_000, 1.0);
    assert_eq!(fixture.balancer.dispatch_waiting(ms(1_000)).len(), 1, "call {id} starts");
    let (second, decision) = fixture.submit(ms(1_025), &check);
    assert_eq!(decision, Decision::Wait, "call {second} waits for a report");
    assert_eq!(answer_probes(&mut fixture, 1_026, 1.0), 1);
}

/// In a backlog, a call that would end after its deadline must not take a slot from the others.
#[test]
fn call_that_would_end_after_its_deadline_is_not_started() {
    let mut fixture = reporting_fixture(1, 0);
    let check = route("check", true);
    let (id, _) = fixture.submit(ms(1_000), &check);
    answer_probes(&mut fixture, 1_001, 5.0);
    for at in (1_001..1_900).step_by(20) {
        let decisions = fixture.balancer.dispatch_waiting(ms(at));
        answer_probes(&mut fixture, at, 5.0);
        let Some((call, decision)) = decisions.into_iter().next() else { continue };
        assert_eq!(call, id);
        // Five times 160 ms, counted from the start.
        match decision {
            Decision::Start(start) => assert!(at + start.expected_ms < 2_000, "{at}: {start:?}"),
            decision => {
                assert!(matches!(decision, Decision::GiveUp { not_run: true, .. }), "{decision:?}")
            }
        }
        return;
    }
    panic!("the call was neither started nor given up");
}

/// In a burst, calls that can be answered in time go before those that cannot, and then by
/// priority.
#[test]
fn call_that_can_be_in_time_goes_before_a_late_one() {
    let mut fixture = Fixture::new(1, 0);
    let check = route("check", true);
    let (first, decision) = fixture.submit(ms(0), &check);
    let target = expect_start(decision).target;
    let (_, decision) = fixture.submit(ms(0), &check);
    expect_start(decision);
    let (late, decision) = fixture.submit(ms(1), &check);
    assert_eq!(decision, Decision::Wait);
    let (fresh, decision) = fixture.submit(ms(300), &check);
    assert_eq!(decision, Decision::Wait);
    let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
    let report = LoadReport { running: 1, waiting: 0, slots: 2, slowdown: None };
    fixture.end_attempt(ms(310), first, &target, outcome, Some(report));
    let decisions = fixture.balancer.dispatch_waiting(ms(310));
    let started: Vec<u64> = decisions.iter().map(|(id, _)| *id).collect();
    assert_eq!(started, [fresh], "call {late} can no longer be answered in time");
}

/// After a restart under load, a gateway that is too busy to read the answers of probes must not
/// treat targets as failed.
#[test]
fn unanswered_probes_exclude_a_target_only_briefly() {
    let mut fixture = reporting_fixture(1, 0);
    let check = route("check", true);
    fixture.submit(ms(1_000), &check);
    for at in [1_000, 1_150] {
        fixture.balancer.dispatch_waiting(ms(at));
        for probe in fixture.balancer.take_probes() {
            fixture.balancer.probe_ended(ms(at + 80), &probe, ProbeResult::NoAnswer);
        }
    }
    let mut probed = 0;
    for at in (1_240..1_800).step_by(20) {
        fixture.balancer.dispatch_waiting(ms(at));
        probed += answer_probes(&mut fixture, at, 1.0);
    }
    assert!(probed > 0, "the target is probed again before the call is given up");
}

/// All targets became slower than any call may take. Calls must still be sent, or nothing would
/// show when the targets have recovered.
#[test]
fn calls_are_sent_however_slow_the_targets_were() {
    let mut fixture = Fixture::new(1, 0);
    let check = route("check", true);
    for round in 0..60 {
        let at = round * 2_000;
        let (id, decision) = fixture.submit(ms(at), &check);
        let Decision::Start(start) = decision else { panic!("round {round}: {decision:?}") };
        let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
        fixture.end_attempt(ms(at + 990), id, &start.target, outcome, None);
        fixture.balancer.forget(id);
    }
}

/// While targets shed half of the calls, the retry budget is smaller than the number of calls that
/// need a retry. Here they refuse the first attempt of every call.
#[test]
fn scarce_retries_go_to_the_highest_priority_calls() {
    let mut fixture = Fixture::new(4, 0);
    let check = route("check", true);
    let sale = Arc::new(Route { priority: 0, ..Route::clone(&route("sale", false)) });
    let mut retried = [0, 0];
    for n in 0..600 {
        let at = 10 + n * 20;
        let (kind, route) = if n % 5 == 0 { (1, &sale) } else { (0, &check) };
        let (id, decision) = fixture.submit(ms(at), route);
        if let Decision::Start(start) = decision {
            let outcome = AttemptOutcome::Refused;
            let decision = fixture.end_attempt(ms(at + 1), id, &start.target, outcome, None);
            retried[kind] += usize::from(matches!(decision, Decision::Start(_)));
        }
        fixture.balancer.forget(id);
    }
    assert!(retried[1] >= 108, "{} of 120 calls of the highest priority were retried", retried[1]);
    assert!(retried[0] > 0, "the other calls use the rest of the budget");
}

/// While targets shed half of the calls, the caller of a call that is refused for the first time
/// can retry it; that of a call that came back cannot. Here targets refuse the first attempt of
/// every call.
#[test]
fn scarce_retries_go_to_calls_that_came_back() {
    let mut fixture = Fixture::new(4, 0);
    let check = route("check", true);
    let mut retried = [0, 0];
    for n in 0..600_u64 {
        let at = 10 + n * 20;
        // Every fifth caller was refused 20 ms before; the others are new.
        let kind = usize::from(n % 5 == 1);
        let number = if kind == 1 { n - 1 } else { n };
        let [.., high, low] = number.to_be_bytes();
        let (id, decision) = fixture.submit_from(ms(at), &check, [10, 2, high, low].into());
        if let Decision::Start(start) = decision {
            let decision =
                fixture.end_attempt(ms(at + 1), id, &start.target, AttemptOutcome::Refused, None);
            // The call that comes back next is refused whatever the budget is.
            let counted = n % 5 != 0;
            retried[kind] += usize::from(counted && matches!(decision, Decision::Start(_)));
            if !counted && let Decision::Start(start) = decision {
                fixture.end_attempt(ms(at + 2), id, &start.target, AttemptOutcome::Refused, None);
            }
        }
        fixture.balancer.forget(id);
    }
    assert!(retried[1] >= 108, "{} of 120 calls that came back were retried", retried[1]);
    assert!(retried[0] > 0, "the other calls use the rest of the budget");
}

/// A call that comes back has less time left until its objective than a new one.
#[test]
fn call_that_comes_back_keeps_its_objective() {
    let mut fixture = Fixture::new(2, 0);
    let check = route("check", true);
    let caller = [10, 2, 0, 1].into();
    let (id, mut decision) = fixture.submit_from(ms(0), &check, caller);
    while let Decision::Start(start) = decision {
        decision = fixture.end_attempt(ms(10), id, &start.target, AttemptOutcome::Refused, None);
    }
    assert!(matches!(decision, Decision::GiveUp { not_run: true, .. }), "{decision:?}");
    let hedge_at = |decision| expect_start(decision).hedge_at.expect("a hedge is considered");
    let back = hedge_at(fixture.submit_from(ms(260), &check, caller).1);
    let mut fresh = Fixture::new(2, 0);
    let new = hedge_at(fresh.submit_from(ms(260), &check, caller).1);
    assert!(back > new, "no hedge is in time for a call that came back: {back:?}, {new:?}");
}

/// Targets shed more than half of the calls, and callers come back once. Retries must be reserved
/// for calls that cannot come back again.
#[test]
fn calls_that_come_back_while_targets_shed_load_still_get_retries() {
    let mut fixture = Fixture::new(4, 0);
    let check = route("check", true);
    let sale = Arc::new(Route { priority: 0, ..Route::clone(&route("sale", false)) });
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut back: VecDeque<(u64, IpAddr)> = VecDeque::new();
    let mut refused = [0, 0];
    let mut retried = [0, 0];
    for at in (10..30_000_u32).step_by(5) {
        let [high, middle, low, _] = (at << 8).to_be_bytes();
        let returning = back.pop_front_if(|(due, _)| *due <= u64::from(at));
        let kind = usize::from(returning.is_some());
        let caller = returning.map_or([10, high, middle, low].into(), |(_, caller)| caller);
        let at = u64::from(at);
        // Sales use the same retry budget, but are not counted and do not come back.
        let is_sale = kind == 0 && random.random_bool(0.3);
        let route = if is_sale { &sale } else { &check };
        let (id, decision) = fixture.submit_from(ms(at), route, caller);
        let Decision::Start(start) = decision else { panic!("{decision:?}") };
        let outcome = match random.random_bool(0.55) {
            true => AttemptOutcome::Refused,
            false => AttemptOutcome::Answered { ok: true, bytes: 10 },
        };
        let decision = fixture.end_attempt(ms(at + 1), id, &start.target, outcome, None);
        fixture.balancer.forget(id);
        if outcome != AttemptOutcome::Refused || is_sale {
            continue;
        }
        let is_retried = matches!(decision, Decision::Start(_));
        refused[kind] += 1;
        retried[kind] += usize::from(is_retried);
        if !is_retried && kind == 0 {
            back.push_back((at + 40, caller));
        }
    }
    assert!(retried[1] * 10 >= refused[1] * 9, "{retried:?} of {refused:?} were retried");
}
