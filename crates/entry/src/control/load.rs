//! Measures the load of this entry, which determines the sizes of entry sets.

use crate::context::Context;
use azuretally_policy::{
    Timestamp,
    fleet::{CallMeter, Fleet, ServiceLoad},
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
    /// Counts the calls accepted between reports, by service.
    calls: CallMeter,
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
            calls: CallMeter::default(),
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
        let mut totals: IndexMap<Arc<str>, u64> = IndexMap::new();
        for (name, counts) in context.counts.snapshot() {
            if let Some((service, _)) = name.split_once('.') {
                *totals.entry(Arc::from(service)).or_default() += counts.taken;
            }
        }
        let host = &context.local.host;
        let sets = &fleet.entry_sets().services;
        let is_member = |service: &str| sets.get(service).is_some_and(|set| set.contains(host));
        let calls = self.calls.report(totals, is_member);
        let mut loads = Vec::new();
        for (service, members) in sets.iter().filter(|(_, members)| members.contains(host)) {
            let Some(published) = settings.value.services.get(service) else { continue };
            loads.push(ServiceLoad {
                service: Arc::clone(service),
                calls: calls.get(service).copied().unwrap_or_default(),
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
