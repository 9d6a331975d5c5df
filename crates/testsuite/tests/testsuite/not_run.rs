//! A call that was refused as not run did not run and does not run later.

use azuretally_api::record::Outcome;
use azuretally_standin::{proxy::Faults as LinkFaults, target::Faults};
use azuretally_testsuite::{Call, CompletedCall, Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

/// Time after which a refused call that still ran would have reached a target.
const SETTLE_TIME: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_refused_under_overload_never_run() {
    let fleet = Fleet::builder()
        .targets(2)
        .service_ms(20.0)
        .published(|p| p.services[0].queue = 16)
        .start()
        .await;
    let workload = Workload {
        callers: 60,
        pause: Duration::from_millis(1),
        sale_every: 2,
        timeout: Duration::from_millis(150),
    };
    let load = LoadGenerator::start(&fleet, workload);
    time::sleep(Duration::from_secs(2)).await;
    let completed = load.finish().await;
    let outcomes = fleet.verify(&completed).await;
    assert!(outcomes.not_run > 50, "the fleet was not overloaded: {outcomes:?}");
    assert!(outcomes.answered > 50, "{outcomes:?}");
    time::sleep(SETTLE_TIME).await;
    assert_eq!(fleet.verify(&completed).await, outcomes);
}

/// A refusal is sent at once and not only when the timeout of the call has almost passed.
#[tokio::test]
async fn calls_without_an_available_target_are_refused_at_once() {
    let mut fleet = Fleet::builder().entries(1).targets(2).start().await;
    let to = fleet.direction().await;
    fleet.publish_hosts(&["till-0", "till-1"], &[]).await;
    azuretally_testsuite::eventually("no target is left", Duration::from_secs(4), async || {
        let call = Call::get("/till/balance", "probe").timeout(Duration::from_secs(4));
        let sent = Instant::now();
        let reply = fleet.caller.call(to.address, &call).await.ok()?;
        (reply.is_not_run() && sent.elapsed() < Duration::from_millis(500)).then_some(())
    })
    .await;
    let call = Call::sale("late", &to).timeout(Duration::from_secs(5));
    let sent = Instant::now();
    let reply = fleet.caller.call(to.address, &call).await.unwrap();
    assert!(reply.is_not_run(), "{reply:?}");
    assert!(reply.retry_after().is_some(), "{reply:?}");
    assert!(sent.elapsed() < Duration::from_millis(500), "after {:?}", sent.elapsed());
    time::sleep(SETTLE_TIME).await;
    assert_eq!(fleet.starts(call.run_key()).await, 0);
}

/// If a target started the call and never responds, the outcome is unknown.
#[tokio::test]
async fn call_at_a_hanging_target_has_an_unknown_outcome() {
    let fleet = Fleet::builder().entries(1).targets(2).start().await;
    let to = fleet.direction().await;
    fleet.set_target_faults(None, Faults { hang: true, ..Faults::default() }).await;
    let calls = [Call::get("/till/balance", "b"), Call::sale("s", &to)];
    let mut completed = Vec::new();
    for call in calls {
        let call = call.timeout(Duration::from_millis(600));
        let sent = Instant::now();
        let result = fleet.caller.call(to.address, &call).await;
        let reply = result.as_ref().unwrap();
        assert!(fleet.starts(call.run_key()).await >= 1, "{reply:?}");
        assert_eq!(reply.outcome(), Some(Outcome::Unknown), "{call:?}: {reply:?}");
        completed.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
    }
    fleet.set_target_faults(None, Faults::default()).await;
    time::sleep(SETTLE_TIME).await;
    fleet.verify(&completed).await;
}

/// An earlier refusal that is written once more, while the target runs the next call, does not refuse that
/// call: it was sent again, or reported as not run.
#[tokio::test]
async fn second_copy_of_a_refusal_refuses_no_other_call() {
    let fleet = Fleet::builder().entries(1).targets(1).slots(1).links().start().await;
    let to = fleet.direction().await;
    let faults = LinkFaults { repeat_answers: true, ..LinkFaults::default() };
    for round in 0..5 {
        // The slot is in use, so that the target refuses the call before it takes it.
        let blocker = Call::get("/till/balance", format!("blocker-{round}")).service_ms(300);
        let caller = fleet.caller.clone();
        let at = fleet.target_address(0);
        let blocking = tokio::spawn(async move { caller.call(at, &blocker).await });
        time::sleep(Duration::from_millis(50)).await;
        fleet.target_links[0].set_faults(faults);
        let call = Call::sale(format!("s{round}"), &to).timeout(Duration::from_millis(1_500));
        let reply = fleet.caller.call(to.address, &call).await.unwrap();
        fleet.target_links[0].set_faults(LinkFaults::default());
        blocking.await.unwrap().unwrap();
        time::sleep(Duration::from_millis(200)).await;
        let starts = fleet.starts(call.run_key()).await;
        assert!(starts <= 1, "{starts} runs: {reply:?}");
        assert!(!reply.is_not_run() || starts == 0, "it ran: {reply:?}");
        assert!(!reply.is_answered() || call.is_own_response(&reply.body), "{reply:?}");
    }
    let report = fleet.target_report().await;
    assert!(report.targets.values().any(|t| t.refused_busy > 0), "no call was refused");
}

/// A relayed call whose response is lost between two entries may have run.
#[tokio::test]
async fn relayed_call_with_a_lost_response_is_not_reported_as_not_run() {
    let fleet = Fleet::builder()
        .entries(3)
        .links()
        .published(|p| p.services[0].entry_set = 1)
        .start()
        .await;
    let to = fleet.direction().await;
    let links = fleet.entries.iter().zip(&fleet.call_links);
    let (_, link) = links.clone().find(|(e, _)| e.host == to.host).unwrap();
    link.set_faults(LinkFaults { drop_backward: true, ..LinkFaults::default() });
    let mut completed = Vec::new();
    for (i, entry) in fleet.entries.iter().filter(|e| e.host != to.host).enumerate() {
        let calls = [Call::get("/till/balance", format!("b{i}")), Call::sale(format!("s{i}"), &to)];
        for call in calls {
            let call = call.timeout(Duration::from_millis(700));
            let sent = Instant::now();
            let result = fleet.caller.call(entry.calls, &call).await;
            completed.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
        }
    }
    link.set_faults(LinkFaults::default());
    time::sleep(SETTLE_TIME).await;
    fleet.verify(&completed).await;
}

/// Queued calls must not be run after their callers disconnected.
#[tokio::test]
async fn queued_calls_of_disconnected_callers_take_no_slots() {
    let fleet = Fleet::builder().entries(1).targets(1).slots(1).service_ms(100.0).start().await;
    let at = fleet.entries[0].calls;
    let mut calls = JoinSet::new();
    for i in 0..10_u64 {
        let caller = azuretally_testsuite::Caller::default();
        let call =
            Call::get("/till/balance", format!("w{i}")).client_timeout(Duration::from_millis(250));
        calls.spawn(async move { caller.call(at, &call).await });
    }
    calls.join_all().await;
    time::sleep(Duration::from_millis(500)).await;
    let report = fleet.target_report().await;
    let starts: u64 =
        (0..10).filter_map(|i| report.runs.get(&format!("w{i}"))).map(|r| r.starts).sum();
    assert!(starts <= 4, "{starts} runs for callers that disconnected after 250 ms");
}
