//! A restore while new settings are published all the time.

use super::{
    deployment::{Deployment, Plan},
    platform::Variant,
};
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

async fn assert_current_after_restore(plan: Plan) {
    let mut deployment = Deployment::start(plan).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}

/// Gateways dropped all that a restored platform published until its counter had passed the revision
/// that they knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_published_after_a_restore_are_not_dropped() {
    assert_current_after_restore(Plan { seed: 1, ..Plan::default() }).await;
}

/// A platform that answers a poll after a revision which it does not have yet as if nothing had changed
/// left gateways waiting for that revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_published_after_a_restore_are_not_missed_without_410() {
    let variant = Variant { denies_gone: true, ..Variant::default() };
    assert_current_after_restore(Plan { seed: 2, variant, ..Plan::default() }).await;
}
