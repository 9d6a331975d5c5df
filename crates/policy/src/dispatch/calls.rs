//! Calls that have arrived and have not ended.

use super::event::{Call, CallId, UnknownReason};
use crate::Timestamp;
use indexmap::IndexMap;
use std::sync::Arc;

/// One try at a target.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Name of the target.
    pub(super) target: Arc<str>,
    /// When it was sent.
    pub(super) started: Timestamp,
    /// Service time expected at the start, in µs.
    pub(super) expected_us: f64,
}

/// Where a call is.
#[derive(Clone, Debug)]
pub(super) enum CallState {
    /// In the queue.
    Waiting,
    /// Not before the time in a further attempt.
    Backoff(Timestamp),
    /// At one target, or at two with a hedge.
    Running,
    /// At a peer.
    Relayed(Arc<str>),
}

/// A call with its history.
#[derive(Debug)]
pub(super) struct TrackedCall {
    /// The call as it came in.
    pub(super) call: Call,
    /// Index of its class.
    pub(super) class: usize,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// After this it is too late to start it.
    pub(super) latest_start: Timestamp,
    /// Order of arrival.
    pub(super) seq: u64,
    /// Flow of its caller in the queue of its class.
    pub(super) flow: u32,
    /// Slot time charged to its caller for the last start, in µs.
    pub(super) cost_us: u64,
    /// Where it is.
    pub(super) state: CallState,
    /// Attempts in flight.
    pub(super) attempts: Vec<Attempt>,
    /// Attempts made so far.
    pub(super) attempts_made: u32,
    /// Targets that refused it or failed, latest last.
    pub(super) tried_targets: Vec<Arc<str>>,
    /// Set once an attempt ended without proof that it did not run.
    pub(super) may_have_run: Option<UnknownReason>,
    /// When a hedge is due.
    pub(super) hedge_at: Option<Timestamp>,
}

impl TrackedCall {
    /// A call that has just arrived.
    pub(super) fn new(call: Call, class: usize, idempotent: bool, seq: u64) -> Self {
        Self {
            latest_start: call.deadline,
            call,
            class,
            idempotent,
            seq,
            flow: 0,
            cost_us: 0,
            state: CallState::Waiting,
            attempts: Vec::new(),
            attempts_made: 0,
            tried_targets: Vec::new(),
            may_have_run: None,
            hedge_at: None,
        }
    }

    /// Takes out the attempt at `target`, if one is in flight.
    pub(super) fn take_attempt(&mut self, target: &str) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| *a.target == *target)?;
        Some(self.attempts.swap_remove(index))
    }

    /// Whether the call is at the peer of this name.
    pub(super) fn is_relayed_to(&self, peer: &str) -> bool {
        matches!(&self.state, CallState::Relayed(p) if **p == *peer)
    }

    /// Whether the queue holds the call.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, CallState::Waiting)
    }
}

/// All calls that have not ended.
pub(super) type Calls = IndexMap<CallId, TrackedCall>;
