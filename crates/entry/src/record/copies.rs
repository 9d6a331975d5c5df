//! Copies of the record lines of peers, kept in memory.

use azuretally_api::{admin::CopyPage, record::RecordLine};
use hmac::{Hmac, KeyInit, Mac};
use parking_lot::Mutex;
use sha2::Sha256;
use std::{
    collections::{HashMap, VecDeque},
    error::Error,
    fmt,
};

/// Number of lines kept for all peers together. The oldest lines are evicted first.
const MAX_LINES: usize = 50_000;
/// Maximum number of incarnations whose last sequence number is remembered. A further one clears
/// them all, so that lines that are sent again may be stored twice.
const MAX_INCARNATIONS: usize = 1_024;
/// Maximum number of lines in a page.
const MAX_PAGE_LINES: usize = 1_000;

/// Reason why a message with copies was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyError {
    /// The MAC is missing or does not match the body.
    InvalidMac,
    /// The body is not a JSON array of record lines.
    Malformed,
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidMac => "the MAC is missing or does not match the body",
            Self::Malformed => "the body is not a JSON array of record lines",
        })
    }
}

impl Error for CopyError {}

/// Lines of peers in order of arrival.
#[derive(Debug, Default)]
pub struct CopyStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<RecordLine>,
    /// Number of lines evicted so far.
    evicted: u64,
    /// Sequence number of the last line of each incarnation, by host name and incarnation.
    last: HashMap<(String, String), u64>,
}

impl CopyStore {
    /// Stores the lines of one message, except for those whose sequence number is not higher than
    /// that of the last line stored of their incarnation: a peer sends its lines in order, and
    /// sends a message again if it received no response.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] if the message is rejected. No line of it is stored then.
    pub fn store(&self, key: &[u8], mac: Option<&str>, body: &[u8]) -> Result<(), CopyError> {
        let mac = mac.and_then(|m| hex::decode(m).ok()).ok_or(CopyError::InvalidMac)?;
        hmac(key, body).verify_slice(&mac).map_err(|_| CopyError::InvalidMac)?;
        let lines: Vec<RecordLine> =
            serde_json::from_slice(body).map_err(|_| CopyError::Malformed)?;
        let mut state = self.state.lock();
        for line in lines {
            state.add(line);
        }
        Ok(())
    }

    /// Returns the number of lines in memory.
    pub fn len(&self) -> usize {
        self.state.lock().lines.len()
    }

    /// Returns whether there are no lines in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns at most `limit` lines after the position `after`, which is 0 or the `next` of a
    /// previous page.
    pub fn page(&self, after: u64, limit: usize) -> CopyPage {
        let state = self.state.lock();
        let start = after.saturating_sub(state.evicted) as usize;
        let start = start.min(state.lines.len());
        let limit = limit.clamp(1, MAX_PAGE_LINES);
        let lines: Vec<RecordLine> = state.lines.range(start..).take(limit).cloned().collect();
        let next = state.evicted + (start + lines.len()) as u64;
        CopyPage { lines, next }
    }

    /// Returns the lines that satisfy `predicate`, at most [`MAX_PAGE_LINES`].
    pub(crate) fn find<Predicate>(&self, predicate: Predicate) -> Vec<RecordLine>
    where
        Predicate: Fn(&RecordLine) -> bool,
    {
        let state = self.state.lock();
        state.lines.iter().filter(|l| predicate(l)).take(MAX_PAGE_LINES).cloned().collect()
    }
}

impl State {
    fn add(&mut self, line: RecordLine) {
        let source = (line.host.clone(), line.incarnation.clone());
        if self.last.len() >= MAX_INCARNATIONS && !self.last.contains_key(&source) {
            self.last.clear();
        }
        let last = self.last.entry(source).or_default();
        if line.sequence <= *last {
            return;
        }
        *last = line.sequence;
        if self.lines.len() == MAX_LINES {
            self.lines.pop_front();
            self.evicted += 1;
        }
        self.lines.push_back(line);
    }
}

/// Returns the MAC of a message with copies, in hex.
pub(super) fn sign(key: &[u8], body: &[u8]) -> String {
    hex::encode(hmac(key, body).finalize().into_bytes())
}

fn hmac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts a key of any length, so the fallback to an empty key is never used.
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
    mac.update(b"copies\n");
    mac.update(body);
    mac
}
