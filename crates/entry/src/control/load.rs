//! Measures the load of this entry, which determines the sizes of entry sets.

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

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the CPU time and calls of this entry since the previous report.
#[derive(Debug)]
pub(super) struct LoadMeter {
    reported_at: Timestamp,
    /// CPU time of the process at the previous report.
    cpu_time: Duration,
    /// Calls accepted up to the previous report, by service.
    call_totals: IndexMap<Arc<str>, u64>,
    /// Number of cores that the threads of the request path can use.
    cores: f64,
}

impl LoadMeter {
    pub(super) fn new(context: &Context) -> Self {
        let cores = thread::available_parallelism().map_or(1, usize::from);
        let cores = context.local.call_threads.unwrap_or(cores).min(cores);
        let reported_at = context.clock.now();
        Self {
            reported_at,
            cpu_time: cpu_time(ClockId::ProcessCPUTime),
            call_totals: IndexMap::new(),
            cores: cores as f64,
        }
    }

    /// Reports to `fleet` if a report is due.
    pub(super) fn report(&mut self, context: &Context, fleet: &mut Fleet, now: Timestamp) {
        let elapsed = now.since(self.reported_at);
        if elapsed < REPORT_INTERVAL {
            return;
        }
        let cpu_total = cpu_time(ClockId::ProcessCPUTime);
        let busy = (cpu_total - self.cpu_time).as_secs_f64() / elapsed.as_secs_f64() / self.cores;
        (self.reported_at, self.cpu_time) = (now, cpu_total);
        let thread_us = cpu_time(ClockId::ThreadCPUTime).as_micros() as u64;
        context.control.counters.thread_us.store(thread_us, Ordering::Relaxed);
        let loads = self.loads(context, fleet);
        fleet.report_load(now, busy.min(1.0), &loads);
    }

    fn loads(&mut self, context: &Context, fleet: &Fleet) -> Vec<ServiceLoad> {
        let Some(settings) = fleet.settings().accepted() else { return Vec::new() };
        let mut totals: IndexMap<String, u64> = IndexMap::new();
        for (name, counts) in context.counts.snapshot() {
            if let Some((service, _)) = name.split_once('.') {
                *totals.entry(service.to_owned()).or_default() += counts.taken;
            }
        }
        let mut loads = Vec::new();
        for (service, members) in &fleet.entry_sets().services {
            if !members.contains(&context.local.host) {
                continue;
            }
            let Some(published) = settings.value.services.get(service) else { continue };
            let total = totals.get(&**service).copied().unwrap_or_default();
            let previous = self.call_totals.insert(Arc::clone(service), total).unwrap_or_default();
            loads.push(ServiceLoad {
                service: Arc::clone(service),
                calls: total.saturating_sub(previous),
                size: members.len(),
                minimum: published.entry_set as usize,
            });
        }
        loads
    }
}

/// Reads a CPU-time clock.
fn cpu_time(clock: ClockId) -> Duration {
    let t = clock_gettime(clock);
    Duration::new(t.tv_sec.unsigned_abs(), u32::try_from(t.tv_nsec).unwrap_or_default())
}
