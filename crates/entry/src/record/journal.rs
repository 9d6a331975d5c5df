//! Record lines of this incarnation that are kept in memory.

use azuretally_api::{
    admin::{RecordPage, RecordStatus},
    record::{RecordEntry, RecordLine},
};
use parking_lot::Mutex;
use std::{collections::VecDeque, sync::Arc};

/// Number of lines kept in memory. Older lines are only in the record file, if there is one.
const MAX_LINES: usize = 50_000;
/// Maximum number of lines in a page.
const MAX_PAGE_LINES: usize = 1_000;

/// The latest lines of the record, with counters of calls without a line and of lines that were not
/// written or not copied.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<Arc<RecordLine>>,
    lost: u64,
    unwritten: u64,
    /// Sequence number of the last line of which a peer has a copy.
    copied: u64,
    uncopied: u64,
}

impl Journal {
    /// Appends a line and evicts the oldest one if the journal is full.
    pub fn add(&self, line: Arc<RecordLine>) {
        let mut state = self.state.lock();
        if state.lines.len() == MAX_LINES {
            state.lines.pop_front();
        }
        state.lines.push_back(line);
    }

    /// Adds to the number of calls without a line.
    pub fn add_lost_calls(&self, calls: u64) {
        self.state.lock().lost += calls;
    }

    /// Adds to the number of lines that could not be written to the record file.
    pub fn add_unwritten_lines(&self, lines: u64) {
        self.state.lock().unwritten += lines;
    }

    /// Records that a peer has copies of the lines up to `last`, except for `missed` lines that
    /// were evicted before they were copied.
    pub fn mark_copied(&self, last: u64, missed: u64) {
        let mut state = self.state.lock();
        state.copied = last;
        state.uncopied += missed;
    }

    /// Returns the state of the record.
    pub fn status(&self) -> RecordStatus {
        let state = self.state.lock();
        RecordStatus {
            last: state.lines.back().map_or(0, |l| l.sequence),
            head: state.lines.back().map_or_else(String::new, |l| l.hash.clone()),
            kept_from: state.lines.front().map_or(0, |l| l.sequence),
            lost: state.lost,
            unwritten: state.unwritten,
            copied: state.copied,
            uncopied: state.uncopied,
        }
    }

    /// Returns at most `limit` lines with a sequence number greater than `after`.
    pub fn page(&self, after: u64, limit: usize) -> RecordPage {
        let state = self.state.lock();
        let start = state.lines.partition_point(|l| l.sequence <= after);
        let limit = limit.clamp(1, MAX_PAGE_LINES);
        let lines = state.lines.range(start..).take(limit).map(|l| (**l).clone()).collect();
        RecordPage { lines, last: state.lines.back().map_or(0, |l| l.sequence) }
    }

    /// Returns the lines of the call identified by `id`: the sequence number of its line, its
    /// idempotency key, or the part of the key after the token.
    pub fn find(&self, id: &str) -> RecordPage {
        let state = self.state.lock();
        let found = state.lines.iter().filter(|l| matches_call(l, id));
        let lines = found.take(MAX_PAGE_LINES).map(|l| (**l).clone()).collect();
        RecordPage { lines, last: state.lines.back().map_or(0, |l| l.sequence) }
    }
}

/// Returns whether `line` is the line of the call identified by `id`. See [`Journal::find`].
pub(crate) fn matches_call(line: &RecordLine, id: &str) -> bool {
    let RecordEntry::Call(call) = &line.entry else { return false };
    let key = call.key.as_deref();
    let suffix = key.and_then(|k| k.split_once('/')).map(|(_, suffix)| suffix);
    id.parse() == Ok(line.sequence) || key == Some(id) || suffix == Some(id)
}
