//! What became of one call, as its caller saw it.

use azuretally_api::record::Outcome;
use std::{sync::Arc, time::Duration};

/// What a sender reports of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Outcome as told, or as the caller must assume.
    pub outcome: Outcome,
    /// Whether a target's answer was one of success.
    pub ok: bool,
    /// Reason in kebab case when not answered.
    pub reason: Option<Arc<str>>,
}

impl Verdict {
    /// A call that was answered with success.
    pub const fn answered(ok: bool) -> Self {
        Self { outcome: Outcome::Answered, ok, reason: None }
    }

    /// A call that was truly not run.
    pub fn not_run(reason: &str) -> Self {
        Self { outcome: Outcome::NotRun, ok: false, reason: Some(Arc::from(reason)) }
    }

    /// A call that may have been run.
    pub fn unknown(reason: &str) -> Self {
        Self { outcome: Outcome::Unknown, ok: false, reason: Some(Arc::from(reason)) }
    }
}

/// One finished call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of the call.
    pub number: u64,
    /// When the call was due, since the start of the load.
    pub at: Duration,
    /// Time from the moment at which the call was due to the end of its answer.
    pub latency: Duration,
    /// Index of the operation.
    pub operation: usize,
    /// Index of the caller.
    pub caller: u32,
    /// What became of it.
    pub verdict: Verdict,
}
