//! Leaving targets whose records or processes change.

use super::{
    deployment::{Deployment, Plan},
    progress::wait_until,
    verdict::Verdict,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time until all gateways have got an answer of the leaving target.
const HEARING_TIME: Duration = Duration::from_secs(1);
/// Time for which calls go on.
const RUN_TIME: Duration = Duration::from_secs(4);

/// A leaving target must not come back when its record lapses and returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lapses_of_the_record_do_not_end_a_leaving() {
    let mut deployment = Deployment::start(Plan { seed: 61, ..Plan::default() }).await;
    deployment.targets[0].behavior.lock().is_leaving = true;
    wait_until(HEARING_TIME, || Verdict::new(&deployment).has_left(1)).await;
    deployment.targets[0].behavior.lock().is_leaving = false;
    deployment.withdraw_record(0);
    sleep(Duration::from_millis(600)).await;
    deployment.publish_record(0);
    sleep(RUN_TIME).await;
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment);
    println!("{verdict}");
    deployment.shut_down().await;
    verdict.assert_targets_left(1);
}

/// A new process under the name of a leaving one must get calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_processes_are_not_leaving() {
    let mut deployment = Deployment::start(Plan { seed: 62, ..Plan::default() }).await;
    deployment.targets[0].behavior.lock().is_leaving = true;
    wait_until(HEARING_TIME, || Verdict::new(&deployment).has_left(1)).await;
    deployment.replace_target(0).await;
    let start = Instant::now();
    sleep(RUN_TIME).await;
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment);
    println!("{verdict}");
    let name = &deployment.targets[0].record.name;
    let arrivals = deployment.shared.arrivals.lock().clone();
    let calls = arrivals.iter().filter(|a| a.call.is_some() && a.target == *name);
    let calls = calls.filter(|a| a.arrived > start + RUN_TIME / 2).count();
    deployment.shut_down().await;
    verdict.assert_targets_left(1);
    assert!(calls > 0, "the new process gets no calls; {verdict}");
}
