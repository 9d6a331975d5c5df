//! Tests that decisions of the balancer reach the tasks of their calls.

mod stub;

use azuretally_gateway::{gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{
    Attempt, AttemptOutcome, AttemptResult, Call, CallDigest, Change, Decision, LimitField,
    LoadReport, Revision, Route, Share, Source,
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
        relayed: false,
        digest: CallDigest::default(),
        route: Arc::new(route),
    }
}

#[test]
fn decision_made_before_the_call_waits_for_it_is_kept() {
    let (probes, _probe_receiver) = mpsc::unbounded_channel();
    let gateway = Gateway::new(NativeAdapter, stub::settings(), probes);
    let now = gateway.clock.now();
    let changes = vec![Change::Target(stub::target(1, 1))];
    gateway.catalog.borrow_mut().apply(now, Revision::new(0, 1), changes, Source::Platform);
    gateway.apply_catalog(Source::Platform);
    stub::disable_probes(&gateway);

    let first = gateway.balancer.borrow_mut().submit(now, call(&gateway, 1));
    let Decision::Start(new_attempt) = first else { panic!("the only slot is free") };
    let second = gateway.balancer.borrow_mut().submit(now, call(&gateway, 2));
    assert_eq!(second, Decision::Wait);

    let result = AttemptResult {
        attempt: Attempt { call: 1, target: new_attempt.target },
        outcome: AttemptOutcome::Answered { ok: true, bytes: 1 },
        report: Some(LoadReport { running: 0, waiting: 0, slots: 1, slowdown: None }),
        limit: LimitField::Absent,
    };
    gateway.balancer.borrow_mut().attempt_ended(now, &result);
    gateway.dispatch_waiting();
    let mut receiver = gateway.await_decision(2);
    let decision = receiver.try_recv();
    assert!(matches!(decision, Ok(Decision::Start(_))), "the decision was lost: {decision:?}");
}
