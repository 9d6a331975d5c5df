//! What targets have got and which calls have crashed them.

use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{fmt, net::IpAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time after its third crash from which sends of a call are limited.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Largest number of sends from then on.
pub(crate) const MAX_LATE_SENDS: usize = 3;
/// Number of crashes after which sends of a call are limited.
const LIMITED_CRASHES: usize = 3;

/// A request that has reached a target completely and that the target has begun to run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// What recognizes the call: its method, its path and the beginning of its body.
    pub(crate) key: Arc<str>,
    /// Id of this arrival of the call.
    pub(crate) id: Arc<str>,
    pub(crate) started: Instant,
    /// Address of the gateway that has sent it.
    pub(crate) gateway: IpAddr,
}

/// A time in which the rule does not bind a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) gateway: IpAddr,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

impl Disturbance {
    /// Returns whether the gateway is in the disturbance or was so within the last [`CONTACT`].
    fn covers(&self, run: &Run) -> bool {
        self.gateway == run.gateway
            && run.started >= self.start
            && run.started <= self.end + CONTACT
    }
}

/// Runs and crashes of all targets.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    runs: Mutex<Vec<Run>>,
    /// Times of the crashes that each call has caused.
    crashes: Mutex<IndexMap<Arc<str>, Vec<Instant>>>,
}

/// Figures of a call that crashes targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) key: Arc<str>,
    pub(crate) runs: usize,
    pub(crate) crashes: usize,
    /// Runs later than [`CONTACT`] after the third crash, from gateways that the rule binds.
    pub(crate) late: usize,
    /// Such runs from gateways that the rule does not bind.
    pub(crate) late_excused: usize,
    /// Number of gateways that have sent a run counted in `late`.
    pub(crate) late_gateways: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, runs, crashes, late, late_excused, late_gateways } = self;
        write!(
            f,
            "{key}: runs={runs} crashes={crashes} late={late} of {late_gateways} gateways, \
             late from disturbed gateways={late_excused}"
        )
    }
}

impl RunLog {
    pub(crate) fn record_run(&self, run: Run) {
        self.runs.lock().push(run);
    }

    pub(crate) fn record_crash(&self, key: &Arc<str>) {
        self.crashes.lock().entry(Arc::clone(key)).or_default().push(Instant::now());
    }

    /// Returns the number of targets that have crashed.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.lock().values().map(Vec::len).sum()
    }

    /// Returns how often each id has run.
    pub(crate) fn runs_by_id(&self) -> IndexMap<Arc<str>, usize> {
        let mut counts = IndexMap::new();
        for run in self.runs.lock().iter() {
            *counts.entry(Arc::clone(&run.id)).or_default() += 1;
        }
        counts
    }

    /// Counts the runs of the call `key`.
    pub(crate) fn counts(&self, key: &str, disturbances: &[Disturbance]) -> Counts {
        let crashes = self.crashes.lock().get(key).cloned().unwrap_or_default();
        let runs: Vec<_> =
            self.runs.lock().iter().filter(|run| &*run.key == key).cloned().collect();
        let limited_from = crashes.get(LIMITED_CRASHES - 1).map(|third| *third + CONTACT);
        let is_late = |run: &&Run| limited_from.is_some_and(|from| run.started > from);
        let is_excused = |run: &&Run| disturbances.iter().any(|d| d.covers(run));
        let (excused, bound): (Vec<_>, Vec<_>) = runs.iter().filter(is_late).partition(is_excused);
        let mut gateways: Vec<_> = bound.iter().map(|run| run.gateway).collect();
        gateways.sort();
        gateways.dedup();
        Counts {
            key: Arc::from(key),
            runs: runs.len(),
            crashes: crashes.len(),
            late: bound.len(),
            late_excused: excused.len(),
            late_gateways: gateways.len(),
        }
    }
}
