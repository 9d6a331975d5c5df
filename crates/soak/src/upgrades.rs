//! Replaces gateways of an older build by the present one, one after the other, beside other faults.

use crate::{
    cluster::Cluster,
    faults::kill_gateway,
    planned::{StopExtras, stop_gateway},
    restores::restore,
};
use azuretally_standin::proxy::Faults;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use std::{
    fmt,
    ops::RangeInclusive,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// What builds before a commit cannot keep. It is checked at gateways of the present build alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exception {
    /// To follow a platform that was restored from a copy, before 548b0ab: settings, and targets that
    /// leave.
    RestoredPlatform,
    /// To stop sending calls that crash targets, before 42fc63c. Others cannot know of crashes under
    /// calls of such gateways, so that nothing is checked as long as there are any.
    CrashingCalls,
}

/// Fraction of upgrades that stay half done.
const HALF_DONE_SHARE: f64 = 0.25;
/// Fraction of replaced gateways that go back to the older build for a while, and that time in ms.
const ROLL_BACK_SHARE: f64 = 0.2;
const ROLL_BACK_MS: RangeInclusive<u64> = 1_000..=5_000;
/// Fraction of gateways that are killed rather than stopped, and the time until the next process
/// starts, in ms.
const KILL_SHARE: f64 = 0.2;
const KILL_MS: RangeInclusive<u64> = 0..=800;
/// Fraction of the first replacements beside which the platform is restored, and the time from one to
/// the other, in ms.
const RESTORE_SHARE: f64 = 0.7;
const RESTORE_DELAYS_MS: RangeInclusive<u64> = 0..=1_500;
/// Fraction of replaced gateways that cannot reach the platform until some time after their start, and
/// that time in ms.
const CUT_SHARE: f64 = 0.4;
const CUT_MS: RangeInclusive<u64> = 200..=2_500;
/// Pauses between two replacements, in percent of what spreads them over the run.
const PAUSES_PERCENT: RangeInclusive<u32> = 20..=160;

/// Replacements of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpgradeCounts {
    /// Gateways that were replaced by the present build.
    pub replaced: usize,
    /// Gateways that went back to the older build for a while.
    pub rolled_back: usize,
    /// Gateways that were of the older build at the end.
    pub left: usize,
}

impl fmt::Display for UpgradeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { replaced, rolled_back, left } = self;
        write!(f, "upgrade: {replaced} replaced, {rolled_back} rolled back, {left} left older")
    }
}

/// Replaces the gateways until `end`, all of them or some, and returns how many. Which are left is
/// counted at the end of the run.
pub(crate) async fn inject(
    cluster: &Arc<Cluster>,
    seed: u64,
    end: Instant,
    restores: bool,
) -> UpgradeCounts {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = JoinSet::new();
    let mut counts = UpgradeCounts::default();
    let mut order: Vec<usize> = (0..cluster.gateways.len()).collect();
    order.shuffle(&mut rng);
    if rng.random_bool(HALF_DONE_SHARE) {
        order.truncate(rng.random_range(1..=order.len().div_ceil(2)));
    }
    let step = end.saturating_duration_since(Instant::now()) / (cluster.gateways.len() as u32 + 1);
    for number in order {
        sleep(step * rng.random_range(PAUSES_PERCENT) / 100).await;
        // All peers are of the older build.
        if restores && counts.replaced == 0 && rng.random_bool(RESTORE_SHARE) {
            let delay = random_time(&mut rng, RESTORE_DELAYS_MS);
            let (cluster, seed) = (Arc::clone(cluster), rng.random());
            active.spawn(async move {
                sleep(delay).await;
                restore(cluster, seed).await;
            });
        }
        counts.replaced += 1;
        let back = rng.random_bool(ROLL_BACK_SHARE).then(|| random_time(&mut rng, ROLL_BACK_MS));
        counts.rolled_back += usize::from(back.is_some());
        active.spawn(upgrade(Arc::clone(cluster), number, back, rng.random()));
    }
    while active.join_next().await.is_some() {}
    counts
}

/// Replaces a gateway by the present build; with `back`, goes back to the older one after a while, for
/// the same time.
async fn upgrade(cluster: Arc<Cluster>, number: usize, back: Option<Duration>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    match rng.random_bool(CUT_SHARE) {
        true => replace_cut_off(&cluster, number, &mut rng).await,
        false => replace(&cluster, number, false, &mut rng).await,
    }
    if let Some(back) = back {
        sleep(back).await;
        replace(&cluster, number, true, &mut rng).await;
        sleep(back).await;
        replace(&cluster, number, false, &mut rng).await;
    }
}

/// Replaces a gateway by the present build, which cannot reach the platform at its start, so that its
/// first data comes from its peers.
async fn replace_cut_off(cluster: &Arc<Cluster>, number: usize, rng: &mut Pcg64Mcg) {
    let gateway = &cluster.gateways[number];
    let cut_time = random_time(rng, CUT_MS);
    cluster.checker.record_fault(number);
    gateway.platform_link.set_faults(Faults { cut: true, ..Faults::default() });
    replace(cluster, number, false, rng).await;
    sleep(cut_time).await;
    gateway.platform_link.set_faults(Faults::default());
    cluster.checker.record_fault(number);
}

/// Ends the process of a gateway and starts one of the other build. If another fault has ended the
/// process, the next one is of this build.
async fn replace(cluster: &Arc<Cluster>, number: usize, is_older: bool, rng: &mut Pcg64Mcg) {
    cluster.gateways[number].is_older.store(is_older, Ordering::SeqCst);
    let cluster = Arc::clone(cluster);
    match rng.random_bool(KILL_SHARE) {
        true => kill_gateway(cluster, number, random_time(rng, KILL_MS)).await,
        false => stop_gateway(cluster, number, StopExtras::default()).await,
    }
}

fn random_time(rng: &mut Pcg64Mcg, range_ms: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}
