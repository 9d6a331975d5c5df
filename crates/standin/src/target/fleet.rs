//! A group of targets in one process.

use super::{
    control,
    faults::Faults,
    ledger::{GroupReport, Ledger},
    options::TargetOptions,
    server::{self, Target},
    shift::NoisyNeighbour,
};
use crate::{StandinError, http, timer::Timer};
use error_stack::Report;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// A group of targets with one control port.
#[derive(Debug)]
pub struct TargetGroup {
    pub(super) targets: IndexMap<Arc<str>, Arc<Target>>,
    listeners: Vec<TcpListener>,
    start: Instant,
}

impl TargetGroup {
    /// Listens with `count` targets on consecutive ports from `first` on. One target is called
    /// `name`, several are called `name-0`, `name-1` and so on.
    ///
    /// # Errors
    ///
    /// [`StandinError::Bind`] when an address cannot be used.
    pub fn bind(
        name: &str,
        count: u16,
        first: SocketAddr,
        options: &TargetOptions,
    ) -> Result<Self, Report<StandinError>> {
        let start = Instant::now();
        let timer = Arc::new(Timer::start());
        let shift = options.noisy_neighbour.clone();
        let shift = shift.map(|s| NoisyNeighbour::new(s, count.into(), options.seed));
        let shift = Arc::new(Mutex::new(shift));
        let mut targets = IndexMap::new();
        let mut listeners = Vec::new();
        for i in 0..count {
            let name = if count == 1 { name.to_owned() } else { format!("{name}-{i}") };
            let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(i.into());
            let rng = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
            let mut address = first;
            address.set_port(first.port() + i);
            listeners.push(http::listen(address)?);
            let target = Target::new(
                Arc::from(name.as_str()),
                i.into(),
                options.clone(),
                start,
                Arc::clone(&timer),
                Arc::clone(&shift),
                rng,
            );
            targets.insert(Arc::from(name), Arc::new(target));
        }
        Ok(Self { targets, listeners, start })
    }

    /// Serves calls, and the control port if given, until `stop`.
    pub async fn run(mut self, control: Option<TcpListener>, stop: CancellationToken) {
        let listeners = std::mem::take(&mut self.listeners);
        let mut servers = JoinSet::new();
        for (target, listener) in self.targets.values().zip(listeners) {
            servers.spawn(server::serve(Arc::clone(target), listener, stop.clone()));
        }
        if let Some(listener) = control {
            servers.spawn(control::serve(Arc::new(self), listener, stop.clone()));
        }
        while servers.join_next().await.is_some() {}
    }

    /// Sets the faults of the named target, or of all; false when there is no such target.
    pub fn set_faults(&self, name: Option<&str>, faults: Faults) -> bool {
        match name {
            Some(name) => self.targets.get(name).map(|t| t.set_faults(faults)).is_some(),
            None => {
                self.targets.values().for_each(|t| t.set_faults(faults));
                true
            }
        }
    }

    /// What was counted, with runs by key if asked for.
    pub fn report(&self, with_runs: bool) -> GroupReport {
        let now_ms = self.now().as_millis() as u64;
        let mut report = GroupReport { now_ms, ..GroupReport::default() };
        for (name, target) in &self.targets {
            let ledger = target.ledger.lock();
            report.targets.insert(name.to_string(), ledger.totals);
            if with_runs {
                add_runs(&mut report, name, &ledger);
            }
        }
        report
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

fn add_runs(report: &mut GroupReport, target: &str, ledger: &Ledger) {
    for (key, run) in &ledger.runs {
        report.runs.entry(key.to_string()).or_default().add(run);
        let at = report.runs_at.entry(key.to_string()).or_default();
        at.insert(target.to_owned(), *run);
    }
}
