//! A planned stop interrupts no call and loses none.

use azuretally_testsuite::{Call, Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

/// Longest time for a planned stop if calls take well under a second. The calls of 3.5 s of
/// `planned_stop_finishes_long_calls` must end within it too.
const STOP_BOUND: Duration = Duration::from_secs(10);

const WORKLOAD: Workload = Workload {
    callers: 24,
    pause: Duration::from_millis(2),
    sale_every: 3,
    timeout: Duration::from_secs(2),
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_under_load_interrupts_no_call() {
    let mut fleet = Fleet::builder().targets(6).service_ms(8.0).start().await;
    let to = fleet.direction().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    let entry = fleet.entry(&to.host);
    entry.process().terminate();
    let status = entry.process().wait_for_exit(STOP_BOUND).await;
    assert!(status.success(), "{status:?} after {:?}", start.elapsed());
    time::sleep(Duration::from_millis(500)).await;
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
    assert!(outcomes.answered > 500, "{outcomes:?}");
}

/// Calls that take longer than the notice period of a planned stop are finished too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_finishes_long_calls() {
    let mut fleet = Fleet::builder().published(|p| p.urgent_ms = 8_000).start().await;
    let to = fleet.direction().await;
    let mut calls = JoinSet::new();
    for i in 0..4 {
        let (caller, at) = (fleet.caller.clone(), to.address);
        let call = match i % 2 {
            0 => Call::get("/till/balance", format!("l{i}")).service_ms(3_500),
            _ => Call::sale(format!("l{i}"), &to).service_ms(3_500),
        };
        calls.spawn(async move { (caller.call(at, &call).await, call) });
    }
    time::sleep(Duration::from_millis(400)).await;
    let entry = fleet.entry(&to.host);
    entry.process().terminate();
    entry.process().wait_for_exit(STOP_BOUND).await;
    for (result, call) in calls.join_all().await {
        let reply = result.unwrap();
        assert!(reply.is_answered(), "{call:?}: {reply:?}");
        assert!(call.is_own_response(&reply.body));
    }
}

/// All entries are replaced one after the other by new incarnations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_of_all_entries_leaves_no_unknown_outcome() {
    let mut fleet = Fleet::builder().entries(4).targets(6).service_ms(8.0).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    for i in 0..fleet.entries.len() {
        let process = fleet.entries[i].process();
        process.terminate();
        process.wait_for_exit(STOP_BOUND).await;
        fleet.restart(i);
        fleet.wait_until_entry_serves(&fleet.entries[i]).await;
    }
    let completed = load.finish().await;
    let outcomes = fleet.verify(&completed).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
    assert!(outcomes.answered > 1_000, "{outcomes:?}");
}
