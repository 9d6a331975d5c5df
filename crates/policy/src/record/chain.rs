//! Hash chain of the record lines of one incarnation.

use azuretally_api::record::{RecordEntry, RecordLine};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Builds the record lines of one incarnation and links each to the line before it.
#[derive(Clone, Debug)]
pub struct HashChain {
    host: String,
    incarnation: String,
    sequence: u64,
    previous: String,
}

impl HashChain {
    /// Creates an empty chain.
    pub fn new(host: &str, incarnation: &str) -> Self {
        let previous = genesis_hash(host, incarnation);
        Self { host: host.to_owned(), incarnation: incarnation.to_owned(), sequence: 0, previous }
    }

    /// Returns the next line, with its sequence number and hash.
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

    /// Returns the sequence number of the last line, or 0 if there is none.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the hash of the last line, or the genesis hash if there is none.
    pub fn head(&self) -> &str {
        &self.previous
    }
}

/// Returns the previous hash of the first line of an incarnation: SHA-256, in lower-case hex, over
/// the names of the host and the incarnation, separated by a line feed.
pub fn genesis_hash(host: &str, incarnation: &str) -> String {
    hex::encode(Sha256::digest(format!("{host}\n{incarnation}")))
}

/// Computes the hash of a line: SHA-256, in lower-case hex, over the JSON object of its other
/// fields. `line.hash` is ignored.
pub fn line_hash(line: &RecordLine) -> String {
    /// The hashed fields, in the order of [`RecordLine`].
    #[derive(Serialize)]
    struct HashedFields<'a> {
        host: &'a str,
        incarnation: &'a str,
        sequence: u64,
        previous: &'a str,
        entry: &'a RecordEntry,
    }
    let fields = HashedFields {
        host: &line.host,
        incarnation: &line.incarnation,
        sequence: line.sequence,
        previous: &line.previous,
        entry: &line.entry,
    };
    // Serialization cannot fail: all map keys are strings and no serializer returns errors. If it
    // did, the hash of the empty input would match no line.
    let json = serde_json::to_vec(&fields).unwrap_or_default();
    hex::encode(Sha256::digest(json))
}
