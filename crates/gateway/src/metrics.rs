//! Metrics in the OpenMetrics text format.

use indexmap::IndexMap;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use std::{
    fmt,
    sync::{Arc, atomic::AtomicU64},
};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Ratio of the upper bound of a latency bucket to that of the bucket before it.
const BUCKET_GROWTH: f64 = 1.6;
/// Number of latency buckets that have an upper bound.
const BUCKET_COUNT: u16 = 18;

/// Labels of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Service that handled the call; empty if there was none.
    pub service: String,
    /// Route of the call; empty if none matched.
    pub route: String,
    /// Outcome of the call.
    pub outcome: String,
}

/// Labels of an attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Service of the target.
    pub service: String,
    /// Reason for the attempt, or kind or outcome of a probe: `first`, `again`, `hedge`, `probe`,
    /// `probe-failed`, `reach-check` or `crash-check`.
    pub kind: String,
}

/// Labels of a metric of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Labels of a rest that a target asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RestLabels {
    /// Service of the target.
    pub service: String,
    /// `asked`, or `unreadable` if the time could not be read and changed nothing.
    pub outcome: String,
}

/// Labels of the end of a caller's connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionLabels {
    /// Why the connection ended: `closed`, `caller-closed`, `caller-reset`, `caller-timeout`,
    /// `idle-timeout`, `malformed`, `failed`, `ended` by the byte budget or `interrupted`.
    pub reason: String,
    /// Whether bytes of the caller were unread, so that the kernel reset the connection: `true` or
    /// `false`.
    pub reset: String,
    /// Whether the caller had not received all that was sent to it: `true` or `false`.
    pub undelivered: String,
}

/// Labels of the connections that the process ended for lack of room.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndedConnectionLabels {
    /// `bytes` if the byte budget was used up, `connections` if too many were open.
    pub reason: String,
}

/// Metrics of the byte budget.
#[derive(Clone, Debug, Default)]
pub struct BudgetMetrics {
    /// Bytes that connections of all ports hold, as far as they count.
    pub held_bytes: Gauge,
    /// Requests refused because the budget was used up.
    pub refused_requests: Counter,
    /// Connections closed at once because too many were open.
    pub refused_connections: Counter,
    /// Connections ended before their callers.
    pub ended_connections: Family<EndedConnectionLabels, Counter>,
}

impl BudgetMetrics {
    /// Counts a connection that is ended for `reason`.
    pub fn record_ended_connection(&self, reason: &str) {
        let labels = EndedConnectionLabels { reason: reason.to_owned() };
        self.ended_connections.get_or_create(&labels).inc();
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Bytes that connections hold of the byte budget";
        registry.register_with_unit("held", help, Unit::Bytes, self.held_bytes.clone());
        let help = "Requests refused because the byte budget was used up";
        registry.register("requests_without_room", help, self.refused_requests.clone());
        let help = "Connections closed at once because too many were open";
        registry.register("refused_connections", help, self.refused_connections.clone());
        let help = "Connections ended because the byte budget or their limit was used up";
        registry.register("connections_without_room", help, self.ended_connections.clone());
    }
}

/// Labels of a platform read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformReadLabels {
    /// Outcome of the read: `ok`, `failed`, or `ignored` if its data is older than what is known.
    pub outcome: String,
}

/// Labels of the number of gateways of a build.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GenerationLabels {
    /// Generation of the messages that they send.
    pub generation: u32,
}

/// Labels of messages of other gateways that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnreadableLabels {
    /// Kind of the message: `heartbeat`, `join`, `peers`, `limits`, `calls`, `unknown`, `update`, `relay`
    /// or `departure`.
    pub message: String,
    /// Host of the gateway that sent it; `other` if the sender is not known.
    pub sender: String,
}

/// Returns a histogram with exponential buckets from 5 ms to about 15 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_GROWTH, BUCKET_COUNT))
}

