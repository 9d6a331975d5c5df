//! A planned stop cuts nothing off and loses nothing.

use azuretally_testsuite::{Call, Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

/// Longest time for a planned stop while calls take well under a second.
const STOP_BOUND: Duration = Duration::from_secs(10);

const MIX: Workload = Workload {
    callers: 24,
    pause: Duration::from_millis(2),
    sale_every: 3,
    timeout: Duration::from_secs(2),
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_under_load_cuts_no_call() {
    let mut fleet = Fleet::builder().targets(6).service_ms(8.0).start().await;
    let to = fleet.direction().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    time::sleep(Duration::from_millis(500)).await;
    let began = Instant::now();
    let entry = fleet.entry(&to.host);
    entry.process().terminate();
    let status = entry.process().wait_for_exit(STOP_BOUND).await;
    assert!(status.success(), "{status:?} after {:?}", began.elapsed());
    time::sleep(Duration::from_millis(500)).await;
    let tally = fleet.verify(&crowd.finish().await).await;
    assert_eq!(tally.indeterminate(), 0, "{tally:?}");
    assert!(tally.answered > 500, "{tally:?}");
}

/// Calls longer than the notice are finished as well.
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

/// Every entry is replaced in turn by a new incarnation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_of_all_entries_leaves_no_unknown_outcome() {
    let mut fleet = Fleet::builder().entries(4).targets(6).service_ms(8.0).start().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    for i in 0..fleet.entries.len() {
        let process = fleet.entries[i].process();
        process.terminate();
        process.wait_for_exit(STOP_BOUND).await;
        fleet.restart(i);
        fleet.wait_until_entry_serves(&fleet.entries[i]).await;
    }
    let made = crowd.finish().await;
    let tally = fleet.verify(&made).await;
    assert_eq!(tally.indeterminate(), 0, "{tally:?}");
    assert!(tally.answered > 1_000, "{tally:?}");
}
