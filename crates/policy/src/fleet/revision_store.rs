//! Revisions of one published value.
//!
//! A store keeps the highest accepted revision and never reverts to a lower one, whatever its
//! source. Revisions are given as codes of [`PublishedRevision`](super::PublishedRevision)s. The check of a document is deterministic, so that all entries reach the same verdict. A
//! later revision that was refused is kept with the reason, and also sent to peers.

use super::message::{Delta, Revisions, Topic};
use std::{collections::VecDeque, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// Number of earlier accepted texts that are kept as bases of deltas.
const MAX_EARLIER_TEXTS: usize = 8;

/// A document that passed its check.
#[derive(Clone, Debug)]
pub struct AcceptedDocument<Value> {
    /// Code of the revision assigned by the platform.
    pub revision: u64,
    /// Text of the document.
    pub text: Arc<str>,
    /// Parsed value.
    pub value: Arc<Value>,
}

/// A document that did not pass its check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedDocument {
    /// Code of the revision assigned by the platform.
    pub revision: u64,
    /// Text of the document.
    pub text: Arc<str>,
    /// All problems found, one per line.
    pub reason: String,
}

/// Result of offering a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The document passed its check and is in force.
    Accepted,
    /// The document failed its check and is reported as refused.
    Refused,
    /// The document changes nothing: its revision is known or earlier than the one in force, or it
    /// failed its check and a later revision is known.
    Old,
}

/// Revisions of one value known to one entry.
#[derive(Clone, Debug)]
pub struct RevisionStore<Value> {
    topic: Topic,
    check: fn(&str) -> Result<Value, String>,
    accepted: Option<AcceptedDocument<Value>>,
    refused: Option<RefusedDocument>,
    earlier_texts: VecDeque<(u64, Arc<str>)>,
}

impl<Value> RevisionStore<Value> {
    /// Creates an empty store for `topic`. `check` parses and validates documents.
    pub fn new(topic: Topic, check: fn(&str) -> Result<Value, String>) -> Self {
        Self { topic, check, accepted: None, refused: None, earlier_texts: VecDeque::new() }
    }

    /// Returns the document in force.
    pub fn accepted(&self) -> Option<&AcceptedDocument<Value>> {
        self.accepted.as_ref()
    }

    /// Returns the last refused document, if it is later than the one in force.
    pub fn refused(&self) -> Option<&RefusedDocument> {
        self.refused.as_ref()
    }

    /// Returns the highest accepted and the highest seen revision.
    pub fn revisions(&self) -> Revisions {
        let accepted = self.accepted.as_ref().map_or(0, |a| a.revision);
        let refused = self.refused.as_ref().map_or(0, |r| r.revision);
        Revisions { accepted, seen: accepted.max(refused) }
    }

    /// Checks a document received from the platform or a peer, and stores it if it is newer.
    pub fn offer(&mut self, revision: u64, text: &str) -> Verdict {
        let revisions = self.revisions();
        let known = self.refused.as_ref().is_some_and(|r| r.revision == revision);
        if revision <= revisions.accepted || known {
            return Verdict::Old;
        }
        match (self.check)(text) {
            Ok(value) => {
                self.accept(revision, Arc::from(text), value);
                Verdict::Accepted
            }
            Err(_) if revision < revisions.seen => Verdict::Old,
            Err(reason) => {
                self.refused = Some(RefusedDocument { revision, text: Arc::from(text), reason });
                Verdict::Refused
            }
        }
    }

    fn accept(&mut self, revision: u64, text: Arc<str>, value: Value) {
        if let Some(previous) = self.accepted.take() {
            self.earlier_texts.push_front((previous.revision, previous.text));
            self.earlier_texts.truncate(MAX_EARLIER_TEXTS);
        }
        if self.refused.as_ref().is_some_and(|r| r.revision < revision) {
            self.refused = None;
        }
        self.accepted = Some(AcceptedDocument { revision, text, value: Arc::new(value) });
    }

    /// Returns `revision` as a delta for a peer that has `base`, or `None` if the revision is not
    /// stored. The delta is against the empty text if `base` is not stored.
    pub fn delta(&self, revision: u64, base: u64) -> Option<Delta> {
        let text = self.text(revision)?;
        let (base, previous) = match self.text(base) {
            Some(previous) => (base, previous),
            None => (0, Arc::from("")),
        };
        Some(diff(self.topic, (base, &previous), (revision, &text)))
    }

    /// Returns the new text of `delta`, or `None` if its base is not stored or the result does not
    /// match the hash.
    pub fn apply_delta(&self, delta: &Delta) -> Option<String> {
        let previous = match delta.base {
            0 => Arc::from(""),
            base => self.text(base)?,
        };
        let prefix = previous.get(..delta.prefix_bytes as usize)?;
        let suffix = previous.get(previous.len().checked_sub(delta.suffix_bytes as usize)?..)?;
        let text = [prefix, &delta.replacement, suffix].concat();
        (xxh3_64(text.as_bytes()) == delta.hash).then_some(text)
    }

    /// Returns the text of a stored revision.
    fn text(&self, revision: u64) -> Option<Arc<str>> {
        if let Some(a) = self.accepted.as_ref().filter(|a| a.revision == revision) {
            return Some(Arc::clone(&a.text));
        }
        if let Some(r) = self.refused.as_ref().filter(|r| r.revision == revision) {
            return Some(Arc::clone(&r.text));
        }
        self.earlier_texts.iter().find(|(r, _)| *r == revision).map(|(_, text)| Arc::clone(text))
    }
}

/// Encodes `text` as a delta to `previous`, by their common prefix and suffix.
fn diff(topic: Topic, (base, previous): (u64, &str), (revision, text): (u64, &str)) -> Delta {
    let prefix = common_bytes(previous.chars(), text.chars());
    let suffix = common_bytes(previous[prefix..].chars().rev(), text[prefix..].chars().rev());
    Delta {
        topic,
        revision,
        base,
        prefix_bytes: u32::try_from(prefix).unwrap_or_default(),
        suffix_bytes: u32::try_from(suffix).unwrap_or_default(),
        replacement: text[prefix..text.len() - suffix].to_owned(),
        hash: xxh3_64(text.as_bytes()),
    }
}

/// Returns the length in bytes of the common start of two character sequences.
fn common_bytes<Chars>(a: Chars, b: impl Iterator<Item = char>) -> usize
where
    Chars: Iterator<Item = char>,
{
    a.zip(b).take_while(|(a, b)| a == b).map(|(a, _)| a.len_utf8()).sum()
}
