//! A group of targets that run in one process.

use super::{
    control,
    counters::{Counters, GroupReport},
    faults::Faults,
    noisy_neighbour::NoisyNeighbour,
    options::TargetOptions,
    server::{self, Target},
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
    /// Binds `count` targets to consecutive ports, beginning with the address `first`. A single
    /// target is called `name`, several are called `name-0`, `name-1` and so on.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if an address cannot be bound.
    pub fn bind(
        name: &str,
        count: u16,
        first: SocketAddr,
        options: &TargetOptions,
    ) -> Result<Self, Report<StandinError>> {
        let start = Instant::now();
        let timer = Arc::new(Timer::start());
        let noisy_neighbour = options.noisy_neighbour.clone();
        let noisy_neighbour =
            noisy_neighbour.map(|n| NoisyNeighbour::new(n, count.into(), options.seed));
        let noisy_neighbour = Arc::new(Mutex::new(noisy_neighbour));
        let mut targets = IndexMap::new();
        let mut listeners = Vec::new();
        for i in 0..count {
            let name = if count == 1 { name.to_owned() } else { format!("{name}-{i}") };
            // Targets of groups with different seeds have different seeds.
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
                Arc::clone(&noisy_neighbour),
                rng,
            );
            targets.insert(Arc::from(name), Arc::new(target));
        }
        Ok(Self { targets, listeners, start })
    }

    /// Serves calls, and the control port if given, until `stop` is cancelled.
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

    /// Replaces the faults of the target `name`, or of all targets without a name. Returns whether
    /// the target exists.
    pub fn set_faults(&self, name: Option<&str>, faults: Faults) -> bool {
        match name {
            Some(name) => self.targets.get(name).map(|t| t.set_faults(faults)).is_some(),
            None => {
                self.targets.values().for_each(|t| t.set_faults(faults));
                true
            }
        }
    }

    /// Returns the counters of all targets; those by key are included if `with_runs` is set.
    pub fn report(&self, with_runs: bool) -> GroupReport {
        let now_ms = self.elapsed().as_millis() as u64;
        let mut report = GroupReport { now_ms, ..GroupReport::default() };
        for (name, target) in &self.targets {
            let counters = target.counters.lock();
            report.targets.insert(name.to_string(), counters.totals);
            if with_runs {
                add_runs(&mut report, name, &counters);
            }
        }
        report
    }

    fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

fn add_runs(report: &mut GroupReport, target: &str, counters: &Counters) {
    for (key, run) in &counters.runs {
        report.runs.entry(key.to_string()).or_default().add(run);
        let by_target = report.runs_at.entry(key.to_string()).or_default();
        by_target.insert(target.to_owned(), *run);
    }
}
