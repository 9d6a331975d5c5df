//! Settings document that the platform publishes to all entries.
//!
//! Entries report why they refused a revision, and the reason must be the same at entries of
//! different versions. The texts of problems and the type names in them therefore do not change.

mod check;

use crate::{
    Problem, SettingsError,
    document::{self, Document},
    keys::PUBLISHED_KEYS,
};
use indexmap::IndexMap;
use serde::Deserialize;
use std::sync::Arc;

/// Load-balancing policy: how an entry chooses a target for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename = "Choice", rename_all = "kebab-case")]
pub enum BalancingPolicy {
    /// A target chosen uniformly at random.
    Random,
    /// All targets in turn.
    RoundRobin,
    /// The target with the fewest calls in flight from this entry.
    LeastInFlight,
    /// The less loaded of two targets chosen at random (power of two choices).
    PowerOfTwo,
    /// The target with the lowest recent latency among those below their limit (cold). If all are
    /// at their limit (hot), the one with the lowest load.
    HotCold,
    /// A random target with fewer calls in flight from this entry than slots; after a refusal,
    /// another such target.
    TryAndRefuse,
    /// A target that last reported an idle slot, or a random target if there is none.
    IdleSlots,
    /// Each slot is owned by one entry of the entry set; calls wait at the entry for an owned slot.
    Owned,
    /// Like `Owned`, but a call may be relayed to a peer of the entry set that has a free slot.
    #[default]
    OwnedShared,
}

/// Budget for probes of the whole fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Measuring", deny_unknown_fields)]
pub struct ProbeBudget {
    /// Target time that all entries together may use for probes, in ms per second.
    pub target_ms_per_s: f64,
    /// Target time that one probe costs, in ms.
    pub probe_cost_ms: f64,
}

/// Budgets for retries and hedges of one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per hundred first attempts.
    pub retry_percent: f64,
    /// Hedged attempts allowed per hundred first attempts.
    #[serde(default)]
    pub hedge_percent: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { retry_percent: 10.0, hedge_percent: 0.0 }
    }
}

/// One operation of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSettings {
    /// HTTP method.
    pub method: String,
    /// Path relative to the path of the service. A call belongs to the operation with the longest
    /// matching prefix.
    pub path: String,
    /// Whether a call may safely run more than once.
    pub idempotent: bool,
    /// Value of one answer in time, in units that the deployment chooses.
    pub worth: f64,
}

/// One service and its operations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Path prefix that selects the service, such as `/till`.
    pub path: String,
    /// Number of slots of each target.
    pub slots: u32,
    /// Number of connections that each target accepts from all entries together.
    pub connections: u32,
    /// Load-balancing policy.
    #[serde(default)]
    pub choice: BalancingPolicy,
    /// Minimum number of entries that serve the service.
    pub entry_set: u32,
    /// Maximum number of calls of the service that wait at one entry.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Longest rest that a target may ask an entry for at once, in ms.
    #[serde(default = "default_max_rest_ms")]
    pub max_rest_ms: u32,
    /// Budgets for retries and hedges.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Operations by name.
    pub operations: IndexMap<Arc<str>, OperationSettings>,
}

fn default_queue() -> u32 {
    1024
}

fn default_max_rest_ms() -> u32 {
    30_000
}

/// One class of calls within a preset.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Name of the class, such as `urgent`.
    pub name: Arc<str>,
    /// Operations of the class as `service.operation`.
    pub operations: Vec<Arc<str>>,
    /// Longest time that a call of the class may take, in ms.
    pub timeout_ms: u32,
    /// Minimum share of slots, in percent, for waiting calls of the class, whatever their priority.
    #[serde(default)]
    pub floor_percent: f64,
    /// Longest time, in ms, that may pass without a waiting call of the class being started.
    #[serde(default)]
    pub still_ms: Option<u32>,
}

/// One preset: an order of priority for all operations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Classes of the preset, highest priority first.
    pub classes: Vec<ClassSettings>,
}

/// Settings that the platform publishes to all entries.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Published", deny_unknown_fields)]
pub struct PublishedSettings {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Configured number of entries, among which the budgets for probes and for platform requests
    /// are divided.
    pub entries: u32,
    /// Name of the active preset.
    pub preset: Arc<str>,
    /// Budget for probes of the whole fleet.
    pub measuring: ProbeBudget,
    /// Services by name.
    pub services: IndexMap<Arc<str>, ServiceSettings>,
    /// Presets by name.
    pub presets: IndexMap<Arc<str>, Preset>,
}

impl PublishedSettings {
    /// Parses and checks `text`. `source` names its origin in errors.
    ///
    /// # Errors
    ///
    /// Returns all problems found if the document is refused.
    pub fn parse(source: &str, text: &str) -> Result<Self, SettingsError> {
        document::parse(source, text)
    }

    /// Returns the active preset. It exists in every document that passed the check.
    pub fn active_preset(&self) -> Option<&Preset> {
        self.presets.get(&self.preset)
    }

    fn has_operation(&self, full: &str) -> bool {
        full.split_once('.').is_some_and(|(service, operation)| {
            self.services.get(service).is_some_and(|s| s.operations.contains_key(operation))
        })
    }
}

impl Document for PublishedSettings {
    const KEYS: &'static [&'static str] = PUBLISHED_KEYS;

    fn problems(&self) -> Vec<Problem> {
        check::problems(self)
    }
}
