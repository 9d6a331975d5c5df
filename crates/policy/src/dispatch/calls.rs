//! Calls that have arrived and not yet ended.

use super::event::{Call, CallId, UnknownReason};
use crate::Timestamp;
use indexmap::IndexMap;
use std::sync::Arc;

/// One attempt of a call at a target.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Name of the target.
    pub(super) target: Arc<str>,
    /// When the attempt was sent.
    pub(super) started: Timestamp,
    /// Service time expected when the attempt was sent, in µs.
    pub(super) expected_us: f64,
}

/// Stage of processing that a call is in.
#[derive(Clone, Debug)]
pub(super) enum CallState {
    /// Waiting in the queue.
    Waiting,
    /// Waiting until this time for its next attempt.
    Backoff(Timestamp),
    /// In flight at one target, or at two if hedged.
    Running,
    /// Relayed to a peer.
    Relayed { peer: Arc<str>, since: Timestamp },
}

/// A call with its scheduling state and history.
#[derive(Debug)]
pub(super) struct TrackedCall {
    /// The call as it arrived.
    pub(super) call: Call,
    /// Index of its class.
    pub(super) class: usize,
    /// Whether the call may be executed more than once.
    pub(super) idempotent: bool,
    /// Latest time at which starting the call is still useful.
    pub(super) latest_start: Timestamp,
    /// Sequence number in order of arrival.
    pub(super) seq: u64,
    /// Flow of its caller in the fair queue of its class.
    pub(super) flow: u32,
    /// Expected slot time in µs, charged to its caller when the call starts.
    pub(super) cost_us: u64,
    /// Credit of its class, in µs, that its start used up.
    pub(super) credit_us: f64,
    /// Whether the floor of its class let it start before a call of a higher class.
    pub(super) by_floor: bool,
    /// Current stage.
    pub(super) state: CallState,
    /// Attempts in flight.
    pub(super) attempts: Vec<Attempt>,
    /// Number of attempts made so far.
    pub(super) attempts_made: u32,
    /// Targets that refused the call or failed it, most recent last.
    pub(super) tried_targets: Vec<Arc<str>>,
    /// Set once an attempt has ended without proof that the call was not executed.
    pub(super) may_have_run: Option<UnknownReason>,
    /// When the next hedge check is due.
    pub(super) hedge_at: Option<Timestamp>,
}

impl TrackedCall {
    /// Creates the state of a call that has just arrived.
    pub(super) fn new(call: Call, class: usize, idempotent: bool, seq: u64) -> Self {
        Self {
            latest_start: call.deadline,
            call,
            class,
            idempotent,
            seq,
            flow: 0,
            cost_us: 0,
            credit_us: 0.0,
            by_floor: false,
            state: CallState::Waiting,
            attempts: Vec::new(),
            attempts_made: 0,
            tried_targets: Vec::new(),
            may_have_run: None,
            hedge_at: None,
        }
    }

    /// Removes and returns the attempt in flight at `target`, if any.
    pub(super) fn take_attempt(&mut self, target: &str) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| *a.target == *target)?;
        Some(self.attempts.swap_remove(index))
    }

    /// Returns since when the call has been relayed to `host`, if it is.
    pub(super) fn relayed_since(&self, host: &str) -> Option<Timestamp> {
        match &self.state {
            CallState::Relayed { peer, since } if **peer == *host => Some(*since),
            _ => None,
        }
    }

    /// Returns whether the call is waiting in the queue.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, CallState::Waiting)
    }
}

/// All calls that have not ended, by id.
pub(super) type Calls = IndexMap<CallId, TrackedCall>;
