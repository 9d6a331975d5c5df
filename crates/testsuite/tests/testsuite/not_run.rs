//! A call refused as not run was not run, and never will be.

use azuretally_api::record::Outcome;
use azuretally_standin::{proxy::Faults as LinkFaults, target::Faults};
use azuretally_testsuite::{Call, CompletedCall, Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

/// Time in which a call that was refused would show at a target after all.
const LATER: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_calls_never_run_under_overload() {
    let fleet = Fleet::builder()
        .targets(2)
        .service_ms(20.0)
        .published(|p| p.services[0].queue = 16)
        .start()
        .await;
    let mix = Workload {
        callers: 60,
        pause: Duration::from_millis(1),
        sale_every: 2,
        timeout: Duration::from_millis(150),
    };
    let crowd = LoadGenerator::start(&fleet, mix);
    time::sleep(Duration::from_secs(2)).await;
    let made = crowd.finish().await;
    let tally = fleet.verify(&made).await;
    assert!(tally.not_run > 50, "the overload must show: {tally:?}");
    assert!(tally.answered > 50, "{tally:?}");
    time::sleep(LATER).await;
    assert_eq!(fleet.verify(&made).await, tally);
}

/// The caller hears of a refusal at once, not near its deadline.
#[tokio::test]
async fn hopeless_calls_are_refused_at_once() {
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
    time::sleep(LATER).await;
    assert_eq!(fleet.starts(call.run_key()).await, 0);
}

/// A target that took the call and never answers leaves the outcome unknown.
#[tokio::test]
async fn hanging_target_is_unknown_and_not_not_run() {
    let fleet = Fleet::builder().entries(1).targets(2).start().await;
    let to = fleet.direction().await;
    fleet.set_target_faults(None, Faults { hang: true, ..Faults::default() }).await;
    let calls = [Call::get("/till/balance", "b"), Call::sale("s", &to)];
    let mut made = Vec::new();
    for call in calls {
        let call = call.timeout(Duration::from_millis(600));
        let sent = Instant::now();
        let result = fleet.caller.call(to.address, &call).await;
        let reply = result.as_ref().unwrap();
        assert!(fleet.starts(call.run_key()).await >= 1, "{reply:?}");
        assert_eq!(reply.outcome(), Some(Outcome::Unknown), "{call:?}: {reply:?}");
        made.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
    }
    fleet.set_target_faults(None, Faults::default()).await;
    time::sleep(LATER).await;
    fleet.verify(&made).await;
}

/// A relayed call whose answer is lost between two entries may have run.
#[tokio::test]
async fn relay_that_loses_its_answer_is_not_called_not_run() {
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
    let mut made = Vec::new();
    for (i, entry) in fleet.entries.iter().filter(|e| e.host != to.host).enumerate() {
        let calls = [Call::get("/till/balance", format!("b{i}")), Call::sale(format!("s{i}"), &to)];
        for call in calls {
            let call = call.timeout(Duration::from_millis(700));
            let sent = Instant::now();
            let result = fleet.caller.call(entry.calls, &call).await;
            made.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
        }
    }
    link.set_faults(LinkFaults::default());
    time::sleep(LATER).await;
    fleet.verify(&made).await;
}

/// Callers that go away while waiting are not served in their absence.
#[tokio::test]
async fn waiting_calls_of_callers_that_left_do_not_take_slots() {
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
    let ledger = fleet.target_report().await;
    let starts: u64 =
        (0..10).filter_map(|i| ledger.runs.get(&format!("w{i}"))).map(|r| r.starts).sum();
    assert!(starts <= 4, "{starts} runs for callers that stayed for 250 ms");
}
