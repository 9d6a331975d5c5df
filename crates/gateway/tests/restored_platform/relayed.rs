//! Gateways that relay calls across a restore.

use super::deployment::{Deployment, Plan};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which settings are published before the cut.
const WARM_UP: Duration = Duration::from_millis(2_500);
/// Time from the cut until the gateway relays all calls.
const DETECTION_TIME: Duration = Duration::from_millis(2_000);
/// Time for which settings are published after the restore.
const FOLLOW_UP: Duration = Duration::from_millis(5_000);
/// Changes that the copy lacks.
const LOST_CHANGES: usize = 10;
/// Number of the gateway that is cut off.
const CUT_GATEWAY: u8 = 3;
/// Least number of calls that it must relay.
const LEAST_RELAYED: usize = 30;

/// A gateway that is cut off from all targets relayed calls to gateways which handled them under
/// settings older than its own, or refused them since versions were compared across a restore.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_relayed_across_a_restore_meet_no_old_settings() {
    let mut deployment = Deployment::start(Plan { seed: 12, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.cut_off(CUT_GATEWAY);
    sleep(DETECTION_TIME).await;
    let restored = Instant::now();
    deployment.restore(LOST_CHANGES).await;
    sleep(FOLLOW_UP).await;
    let relayed = deployment.served_by(CUT_GATEWAY, restored, Instant::now());
    let cut_requests = deployment.cut_requests(CUT_GATEWAY);
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    assert!(cut_requests > 0, "the gateway was not cut off; {verdict}");
    assert!(relayed >= LEAST_RELAYED, "{relayed} calls were relayed; {verdict}");
    verdict.assert_settings_current();
}
