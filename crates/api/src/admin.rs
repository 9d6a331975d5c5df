//! Bodies of the administration API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Counters of the calls of one operation class. They obey
/// `taken = answered + not_run + unknown + in_flight`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallCounts {
    /// Calls taken in.
    pub taken: u64,
    /// Calls answered by a target.
    pub answered: u64,
    /// Calls truly not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls not yet decided.
    pub in_flight: u64,
    /// Answered calls that were in time.
    pub in_time: u64,
}

/// State of one entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct EntryStatus {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Lifecycle state: `starting`, `serving`, `stale`, `stopping`.
    pub state: String,
    /// Revision of the settings in force.
    pub revision: u64,
    /// Name of the preset in force.
    pub preset: String,
    /// Time since the revision came into force, in ms.
    pub in_force_ms: u64,
    /// Last refused revision with its reason.
    pub refused: Option<RefusedRevision>,
    /// Counters by `service.operation`.
    pub calls: std::collections::BTreeMap<String, CallCounts>,
    /// Age of the oldest waiting call, in ms.
    pub oldest_waiting_ms: u64,
    /// Time of targets spent on this entry's probes since start, in ms.
    pub probe_ms: f64,
    /// Names of peers believed alive.
    pub peers: Vec<String>,
}

/// A revision that the check refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusedRevision {
    /// Revision given by the platform.
    pub revision: u64,
    /// Every problem, one a line.
    pub reason: String,
}
