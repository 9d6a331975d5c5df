//! Response bodies of the administration API.

use crate::record::RecordLine;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Call counters of one operation or of a whole incarnation. The invariant
/// `taken = answered + not_run + unknown + in_flight` holds, apart from calls that arrive or end
/// while the counters are read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallCounts {
    /// Calls accepted.
    pub taken: u64,
    /// Calls answered by a target.
    pub answered: u64,
    /// Calls that were certainly not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls without an outcome yet.
    pub in_flight: u64,
    /// Calls answered no later than their deadline.
    pub in_time: u64,
}

/// State of one entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct EntryStatus {
    /// Host name of the entry.
    pub host: String,
    /// Failure domain of the entry.
    pub failure_domain: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Lifecycle state: `starting`, `serving`, `stale` or `stopping`.
    pub state: String,
    /// Revision of the active settings.
    pub revision: u64,
    /// Name of the active preset.
    pub preset: String,
    /// Time since the revision took effect, in ms.
    pub in_force_ms: u64,
    /// Last refused revision with the reason, if it is later than the active one.
    pub refused: Option<RefusedRevision>,
    /// Counters by `service.operation`.
    pub calls: std::collections::BTreeMap<String, CallCounts>,
    /// Age of the oldest waiting call, in ms.
    pub oldest_waiting_ms: u64,
    /// Target time spent on probes of this entry since its start, in ms.
    pub probe_ms: f64,
    /// Host names of the peers that the failure detector considers alive, that are ready and not
    /// leaving, and that did not leave the last quorum check unanswered.
    pub peers: Vec<String>,
    /// Classes of the active preset, highest priority first.
    #[serde(default)]
    pub classes: Vec<ClassStatus>,
    /// State of the audit record.
    #[serde(default)]
    pub record: RecordStatus,
}

/// A revision of the settings that was refused by the check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusedRevision {
    /// Revision assigned by the platform.
    pub revision: u64,
    /// All problems, one per line.
    pub reason: String,
}

/// One class of the active preset.
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
    /// Sequence number of the first line that is still in memory.
    pub kept_from: u64,
    /// Calls without a line because too many calls ended at once.
    pub lost: u64,
    /// Lines that could not be passed to the writer of the record file, because its queue was full
    /// or it had failed.
    pub unwritten: u64,
    /// Sequence number of the last line that a peer in another failure domain has a copy of.
    #[serde(default)]
    pub copied: u64,
    /// Lines that were evicted from memory before they were copied. They are counted once a later
    /// line has been copied.
    #[serde(default)]
    pub uncopied: u64,
}

/// One page of the audit record, or the lines of one call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RecordPage {
    /// Lines of this incarnation in the order of their sequence numbers. In the lines of one call,
    /// copies of the lines of peers follow.
    pub lines: Vec<RecordLine>,
    /// Sequence number of the last line of this incarnation.
    pub last: u64,
}

/// One page of the copied record lines of peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct CopyPage {
    /// Lines in the order in which they arrived.
    pub lines: Vec<RecordLine>,
    /// Value of `after` that requests the next page.
    pub next: u64,
}

/// Response to a request for a planned stop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StopAnswer {
    /// Host name of the entry that stops.
    pub host: String,
    /// Number of calls in flight. The entry aborts those that have not ended 30 s after it stopped
    /// accepting connections.
    pub in_flight: u64,
}
