//! Orders of the balancer reach the tasks of their calls.

mod stub;

use azuretally_gateway::{gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{
    Attempt, AttemptOutcome, AttemptResult, Call, Change, Decision, LoadReport, Route, Share,
    Source,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

fn call(gateway: &Gateway<NativeAdapter>, id: u64) -> Call {
    let now = gateway.clock.now();
    let route = Route {
        name: Arc::from("check"),
        host: Arc::from("host"),
        prefix: Arc::from("/check/"),
        idempotent: true,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(2),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from("service"), weight: 1 }],
    };
    Call {
        id,
        service: Arc::from("service"),
        objective: now + route.objective,
        deadline: now + route.timeout,
        caller: std::net::Ipv4Addr::LOCALHOST.into(),
        replayable: true,
        route: Arc::new(route),
    }
}

#[test]
fn order_given_before_the_call_waits_for_it_is_kept() {
    let (probes, _orders) = mpsc::unbounded_channel();
    let gateway = Gateway::new(NativeAdapter, stub::settings(), probes);
    let now = gateway.clock.now();
    let changes = vec![Change::Target(stub::target(1, 1))];
    gateway.catalog.borrow_mut().apply(now, 1, changes, Source::Platform);
    gateway.apply_catalog(Source::Platform);
    stub::set_untold(&gateway);

    let first = gateway.balancer.borrow_mut().submit(now, call(&gateway, 1));
    let Decision::Start(start) = first else { panic!("the only slot is free") };
    let second = gateway.balancer.borrow_mut().submit(now, call(&gateway, 2));
    assert_eq!(second, Decision::Wait);

    let ending = AttemptResult {
        attempt: Attempt { call: 1, target: start.target },
        outcome: AttemptOutcome::Answered { ok: true, bytes: 1 },
        report: Some(LoadReport { running: 0, waiting: 0, slots: 1, slowdown: None }),
    };
    gateway.balancer.borrow_mut().attempt_ended(now, &ending);
    gateway.dispatch_waiting();
    let mut owed = gateway.await_decision(2);
    let order = owed.try_recv();
    assert!(matches!(order, Ok(Decision::Start(_))), "the order was lost: {order:?}");
}
