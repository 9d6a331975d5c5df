//! The lines of the record that are kept in memory.

use azuretally_api::{
    admin::{RecordPage, RecordStatus},
    record::{RecordEntry, RecordLine},
};
use parking_lot::Mutex;
use std::{collections::VecDeque, sync::Arc};

/// Lines kept; older ones are in the log stream alone.
const KEPT_LINES: usize = 50_000;
/// Lines in one page.
const PAGE_LINES_MAX: usize = 1_000;

/// The last lines of the record, and what became of the others.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<Arc<RecordLine>>,
    lost: u64,
    unwritten: u64,
    copied: u64,
    uncopied: u64,
}

impl Journal {
    /// Adds a line; the oldest one goes when there are too many.
    pub fn add(&self, line: Arc<RecordLine>) {
        let mut state = self.state.lock();
        if state.lines.len() == KEPT_LINES {
            state.lines.pop_front();
        }
        state.lines.push_back(line);
    }

    /// Counts calls that have no line.
    pub fn add_lost_calls(&self, calls: u64) {
        self.state.lock().lost += calls;
    }

    /// Counts lines that could not be written.
    pub fn add_unwritten_lines(&self, lines: u64) {
        self.state.lock().unwritten += lines;
    }

    /// A peer has all lines up to `last`, but for `missed` that had left memory before.
    pub fn mark_copied(&self, last: u64, missed: u64) {
        let mut state = self.state.lock();
        state.copied = last;
        state.uncopied += missed;
    }

    /// State of the record.
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

    /// At most `limit` lines whose sequence number is above `after`.
    pub fn page(&self, after: u64, limit: usize) -> RecordPage {
        let state = self.state.lock();
        let start = state.lines.partition_point(|l| l.sequence <= after);
        let limit = limit.clamp(1, PAGE_LINES_MAX);
        let lines = state.lines.range(start..).take(limit).map(|l| (**l).clone()).collect();
        RecordPage { lines, last: state.lines.back().map_or(0, |l| l.sequence) }
    }

    /// Lines of the call that has `name` as sequence number, as idempotency key, or as the part
    /// of its key after the token.
    pub fn find(&self, name: &str) -> RecordPage {
        let state = self.state.lock();
        let found = state.lines.iter().filter(|l| matches_call(l, name));
        let lines = found.take(PAGE_LINES_MAX).map(|l| (**l).clone()).collect();
        RecordPage { lines, last: state.lines.back().map_or(0, |l| l.sequence) }
    }
}

/// Whether the line is that of the call with this sequence number or idempotency key.
pub(crate) fn matches_call(line: &RecordLine, name: &str) -> bool {
    let RecordEntry::Call(call) = &line.entry else { return false };
    let key = call.key.as_deref();
    let id = key.and_then(|k| k.split_once('/')).map(|(_, id)| id);
    name.parse() == Ok(line.sequence) || key == Some(name) || id == Some(name)
}
