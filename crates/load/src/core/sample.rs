//! Result of a call from the point of view of its caller.

use azuretally_api::record::Outcome;
use std::{sync::Arc, time::Duration};

/// Result of a call as reported by its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Outcome that was reported, or that the caller must assume without a report.
    pub outcome: Outcome,
    /// Whether a target answered with a success status.
    pub is_success: bool,
    /// Reason in kebab case, if the call was not answered.
    pub reason: Option<Arc<str>>,
}

impl CallResult {
    /// Returns the result of a call that was answered, successfully if `is_success`.
    pub const fn answered(is_success: bool) -> Self {
        Self { outcome: Outcome::Answered, is_success, reason: None }
    }

    /// Returns the result of a call that was not executed.
    pub fn not_run(reason: &str) -> Self {
        Self { outcome: Outcome::NotRun, is_success: false, reason: Some(Arc::from(reason)) }
    }

    /// Returns the result of a call that may have been executed.
    pub fn unknown(reason: &str) -> Self {
        Self { outcome: Outcome::Unknown, is_success: false, reason: Some(Arc::from(reason)) }
    }
}

/// Finished call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Sequence number of the call.
    pub number: u64,
    /// Scheduled time of the call, since the start of the load.
    pub at: Duration,
    /// Time from the scheduled time of the call to the end of its answer.
    pub latency: Duration,
    /// Index into [`Mix::operations`](super::mix::Mix::operations).
    pub operation: usize,
    /// Index of the caller.
    pub caller: u32,
    /// Result of the call.
    pub result: CallResult,
}
