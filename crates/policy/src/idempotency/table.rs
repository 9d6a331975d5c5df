//! What one incarnation remembers of the keys that it was given.

use super::token::{IdempotencyKey, TOKEN_LIFETIME};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

/// Keys that one incarnation remembers at once.
pub const MAX_KEYS: usize = 200_000;

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    NotRun,
    Answered(A),
    Unknown,
    Fenced,
}

#[derive(Clone, Debug)]
struct Known<A> {
    fingerprint: u64,
    state: State<A>,
}

/// Verdict on a call with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// Run it; [`KeyTable::mark_answered`], `mark_not_run` or `mark_unknown` must follow.
    Run,
    /// It was answered before; this is the answer.
    Replay(A),
    /// It is running; wait for its end.
    InProgress,
    /// It may have run before.
    Unknown,
    /// It was fenced: it has not run and never will.
    Fenced,
    /// The token is too old to tell whether the key ran.
    Expired,
    /// The key was used before for another request.
    Mismatch,
    /// No further key can be remembered now.
    Full,
}

/// Verdict on a request to fence a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceResult<A> {
    /// It was answered; this is the answer.
    Answered(A),
    /// It has not run and never will.
    NotRun,
    /// It is running, may have run, or is too old to tell.
    Unknown,
}

/// Keys of one incarnation, each kept until its token expires.
///
/// `A` is what is kept of an answer.
#[derive(Debug)]
pub struct KeyTable<A> {
    known: IndexMap<Arc<str>, Known<A>>,
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
    /// An empty table that remembers at most `limit` keys at once.
    pub fn new(limit: usize) -> Self {
        Self { known: IndexMap::new(), expiry: BinaryHeap::new(), limit }
    }

    /// Keys remembered now.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Decides what to do with a call. `fingerprint` identifies the request, so that a key is not
    /// used for two different ones.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        fingerprint: u64,
    ) -> BeginResult<A> {
        self.forget_expired(now);
        if !key.token.is_valid(now) {
            return BeginResult::Expired;
        }
        let Some(known) = self.known.get_mut(&key.text) else {
            return match self.remember(key, fingerprint, State::Running) {
                true => BeginResult::Run,
                false => BeginResult::Full,
            };
        };
        if matches!(known.state, State::Fenced) {
            return BeginResult::Fenced;
        }
        if known.fingerprint != fingerprint {
            return BeginResult::Mismatch;
        }
        match &known.state {
            State::Running => BeginResult::InProgress,
            State::NotRun => {
                known.state = State::Running;
                BeginResult::Run
            }
            State::Answered(answer) => BeginResult::Replay(answer.clone()),
            State::Unknown => BeginResult::Unknown,
            State::Fenced => BeginResult::Fenced,
        }
    }

    /// Fences a key that has not run, so that it never will.
    pub fn fence(&mut self, now: Timestamp, key: &IdempotencyKey) -> FenceResult<A> {
        self.forget_expired(now);
        if !key.token.is_valid(now) {
            return FenceResult::Unknown;
        }
        let Some(known) = self.known.get_mut(&key.text) else {
            return match self.remember(key, 0, State::Fenced) {
                true => FenceResult::NotRun,
                false => FenceResult::Unknown,
            };
        };
        match &known.state {
            State::NotRun | State::Fenced => {
                known.state = State::Fenced;
                FenceResult::NotRun
            }
            State::Answered(answer) => FenceResult::Answered(answer.clone()),
            State::Running | State::Unknown => FenceResult::Unknown,
        }
    }

    /// The call was answered.
    pub fn mark_answered(&mut self, key: &str, answer: A) {
        self.set(key, State::Answered(answer));
    }

    /// The call was not run; the same key may be tried again.
    pub fn mark_not_run(&mut self, key: &str) {
        self.set(key, State::NotRun);
    }

    /// The call may have run.
    pub fn mark_unknown(&mut self, key: &str) {
        self.set(key, State::Unknown);
    }

    /// Whether the call with this key is running now.
    pub fn is_running(&self, key: &str) -> bool {
        self.known.get(key).is_some_and(|k| matches!(k.state, State::Running))
    }

    fn set(&mut self, key: &str, state: State<A>) {
        if let Some(known) = self.known.get_mut(key)
            && matches!(known.state, State::Running)
        {
            known.state = state;
        }
    }

    fn remember(&mut self, key: &IdempotencyKey, fingerprint: u64, state: State<A>) -> bool {
        if self.known.len() >= self.limit {
            return false;
        }
        let text = Arc::clone(&key.text);
        self.expiry.push(Reverse((key.token.issued + TOKEN_LIFETIME, Arc::clone(&text))));
        self.known.insert(text, Known { fingerprint, state });
        true
    }

    fn forget_expired(&mut self, now: Timestamp) {
        while let Some(Reverse((at, _))) = self.expiry.peek()
            && *at <= now
            && let Some(Reverse((_, key))) = self.expiry.pop()
        {
            self.known.swap_remove(&key);
        }
    }
}
