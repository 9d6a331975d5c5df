//! Restores in overlap with other restores and with disturbances of gateways.

use super::{
    deployment::{Deployment, GATEWAYS, Plan},
    node::{CONTACT, Node},
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::{env, mem, time::Duration};
use tokio::time::sleep;

/// Time for which settings are published before the first restore.
const WARM_UP: Duration = Duration::from_millis(4_000);
/// Time from one restore to the next.
const RESTORE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which settings are published after the last restore.
const FOLLOW_UP: Duration = Duration::from_millis(5_000);
/// Changes that the first copy lacks.
const LOST_CHANGES: usize = 10;
/// Changes that the second copy lacks, among them some that the first one has.
const LOST_AGAIN: usize = 4;
/// Range of the times at which disturbances begin after the warm-up, in ms.
const SPREAD_MS: u64 = 1_500;
/// Range of the length of a freeze, in ms.
const FREEZE_MS: (u64, u64) = (600, 1_500);
/// Environment variable with the seed of the disturbances.
const SEED_VARIABLE: &str = "AZURETALLY_RESTORE_SEED";
const DEFAULT_SEED: u64 = 6;
/// Least number of calls that must be judged of each gateway.
const LEAST_CALLS: usize = 10;

/// A platform that was restored again before gateways had read all after the first restore was
/// ignored until its counter had passed the highest revision that they knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_restore_before_the_first_is_over_leaves_no_old_settings() {
    let mut deployment = Deployment::start(Plan { seed: 5, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(RESTORE_INTERVAL).await;
    deployment.restore(LOST_AGAIN).await;
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}

/// What is done to a gateway during the restores.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    Freeze(Duration),
    End(Signal),
}

async fn disturb(node: &mut Node, delay: Duration, disturbance: Disturbance) {
    sleep(delay).await;
    match disturbance {
        Disturbance::None => {}
        Disturbance::Freeze(time) => {
            node.freeze();
            sleep(time).await;
            node.thaw();
        }
        Disturbance::End(signal) => node.replace(signal).await,
    }
}

/// Gateways that were started, killed, frozen or stopped during restores brought back old settings or
/// stayed with them.
///
/// `AZURETALLY_RESTORE_SEED` sets the seed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restores_beside_starts_kills_freezes_and_stops_leave_no_old_settings() {
    let text = env::var(SEED_VARIABLE).ok();
    let seed = text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    let mut deployment = Deployment::start(Plan { seed, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    let mut random = Pcg64::seed_from_u64(seed);
    let mut delay = || Duration::from_millis(random.random_range(0..SPREAD_MS));
    let delays: [Duration; GATEWAYS as usize] = std::array::from_fn(|_| delay());
    let freeze = Duration::from_millis(random.random_range(FREEZE_MS.0..FREEZE_MS.1));
    let mut disturbances = [
        Disturbance::None,
        Disturbance::None,
        Disturbance::Freeze(freeze),
        Disturbance::Freeze(freeze / 2),
        Disturbance::End(Signal::KILL),
        Disturbance::End(Signal::TERM),
    ];
    disturbances.shuffle(&mut random);
    let mut nodes = mem::take(&mut deployment.nodes);
    let [a, b, c, d, e, f] = &mut nodes[..] else { panic!("other gateways") };
    let restores = async {
        deployment.restore(LOST_CHANGES).await;
        sleep(RESTORE_INTERVAL).await;
        deployment.restore(LOST_AGAIN).await;
    };
    tokio::join!(
        restores,
        disturb(a, delays[0], disturbances[0]),
        disturb(b, delays[1], disturbances[1]),
        disturb(c, delays[2], disturbances[2]),
        disturb(d, delays[3], disturbances[3]),
        disturb(e, delays[4], disturbances[4]),
        disturb(f, delays[5], disturbances[5]),
    );
    deployment.nodes = nodes;
    // A gateway that was disturbed last is judged for a while too.
    sleep(CONTACT + Duration::from_millis(1_500)).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}
