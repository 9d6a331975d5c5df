//! A burst beyond what the targets can run: hundreds of calls wait at one gateway, and calls, answers
//! and probes go on arriving. The gateway's own work for each of them must not depend on how many calls
//! wait, or it falls behind, reads calls late and holds them past their time limits.

use crate::fixture::{Fixture, idle_report, ms, record, route};
use azuretally_policy::{
    Timestamp,
    balance::{
        AttemptOutcome, Call, CallDigests, Change, Decision, LoadReport, ProbeResult, Route,
        TargetRecord,
    },
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const SLOTS: u32 = 4;
const TARGETS: u8 = 60;
/// Runs of which the fastest counts, since other processes may interrupt some.
const ROUNDS: usize = 20;

/// Creates targets with a call in each slot and `waiting` further calls, which have an hour to wait.
fn full_fixture(waiting: u64) -> (Fixture, Vec<(u64, Arc<str>)>) {
    let mut fixture = Fixture::new(1, 0);
    let targets = (0..TARGETS).map(|n| TargetRecord { slots: SLOTS, ..record(n, "a") });
    fixture.apply_changes(ms(0), targets.map(Change::Target).collect());
    let routes = [patient_route("check", 2), patient_route("sale", 1)];
    let mut running = Vec::new();
    let mut queued = 0;
    while queued < waiting {
        let (id, decision) = fixture.submit(ms(1), &routes[(queued % 2) as usize]);
        match decision {
            Decision::Start(start) => running.push((id, start.target)),
            Decision::Wait => queued += 1,
            other => panic!("{other:?}"),
        }
    }
    (fixture, running)
}

fn patient_route(name: &str, priority: u32) -> Arc<Route> {
    let (timeout, objective) = (Duration::from_secs(3_600), Duration::from_secs(60));
    Arc::new(Route { priority, timeout, objective, ..Route::clone(&route(name, true)) })
}

/// Returns the shortest time for the events of one call: it arrives, another one ends, and its caller
/// gets the answer.
fn shortest_event(waiting: u64) -> Duration {
    let (mut fixture, mut running) = full_fixture(waiting);
    let check = patient_route("check", 2);
    let report = LoadReport { running: SLOTS - 1, waiting: 0, slots: SLOTS, slowdown: None };
    let mut shortest = Duration::MAX;
    for round in 0..ROUNDS {
        let now = ms(1_000 + 5 * round as u64);
        let (id, target) = running.swap_remove(round);
        let start = Instant::now();
        fixture.submit(now, &check);
        let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
        fixture.end_attempt(now, id, &target, outcome, Some(report));
        let decisions = fixture.balancer.dispatch_waiting(now);
        fixture.balancer.forget(id);
        fixture.balancer.dispatch_waiting(now);
        shortest = shortest.min(start.elapsed());
        let started = decisions.iter().filter(|(_, d)| matches!(d, Decision::Start(_)));
        assert_eq!(started.count(), 1, "the free slot is used: {decisions:?}");
        for (id, decision) in decisions {
            if let Decision::Start(start) = decision {
                running.push((id, start.target));
            }
        }
    }
    shortest
}

#[test]
fn work_per_event_does_not_grow_with_the_number_of_waiting_calls() {
    let (few, many) = (shortest_event(20), shortest_event(480));
    assert!(many < few * 4, "{few:?} with 20 waiting calls, {many:?} with 480");
}

/// Calls of two routes wait. Those that can be in time go first, then the more urgent route, then the
/// earlier objective.
#[test]
fn waiting_calls_start_in_order_of_rank() {
    let mut fixture = Fixture::new(1, 0);
    let routes = [route("check", true), urgent_route()];
    let mut running = Vec::new();
    for _ in 0..2 {
        let (id, decision) = fixture.submit(ms(0), &routes[0]);
        let Decision::Start(start) = decision else { panic!("{decision:?}") };
        running.push((id, start.target));
    }
    let [late_check, late_sale] = [0, 1].map(|n| fixture.submit(ms(10), &routes[n]).0);
    let [check, sale] = [0, 1].map(|n| fixture.submit(ms(350), &routes[n]).0);
    let later_sale = fixture.submit(ms(351), &routes[1]).0;
    let mut order = Vec::new();
    for now in 360..480 {
        if let Some((id, target)) = running.pop() {
            let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
            fixture.end_attempt(ms(now), id, &target, outcome, None);
            fixture.balancer.forget(id);
        }
        // The late calls leave the free slots to other gateways for half of the expected time, 160 ms.
        for (id, decision) in fixture.balancer.dispatch_waiting(ms(now)) {
            let Decision::Start(start) = decision else { panic!("{decision:?}") };
            order.push(id);
            running.push((id, start.target));
        }
    }
    assert_eq!(order, [sale, later_sale, check, late_sale, late_check]);
}

fn urgent_route() -> Arc<Route> {
    Arc::new(Route { priority: 0, ..Route::clone(&route("sale", true)) })
}

/// A call is given up when its deadline cannot be met any more, wherever it stands in the queue.
#[test]
fn calls_that_miss_their_deadline_leave_the_queue_from_any_place() {
    let (mut fixture, _) = full_fixture(100);
    let brief = Arc::new(Route { priority: 0, ..Route::clone(&route("brief", true)) });
    let (id, decision) = submit_with_deadline(&mut fixture, &brief, ms(3_000));
    assert_eq!(decision, Decision::Wait);
    assert_eq!(fixture.balancer.dispatch_waiting(ms(1_500)), []);
    let decisions = fixture.balancer.dispatch_waiting(ms(2_990));
    let [(given_up, Decision::GiveUp { not_run: true, .. })] = decisions.as_slice() else {
        panic!("{decisions:?}")
    };
    assert_eq!(*given_up, id);
    assert_eq!(fixture.balancer.waiting_calls(), 100);
}

fn submit_with_deadline(
    fixture: &mut Fixture,
    route: &Arc<Route>,
    deadline: Timestamp,
) -> (u64, Decision) {
    let id = u64::MAX;
    let call = Call {
        id,
        route: Arc::clone(route),
        service: Arc::clone(&route.shares[0].service),
        objective: ms(1_400),
        deadline,
        caller: [10, 3, 0, 1].into(),
        replayable: true,
        relayed: false,
        digests: CallDigests::default(),
    };
    (id, fixture.balancer.submit(ms(1_000), call))
}

/// Targets report their slowdown and all free ones are slow: calls wait for better ones. An event that
/// says nothing new of the service's targets causes no new search.
#[test]
fn probes_of_waiting_calls_go_on_while_all_free_targets_are_slow() {
    let mut fixture = Fixture::before_first_answer(20, 0);
    let check = route("check", true);
    for n in 0..30 {
        fixture.submit(ms(n), &check);
    }
    let mut probed = 0;
    for at in (40..200).step_by(20) {
        for probe in fixture.balancer.take_probes() {
            probed += 1;
            fixture.balancer.probe_ended(ms(at), &probe, ProbeResult::Report(idle_report(6.0)));
        }
        fixture.balancer.dispatch_waiting(ms(at));
    }
    assert!(probed > 40, "{probed} probes");
}
