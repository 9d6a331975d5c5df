//! The audit record: one line for every call.

use crate::admin::CallCounts;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What became of a call. The three are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the call and its answer was passed on.
    Answered,
    /// The call was not run and never will be.
    NotRun,
    /// The call may have been run.
    Unknown,
}

impl Outcome {
    /// Name on the wire and in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => crate::headers::ANSWERED,
            Self::NotRun => crate::headers::NOT_RUN,
            Self::Unknown => crate::headers::UNKNOWN,
        }
    }
}

/// One call as decided by one entry. Times are µs since the start of the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallRecord {
    /// Revision of the settings under which the call was decided.
    pub revision: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the operation.
    pub operation: String,
    /// Name of the class under the preset in force.
    pub class: String,
    /// Name of the caller.
    pub caller: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// When the call arrived.
    pub arrival_us: u64,
    /// When its answer ceased to be of use.
    pub deadline_us: u64,
    /// When it was last sent to a target or peer, if ever.
    pub dispatch_us: Option<u64>,
    /// When the outcome was given to the caller.
    pub end_us: u64,
    /// Target that ran it last, if any.
    pub target: Option<String>,
    /// Peer to which it was relayed, if any.
    pub peer: Option<String>,
    /// Attempts at targets.
    pub attempts: u32,
    /// What became of it.
    pub outcome: Outcome,
    /// Reason in kebab case when not answered.
    pub reason: Option<String>,
}

/// One class of the preset in force, as far as the order of service depends on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ClassRecord {
    /// Name of the class.
    pub name: String,
    /// Longest time that a call of the class may take, in ms.
    pub timeout_ms: u32,
    /// Share of slots, in percent, that waiting calls of the class get whatever comes first.
    pub floor_percent: f64,
    /// Longest time, in ms, for which waiting calls of the class may see none of them started.
    pub still_ms: Option<u32>,
}

/// Settings that came into force at the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SettingsRecord {
    /// Revision of the settings.
    pub revision: u64,
    /// Name of the preset in force.
    pub preset: String,
    /// Classes of the preset, the first one served first.
    pub classes: Vec<ClassRecord>,
}

/// What one line of the record tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RecordEntry {
    /// First line of an incarnation.
    Start {
        /// Failure domain of the entry.
        failure_domain: String,
    },
    /// Settings came into force.
    Settings(SettingsRecord),
    /// A call was decided.
    Call(Box<CallRecord>),
    /// Calls were decided that the record could not take in.
    Lost {
        /// Number of calls without a line.
        calls: u64,
    },
    /// Counters of all calls of the incarnation so far.
    Counts(CallCounts),
    /// Last line of an incarnation that ended as planned, with its final counters.
    End(CallCounts),
}

/// One line of the record. The hash of a line covers the previous hash, so that a gap or a change
/// shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RecordLine {
    /// Host name of the entry.
    pub host: String,
    /// Incarnation of the entry.
    pub incarnation: String,
    /// Sequence number within the incarnation, from 1 without gaps.
    pub sequence: u64,
    /// Hash of the previous line in lower-case hex; for the first line the hash of the names of
    /// host and incarnation.
    pub previous: String,
    /// What the line tells.
    pub entry: RecordEntry,
    /// SHA-256 over the JSON of all other fields in this order, in lower-case hex.
    pub hash: String,
}
