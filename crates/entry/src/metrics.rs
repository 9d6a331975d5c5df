//! Metrics in the OpenMetrics text format.
//!
//! Calls are counted on the control thread when it collects their records, so that the request path
//! does not pay for metrics. Calls whose records were lost are therefore missing from these counts.
//! All other values are read when the metrics are scraped.

use crate::control::ControlCounters;
use azuretally_api::{admin::EntryStatus, record::CallRecord};
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::atomic::AtomicU64};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.004, 0.006, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0, 60.0,
];

type FloatGauge = Gauge<f64, AtomicU64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    operation: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    service: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OperationLabels {
    operation: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CounterLabels {
    counter: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    reason: &'static str,
}

/// How a connection of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The entry closed it and had announced that, with its last answer or with GOAWAY.
    Announced,
    /// The entry closed it while it was idle.
    Idle,
    /// The caller closed it.
    Caller,
    /// It failed, or the caller sent no valid request in time.
    Failed,
    /// The process ended first.
    Interrupted,
}

impl ConnectionEnd {
    /// All values.
    pub const ALL: [Self; 5] =
        [Self::Announced, Self::Idle, Self::Caller, Self::Failed, Self::Interrupted];

    /// Returns the name used in metrics and in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Idle => "idle",
            Self::Caller => "caller-closed",
            Self::Failed => "failed",
            Self::Interrupted => "interrupted",
        }
    }
}

/// All metrics of one entry.
pub struct Metrics {
    registry: Mutex<Registry>,
    calls: Family<OutcomeLabels, Counter>,
    retries: Family<OperationLabels, Counter>,
    latency: Family<ClassLabels, Histogram, fn() -> Histogram>,
    in_flight: Family<OperationLabels, Gauge>,
    in_time: Family<OperationLabels, Gauge>,
    revision: Gauge,
    oldest_waiting: Gauge,
    peers: Gauge,
    probe_time: FloatGauge,
    record_lines: Gauge,
    lost_calls: Gauge,
    control: Family<CounterLabels, Gauge>,
    connection_ends: Family<ConnectionLabels, Counter>,
    rests: Counter,
    targets_resting: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics, without values.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("azuretally")),
            calls: Family::default(),
            retries: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S)),
            in_flight: Family::default(),
            in_time: Family::default(),
            revision: Gauge::default(),
            oldest_waiting: Gauge::default(),
            peers: Gauge::default(),
            probe_time: FloatGauge::default(),
            record_lines: Gauge::default(),
            lost_calls: Gauge::default(),
            control: Family::default(),
            connection_ends: Family::default(),
            rests: Counter::default(),
            targets_resting: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts one finished call.
    pub fn observe_call(&self, call: &CallRecord) {
        let operation = format!("{}.{}", call.service, call.operation);
        let outcome = call.outcome.as_str();
        let retries = u64::from(call.attempts.saturating_sub(1));
        if retries > 0 {
            let labels = OperationLabels { operation: operation.clone() };
            self.retries.get_or_create(&labels).inc_by(retries);
        }
        self.calls.get_or_create(&OutcomeLabels { operation, outcome }).inc();
        let labels = ClassLabels { service: call.service.clone(), class: call.class.clone() };
        let seconds = call.end_us.saturating_sub(call.arrival_us) as f64 / 1e6;
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Counts the end of a connection of a caller.
    pub fn record_connection_end(&self, end: ConnectionEnd) {
        self.connection_ends.get_or_create(&ConnectionLabels { reason: end.as_str() }).inc();
    }

    /// Counts new rests that targets asked for, and sets the number of targets that rest.
    pub fn observe_rests(&self, rests: u64, resting: usize) {
        self.rests.inc_by(rests);
        self.targets_resting.set(gauge_value(resting as u64));
    }

    /// Returns how many connections of callers ended in this way.
    pub fn connection_ends(&self, end: ConnectionEnd) -> u64 {
        self.connection_ends.get_or_create(&ConnectionLabels { reason: end.as_str() }).get()
    }

    /// Sets the gauges from `status` and returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self, status: &EntryStatus) -> Result<String, fmt::Error> {
        self.set_gauges(status);
        let mut text = String::new();
        encode(&mut text, &self.registry.lock())?;
        Ok(text)
    }

    /// Copies the counters of the control thread.
    pub fn observe_control(&self, counters: &ControlCounters) {
        for (counter, value) in counters.snapshot() {
            self.control.get_or_create(&CounterLabels { counter }).set(gauge_value(value));
        }
    }

    fn set_gauges(&self, status: &EntryStatus) {
        self.revision.set(gauge_value(status.revision));
        self.oldest_waiting.set(gauge_value(status.oldest_waiting_ms));
        self.peers.set(gauge_value(status.peers.len() as u64));
        self.probe_time.set(status.probe_ms);
        self.record_lines.set(gauge_value(status.record.last));
        self.lost_calls.set(gauge_value(status.record.lost));
        for (operation, counts) in &status.calls {
            let labels = OperationLabels { operation: operation.clone() };
            self.in_flight.get_or_create(&labels).set(gauge_value(counts.in_flight));
            self.in_time.get_or_create(&labels).set(gauge_value(counts.in_time));
        }
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        let r = &mut *registry;
        r.register("calls", "Decided calls", self.calls.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("call_seconds", "Time from arrival to outcome", self.latency.clone());
        r.register("calls_in_flight", "Calls not yet decided", self.in_flight.clone());
        r.register("calls_in_time", "Calls answered in time so far", self.in_time.clone());
        r.register("settings_revision", "Revision in force", self.revision.clone());
        r.register(
            "oldest_waiting_ms",
            "Age of the oldest waiting call",
            self.oldest_waiting.clone(),
        );
        r.register("peers", "Peers believed alive", self.peers.clone());
        r.register("probe_target_ms", "Target time spent on probes", self.probe_time.clone());
        r.register("record_lines", "Lines of the audit record", self.record_lines.clone());
        r.register("control", "What control spent so far", self.control.clone());
        r.register(
            "caller_connections_ended",
            "Connections of callers that ended",
            self.connection_ends.clone(),
        );
        r.register("rests", "Rests that targets asked for", self.rests.clone());
        r.register("targets_resting", "Targets that rest", self.targets_resting.clone());
        r.register("record_lost_calls", "Calls without a line", self.lost_calls.clone());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
