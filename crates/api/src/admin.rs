//! Bodies of the administration API.

use crate::record::RecordLine;
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
    /// Classes of the preset in force, the first one served first.
    #[serde(default)]
    pub classes: Vec<ClassStatus>,
    /// The audit record.
    #[serde(default)]
    pub record: RecordStatus,
}

/// A revision that the check refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusedRevision {
    /// Revision given by the platform.
    pub revision: u64,
    /// Every problem, one a line.
    pub reason: String,
}

/// One class of the preset in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ClassStatus {
    /// Name of the class.
    pub name: String,
    /// Longest time that a call of the class may take, in ms.
    pub timeout_ms: u32,
    /// Operations of the class as `service.operation`.
    pub operations: Vec<String>,
}

/// State of the audit record of this incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RecordStatus {
    /// Sequence number of the last line.
    pub last: u64,
    /// Hash of the last line.
    pub head: String,
    /// Sequence number of the first line that is still kept in memory.
    pub kept_from: u64,
    /// Calls that have no line because too many ended at once.
    pub lost: u64,
    /// Lines that could not be written to the record file.
    pub unwritten: u64,
    /// Sequence number up to which a peer in another failure domain has the lines.
    #[serde(default)]
    pub copied: u64,
    /// Lines that left memory before they could be copied.
    #[serde(default)]
    pub uncopied: u64,
}

/// Part of the audit record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RecordPage {
    /// Lines in the order of their sequence numbers.
    pub lines: Vec<RecordLine>,
    /// Sequence number of the last line of the record, whether in this page or not.
    pub last: u64,
}

/// Copies of the lines of peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct CopyPage {
    /// Lines in the order in which they came.
    pub lines: Vec<RecordLine>,
    /// Where the next page begins.
    pub next: u64,
}

/// Answer to a request for the planned stop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StopAnswer {
    /// Host name of the entry that stops.
    pub host: String,
    /// Calls in flight that are finished first.
    pub in_flight: u64,
}
