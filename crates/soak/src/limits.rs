//! Targets that name limits on their requests, and the check that gateways keep to them.

use crate::cluster::Cluster;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::VecDeque,
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time after the first naming from which the limit must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Window in which the requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window, relative to those that the limit allows, and on top of them.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;
/// Limits that targets name, in requests per second.
const RATES: RangeInclusive<f64> = 0.5..=4.0;
/// Time for which a target names one limit, in ms.
const SPANS_MS: RangeInclusive<u64> = 1_000..=8_000;
/// Time for which a target names none in between, in ms.
const PAUSES_MS: RangeInclusive<u64> = 0..=3_000;
/// Limits that a target names in a row.
const MAX_SPANS: u32 = 3;
/// One of this many targets of the main service names limits.
const LIMITED_DIVISOR: usize = 3;

/// Limits that one target has named, and the requests that it got.
#[derive(Debug, Default)]
struct History {
    /// When the target began to name limits, `None` while it names none.
    since: Option<Instant>,
    /// Latest limits with the time at which each was first named.
    rates: VecDeque<(Instant, f64)>,
    arrivals: VecDeque<Instant>,
}

/// Checks that targets get no more requests than the limits that they name allow.
#[derive(Debug, Default)]
pub(crate) struct LimitChecks {
    targets: IndexMap<String, History>,
}

impl LimitChecks {
    /// Records that a target names another limit from now on, or none.
    pub(crate) fn record_limit(&mut self, now: Instant, target: &str, rate: Option<f64>) {
        let history = self.targets.entry(target.to_owned()).or_default();
        match rate {
            Some(rate) => {
                if history.since.is_none() {
                    *history = History { since: Some(now), ..History::default() };
                }
                history.rates.push_back((now, rate));
            }
            None => history.since = None,
        }
    }

    /// Records a request to a target, and returns what is wrong if it exceeds the limit.
    ///
    /// While the limit changes, the highest one of the window counts.
    pub(crate) fn record_arrival(&mut self, now: Instant, target: &str) -> Option<String> {
        let history = self.targets.get_mut(target)?;
        let since = history.since?;
        history.arrivals.push_back(now);
        while history.arrivals.front().is_some_and(|at| now - *at > WINDOW) {
            history.arrivals.pop_front();
        }
        // The last limit named before the window was in force at its start.
        while history.rates.get(1).is_some_and(|(at, _)| now - *at > WINDOW) {
            history.rates.pop_front();
        }
        let rate = history.rates.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        let allowed = rate * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_SLACK;
        let counted = history.arrivals.iter().filter(|at| **at >= since + CONTACT_TIME).count();
        (counted as f64 > allowed).then(|| {
            format!("limit: {target} got {counted} requests in 4 s, allowed {allowed} at {rate}/s")
        })
    }
}

/// Lets some targets of the main service name limits until `end`.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = tokio::task::JoinSet::new();
    let main = cluster.main_targets();
    for _ in 0..main.len() / LIMITED_DIVISOR {
        let index = main[rng.random_range(0..main.len())];
        active.spawn(name_limits(Arc::clone(cluster), index, rng.random(), end));
    }
    while active.join_next().await.is_some() {}
}

async fn name_limits(cluster: Arc<Cluster>, index: usize, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let target = Arc::clone(&cluster.targets.lock()[index].target);
    while Instant::now() < end {
        for _ in 0..rng.random_range(1..=MAX_SPANS) {
            target.set_limit(Some(rng.random_range(RATES)));
            sleep(Duration::from_millis(rng.random_range(SPANS_MS))).await;
        }
        target.set_limit(None);
        sleep(Duration::from_millis(rng.random_range(PAUSES_MS))).await;
    }
}
