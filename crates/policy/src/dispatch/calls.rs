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
    pub(super) expected: f64,
}

/// Where a call is.
#[derive(Clone, Debug)]
pub(super) enum Place {
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
pub(super) struct Entry {
    /// The call as it came in.
    pub(super) call: Call,
    /// Index of its class.
    pub(super) class: usize,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// After this it is too late to start it.
    pub(super) latest: Timestamp,
    /// Order of arrival.
    pub(super) seq: u64,
    /// Flow of its caller in the queue of its class.
    pub(super) flow: u32,
    /// Slot time charged to its caller for the last start, in µs.
    pub(super) cost: u64,
    /// Where it is.
    pub(super) place: Place,
    /// Attempts in flight.
    pub(super) attempts: Vec<Attempt>,
    /// Attempts made so far.
    pub(super) tries: u32,
    /// Targets that refused it or failed, latest last.
    pub(super) tried: Vec<Arc<str>>,
    /// Set once an attempt ended without proof that it did not run.
    pub(super) maybe_run: Option<UnknownReason>,
    /// When a hedge is due.
    pub(super) hedge_at: Option<Timestamp>,
}

impl Entry {
    /// A call that has just arrived.
    pub(super) fn new(call: Call, class: usize, idempotent: bool, seq: u64) -> Self {
        Self {
            latest: call.deadline,
            call,
            class,
            idempotent,
            seq,
            flow: 0,
            cost: 0,
            place: Place::Waiting,
            attempts: Vec::new(),
            tries: 0,
            tried: Vec::new(),
            maybe_run: None,
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
        matches!(&self.place, Place::Relayed(p) if **p == *peer)
    }

    /// Whether the queue holds the call.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.place, Place::Waiting)
    }
}

/// All calls that have not ended.
pub(super) type Calls = IndexMap<CallId, Entry>;
