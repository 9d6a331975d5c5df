//! Restores the platform from copies of an earlier time, so that it loses what was written since.

use crate::{
    cluster::Cluster,
    faults::{LEAVING_TIME, replace_target},
    platform::Subject,
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use std::{
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Time from changes to the restore that follows, from a restore to the changes that follow, and from
/// these to the next ones, in ms. Some are too short for the time bounds to apply in between.
const LEADS_MS: RangeInclusive<u64> = 0..=6_000;
const CHANGE_DELAYS_MS: RangeInclusive<u64> = 0..=4_000;
const PAUSES_MS: RangeInclusive<u64> = 0..=7_000;
/// Time for which the platform is away, in ms.
const AWAY_MS: RangeInclusive<u64> = 100..=1_000;
/// Ages of copies, in ms.
const AGES_MS: RangeInclusive<u64> = 1_000..=10_000;
/// Fraction of copies that have only what was written before the run.
const OLDEST_SHARE: f64 = 0.2;
/// Fraction of restores that are followed by another one, and its delay in ms.
const SECOND_SHARE: f64 = 0.3;
const SECOND_DELAYS_MS: RangeInclusive<u64> = 50..=2_000;
/// Time from the end of a restore until a lost change is written again, in ms.
const WRITE_DELAYS_MS: RangeInclusive<u64> = 200..=2_000;
/// Fractions of changes that publish settings, and that replace a target.
const SETTINGS_SHARE: f64 = 0.6;
const REPLACED_SHARE: f64 = 0.6;
/// Time for which such a target goes on serving after its removal.
const REST_TIME: Duration = Duration::from_secs(10);
/// Interval at which an outage is recorded while the platform is away.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Restores the platform at times until `end` and returns once all that was lost is written again.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = JoinSet::new();
    while Instant::now() < end {
        change(cluster, &mut rng, &mut active);
        sleep(random_time(&mut rng, LEADS_MS)).await;
        active.spawn(restore(Arc::clone(cluster), rng.random()));
        if rng.random_bool(SECOND_SHARE) {
            sleep(random_time(&mut rng, SECOND_DELAYS_MS)).await;
            active.spawn(restore(Arc::clone(cluster), rng.random()));
        }
        sleep(random_time(&mut rng, CHANGE_DELAYS_MS)).await;
        change(cluster, &mut rng, &mut active);
        sleep(random_time(&mut rng, PAUSES_MS)).await;
    }
    while active.join_next().await.is_some() {}
}

/// Replaces a target, publishes the next settings, or both or neither.
fn change(cluster: &Arc<Cluster>, rng: &mut Pcg64Mcg, active: &mut JoinSet<()>) {
    if rng.random_bool(REPLACED_SHARE) {
        let (random_index, announced) = (rng.random_range(0..1_000), rng.random());
        let rest = if rng.random() { REST_TIME } else { LEAVING_TIME };
        active.spawn(replace_target(Arc::clone(cluster), random_index, announced, rest));
    }
    if rng.random_bool(SETTINGS_SHARE) {
        cluster.publish_next();
    }
}

fn random_time(rng: &mut Pcg64Mcg, range_ms: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

/// Restores the platform from a copy, after which the operator and the targets write again what was
/// lost: targets in random order, and the settings at any time.
pub(crate) async fn restore(cluster: Arc<Cluster>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let began = Instant::now();
    let away = random_time(&mut rng, AWAY_MS);
    let age = random_time(&mut rng, AGES_MS);
    let is_oldest = rng.random_bool(OLDEST_SHARE);
    cluster.platform.begin_restore();
    while began.elapsed() < away {
        sleep(RECORD_INTERVAL.min(away)).await;
        cluster.checker.record_outage();
    }
    let copied_at = (!is_oldest).then(|| began - age);
    let mut lost: Vec<Subject> = cluster.platform.restore(copied_at);
    lost.shuffle(&mut rng);
    let mut delays: Vec<_> = lost.iter().map(|_| random_time(&mut rng, WRITE_DELAYS_MS)).collect();
    delays.sort_unstable();
    let ended = Instant::now();
    for (subject, delay) in lost.iter().zip(delays) {
        sleep(delay.saturating_sub(ended.elapsed())).await;
        cluster.platform.write_again(subject);
    }
}
