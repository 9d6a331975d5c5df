//! Configuration of a dispatcher, derived from the settings, the host list and the peers.

use azuretally_settings::{BalancingPolicy, PublishedSettings};
use std::{sync::Arc, time::Duration};

/// One class of the active preset.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Name of the class.
    pub name: Arc<str>,
    /// Maximum duration of a call.
    pub timeout: Duration,
    /// Minimum share of the slots, 0 to 1, that the class gets while its calls wait, ahead of
    /// classes with higher priority.
    pub floor: f64,
    /// Maximum time for which calls of the class may wait without any of them being started.
    pub starvation_limit: Option<Duration>,
}

/// One operation of the service.
#[derive(Clone, Debug)]
pub struct OperationConfig {
    /// Name of the operation.
    pub name: Arc<str>,
    /// Index into [`ServiceConfig::classes`], which are in order of priority.
    pub class: usize,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Value of one call that is answered before its deadline.
    pub worth: f64,
}

/// Configuration of one service under the active preset.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Code of the [`PublishedRevision`](crate::fleet::PublishedRevision) of the settings.
    pub revision: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Host name of this entry.
    pub host: Arc<str>,
    /// Algorithm that selects a target.
    pub choice: BalancingPolicy,
    /// Maximum number of waiting calls.
    pub queue_limit: usize,
    /// Maximum number of connections that each target accepts from all entries together.
    pub connections: u32,
    /// Maximum time for which a target may ask for rest at once.
    pub max_rest: Duration,
    /// Maximum ratio of retries to first attempts, 0 to 1.
    pub retry_ratio: f64,
    /// Maximum ratio of hedges to first attempts, 0 to 1.
    pub hedge_ratio: f64,
    /// Time for which probes by this entry may occupy targets of this service, in seconds per
    /// second.
    pub probe_share: f64,
    /// Time for which one probe occupies a target.
    pub probe_cost: Duration,
    /// Classes, highest priority first.
    pub classes: Vec<ClassConfig>,
    /// Operations in the order of the settings.
    pub operations: Vec<OperationConfig>,
}

impl ServiceConfig {
    /// Derives the configuration of `service` for the entry `host`. The settings must have been
    /// validated.
    ///
    /// Returns `None` if the settings have no such service or no active preset, or if an operation
    /// of the service belongs to no class of the preset.
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
            max_rest: Duration::from_millis(settings.max_rest_ms.into()),
            retry_ratio: settings.retry.retry_percent / 100.0,
            hedge_ratio: settings.retry.hedge_percent / 100.0,
            probe_share: published.measuring.target_ms_per_s / 1_000.0 / shares,
            probe_cost: Duration::from_secs_f64(published.measuring.probe_cost_ms / 1_000.0),
            classes,
            operations,
        })
    }
}

/// One target of the service, as listed in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Host name of the target.
    pub name: Arc<str>,
    /// Failure domain of the target.
    pub failure_domain: Arc<str>,
    /// Number of slots of the target.
    pub slots: u32,
    /// Incarnation of the target, if the list names it.
    pub incarnation: Option<Arc<str>>,
    /// Whether the list marks the target as leaving, so that it must not get new calls.
    pub leaving: bool,
    /// Whether an entry has reported that it is leaving, with the same effect. Probes can show that
    /// the report no longer applies.
    pub reported: bool,
}

impl TargetInfo {
    /// Returns whether the target is leaving and must not get new calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.reported
    }
}

/// One member of the entry set of the service. This entry is listed too if it is a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSlots {
    /// Host name of the entry.
    pub host: Arc<str>,
    /// Number of free slots that the entry last reported, after subtracting its own waiting calls.
    pub free: u32,
}