/// All metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    /// Completed calls.
    pub calls: Family<CallLabels, Counter>,
    /// Time from the arrival of a call to the head of its response, in seconds.
    pub latency: Family<CallLabels, Histogram>,
    /// Attempts at targets, and probes of them.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Attempts and probes sent to targets that had named a limit.
    pub limited_requests: Family<AttemptLabels, Counter>,
    /// Rests that targets asked for.
    pub rests: Family<RestLabels, Counter>,
    /// Targets that rest.
    pub resting_targets: Family<ServiceLabels, Gauge>,
    /// Cold targets of services that name a rate for them.
    pub cold_targets: Family<ServiceLabels, Gauge>,
    /// Calls that found only cold targets without tokens.
    pub cold_misses: Family<ServiceLabels, Counter>,
    /// Targets that said in an answer that they leave.
    pub departures: Family<ServiceLabels, Counter>,
    /// Targets that have said so and are still remembered.
    pub departed_targets: Family<ServiceLabels, Gauge>,
    /// Failure domains that are evacuated.
    pub evacuated_domains: Gauge,
    /// Calls relayed to other gateways.
    pub relayed_calls: Counter,
    /// Calls refused because several targets ended while they ran calls of the same content.
    pub quarantined_calls: Counter,
    /// Processes of targets that ended while they ran calls of this gateway.
    pub target_crashes: Counter,
    /// Connections ended after an answer so that their callers use other gateways.
    pub shed_callers: Counter,
    /// Contents of calls that are quarantined.
    pub quarantined_digests: Gauge,
    /// Platform reads.
    pub platform_reads: Family<PlatformReadLabels, Counter>,
    /// Records of the platform that could not be read, settings among them.
    pub unreadable_records: Counter,
    /// Versions of the settings that came into force without some of their routes.
    pub incomplete_settings: Counter,
    /// Routes of the settings in force that cannot be used.
    pub unusable_routes: Gauge,
    /// Messages of other gateways that could not be read.
    pub unreadable_messages: Family<UnreadableLabels, Counter>,
    /// Calls that are queued for a target.
    pub waiting_calls: Gauge,
    /// Retries and hedges that this gateway's share of the retry budget currently allows.
    pub retry_budget: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    /// Connections opened to targets.
    pub target_connections: Counter,
    /// Connections of callers that ended.
    pub caller_connections: Family<ConnectionLabels, Counter>,
    /// Bytes of response bodies from targets in other failure domains. Bodies that are streamed to
    /// the caller are not counted.
    pub remote_bytes: Counter,
    /// Fraction of time in which the event loop had work.
    pub busy_share: Gauge<f64, AtomicU64>,
    /// How late timers of the event loop came, in seconds.
    pub lateness: Histogram,
    /// Version of the published settings in force.
    pub settings_version: Gauge,
    /// Era of the data in force.
    pub platform_era: Gauge,
    /// Platform revision of the data in force.
    pub platform_revision: Gauge,
    /// Gateways that are alive, this one included.
    pub alive_gateways: Gauge,
    /// Gateways that are alive, this one included, by the generation of their messages.
    pub generations: Family<GenerationLabels, Gauge>,
    /// Byte budget.
    pub budget: BudgetMetrics,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, which start at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("azuretally");
        let metrics = Self {
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            attempts: Family::default(),
            limited_requests: Family::default(),
            rests: Family::default(),
            resting_targets: Family::default(),
            cold_targets: Family::default(),
            cold_misses: Family::default(),
            departures: Family::default(),
            departed_targets: Family::default(),
            evacuated_domains: Gauge::default(),
            relayed_calls: Counter::default(),
            quarantined_calls: Counter::default(),
            target_crashes: Counter::default(),
            shed_callers: Counter::default(),
            quarantined_digests: Gauge::default(),
            platform_reads: Family::default(),
            unreadable_records: Counter::default(),
            incomplete_settings: Counter::default(),
            unusable_routes: Gauge::default(),
            unreadable_messages: Family::default(),
            waiting_calls: Gauge::default(),
            retry_budget: Family::default(),
            target_connections: Counter::default(),
            caller_connections: Family::default(),
            remote_bytes: Counter::default(),
            busy_share: Gauge::default(),
            lateness: Histogram::new(exponential_buckets(
                FIRST_BUCKET_S,
                BUCKET_GROWTH,
                BUCKET_COUNT,
            )),
            settings_version: Gauge::default(),
            platform_era: Gauge::default(),
            platform_revision: Gauge::default(),
            alive_gateways: Gauge::default(),
            generations: Family::default(),
            budget: BudgetMetrics::default(),
            registry: Registry::default(),
        };
        registry.register("calls", "Calls that ended", metrics.calls.clone());
        let help = "Time from arrival to the head of the answer";
        registry.register_with_unit("call_time", help, Unit::Seconds, metrics.latency.clone());
        registry.register("attempts", "Attempts at targets", metrics.attempts.clone());
        registry.register(
            "limited_requests",
            "Attempts and probes sent to targets that had named a limit",
            metrics.limited_requests.clone(),
        );
        registry.register("rests", "Rests that targets asked for", metrics.rests.clone());
        let help = "Targets that rest";
        registry.register("resting_targets", help, metrics.resting_targets.clone());
        let help = "Cold targets of services that name a rate for them";
        registry.register("cold_targets", help, metrics.cold_targets.clone());
        let help = "Calls that found only cold targets without tokens";
        registry.register("cold_misses", help, metrics.cold_misses.clone());
        let help = "Targets that said in an answer that they leave";
        registry.register("departures", help, metrics.departures.clone());
        let help = "Targets that have said that they leave";
        registry.register("departed_targets", help, metrics.departed_targets.clone());
        let help = "Failure domains that are evacuated";
        registry.register("evacuated_domains", help, metrics.evacuated_domains.clone());
        let help = "Calls relayed to other gateways";
        registry.register("relayed_calls", help, metrics.relayed_calls.clone());
        let help = "Calls refused because calls of the same content crashed targets";
        registry.register("quarantined_calls", help, metrics.quarantined_calls.clone());
        let help = "Processes of targets that ended while they ran calls of this gateway";
        registry.register("target_crashes", help, metrics.target_crashes.clone());
        let help = "Connections ended after an answer so that their callers use less busy gateways";
        registry.register("shed_callers", help, metrics.shed_callers.clone());
        let help = "Contents of calls that are quarantined";
        registry.register("quarantined_digests", help, metrics.quarantined_digests.clone());
        registry.register(
            "platform_reads",
            "Reads of the platform",
            metrics.platform_reads.clone(),
        );
        let help = "Records of the platform that could not be read";
        registry.register("unreadable_records", help, metrics.unreadable_records.clone());
        let help = "Versions of the settings that came into force without some of their routes";
        registry.register("incomplete_settings", help, metrics.incomplete_settings.clone());
        let help = "Routes of the settings in force that cannot be used";
        registry.register("unusable_routes", help, metrics.unusable_routes.clone());
        let help = "Messages of other gateways that could not be read";
        registry.register("unreadable_messages", help, metrics.unreadable_messages.clone());
        registry.register(
            "waiting_calls",
            "Calls that wait for a target",
            metrics.waiting_calls.clone(),
        );
        let help = "Second tries that this gateway's part of the budget allows now";
        registry.register("second_tries_left", help, metrics.retry_budget.clone());
        let help = "Connections made to targets";
        registry.register("target_connections", help, metrics.target_connections.clone());
        registry.register(
            "caller_connections_ended",
            "Connections of callers that ended",
            metrics.caller_connections.clone(),
        );
        let help = "Bytes of answers from other failure domains";
        registry.register_with_unit("far", help, Unit::Bytes, metrics.remote_bytes.clone());
        let help = "Fraction of time in which the event loop had work";
        registry.register("busy_share", help, metrics.busy_share.clone());
        let help = "How late timers of the event loop came";
        registry.register_with_unit("lateness", help, Unit::Seconds, metrics.lateness.clone());
        let help = "Version of the published settings in force";
        registry.register("settings_version", help, metrics.settings_version.clone());
        let help = "Era of the platform's data in force";
        registry.register("platform_era", help, metrics.platform_era.clone());
        let help = "Platform revision of the data in force";
        registry.register("platform_revision", help, metrics.platform_revision.clone());
        registry.register("living_gateways", "Gateways that live", metrics.alive_gateways.clone());
        let help = "Gateways that live, by the generation of their messages";
        registry.register("gateway_generations", help, metrics.generations.clone());
        metrics.budget.register(&mut registry);
        Self { registry, ..metrics }
    }

    /// Encodes all metrics as text, or returns an empty text if that fails.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(e) => {
                log::error!("metrics: cannot be encoded: {e}");
                String::new()
            }
        }
    }

    /// Records a completed call and its latency in seconds.
    pub fn record_call(&self, service: &Arc<str>, route: &Arc<str>, outcome: &str, seconds: f64) {
        let labels = CallLabels {
            service: service.to_string(),
            route: route.to_string(),
            outcome: outcome.to_owned(),
        };
        self.calls.get_or_create(&labels).inc();
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Counts the end of a caller's connection.
    pub fn record_connection_end(&self, reason: &str, reset: bool, undelivered: bool) {
        let labels = ConnectionLabels {
            reason: reason.to_owned(),
            reset: reset.to_string(),
            undelivered: undelivered.to_string(),
        };
        self.caller_connections.get_or_create(&labels).inc();
    }

    /// Counts an attempt at a target of `service`, or a probe of one.
    pub fn record_attempt(&self, service: &Arc<str>, kind: &str) {
        let labels = AttemptLabels { service: service.to_string(), kind: kind.to_owned() };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts an attempt or a probe that is sent to a target of `service` that has named a limit.
    pub fn record_limited_request(&self, service: &Arc<str>, kind: &str) {
        let labels = AttemptLabels { service: service.to_string(), kind: kind.to_owned() };
        self.limited_requests.get_or_create(&labels).inc();
    }

    /// Counts a rest that a target of `service` asked for.
    pub fn record_rest(&self, service: &Arc<str>, outcome: &str) {
        let labels = RestLabels { service: service.to_string(), outcome: outcome.to_owned() };
        self.rests.get_or_create(&labels).inc();
    }

    /// Sets the number of targets of `service` that rest.
    pub fn set_resting_targets(&self, service: &Arc<str>, count: usize) {
        let labels = ServiceLabels { service: service.to_string() };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.resting_targets.get_or_create(&labels).set(count);
    }

    /// Sets the number of cold targets of `service`.
    pub fn set_cold_targets(&self, service: &Arc<str>, count: usize) {
        let labels = ServiceLabels { service: service.to_string() };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.cold_targets.get_or_create(&labels).set(count);
    }

    /// Raises the number of calls of `service` that found only cold targets without tokens to `count`.
    pub fn set_cold_misses(&self, service: &Arc<str>, count: u64) {
        let labels = ServiceLabels { service: service.to_string() };
        let counter = self.cold_misses.get_or_create(&labels);
        counter.inc_by(count.saturating_sub(counter.get()));
    }

    /// Counts a target of `service` that said that it leaves.
    pub fn record_departure(&self, service: &Arc<str>) {
        let labels = ServiceLabels { service: service.to_string() };
        self.departures.get_or_create(&labels).inc();
    }

    /// Sets the number of targets of `service` that have said that they leave.
    pub fn set_departed_targets(&self, service: &Arc<str>, count: usize) {
        let labels = ServiceLabels { service: service.to_string() };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.departed_targets.get_or_create(&labels).set(count);
    }

    /// Sets the number of retries and hedges that the budget of `service` currently allows.
    pub fn set_retry_budget(&self, service: &Arc<str>, remaining: f64) {
        let labels = ServiceLabels { service: service.to_string() };
        self.retry_budget.get_or_create(&labels).set(remaining);
    }

    /// Sets the numbers of live gateways by generation.
    pub fn set_generations(&self, counts: &IndexMap<u32, usize>) {
        self.generations.clear();
        for (&generation, &count) in counts {
            let gauge = self.generations.get_or_create(&GenerationLabels { generation });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Counts a message of `kind` of the gateway `sender` that could not be read.
    pub fn record_unreadable_message(&self, kind: &str, sender: &str) {
        let labels = UnreadableLabels { message: kind.to_owned(), sender: sender.to_owned() };
        self.unreadable_messages.get_or_create(&labels).inc();
    }

    /// Counts a platform read.
    pub fn record_platform_read(&self, outcome: &str) {
        self.platform_reads
            .get_or_create(&PlatformReadLabels { outcome: outcome.to_owned() })
            .inc();
    }
}
