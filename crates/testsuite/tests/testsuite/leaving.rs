//! A leaving target gets no new call after two seconds.

use azuretally_standin::{
    platform::Faults as PlatformFaults,
    target::{Faults, GroupReport},
};
use azuretally_testsuite::{Fleet, LoadGenerator, Workload, eventually};
use std::time::Duration;
use tokio::time;

/// Time after which a leaving target must get no new calls.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time for which the calls of the target are then counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Budget for probes, which find that the target has been replaced, in ms of slot time per second.
const BUDGET_MS_PER_S: f64 = 100.0;
/// Time after which a new process of the target must have got a call.
const REPLACEMENT_LIMIT: Duration = Duration::from_secs(60);

const WORKLOAD: Workload = Workload {
    callers: 12,
    pause: Duration::from_millis(3),
    sale_every: 4,
    timeout: Duration::from_secs(2),
};

fn calls_at(report: &GroupReport, target: &str) -> u64 {
    report.targets[target].calls
}

/// Waits for the bound, then checks that `target` gets no call while other targets do.
async fn assert_gets_no_calls(fleet: &Fleet, target: &str) {
    time::sleep(LEAVING_BOUND).await;
    let before = fleet.target_report().await;
    time::sleep(OBSERVATION_TIME).await;
    let after = fleet.target_report().await;
    assert_eq!(
        calls_at(&after, target),
        calls_at(&before, target),
        "calls after {LEAVING_BOUND:?}"
    );
    let total = |report: &GroupReport| report.targets.values().map(|t| t.calls).sum::<u64>();
    assert!(total(&after) > total(&before) + 100, "the other targets got too few calls");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_calls_before_the_host_list_changes() {
    let fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    assert_gets_no_calls(&fleet, "till-1").await;
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_listed_as_leaving_gets_no_calls() {
    let mut fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.publish_hosts(&["till-2"], &[]).await;
    assert_gets_no_calls(&fleet, "till-2").await;
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_calls_during_a_platform_outage() {
    let fleet = Fleet::builder().start().await;
    fleet.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(0), Faults { drain: true, ..Faults::default() }).await;
    assert_gets_no_calls(&fleet, "till-0").await;
    fleet.verify(&load.finish().await).await;
}

/// The platform returns to a host list in which the target was not leaving yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_host_list_does_not_restore_a_leaving_target() {
    let mut fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    fleet.publish_hosts(&["till-3"], &[]).await;
    time::sleep(LEAVING_BOUND).await;
    let stale =
        PlatformFaults { stale_hosts: Some(1), ignore_after: true, ..PlatformFaults::default() };
    fleet.set_platform_faults(stale).await;
    assert_gets_no_calls(&fleet, "till-3").await;
    // A restarted entry reads the stale list first.
    fleet.entries[0].kill();
    fleet.restart(0);
    fleet.wait_until_entry_serves(&fleet.entries[0]).await;
    assert_gets_no_calls(&fleet, "till-3").await;
    fleet.verify(&load.finish().await).await;
}

/// Guards against an answer that says `draining` but not how many slots are in use, which entries
/// ignored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_that_reports_no_load_gets_no_calls() {
    let fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    let faults = Faults { drain: true, hide_load: true, ..Faults::default() };
    fleet.set_target_faults(Some(1), faults).await;
    assert_gets_no_calls(&fleet, "till-1").await;
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
}

/// Guards against entries that forget that a target drains when its record at the platform lapses
/// and returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_calls_after_its_record_returns() {
    let mut fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    time::sleep(LEAVING_BOUND).await;
    let before = fleet.target_report().await;
    fleet.publish_hosts(&[], &["till-1"]).await;
    time::sleep(LEAVING_BOUND).await;
    fleet.publish_hosts(&[], &[]).await;
    time::sleep(OBSERVATION_TIME).await;
    let after = fleet.target_report().await;
    assert_eq!(calls_at(&after, "till-1"), calls_at(&before, "till-1"));
    fleet.verify(&load.finish().await).await;
}

/// As above, with a single entry, which has seen the target drain itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_saw_a_target_drain_sends_it_no_calls_after_its_record_returns() {
    let mut fleet = Fleet::builder().entries(1).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    time::sleep(LEAVING_BOUND).await;
    let before = fleet.target_report().await;
    fleet.publish_hosts(&[], &["till-1"]).await;
    time::sleep(LEAVING_BOUND).await;
    fleet.publish_hosts(&[], &[]).await;
    time::sleep(OBSERVATION_TIME).await;
    let after = fleet.target_report().await;
    assert_eq!(calls_at(&after, "till-1"), calls_at(&before, "till-1"));
    fleet.verify(&load.finish().await).await;
}

/// Guards against a new process that gets no calls for good, under the name of a target that drained,
/// where the host list names no incarnations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_process_under_the_name_of_a_drained_target_gets_calls() {
    let mut fleet = Fleet::builder().published(|p| p.probe_budget = BUDGET_MS_PER_S).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    time::sleep(LEAVING_BOUND).await;
    fleet.publish_hosts(&[], &["till-1"]).await;
    time::sleep(LEAVING_BOUND).await;
    let before = fleet.target_report().await;
    fleet.set_target_faults(Some(1), Faults { cold: true, ..Faults::default() }).await;
    fleet.publish_hosts(&[], &[]).await;
    eventually("a call of the new process", REPLACEMENT_LIMIT, async || {
        let now = fleet.target_report().await;
        (calls_at(&now, "till-1") > calls_at(&before, "till-1")).then_some(())
    })
    .await;
    fleet.verify(&load.finish().await).await;
}
