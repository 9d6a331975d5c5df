//! All targets of a service say that they leave.

use super::{
    deployment::{Deployment, Plan},
    progress::wait_until,
    verdict::Verdict,
};
use std::time::Duration;

/// Time for which calls go on after targets begin to say that they leave.
const RUN_TIME: Duration = Duration::from_secs(5);
/// Least number of calls made once all targets are leaving.
const LEAST_CALLS: usize = 20;

/// Calls were sent to leaving targets when there were no others. They are refused at once, until a
/// target is there that does not leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_refused_at_once_while_all_targets_leave() {
    let mut deployment = Deployment::start(Plan { seed: 71, ..Plan::default() }).await;
    for target in &deployment.targets {
        target.behavior.lock().is_leaving = true;
    }
    let is_enough = || Verdict::new(&deployment).has_hopeless(LEAST_CALLS);
    wait_until(RUN_TIME, is_enough).await;
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment);
    println!("{verdict}");
    deployment.replace_target(0).await;
    deployment.assert_calls_are_served().await;
    deployment.shut_down().await;
    verdict.assert_targets_left(1);
    verdict.assert_refused_at_once(LEAST_CALLS);
}
