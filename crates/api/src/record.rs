//! The audit record of an incarnation: lines for its start, the settings that took effect, the
//! calls that ended, the number of calls without a line, the call counters and the planned end.

use crate::admin::CallCounts;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Outcome of a call. The three are mutually exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the call and its response was returned to the caller.
    Answered,
    /// The call was not run and never will be.
    NotRun,
    /// The call may have been run.
    Unknown,
}

impl Outcome {
    /// Returns the name used in header fields and in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => crate::headers::ANSWERED,
            Self::NotRun => crate::headers::NOT_RUN,
            Self::Unknown => crate::headers::UNKNOWN,
        }
    }
}

/// One call as handled by one entry. Times are in µs since the start of the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallRecord {
    /// Revision of the settings under which the call was handled.
    pub revision: u64,
    /// Era of the platform in which the settings were written, if it is not the first. The platform
    /// gives the same revision again after it was restored from a copy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Name of the service.
    pub service: String,
    /// Name of the operation.
    pub operation: String,
    /// Name of the class under the active preset.
    pub class: String,
    /// Name of the caller, or its IP address.
    pub caller: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// When the call arrived.
    pub arrival_us: u64,
    /// Deadline of the call, after which an answer is of no use.
    pub deadline_us: u64,
    /// When the call was last sent to a target or peer, if it was sent.
    pub dispatch_us: Option<u64>,
    /// When the call ended.
    pub end_us: u64,
    /// Target that answered, otherwise that of the last attempt, if any.
    pub target: Option<String>,
    /// Peer to which the call was relayed, if any.
    pub peer: Option<String>,
    /// Number of attempts at targets.
    pub attempts: u32,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Reason in kebab case, if the outcome is not `answered` and was not determined by the peer.
    pub reason: Option<String>,
}

/// One class of the active preset, with the settings that affect the order of service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ClassRecord {
    /// Name of the class.
    pub name: String,
    /// Longest time that a call of the class may take, in ms.
    pub timeout_ms: u32,
    /// Minimum share of slots, in percent, for waiting calls of the class, whatever their priority.
    pub floor_percent: f64,
    /// Longest time, in ms, that may pass without a waiting call of the class being started.
    pub still_ms: Option<u32>,
}

/// Settings that took effect at the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SettingsRecord {
    /// Revision of the settings.
    pub revision: u64,
    /// Era of the platform in which the settings were written, if it is not the first. The platform
    /// gives the same revision again after it was restored from a copy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Name of the active preset.
    pub preset: String,
    /// Classes of the preset, highest priority first.
    pub classes: Vec<ClassRecord>,
}

/// Content of one line of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RecordEntry {
    /// First line of an incarnation.
    Start {
        /// Failure domain of the entry.
        failure_domain: String,
    },
    /// Settings took effect.
    Settings(SettingsRecord),
    /// A call ended.
    Call(Box<CallRecord>),
    /// Calls ended that the record had no capacity for.
    Lost {
        /// Number of calls without a line.
        calls: u64,
    },
    /// Counters of all calls of the incarnation up to this line.
    Counts(CallCounts),
    /// Last line of an incarnation that shut down as planned, with its final counters.
    End(CallCounts),
}

/// One line of the record. The hash of each line covers the hash of the previous one, so that a
/// missing or altered line is detected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RecordLine {
    /// Host name of the entry.
    pub host: String,
    /// Incarnation of the entry.
    pub incarnation: String,
    /// Sequence number within the incarnation, from 1 without gaps.
    pub sequence: u64,
    /// Hash of the previous line in lower-case hex. For the first line, the hash of the names of
    /// the host and the incarnation.
    pub previous: String,
    /// Content of the line.
    pub entry: RecordEntry,
    /// SHA-256 of the JSON of all other fields in this order, in lower-case hex.
    pub hash: String,
}
