//! The hash chain of one incarnation.

use azuretally_api::record::{RecordEntry, RecordLine};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Appends lines to the record of one incarnation.
#[derive(Clone, Debug)]
pub struct HashChain {
    host: String,
    incarnation: String,
    sequence: u64,
    previous: String,
}

impl HashChain {
    /// An empty chain.
    pub fn new(host: &str, incarnation: &str) -> Self {
        let previous = genesis_hash(host, incarnation);
        Self { host: host.to_owned(), incarnation: incarnation.to_owned(), sequence: 0, previous }
    }

    /// Makes the next line.
    pub fn append(&mut self, entry: RecordEntry) -> RecordLine {
        self.sequence += 1;
        let mut line = RecordLine {
            host: self.host.clone(),
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            previous: self.previous.clone(),
            entry,
            hash: String::new(),
        };
        line.hash = line_hash(&line);
        self.previous.clone_from(&line.hash);
        line
    }

    /// Sequence number of the last line, 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Hash of the last line.
    pub fn head(&self) -> &str {
        &self.previous
    }
}

/// What stands as previous hash in the first line of an incarnation.
pub fn genesis_hash(host: &str, incarnation: &str) -> String {
    hex::encode(Sha256::digest(format!("{host}\n{incarnation}")))
}

/// The hash that belongs to a line, whatever hash it carries.
pub fn line_hash(line: &RecordLine) -> String {
    /// The fields under the hash, in the order of [`RecordLine`].
    #[derive(Serialize)]
    struct Sealed<'a> {
        host: &'a str,
        incarnation: &'a str,
        sequence: u64,
        previous: &'a str,
        entry: &'a RecordEntry,
    }
    let sealed = Sealed {
        host: &line.host,
        incarnation: &line.incarnation,
        sequence: line.sequence,
        previous: &line.previous,
        entry: &line.entry,
    };
    // These types have string keys alone and no failing serializer; an empty text would still not
    // pass for any line.
    let json = serde_json::to_vec(&sealed).unwrap_or_default();
    hex::encode(Sha256::digest(json))
}
