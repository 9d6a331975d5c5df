//! The settings document that the platform publishes to every entry.

mod check;

use crate::{
    Problem, SettingsError,
    document::{self, Document},
    keys::PUBLISHED_KEYS,
};
use indexmap::IndexMap;
use serde::Deserialize;
use std::sync::Arc;

/// How an entry chooses a target for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancingPolicy {
    /// Any target, evenly at random.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest calls of this entry in flight.
    LeastInFlight,
    /// The less loaded of two random targets.
    PowerOfTwo,
    /// Lexicographic order on hot or cold in-flight count, then recent latency.
    HotCold,
    /// Any target with a slot believed free; the next one after a refusal.
    TryAndRefuse,
    /// Targets that last reported an idle slot, else a random one.
    IdleSlots,
    /// Slots owned by the entries of the set, calls wait at the entry.
    Owned,
    /// Owned slots; a call moves to a peer of the set that has a free one.
    #[default]
    OwnedShared,
}

/// Fleet-wide budget for probes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeBudget {
    /// Target time that all entries together may spend on probes, in ms per second.
    pub target_ms_per_s: f64,
    /// Target time that one probe takes, in ms.
    pub probe_cost_ms: f64,
}

/// Budgets of second tries for one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per hundred first tries.
    pub retry_percent: f64,
    /// Hedges allowed per hundred first tries.
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
    /// Path below the path of the service; a call matches the longest prefix.
    pub path: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Worth of one answer in time, in units of the deployment's own.
    pub worth: f64,
}

/// One service and its operations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Path prefix that selects the service, such as `/till`.
    pub path: String,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target accepts from all entries together.
    pub connections: u32,
    /// Way of choosing a target.
    #[serde(default)]
    pub choice: BalancingPolicy,
    /// Smallest number of entries that serve this service.
    pub entry_set: u32,
    /// Calls that may wait at one entry.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Budgets of second tries.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Operations by name.
    pub operations: IndexMap<Arc<str>, OperationSettings>,
}

fn default_queue() -> u32 {
    1024
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
    /// Share of slots, in percent, that waiting calls of the class get whatever comes first.
    #[serde(default)]
    pub floor_percent: f64,
    /// Longest time, in ms, for which waiting calls of the class may see none of them started.
    #[serde(default)]
    pub still_ms: Option<u32>,
}

/// One preset: its classes in the order in which they come first.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Classes, the first one served first.
    pub classes: Vec<ClassSettings>,
}

/// The whole published document.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedSettings {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Configured number of entries, among which budgets are split.
    pub entries: u32,
    /// Name of the preset in force.
    pub preset: Arc<str>,
    /// Budget for probes.
    pub measuring: ProbeBudget,
    /// Services by name.
    pub services: IndexMap<Arc<str>, ServiceSettings>,
    /// Presets by name.
    pub presets: IndexMap<Arc<str>, Preset>,
}

impl PublishedSettings {
    /// Parses and checks `text`, which came from `source`.
    ///
    /// # Errors
    ///
    /// Every problem found, when the document is not accepted.
    pub fn parse(source: &str, text: &str) -> Result<Self, SettingsError> {
        document::parse(source, text)
    }

    /// The preset in force. The check guarantees that it exists.
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
