//! A target that asks for rest gets no request until the rest has passed.

use crate::control::wait_for_full_membership;
use azuretally_standin::target::{Faults, GroupReport};
use azuretally_testsuite::{Call, Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::time;

/// Requests that may reach a target during a rest, from 0.5 s after it asked for it.
const MAX_IN_REST: u64 = 2;
/// Rest that the targets ask for.
const REST: Duration = Duration::from_secs(3);
/// Time in which a call that no target can take has to be refused.
const REFUSAL_BOUND: Duration = Duration::from_millis(500);

const WORKLOAD: Workload = Workload {
    callers: 12,
    pause: Duration::from_millis(3),
    sale_every: 4,
    timeout: Duration::from_secs(2),
};

fn resting() -> Faults {
    Faults { rest_ms: REST.as_millis() as u64, ..Faults::default() }
}

/// Checks that each of the targets asked for rest and got it.
fn assert_rested(report: &GroupReport, targets: &[&str]) {
    for target in targets {
        let counts = &report.targets[*target];
        assert!(counts.rests > 0, "{target} did not ask for rest: {counts:?}");
        assert!(counts.peak_in_rest <= MAX_IN_REST, "{target} got no rest: {counts:?}");
    }
}

/// Guards against calls sent to a target that has asked for rest, while others could take them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_gets_the_rest_that_it_asked_for() {
    let fleet = Fleet::builder().entries(1).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), resting()).await;
    time::sleep(REST * 2).await;
    assert_rested(&fleet.target_report().await, &["till-1"]);
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
    assert_eq!(outcomes.not_run, 0, "{outcomes:?}");
}

/// Guards against calls sent to resting targets because no other target is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_get_their_rest_when_all_ask_for_it() {
    let fleet = Fleet::builder().entries(1).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(None, resting()).await;
    time::sleep(REST / 2).await;
    let metrics = fleet.entries[0].metrics().await.unwrap();
    assert!(metrics.contains("azuretally_rests_total 4\n"), "{metrics}");
    assert!(metrics.contains("azuretally_targets_resting 4\n"), "{metrics}");
    time::sleep(REST * 3 / 2).await;
    assert_rested(&fleet.target_report().await, &["till-0", "till-1", "till-2", "till-3"]);
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
}

/// Guards against calls that wait until their deadline for a target although all of them rest for
/// longer, and against a retry delay that ends within the rest.
#[tokio::test]
async fn calls_are_refused_at_once_while_all_targets_rest() {
    let fleet = Fleet::builder().entries(1).targets(1).start().await;
    let to = fleet.direction().await;
    fleet.set_target_faults(None, resting()).await;
    for i in 0..3 {
        let call = Call::get("/till/balance", format!("c{i}")).timeout(Duration::from_secs(2));
        let sent = Instant::now();
        let reply = fleet.caller.call(to.address, &call).await.unwrap();
        assert!(reply.is_not_run(), "{reply:?}");
        assert!(sent.elapsed() < REFUSAL_BOUND, "call {i} after {:?}", sent.elapsed());
        let retry_after: u64 = reply.retry_after().unwrap().parse().unwrap();
        assert!(retry_after >= 2, "call {i} may be repeated after {retry_after} s");
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a rest that is forgotten when new settings or hosts are published.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rest_survives_a_reload() {
    let mut fleet = Fleet::builder().entries(1).start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), resting()).await;
    time::sleep(Duration::from_millis(700)).await;
    let mut changed = fleet.published.clone();
    changed.services[0].queue = 512;
    fleet.publish(&changed.to_toml(), None).await.unwrap();
    time::sleep(Duration::from_millis(300)).await;
    fleet.publish_hosts(&[], &["till-1"]).await;
    time::sleep(Duration::from_millis(400)).await;
    fleet.publish_hosts(&[], &[]).await;
    time::sleep(REST).await;
    assert_rested(&fleet.target_report().await, &["till-1"]);
    fleet.verify(&load.finish().await).await;
}

/// Guards against relayed calls that an entry sends to a target that has asked it for rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relayed_calls_leave_a_target_its_rest() {
    let fleet = Fleet::builder()
        .entries(3)
        .published(|p| {
            p.services[0].entry_set = 1;
            p.probe_budget = 0.0;
        })
        .start()
        .await;
    // Until the fleet has converged, two entries may dispatch calls, and a rest binds the entry that
    // was asked.
    wait_for_full_membership(&fleet).await;
    let to = fleet.direction().await;
    fleet.set_target_faults(Some(1), resting()).await;
    let other = fleet.entries.iter().find(|e| e.host != to.host).unwrap();
    let end = Instant::now() + REST * 2;
    let mut n = 0;
    while Instant::now() < end {
        let call = Call::get("/till/balance", format!("r{n}")).timeout(Duration::from_secs(2));
        let reply = fleet.caller.call(other.calls, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
        n += 1;
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_rested(&fleet.target_report().await, &["till-1"]);
}
