//! Some targets say that they leave while others serve.

use super::{
    deployment::{Deployment, Plan},
    progress::{Progress, wait_until},
    target::Target,
    verdict::Verdict,
};
use rustix::process::Signal;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time for which calls go on after targets begin to say that they leave.
const RUN_TIME: Duration = Duration::from_secs(5);
/// Time for which targets say now and then that they leave.
const FLAP_TIME: Duration = Duration::from_millis(2_100);
/// Targets that say so, of twelve.
const LEAVING: usize = 3;
/// Number of callers, which the other targets can serve.
const CALLERS: usize = 16;
/// Gateway that is cut off from all targets.
const CUT_GATEWAY: u8 = 3;
/// Least number of calls that it must relay.
const LEAST_RELAYED: usize = 20;

fn plan(seed: u64) -> Plan {
    Plan { seed, callers: CALLERS, ..Plan::default() }
}

/// Lets `targets` say, or no longer say, that they leave.
fn set_leaving(targets: &[Arc<Target>], is_leaving: bool) {
    for target in targets {
        target.behavior.lock().is_leaving = is_leaving;
    }
}

/// Gateways went on sending calls to targets that said in their answers that they leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_say_that_they_leave_get_no_new_calls() {
    let deployment = Deployment::start(plan(51)).await;
    set_leaving(&deployment.targets[..LEAVING], true);
    wait_until(RUN_TIME, || has_left(&deployment)).await;
    check(deployment).await;
}

/// The same for gateways that cannot reach the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_say_that_they_leave_get_no_new_calls_without_a_platform() {
    let deployment = Deployment::start(plan(52)).await;
    deployment.platform.leave();
    set_leaving(&deployment.targets[..LEAVING], true);
    wait_until(RUN_TIME, || has_left(&deployment)).await;
    check(deployment).await;
}

/// A later answer without the field must not bring a target back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_answers_do_not_end_a_leaving() {
    let deployment = Deployment::start(plan(53)).await;
    let targets = &deployment.targets[..LEAVING];
    let progress = Progress::start(FLAP_TIME);
    while !progress.is_done(|| has_left(&deployment)) {
        set_leaving(targets, true);
        sleep(Duration::from_millis(300)).await;
        set_leaving(targets, false);
        sleep(Duration::from_millis(400)).await;
    }
    sleep(RUN_TIME).await;
    check(deployment).await;
}

/// A reload must not bring a target back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reloads_do_not_end_a_leaving() {
    let deployment = Deployment::start(plan(54)).await;
    set_leaving(&deployment.targets[..LEAVING], true);
    wait_until(Duration::from_secs(1), || has_left(&deployment)).await;
    set_leaving(&deployment.targets[..LEAVING], false);
    for _ in 0..3 {
        for gateway in &deployment.gateways {
            gateway.signal(Signal::HUP);
        }
        sleep(Duration::from_millis(500)).await;
    }
    sleep(RUN_TIME).await;
    check(deployment).await;
}

/// Gateways that relay calls for one that is cut off sent them to targets that leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relayed_calls_reach_no_leaving_target() {
    let mut deployment = Deployment::start(plan(55)).await;
    let cut = deployment.gateway_host(CUT_GATEWAY);
    deployment.shared.cut_hosts.lock().insert(cut);
    sleep(Duration::from_secs(2)).await;
    let cut_since = deployment.records.lock().len();
    set_leaving(&deployment.targets[..LEAVING], true);
    let relayed = || {
        let records = deployment.records.lock();
        records[cut_since..].iter().filter(|r| r.gateway.ip() == cut && r.is_served()).count()
    };
    let is_enough = || relayed() >= LEAST_RELAYED && has_left(&deployment);
    wait_until(RUN_TIME, is_enough).await;
    let relayed = relayed();
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment);
    println!("{verdict}relayed={relayed}");
    deployment.shut_down().await;
    verdict.assert_targets_left(LEAVING);
    assert!(relayed >= LEAST_RELAYED, "{relayed} calls were relayed; {verdict}");
}

fn has_left(deployment: &Deployment) -> bool {
    Verdict::new(deployment).has_left(LEAVING)
}

async fn check(mut deployment: Deployment) {
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment);
    println!("{verdict}");
    deployment.assert_calls_are_served().await;
    deployment.shut_down().await;
    verdict.assert_targets_left(LEAVING);
    verdict.assert_all_served();
}
