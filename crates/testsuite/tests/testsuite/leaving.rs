//! A leaving target gets no new call after two seconds.

use azuretally_standin::{
    platform::Faults as PlatformFaults,
    target::{Faults, GroupReport},
};
use azuretally_testsuite::{Fleet, LoadGenerator, Workload};
use std::time::Duration;
use tokio::time;

const BOUND: Duration = Duration::from_secs(2);
const WATCHED: Duration = Duration::from_secs(2);

const MIX: Workload = Workload {
    callers: 12,
    pause: Duration::from_millis(3),
    sale_every: 4,
    timeout: Duration::from_secs(2),
};

fn calls_at(ledger: &GroupReport, target: &str) -> u64 {
    ledger.targets[target].calls
}

/// Waits for the bound, then watches that `target` gets no call while others do.
async fn assert_left_alone(fleet: &Fleet, target: &str) {
    time::sleep(BOUND).await;
    let before = fleet.target_report().await;
    time::sleep(WATCHED).await;
    let after = fleet.target_report().await;
    assert_eq!(calls_at(&after, target), calls_at(&before, target), "calls after {BOUND:?}");
    let total = |l: &GroupReport| l.targets.values().map(|t| t.calls).sum::<u64>();
    assert!(total(&after) > total(&before) + 100, "the load must go on");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_that_says_it_drains_is_left_alone_though_the_list_lags() {
    let fleet = Fleet::builder().start().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    assert_left_alone(&fleet, "till-1").await;
    let tally = fleet.verify(&crowd.finish().await).await;
    assert_eq!(tally.indeterminate(), 0, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_on_the_leaving_list_is_left_alone() {
    let mut fleet = Fleet::builder().start().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    time::sleep(Duration::from_millis(300)).await;
    fleet.publish_hosts(&["till-2"], &[]).await;
    assert_left_alone(&fleet, "till-2").await;
    let tally = fleet.verify(&crowd.finish().await).await;
    assert_eq!(tally.indeterminate(), 0, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_is_left_alone_while_the_platform_is_down() {
    let fleet = Fleet::builder().start().await;
    fleet.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(0), Faults { drain: true, ..Faults::default() }).await;
    assert_left_alone(&fleet, "till-0").await;
    fleet.verify(&crowd.finish().await).await;
}

/// The platform falls back to a list from before the target was leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_list_does_not_bring_a_leaving_target_back() {
    let mut fleet = Fleet::builder().start().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    fleet.publish_hosts(&["till-3"], &[]).await;
    time::sleep(BOUND).await;
    let stale =
        PlatformFaults { stale_hosts: Some(1), ignore_after: true, ..PlatformFaults::default() };
    fleet.set_platform_faults(stale).await;
    assert_left_alone(&fleet, "till-3").await;
    // A replaced entry sees the stale list first.
    fleet.entries[0].kill();
    fleet.restart(0);
    fleet.wait_until_entry_serves(&fleet.entries[0]).await;
    assert_left_alone(&fleet, "till-3").await;
    fleet.verify(&crowd.finish().await).await;
}
