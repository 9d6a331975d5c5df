//! Gateways of the present build beside those of an earlier one, which do not follow a restored platform.

use super::{
    deployment::{Deployment, Plan},
    node::CONTACT,
};
use rustix::process::Signal;
use std::{
    env,
    io::{self, Write},
    path::PathBuf,
    time::Duration,
};
use tokio::time::sleep;

/// Environment variable with the path of a gateway of an earlier build (`scripts/build-older`).
const OLDER_VARIABLE: &str = "AZURETALLY_OLDER_GATEWAY";
/// Time for which settings are published before gateways are replaced, which have settled by then.
const WARM_UP: Duration = Duration::from_millis(3_500);
/// Time for which settings are published after the restore.
const FOLLOW_UP: Duration = Duration::from_millis(5_500);
/// Changes that the copy lacks.
const LOST_CHANGES: usize = 10;
/// Gateways that are replaced, one of each failure domain. The others rank before them.
const REPLACED: [u8; 3] = [0, 1, 2];
/// Least number of calls that must be judged of each of them.
const LEAST_CALLS: usize = 50;

/// Replaced gateways that got their first data from peers of an earlier build, since the platform was
/// away at their start, were as stale as these after the next restore.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_whose_first_data_is_that_of_an_earlier_build_follows_a_restore() {
    let Some(older) = env::var_os(OLDER_VARIABLE).map(PathBuf::from) else {
        // Not captured, unlike what the macros for printing write.
        writeln!(io::stderr(), "upgraded:: skipped: {OLDER_VARIABLE} is not set").expect("written");
        return;
    };
    let plan = Plan { seed: 21, binary: Some(older), ..Plan::default() };
    let mut deployment = Deployment::start(plan).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.platform.leave();
    for number in REPLACED {
        let node = &mut deployment.nodes[usize::from(number)];
        node.gateway.binary = PathBuf::from(env!("CARGO_BIN_EXE_azuretally-gateway"));
        node.replace(Signal::KILL).await;
    }
    deployment.operator.restore(0);
    sleep(CONTACT).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    for number in REPLACED {
        let (stale, judged) = verdict.stale_at(number);
        assert!(judged >= LEAST_CALLS, "gateway {number}: {verdict}");
        assert_eq!(stale, 0, "gateway {number}: {verdict}");
    }
}
