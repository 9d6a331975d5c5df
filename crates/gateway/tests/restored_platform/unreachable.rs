//! Gateways that cannot reach the platform.

use super::deployment::{Deployment, Plan};
use std::time::Duration;
use tokio::time::sleep;

/// Time for which settings are published before the restore.
const WARM_UP: Duration = Duration::from_millis(4_500);
/// Time for which they are published after it.
const FOLLOW_UP: Duration = Duration::from_millis(5_500);
/// Changes that the copy lacks.
const LOST_CHANGES: usize = 10;
/// Least number of calls that must be judged of each gateway.
const LEAST_CALLS: usize = 50;

/// A gateway whose connections to the platform are refused ignored what its peers had read from the
/// restored platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_without_the_platform_follows_its_peers_across_a_restore() {
    let plan = Plan { seed: 7, refused: vec![4, 5], ..Plan::default() };
    let mut deployment = Deployment::start(plan).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}
