//! What a dispatcher knows from settings, host list and peers.

use azuretally_settings::{BalancingPolicy, PublishedSettings};
use std::{sync::Arc, time::Duration};

/// One class of the preset in force.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Name of the class.
    pub name: Arc<str>,
    /// Longest time that a call may take.
    pub timeout: Duration,
    /// Share of slots that waiting calls of the class get whatever comes first, 0 to 1.
    pub floor: f64,
    /// Longest time without any start while calls of the class wait.
    pub starvation_limit: Option<Duration>,
}

/// One operation of the service.
#[derive(Clone, Debug)]
pub struct OperationConfig {
    /// Name of the operation.
    pub name: Arc<str>,
    /// Index into [`ServiceConfig::classes`], whose order is the order of service.
    pub class: usize,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Worth of one answer in time.
    pub worth: f64,
}

/// Settings of one service under the preset in force.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Revision of the settings.
    pub revision: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Host name of this entry.
    pub host: Arc<str>,
    /// Way of choosing a target.
    pub choice: BalancingPolicy,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Connections that each target accepts from all entries together.
    pub connections: u32,
    /// Retries per first try, 0 to 1.
    pub retry_ratio: f64,
    /// Hedges per first try, 0 to 1.
    pub hedge_ratio: f64,
    /// Target time that this entry may spend on probes of this service, as a share of one second.
    pub probe_share: f64,
    /// Target time of one probe.
    pub probe_cost: Duration,
    /// Classes, the first one served first.
    pub classes: Vec<ClassConfig>,
    /// Operations in the order of the settings.
    pub operations: Vec<OperationConfig>,
}

impl ServiceConfig {
    /// Works out the plan of `service` for the entry `host`, or nothing when the document has no
    /// such service. The document must have passed its check.
    pub fn new(
        published: &PublishedSettings,
        revision: u64,
        service: &str,
        host: &str,
    ) -> Option<Self> {
        let settings = published.services.get(service)?;
        let preset = published.active_preset()?;
        let classes = preset
            .classes
            .iter()
            .map(|c| ClassConfig {
                name: Arc::clone(&c.name),
                timeout: Duration::from_millis(c.timeout_ms.into()),
                floor: c.floor_percent / 100.0,
                starvation_limit: c.still_ms.map(|ms| Duration::from_millis(ms.into())),
            })
            .collect();
        let mut operations = Vec::with_capacity(settings.operations.len());
        for (name, operation) in &settings.operations {
            let full = format!("{service}.{name}");
            let class =
                preset.classes.iter().position(|c| c.operations.iter().any(|o| **o == *full))?;
            operations.push(OperationConfig {
                name: Arc::clone(name),
                class,
                idempotent: operation.idempotent,
                worth: operation.worth,
            });
        }
        let shares = f64::from(published.entries.max(1)) * published.services.len().max(1) as f64;
        Some(Self {
            revision,
            service: Arc::from(service),
            host: Arc::from(host),
            choice: settings.choice,
            queue_limit: settings.queue as usize,
            connections: settings.connections,
            retry_ratio: settings.retry.retry_percent / 100.0,
            hedge_ratio: settings.retry.hedge_percent / 100.0,
            probe_share: published.measuring.target_ms_per_s / 1_000.0 / shares,
            probe_cost: Duration::from_secs_f64(published.measuring.probe_cost_ms / 1_000.0),
            classes,
            operations,
        })
    }
}

/// One target of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Host name of the target.
    pub name: Arc<str>,
    /// Failure domain of the target.
    pub failure_domain: Arc<str>,
    /// Slots of the target.
    pub slots: u32,
    /// Whether it is leaving and may get no new call.
    pub leaving: bool,
}

/// One member of the service's entry set, this entry included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSlots {
    /// Host name of the entry.
    pub host: Arc<str>,
    /// Slots that the peer last told to be free beyond its own waiting calls.
    pub free: u32,
}
