//! The audit record: one line for every call.

use serde::{Deserialize, Serialize};

/// What became of a call. The three are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// One line of the record. The hash of a line covers the previous hash, so that a gap or a change
/// shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordLine {
    /// Host name of the entry.
    pub host: String,
    /// Incarnation of the entry.
    pub incarnation: String,
    /// Sequence number within the incarnation, from 1 without gaps.
    pub sequence: u64,
    /// Hash of the previous line in lower-case hex, of the incarnation's name for the first.
    pub previous: String,
    /// The call.
    pub call: CallRecord,
    /// SHA-256 over the canonical JSON of all other fields, in lower-case hex.
    pub hash: String,
}
