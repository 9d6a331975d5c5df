//! Targets that ask gateways for rest, and the check that gateways grant it.

use crate::cluster::Cluster;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time after the answer that asks for rest from which requests are counted.
const CONTACT_TIME: Duration = Duration::from_millis(500);
/// Requests allowed in a rest from then on.
const MAX_REQUESTS: u32 = 2;
/// Rests for which targets ask, in ms.
pub(crate) const RESTS_MS: RangeInclusive<u64> = 700..=3_000;
/// Fraction of the calls that a target turns away while it asks for rest.
pub(crate) const REFUSED_SHARE: f64 = 0.7;
/// Time for which targets ask for rest, and between two such times, in ms.
const SPELLS_MS: RangeInclusive<u64> = 200..=1_200;
const PAUSES_MS: RangeInclusive<u64> = 500..=5_000;
/// At most one of this many targets of the main service asks for rest at a time.
const RESTING_DIVISOR: usize = 3;
/// Fraction of the spells in which all targets of the main service do.
const WHOLE_SHARE: f64 = 0.25;

/// A rest for which a target has asked a gateway.
#[derive(Clone, Copy, Debug)]
struct Rest {
    asked: Instant,
    until: Instant,
    requests: u32,
}

/// Checks that targets get no more requests in their rests than is allowed.
#[derive(Debug, Default)]
pub(crate) struct RestChecks {
    /// Latest rests by start number of the target and gateway.
    rests: IndexMap<(u64, usize), Vec<Rest>>,
    count: u64,
}

impl RestChecks {
    /// Records that a target asks a gateway for rest.
    pub(crate) fn record_rest(&mut self, target: u64, gateway: usize, span: Duration) {
        let asked = Instant::now();
        let rest = Rest { asked, until: asked + span, requests: 0 };
        self.rests.entry((target, gateway)).or_default().push(rest);
        self.count += 1;
    }

    /// Records a request of a gateway that last had a fault at `fault`. Returns what is wrong if it is
    /// one too many in a rest that was asked for later.
    pub(crate) fn record_arrival(
        &mut self,
        target: u64,
        gateway: usize,
        fault: Option<Instant>,
    ) -> Option<String> {
        let now = Instant::now();
        let rests = self.rests.get_mut(&(target, gateway))?;
        rests.retain(|rest| rest.until >= now && fault.is_none_or(|fault| fault < rest.asked));
        let mut broken = None;
        for rest in rests.iter_mut().filter(|rest| now > rest.asked + CONTACT_TIME) {
            rest.requests += 1;
            if rest.requests > MAX_REQUESTS {
                broken = Some((rest.requests, rest.until - rest.asked));
            }
        }
        broken.map(|(requests, span)| {
            format!(
                "rest: start {target} of a target asked gateway {gateway} for {span:?} of rest, and \
                 got {requests} requests from it in that time"
            )
        })
    }

    /// Returns the number of rests asked for.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

/// Lets targets of the main service ask for rest until `end`: some of them, or at times all of them
/// if `has_whole` is set.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant, has_whole: bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while Instant::now() < end {
        let main = cluster.main_targets();
        let is_whole = rng.random_bool(WHOLE_SHARE) && has_whole;
        let count = rng.random_range(1..=(main.len() / RESTING_DIVISOR).max(1));
        let first = rng.random_range(0..main.len());
        let chosen = main.iter().cycle().skip(first);
        let chosen = chosen.take(if is_whole { main.len() } else { count });
        let targets: Vec<_> = {
            let all = cluster.targets.lock();
            chosen.map(|index| Arc::clone(&all[*index].target)).collect()
        };
        targets.iter().for_each(|target| target.set_resting(true));
        sleep(Duration::from_millis(rng.random_range(SPELLS_MS))).await;
        targets.iter().for_each(|target| target.set_resting(false));
        sleep(Duration::from_millis(rng.random_range(PAUSES_MS))).await;
    }
}
