//! All targets of a service ask for rest.

use super::{
    deployment::{Deployment, Plan},
    progress::wait_until,
    target::Demand,
    verdict::Verdict,
    waves::{REST_MS, rest_in_waves},
};
use std::time::Duration;
use tokio::time::sleep;

/// Time for which targets ask for rest in waves.
const RUN_TIME: Duration = Duration::from_secs(10);
/// Time for which calls go on after the last wave.
const FOLLOW_UP: Duration = Duration::from_secs(4);
/// Least number of rests and of calls made while all targets rest.
const LEAST_RESTS: usize = 8;
const LEAST_CALLS: usize = 20;

/// Gateways went on sending calls to targets that had asked for rest once all targets of the service
/// had done so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_of_all_targets_in_waves_are_kept() {
    check_waves(Plan { seed: 1, ..Plan::default() }).await;
}

/// Gateways sent each call on to the only target although it rested.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_of_the_only_target_are_kept() {
    check_waves(Plan { seed: 2, targets: 1, slots: 16, ..Plan::default() }).await;
}

/// Many callers had every call sent on to a few targets that rested.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_of_few_targets_with_many_callers_are_kept() {
    check_waves(Plan { seed: 3, targets: 4, slots: 8, callers: 300, ..Plan::default() }).await;
}

/// Calls were sent anyway, or held up to their time limit, while all targets rested. They are refused
/// at once, with a time no shorter than the shortest rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_refused_at_once_while_all_targets_rest() {
    let mut deployment = Deployment::start(Plan { seed: 4, ..Plan::default() }).await;
    for target in &deployment.targets {
        target.ask(Demand::Text("3.5", Some(Duration::from_millis(3_500))));
    }
    let is_enough = || is_exercised(&deployment);
    wait_until(Duration::from_millis(1_500), is_enough).await;
    for target in &deployment.targets {
        target.ask(Demand::Nothing);
    }
    sleep(FOLLOW_UP).await;
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment, &[]);
    println!("{verdict}");
    deployment.assert_calls_are_served().await;
    deployment.shut_down().await;
    verdict.assert_refused_at_once(LEAST_CALLS);
    verdict.assert_rests_kept(LEAST_RESTS);
}

/// A gateway that is cut off from all targets relays calls to gateways that are asked for rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_are_kept_for_relayed_calls() {
    let mut deployment = Deployment::start(Plan { seed: 5, ..Plan::default() }).await;
    let cut = deployment.gateway_host(3);
    deployment.shared.cut_hosts.lock().insert(cut);
    sleep(Duration::from_secs(2)).await;
    let cut_since = deployment.records.lock().len();
    for target in &deployment.targets {
        target.ask(Demand::Between(REST_MS));
    }
    let is_enough = || Verdict::new(&deployment, &[cut]).has_rests(LEAST_RESTS);
    wait_until(Duration::from_secs(1), is_enough).await;
    for target in &deployment.targets {
        target.ask(Demand::Nothing);
    }
    let relayed = || {
        let records = deployment.records.lock();
        records[cut_since..].iter().filter(|r| r.gateway.ip() == cut && r.is_served()).count()
    };
    wait_until(FOLLOW_UP, || relayed() >= LEAST_CALLS).await;
    let relayed = relayed();
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment, &[cut]);
    println!("{verdict}served at the gateway that is cut off: {relayed}");
    deployment.shut_down().await;
    verdict.assert_rests_kept(LEAST_RESTS);
    assert!(relayed >= LEAST_CALLS, "{relayed} calls were relayed; {verdict}");
}

/// Returns whether enough rests were asked for and enough calls made while all targets rested.
fn is_exercised(deployment: &Deployment) -> bool {
    let verdict = Verdict::new(deployment, &[]);
    verdict.has_rests(LEAST_RESTS) && verdict.has_hopeless(LEAST_CALLS)
}

async fn check_waves(plan: Plan) {
    let mut deployment = Deployment::start(plan).await;
    let is_enough = || is_exercised(&deployment);
    rest_in_waves(&deployment, &deployment.targets, RUN_TIME, is_enough).await;
    sleep(FOLLOW_UP).await;
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment, &[]);
    println!("{verdict}");
    deployment.assert_calls_are_served().await;
    deployment.shut_down().await;
    verdict.assert_rests_kept(LEAST_RESTS);
    verdict.assert_refused_at_once(LEAST_CALLS);
}
