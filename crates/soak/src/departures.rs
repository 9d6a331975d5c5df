//! Targets that say in their answers that they leave before the platform knows, and the check that
//! gateways send them no new calls.

use crate::cluster::Cluster;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Time after a gateway has passed on an answer that says so from which no call that is sent then may
/// reach the target from there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from the first such answer until the platform knows, and from then to the end, in ms.
const UNKNOWN_MS: RangeInclusive<u64> = 2_500..=7_000;
const KNOWN_MS: RangeInclusive<u64> = 0..=3_000;
/// Pauses between two targets that leave, in ms.
const PAUSES_MS: RangeInclusive<u64> = 1_000..=5_000;
/// Fraction of targets that say so in their first answers alone, and for how long.
const FLAPPING_SHARE: f64 = 0.3;
const FLAPPING_TIME: Duration = Duration::from_millis(400);
/// No target leaves while the main service has this many or fewer.
const MIN_MAIN_TARGETS: usize = 4;

/// Checks that targets that have said that they leave get no new calls.
#[derive(Debug, Default)]
pub(crate) struct DepartureChecks {
    /// Target, by its start number, and gateway of the calls whose answers say so.
    answered: IndexMap<u64, (u64, usize)>,
    /// When a gateway first passed on such an answer, by target and gateway.
    marks: IndexMap<(u64, usize), Instant>,
    /// Number of marks set so far.
    count: usize,
}

impl DepartureChecks {
    /// Records that a target answers `call`, which it got from `gateway`, and says that it leaves.
    pub(crate) fn record_answer(&mut self, call: u64, target: u64, gateway: usize) {
        self.answered.insert(call, (target, gateway));
    }

    /// Records that a caller got the answer of a target to `call`.
    pub(crate) fn record_end(&mut self, call: u64) {
        if let Some(pair) = self.answered.swap_remove(&call) {
            let count = &mut self.count;
            self.marks.entry(pair).or_insert_with(|| {
                *count += 1;
                Instant::now()
            });
        }
    }

    /// Records that a target got from `gateway`, which started or froze last at `disturbed`, a call
    /// that was sent at `sent`. Returns what is wrong if it should not have.
    pub(crate) fn record_arrival(
        &mut self,
        target: u64,
        gateway: usize,
        sent: Instant,
        disturbed: Option<Instant>,
    ) -> Option<String> {
        let marked = *self.marks.get(&(target, gateway))?;
        if disturbed.is_some_and(|at| at >= marked) {
            self.marks.swap_remove(&(target, gateway));
            return None;
        }
        (sent > marked + DRAIN_TIME).then(|| {
            let delay = sent - marked;
            format!(
                "departure: start {target} of a target got a call from gateway {gateway}, sent \
                 {delay:?} after the gateway had passed on that the target leaves"
            )
        })
    }

    /// Returns the number of targets and gateways that have passed on that these leave.
    pub(crate) fn count(&self) -> usize {
        self.count
    }
}

/// Lets targets leave until `end` and returns once all of them are gone.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = JoinSet::new();
    while Instant::now() < end {
        active.spawn(leave(Arc::clone(cluster), rng.random()));
        sleep(Duration::from_millis(rng.random_range(PAUSES_MS))).await;
    }
    while active.join_next().await.is_some() {}
}

/// Replaces a target of the main service unless too few are left.
async fn leave(cluster: Arc<Cluster>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let main = cluster.main_targets();
    if main.len() <= MIN_MAIN_TARGETS {
        return;
    }
    let index = main[rng.random_range(0..main.len())];
    let (record, target) = {
        let mut targets = cluster.targets.lock();
        let old = &mut targets[index];
        let record = old.record.clone();
        old.record.leaving = true;
        (record, Arc::clone(&old.target))
    };
    cluster.add_target(&record.service).await;
    target.set_departing(true);
    if rng.random_bool(FLAPPING_SHARE) {
        sleep(FLAPPING_TIME).await;
        target.set_departing(false);
    }
    sleep(Duration::from_millis(rng.random_range(UNKNOWN_MS))).await;
    cluster.platform.remove_target(&record.name);
    sleep(Duration::from_millis(rng.random_range(KNOWN_MS))).await;
    // Gateways that are cut off from the platform may need the longest.
    sleep(DRAIN_TIME).await;
    target.stop.cancel();
}
