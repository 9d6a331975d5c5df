//! Table of the idempotency keys of one incarnation.

use super::token::{IdempotencyKey, TOKEN_LIFETIME};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

/// Maximum number of keys that one incarnation remembers.
pub const MAX_KEYS: usize = 200_000;

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    NotRun,
    Answered(A),
    Unknown,
    Fenced,
}

/// A remembered key.
#[derive(Clone, Debug)]
struct KeyEntry<A> {
    fingerprint: u64,
    state: State<A>,
}

/// Result of [`KeyTable::begin`]: what to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// Run the call, then call [`KeyTable::mark_answered`], [`KeyTable::mark_not_run`] or
    /// [`KeyTable::mark_unknown`].
    Run,
    /// The call was answered before; return this answer again.
    Replay(A),
    /// The key is running; wait until it ends.
    InProgress,
    /// The key may have run before.
    Unknown,
    /// The key was fenced: it has not run and never will.
    Fenced,
    /// The token has expired, so it is unknown whether the key ran.
    Expired,
    /// The key was used before for a different request.
    Mismatch,
    /// The table is full.
    Full,
}

/// Result of [`KeyTable::fence`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceResult<A> {
    /// The call was answered with this answer.
    Answered(A),
    /// The key has not run and never will.
    NotRun,
    /// The key is running or may have run, its token has expired, or the table is full.
    Unknown,
}

/// Idempotency keys of one incarnation, each kept until its token expires.
///
/// `A` is the part of an answer that is kept for replay.
#[derive(Debug)]
pub struct KeyTable<A> {
    keys: IndexMap<Arc<str>, KeyEntry<A>>,
    /// Expiry times, the earliest first.
    expiry: BinaryHeap<Reverse<(Timestamp, Arc<str>)>>,
    limit: usize,
}

impl<A> Default for KeyTable<A>
where
    A: Clone,
{
    fn default() -> Self {
        Self::new(MAX_KEYS)
    }
}

impl<A> KeyTable<A>
where
    A: Clone,
{
    /// Creates an empty table for at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self { keys: IndexMap::new(), expiry: BinaryHeap::new(), limit }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides what to do with a call and marks its key as running if it is to run. `fingerprint`
    /// identifies the request, so that one key cannot stand for two different requests.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        fingerprint: u64,
    ) -> BeginResult<A> {
        self.remove_expired(now);
        if !key.token.is_valid(now) {
            return BeginResult::Expired;
        }
        let Some(entry) = self.keys.get_mut(&key.text) else {
            return match self.insert(key, fingerprint, State::Running) {
                true => BeginResult::Run,
                false => BeginResult::Full,
            };
        };
        if matches!(entry.state, State::Fenced) {
            return BeginResult::Fenced;
        }
        if entry.fingerprint != fingerprint {
            return BeginResult::Mismatch;
        }
        match &entry.state {
            State::Running => BeginResult::InProgress,
            State::NotRun => {
                entry.state = State::Running;
                BeginResult::Run
            }
            State::Answered(answer) => BeginResult::Replay(answer.clone()),
            State::Unknown => BeginResult::Unknown,
            State::Fenced => BeginResult::Fenced,
        }
    }

    /// Fences a key that has not run, so that it never runs.
    pub fn fence(&mut self, now: Timestamp, key: &IdempotencyKey) -> FenceResult<A> {
        self.remove_expired(now);
        if !key.token.is_valid(now) {
            return FenceResult::Unknown;
        }
        let Some(entry) = self.keys.get_mut(&key.text) else {
            return match self.insert(key, 0, State::Fenced) {
                true => FenceResult::NotRun,
                false => FenceResult::Unknown,
            };
        };
        match &entry.state {
            State::NotRun | State::Fenced => {
                entry.state = State::Fenced;
                FenceResult::NotRun
            }
            State::Answered(answer) => FenceResult::Answered(answer.clone()),
            State::Running | State::Unknown => FenceResult::Unknown,
        }
    }

    /// Marks the running key as answered.
    pub fn mark_answered(&mut self, key: &str, answer: A) {
        self.finish(key, State::Answered(answer));
    }

    /// Marks the running key as not run; a later call may run it.
    pub fn mark_not_run(&mut self, key: &str) {
        self.finish(key, State::NotRun);
    }

    /// Marks the running key as one that may have run.
    pub fn mark_unknown(&mut self, key: &str) {
        self.finish(key, State::Unknown);
    }

    /// Returns whether the key is running.
    pub fn is_running(&self, key: &str) -> bool {
        self.keys.get(key).is_some_and(|k| matches!(k.state, State::Running))
    }

    /// Ends a running key in the given state.
    fn finish(&mut self, key: &str, state: State<A>) {
        if let Some(entry) = self.keys.get_mut(key)
            && matches!(entry.state, State::Running)
        {
            entry.state = state;
        }
    }

    /// Adds a key and returns true, or returns false if the table is full.
    fn insert(&mut self, key: &IdempotencyKey, fingerprint: u64, state: State<A>) -> bool {
        if self.keys.len() >= self.limit {
            return false;
        }
        let text = Arc::clone(&key.text);
        self.expiry.push(Reverse((key.token.issued + TOKEN_LIFETIME, Arc::clone(&text))));
        self.keys.insert(text, KeyEntry { fingerprint, state });
        true
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(Reverse((expires, _))) = self.expiry.peek()
            && *expires <= now
            && let Some(Reverse((_, key))) = self.expiry.pop()
        {
            self.keys.swap_remove(&key);
        }
    }
}
