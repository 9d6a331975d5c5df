//! Load patterns of heavy days: more calls than slots, machines that are slow for a moment, and the
//! backlog after an outage.

use crate::fixture::{World, idle, ms, route, started};
use azuretally_policy::balance::{AttemptOutcome, Decision, LoadReport, ProbeResult, Route};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::VecDeque, net::IpAddr, sync::Arc};

/// Answers every probe that is ordered with `pace`.
fn answer_probes(world: &mut World, at: u64, pace: f64) -> usize {
    let probes = world.balancer.take_probes();
    for probe in &probes {
        world.balancer.probe_ended(ms(at), probe, ProbeResult::Report(idle(pace)));
    }
    probes.len()
}

/// A world whose targets are known to tell their pace.
fn telling(near: u8, far: u8) -> World {
    let mut world = World::fresh(near, far);
    let check = route("check", true);
    let (id, _) = world.arrive(ms(0), &check);
    answer_probes(&mut world, 0, 1.0);
    let orders = world.balancer.dispatch_waiting(ms(0));
    let [(_, Decision::Start(start))] = orders.as_slice() else { panic!("{orders:?}") };
    let verdict = AttemptOutcome::Answered { ok: true, bytes: 100 };
    world.end(ms(160), id, &start.target, verdict, Some(idle(1.0)));
    world.balancer.forget(id);
    world
}

