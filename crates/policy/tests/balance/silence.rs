//! Targets that do not answer: a second attempt is made beside the first one, which is never given up
//! while nothing better has come.

use crate::fixture::{World, ms, route, started};
use azuretally_policy::balance::{Hedge, Order};

#[test]
fn silent_attempt_gets_a_second_one_beside_it() {
    let mut world = World::new(3, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    let first = started(order);
    let mut at = first.hedge_at.expect("a second attempt is considered");
    let second = loop {
        match world.balancer.hedge(at, id) {
            Hedge::Start(start) => break start,
            Hedge::Later(later) => at = later,
            Hedge::Never => panic!("no second attempt at {at:?}"),
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
    assert_eq!(world.balancer.hedge(ms(500), id), Hedge::Never);
}

#[test]
fn call_under_way_at_its_deadline_is_not_said_to_be_not_run() {
    let mut world = World::new(1, 0);
    let (id, order) = world.arrive(ms(0), &route("check", true));
    started(order);
    let order = world.balancer.expire(id);
    assert!(matches!(order, Order::GiveUp { not_run: false, .. }), "{order:?}");
}
