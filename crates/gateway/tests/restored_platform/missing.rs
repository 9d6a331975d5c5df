//! Restores from a copy that lacks settings which were in force everywhere.

use super::{
    deployment::{Deployment, Plan},
    operator::CONFIG_BOUND,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which settings are published before the restore.
const WARM_UP: Duration = Duration::from_millis(1_800);
/// Time beyond the bound for which gateways run with the latest settings before the restore.
const SLACK: Duration = Duration::from_millis(400);
/// Changes that the copy lacks.
const LOST_CHANGES: usize = 5;
/// Time until the operator writes them again.
const REWRITE_DELAY: Duration = Duration::from_secs(2);
/// The same for a test in which a gateway is started, has to be in touch and then makes calls.
const LATE_REWRITE_DELAY: Duration = Duration::from_millis(5_800);
/// Time for which settings are published after that.
const FOLLOW_UP: Duration = Duration::from_millis(3_500);
/// Least number of calls that must be judged of each gateway.
const LEAST_CALLS: usize = 10;

/// Starts gateways, all of which have the latest settings in force when this returns.
async fn start(seed: u64) -> Deployment {
    let mut deployment = Deployment::start(Plan { seed, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.end_publishing();
    sleep(CONFIG_BOUND + SLACK).await;
    deployment
}

/// Settings that a restored platform lists in an earlier version, and lists again in the latest one
/// some time later, went back at gateways or stopped to be updated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_missing_from_the_copy_stay_in_force() {
    let mut deployment = start(3).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(REWRITE_DELAY).await;
    deployment.operator.write_again();
    deployment.begin_publishing();
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}

/// A gateway that was started while the platform listed earlier settings than its peers had in force
/// used these.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_started_while_settings_are_missing_gets_them_from_its_peers() {
    let mut deployment = start(4).await;
    deployment.restore(LOST_CHANGES).await;
    let restored = Instant::now();
    deployment.add_gateway().await;
    sleep(LATE_REWRITE_DELAY.saturating_sub(restored.elapsed())).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}