/// Restart of all gateways under load: the first calls do not go blindly to slow or full targets.
#[test]
fn first_calls_after_a_start_ask_targets_for_their_load() {
    let mut world = World::fresh(4, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    assert_eq!(order, Decision::Wait);
    let probes = world.balancer.take_probes();
    let [slow, usual] = probes.as_slice() else { panic!("{probes:?}") };
    world.balancer.probe_ended(ms(1), slow, ProbeResult::Report(idle(5.0)));
    world.balancer.probe_ended(ms(1), usual, ProbeResult::Report(idle(1.0)));
    let orders = world.balancer.dispatch_waiting(ms(1));
    let [(first, Decision::Start(start))] = orders.as_slice() else { panic!("{orders:?}") };
    assert_eq!((*first, &start.target), (id, &usual.target));
}

/// A service whose targets tell nothing: only until the first one has answered are they asked.
#[test]
fn targets_that_tell_no_load_are_not_asked_again() {
    let mut world = World::fresh(4, 0);
    let check = route("check", true);
    world.arrive(ms(0), &check);
    for probe in world.balancer.take_probes() {
        world.balancer.probe_ended(ms(1), &probe, ProbeResult::NoReport);
    }
    assert!(matches!(world.balancer.dispatch_waiting(ms(1)).as_slice(), [(_, Decision::Start(_))]));
    started(world.arrive(ms(10), &check).1);
    assert_eq!(world.balancer.take_probes(), []);
}

/// Moving slowness: a quarter of the machines is five times slower at any moment.
#[test]
fn call_waits_while_all_free_machines_are_slow_and_starts_on_the_first_usual_one() {
    let mut world = telling(2, 0);
    let (id, order) = world.arrive(ms(1_000), &route("check", true));
    assert_eq!(order, Decision::Wait);
    assert!(answer_probes(&mut world, 1_001, 5.0) > 0, "free targets are probed first");
    assert_eq!(world.balancer.dispatch_waiting(ms(1_001)), []);
    // Reports are believed for a moment only; then the targets are asked again.
    world.balancer.dispatch_waiting(ms(1_060));
    assert!(answer_probes(&mut world, 1_061, 1.0) > 0, "targets are asked again");
    let orders = world.balancer.dispatch_waiting(ms(1_061));
    assert!(
        matches!(orders.as_slice(), [(first, Decision::Start(_))] if *first == id),
        "{orders:?}"
    );
}

/// Moving slowness, drawn anew every 150 ms: a report of 25 ms ago says too little about now.
#[test]
fn target_is_asked_again_when_its_report_is_old() {
    let mut world = telling(1, 0);
    let check = route("check", true);
    let (id, _) = world.arrive(ms(1_000), &check);
    answer_probes(&mut world, 1_000, 1.0);
    assert_eq!(world.balancer.dispatch_waiting(ms(1_000)).len(), 1, "call {id} starts");
    let (second, order) = world.arrive(ms(1_025), &check);
    assert_eq!(order, Decision::Wait, "call {second} waits for a report");
    assert_eq!(answer_probes(&mut world, 1_026, 1.0), 1);
}

/// Backlog: a call that would end after its deadline takes no slot from the others.
#[test]
fn call_that_would_end_after_its_deadline_is_not_started() {
    let mut world = telling(1, 0);
    let check = route("check", true);
    let (id, _) = world.arrive(ms(1_000), &check);
    answer_probes(&mut world, 1_001, 5.0);
    for at in (1_001..1_900).step_by(20) {
        let orders = world.balancer.dispatch_waiting(ms(at));
        answer_probes(&mut world, at, 5.0);
        let Some((call, order)) = orders.into_iter().next() else { continue };
        assert_eq!(call, id);
        // Five times 160 ms, from the moment of the start.
        match order {
            Decision::Start(start) => assert!(at + start.expected_ms < 2_000, "{at}: {start:?}"),
            order => assert!(matches!(order, Decision::GiveUp { not_run: true, .. }), "{order:?}"),
        }
        return;
    }
    panic!("the call was neither started nor given up");
}

/// Burst: calls that can be answered in time go before those that cannot, by rank.
#[test]
fn call_that_can_be_in_time_goes_before_a_late_one() {
    let mut world = World::new(1, 0);
    let check = route("check", true);
    let (first, order) = world.arrive(ms(0), &check);
    let target = started(order).target;
    let (_, order) = world.arrive(ms(0), &check);
    started(order);
    let (late, order) = world.arrive(ms(1), &check);
    assert_eq!(order, Decision::Wait);
    let (fresh, order) = world.arrive(ms(300), &check);
    assert_eq!(order, Decision::Wait);
    let verdict = AttemptOutcome::Answered { ok: true, bytes: 100 };
    let report = LoadReport { running: 1, waiting: 0, slots: 2, slowdown: None };
    world.end(ms(310), first, &target, verdict, Some(report));
    let orders = world.balancer.dispatch_waiting(ms(310));
    let started: Vec<u64> = orders.iter().map(|(id, _)| *id).collect();
    assert_eq!(started, [fresh], "call {late} cannot be answered in time any more");
}

/// Restart under load: a gateway too busy to take answers of probes in does not call targets bad.
#[test]
fn unanswered_probes_keep_a_target_out_for_a_moment_only() {
    let mut world = telling(1, 0);
    let check = route("check", true);
    world.arrive(ms(1_000), &check);
    for at in [1_000, 1_150] {
        world.balancer.dispatch_waiting(ms(at));
        for probe in world.balancer.take_probes() {
            world.balancer.probe_ended(ms(at + 80), &probe, ProbeResult::NoAnswer);
        }
    }
    let mut probed = 0;
    for at in (1_240..1_800).step_by(20) {
        world.balancer.dispatch_waiting(ms(at));
        probed += answer_probes(&mut world, at, 1.0);
    }
    assert!(probed > 0, "the target is asked again before the call is lost");
}

/// All targets became slower than any call may take: calls still show when that is over.
#[test]
fn calls_are_tried_however_slow_the_targets_were() {
    let mut world = World::new(1, 0);
    let check = route("check", true);
    for round in 0..60 {
        let at = round * 2_000;
        let (id, order) = world.arrive(ms(at), &check);
        let Decision::Start(start) = order else { panic!("round {round}: {order:?}") };
        let verdict = AttemptOutcome::Answered { ok: true, bytes: 100 };
        world.end(ms(at + 990), id, &start.target, verdict, None);
        world.balancer.forget(id);
    }
}

/// Targets shed half of the calls: there are fewer second tries than calls that need one.
#[test]
fn second_tries_that_are_short_go_to_the_most_urgent_calls() {
    let mut world = World::new(4, 0);
    let check = route("check", true);
    let sale = Arc::new(Route { priority: 0, ..Route::clone(&route("sale", false)) });
    let mut again = [0, 0];
    for n in 0..600 {
        let at = 10 + n * 20;
        let (kind, route) = if n % 5 == 0 { (1, &sale) } else { (0, &check) };
        let (id, order) = world.arrive(ms(at), route);
        if let Decision::Start(start) = order {
            let verdict = AttemptOutcome::Refused;
            let order = world.end(ms(at + 1), id, &start.target, verdict, None);
            again[kind] += usize::from(matches!(order, Decision::Start(_)));
        }
        world.balancer.forget(id);
    }
    assert!(again[1] >= 108, "{} of 120 urgent calls were tried again", again[1]);
    assert!(again[0] > 0, "the others use what is left");
}

/// Targets shed half of the calls: a call that is refused for the first time can come back, one that
/// came back cannot.
#[test]
fn second_tries_that_are_short_go_to_calls_that_came_back() {
    let mut world = World::new(4, 0);
    let check = route("check", true);
    let mut again = [0, 0];
    for n in 0..600_u64 {
        let at = 10 + n * 20;
        // Each fifth caller was refused 20 ms before; the others are new.
        let kind = usize::from(n % 5 == 1);
        let number = if kind == 1 { n - 1 } else { n };
        let [.., high, low] = number.to_be_bytes();
        let (id, order) = world.arrive_from(ms(at), &check, [10, 2, high, low].into());
        if let Decision::Start(start) = order {
            let order = world.end(ms(at + 1), id, &start.target, AttemptOutcome::Refused, None);
            // The call that comes back next is refused whatever budget there is.
            let counted = n % 5 != 0;
            again[kind] += usize::from(counted && matches!(order, Decision::Start(_)));
            if !counted && let Decision::Start(start) = order {
                world.end(ms(at + 2), id, &start.target, AttemptOutcome::Refused, None);
            }
        }
        world.balancer.forget(id);
    }
    assert!(again[1] >= 108, "{} of 120 calls that came back were tried again", again[1]);
    assert!(again[0] > 0, "the others use what is left");
}

/// A call that comes back has less time left until its objective than a new one.
#[test]
fn call_that_comes_back_keeps_its_objective() {
    let mut world = World::new(2, 0);
    let check = route("check", true);
    let caller = [10, 2, 0, 1].into();
    let (id, mut order) = world.arrive_from(ms(0), &check, caller);
    while let Decision::Start(start) = order {
        order = world.end(ms(10), id, &start.target, AttemptOutcome::Refused, None);
    }
    assert!(matches!(order, Decision::GiveUp { not_run: true, .. }), "{order:?}");
    let hedge_at = |order| started(order).hedge_at.expect("a second attempt is considered");
    let back = hedge_at(world.arrive_from(ms(260), &check, caller).1);
    let mut fresh = World::new(2, 0);
    let new = hedge_at(fresh.arrive_from(ms(260), &check, caller).1);
    assert!(
        back > new,
        "no second attempt is in time for a call that came back: {back:?}, {new:?}"
    );
}

/// Targets shed over half of the calls, and callers come back once: second tries are kept for those
/// that cannot come back again.
#[test]
fn calls_that_come_back_while_targets_shed_find_second_tries_left() {
    let mut world = World::new(4, 0);
    let check = route("check", true);
    let sale = Arc::new(Route { priority: 0, ..Route::clone(&route("sale", false)) });
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut back: VecDeque<(u64, IpAddr)> = VecDeque::new();
    let mut refused = [0, 0];
    let mut again = [0, 0];
    for at in (10..30_000_u32).step_by(5) {
        let [high, middle, low, _] = (at << 8).to_be_bytes();
        let returning = back.pop_front_if(|(due, _)| *due <= u64::from(at));
        let kind = usize::from(returning.is_some());
        let caller = returning.map_or([10, high, middle, low].into(), |(_, caller)| caller);
        let at = u64::from(at);
        // Callers of sales come back too; what becomes of them is not counted.
        let is_sale = kind == 0 && random.random_bool(0.3);
        let route = if is_sale { &sale } else { &check };
        let (id, order) = world.arrive_from(ms(at), route, caller);
        let Decision::Start(start) = order else { panic!("{order:?}") };
        let verdict = match random.random_bool(0.55) {
            true => AttemptOutcome::Refused,
            false => AttemptOutcome::Answered { ok: true, bytes: 10 },
        };
        let order = world.end(ms(at + 1), id, &start.target, verdict, None);
        world.balancer.forget(id);
        if verdict != AttemptOutcome::Refused || is_sale {
            continue;
        }
        let tried = matches!(order, Decision::Start(_));
        refused[kind] += 1;
        again[kind] += usize::from(tried);
        if !tried && kind == 0 {
            back.push_back((at + 40, caller));
        }
    }
    assert!(again[1] * 10 >= refused[1] * 9, "{again:?} of {refused:?} were tried again");
}
