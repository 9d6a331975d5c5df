//! Revisions of one published value.
//!
//! A shelf keeps the highest accepted revision and never goes back to a lower one, whoever brings
//! it. The check of a document is deterministic, so that every entry gives the same verdict. Later
//! refused revisions are kept with their reason, also to pass them on.

use super::message::{Document, Heads, Topic};
use std::{collections::VecDeque, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// Accepted texts that are kept as bases for changes.
const KEPT_TEXTS: usize = 8;

/// A document that passed its check.
#[derive(Clone, Debug)]
pub struct Accepted<Value> {
    /// Revision given by the platform.
    pub revision: u64,
    /// The text.
    pub text: Arc<str>,
    /// What the text says.
    pub value: Arc<Value>,
}

/// A document that did not pass its check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Revision given by the platform.
    pub revision: u64,
    /// The text.
    pub text: Arc<str>,
    /// Every problem, one a line.
    pub reason: String,
}

/// What became of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// In force from now on.
    Accepted,
    /// Shown as refused from now on.
    Refused,
    /// Not newer than what is known.
    Old,
}

/// Revisions of one value at one entry.
#[derive(Clone, Debug)]
pub struct Shelf<Value> {
    topic: Topic,
    check: fn(&str) -> Result<Value, String>,
    accepted: Option<Accepted<Value>>,
    refused: Option<Refused>,
    earlier: VecDeque<(u64, Arc<str>)>,
}

impl<Value> Shelf<Value> {
    /// An empty shelf of `topic` whose documents are parsed and checked by `check`.
    pub fn new(topic: Topic, check: fn(&str) -> Result<Value, String>) -> Self {
        Self { topic, check, accepted: None, refused: None, earlier: VecDeque::new() }
    }

    /// The document in force.
    pub fn accepted(&self) -> Option<&Accepted<Value>> {
        self.accepted.as_ref()
    }

    /// The last refused document, if it is later than the one in force.
    pub fn refused(&self) -> Option<&Refused> {
        self.refused.as_ref()
    }

    /// Revisions known.
    pub fn heads(&self) -> Heads {
        let accepted = self.accepted.as_ref().map_or(0, |a| a.revision);
        let refused = self.refused.as_ref().map_or(0, |r| r.revision);
        Heads { accepted, seen: accepted.max(refused) }
    }

    /// Takes in a document from the platform or a peer.
    pub fn offer(&mut self, revision: u64, text: &str) -> Verdict {
        let heads = self.heads();
        let known = self.refused.as_ref().is_some_and(|r| r.revision == revision);
        if revision <= heads.accepted || known {
            return Verdict::Old;
        }
        match (self.check)(text) {
            Ok(value) => {
                self.accept(revision, Arc::from(text), value);
                Verdict::Accepted
            }
            Err(_) if revision < heads.seen => Verdict::Old,
            Err(reason) => {
                self.refused = Some(Refused { revision, text: Arc::from(text), reason });
                Verdict::Refused
            }
        }
    }

    fn accept(&mut self, revision: u64, text: Arc<str>, value: Value) {
        if let Some(old) = self.accepted.take() {
            self.earlier.push_front((old.revision, old.text));
            self.earlier.truncate(KEPT_TEXTS);
        }
        if self.refused.as_ref().is_some_and(|r| r.revision < revision) {
            self.refused = None;
        }
        self.accepted = Some(Accepted { revision, text, value: Arc::new(value) });
    }

    /// The document `revision` for a peer that has `base`, or nothing when it is not at hand.
    pub fn document(&self, revision: u64, base: u64) -> Option<Document> {
        let text = self.text(revision)?;
        let (base, old) = match self.text(base) {
            Some(old) => (base, old),
            None => (0, Arc::from("")),
        };
        Some(change(self.topic, (base, &old), (revision, &text)))
    }

    /// The whole text that `document` brings, or nothing when its base is not at hand.
    pub fn restore(&self, document: &Document) -> Option<String> {
        let old = match document.base {
            0 => Arc::from(""),
            base => self.text(base)?,
        };
        let prefix = old.get(..document.prefix as usize)?;
        let suffix = old.get(old.len().checked_sub(document.suffix as usize)?..)?;
        let text = [prefix, &document.middle, suffix].concat();
        (xxh3_64(text.as_bytes()) == document.hash).then_some(text)
    }

    fn text(&self, revision: u64) -> Option<Arc<str>> {
        if let Some(a) = self.accepted.as_ref().filter(|a| a.revision == revision) {
            return Some(Arc::clone(&a.text));
        }
        if let Some(r) = self.refused.as_ref().filter(|r| r.revision == revision) {
            return Some(Arc::clone(&r.text));
        }
        self.earlier.iter().find(|(r, _)| *r == revision).map(|(_, text)| Arc::clone(text))
    }
}

fn change(topic: Topic, (base, old): (u64, &str), (revision, text): (u64, &str)) -> Document {
    let prefix = common(old.chars(), text.chars());
    let suffix = common(old[prefix..].chars().rev(), text[prefix..].chars().rev());
    Document {
        topic,
        revision,
        base,
        prefix: u32::try_from(prefix).unwrap_or_default(),
        suffix: u32::try_from(suffix).unwrap_or_default(),
        middle: text[prefix..text.len() - suffix].to_owned(),
        hash: xxh3_64(text.as_bytes()),
    }
}

fn common<Chars>(a: Chars, b: impl Iterator<Item = char>) -> usize
where
    Chars: Iterator<Item = char>,
{
    a.zip(b).take_while(|(a, b)| a == b).map(|(a, _)| a.len_utf8()).sum()
}
