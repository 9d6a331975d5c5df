//! Load of this entry as the sizes of entry sets follow it.

use crate::context::Context;
use azuretally_policy::{
    Timestamp,
    fleet::{Fleet, ServiceLoad},
};
use indexmap::IndexMap;
use rustix::time::{ClockId, clock_gettime};
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

/// Time between two reports.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// Processor time and calls at the last report.
#[derive(Debug)]
pub(super) struct LoadMeter {
    at: Timestamp,
    cpu: Duration,
    calls: IndexMap<Arc<str>, u64>,
    cores: f64,
}

impl LoadMeter {
    pub(super) fn new(context: &Context) -> Self {
        let cores = thread::available_parallelism().map_or(1, usize::from);
        let cores = context.local.call_threads.unwrap_or(cores).min(cores);
        let at = context.clock.now();
        Self { at, cpu: cpu(ClockId::ProcessCPUTime), calls: IndexMap::new(), cores: cores as f64 }
    }

    /// Reports to `fleet` when it is due.
    pub(super) fn report(&mut self, context: &Context, fleet: &mut Fleet, now: Timestamp) {
        let elapsed = now.since(self.at);
        if elapsed < REPORT_PAUSE {
            return;
        }
        let spent = cpu(ClockId::ProcessCPUTime);
        let busy = (spent - self.cpu).as_secs_f64() / elapsed.as_secs_f64() / self.cores;
        (self.at, self.cpu) = (now, spent);
        let thread_us = cpu(ClockId::ThreadCPUTime).as_micros() as u64;
        context.control.counters.thread_us.store(thread_us, Ordering::Relaxed);
        let loads = self.loads(context, fleet);
        fleet.report_load(now, busy.min(1.0), &loads);
    }

    fn loads(&mut self, context: &Context, fleet: &Fleet) -> Vec<ServiceLoad> {
        let Some(settings) = fleet.settings().accepted() else { return Vec::new() };
        let mut taken: IndexMap<String, u64> = IndexMap::new();
        for (name, counts) in context.counts.snapshot() {
            if let Some((service, _)) = name.split_once('.') {
                *taken.entry(service.to_owned()).or_default() += counts.taken;
            }
        }
        let mut loads = Vec::new();
        for (service, members) in &fleet.entry_sets().services {
            if !members.contains(&context.local.host) {
                continue;
            }
            let Some(published) = settings.value.services.get(service) else { continue };
            let total = taken.get(&**service).copied().unwrap_or_default();
            let before = self.calls.insert(Arc::clone(service), total).unwrap_or_default();
            loads.push(ServiceLoad {
                service: Arc::clone(service),
                calls: total.saturating_sub(before),
                size: members.len(),
                minimum: published.entry_set as usize,
            });
        }
        loads
    }
}

fn cpu(clock: ClockId) -> Duration {
    let t = clock_gettime(clock);
    Duration::new(t.tv_sec.unsigned_abs(), u32::try_from(t.tv_nsec).unwrap_or_default())
}
