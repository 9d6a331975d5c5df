//! Copies of the lines of peers, kept for them in memory.

use azuretally_api::{admin::CopyPage, record::RecordLine};
use hmac::{Hmac, KeyInit, Mac};
use parking_lot::Mutex;
use sha2::Sha256;
use std::{
    collections::{HashMap, VecDeque},
    error::Error,
    fmt,
};

/// Lines kept for all peers together; the oldest go first.
const KEPT_LINES: usize = 50_000;
/// Incarnations whose last copied line is remembered.
const INCARNATIONS_MAX: usize = 1_024;
/// Lines in one page.
const PAGE_LINES_MAX: usize = 1_000;

/// Why copies were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyError {
    /// The MAC is missing or does not fit.
    InvalidMac,
    /// The body is not a list of record lines.
    Malformed,
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidMac => "the MAC of copied lines does not fit",
            Self::Malformed => "the body is not a list of record lines",
        })
    }
}

impl Error for CopyError {}

/// Lines of peers in the order in which they came.
#[derive(Debug, Default)]
pub struct CopyStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<RecordLine>,
    /// Lines that went because there were too many.
    dropped: u64,
    last: HashMap<(String, String), u64>,
}

impl CopyStore {
    /// Takes in the lines of one message. Lines that came before are passed over.
    ///
    /// # Errors
    ///
    /// [`CopyError`]; nothing is taken in then.
    pub fn store(&self, key: &[u8], mac: Option<&str>, body: &[u8]) -> Result<(), CopyError> {
        let given = mac.and_then(|m| hex::decode(m).ok()).ok_or(CopyError::InvalidMac)?;
        mac_of(key, body).verify_slice(&given).map_err(|_| CopyError::InvalidMac)?;
        let lines: Vec<RecordLine> =
            serde_json::from_slice(body).map_err(|_| CopyError::Malformed)?;
        let mut state = self.state.lock();
        for line in lines {
            state.add(line);
        }
        Ok(())
    }

    /// Number of lines kept.
    pub fn len(&self) -> usize {
        self.state.lock().lines.len()
    }

    /// Whether no line is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// At most `limit` lines after the place `after`, which is 0 or the `next` of a page before.
    pub fn page(&self, after: u64, limit: usize) -> CopyPage {
        let state = self.state.lock();
        let start = after.saturating_sub(state.dropped) as usize;
        let start = start.min(state.lines.len());
        let limit = limit.clamp(1, PAGE_LINES_MAX);
        let lines: Vec<RecordLine> = state.lines.range(start..).take(limit).cloned().collect();
        let next = state.dropped + (start + lines.len()) as u64;
        CopyPage { lines, next }
    }

    /// Lines for which `is_wanted` holds.
    pub(crate) fn find<Wanted>(&self, is_wanted: Wanted) -> Vec<RecordLine>
    where
        Wanted: Fn(&RecordLine) -> bool,
    {
        let state = self.state.lock();
        state.lines.iter().filter(|l| is_wanted(l)).take(PAGE_LINES_MAX).cloned().collect()
    }
}

impl State {
    fn add(&mut self, line: RecordLine) {
        let owner = (line.host.clone(), line.incarnation.clone());
        if self.last.len() >= INCARNATIONS_MAX && !self.last.contains_key(&owner) {
            self.last.clear();
        }
        let last = self.last.entry(owner).or_default();
        if line.sequence <= *last {
            return;
        }
        *last = line.sequence;
        if self.lines.len() == KEPT_LINES {
            self.lines.pop_front();
            self.dropped += 1;
        }
        self.lines.push_back(line);
    }
}

/// The MAC of a message of copies.
pub(super) fn seal(key: &[u8], body: &[u8]) -> String {
    hex::encode(mac_of(key, body).finalize().into_bytes())
}

fn mac_of(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    // A key of any length makes an HMAC; the empty one is of no length but still a key.
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
    mac.update(b"copies\n");
    mac.update(body);
    mac
}
