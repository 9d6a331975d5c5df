//! Byte budget of a process: what its connections hold, and which of them are ended once it is used up.
//!
//! A connection that holds much, and whose caller has neither sent nor read anything for long, is ended
//! first. One whose request is being served is never ended: its caller has nothing to do but wait, and
//! the deadline of the call bounds the time. All ports of a process share one budget.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{cmp::Reverse, time::Duration};

/// Bytes of each connection that do not count, since the limit of open connections bounds them. An ordinary
/// request needs no more, so that it is served also while the budget is used up.
pub const FREE_BYTES: u64 = 8 * 1_024;
/// Bytes that a caller must have sent or read to count as making progress. A slow caller sends single bytes.
const PROGRESS_BYTES: u64 = 16 * 1_024;
/// Time without progress before which a connection is not ended. Round trips are a few ms, and a lost packet
/// is sent again within 200 to 400 ms.
const MIN_STALL: Duration = Duration::from_millis(500);

/// Port on which a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Port {
    /// Calls of callers.
    Calls,
    /// Requests of callers for directions.
    Directions,
    /// Readiness checks.
    Readiness,
    /// Requests of other processes of the fleet.
    Peers,
    /// Requests for metrics.
    Metrics,
}

/// What one connection holds.
#[derive(Clone, Copy, Debug)]
struct Connection {
    port: Port,
    /// Bytes that count.
    bytes: u64,
    is_serving: bool,
    /// Bytes that the caller had sent or read when it last made progress.
    marked: u64,
    progress_at: Timestamp,
    /// Whether it was chosen to be ended.
    is_ending: bool,
}

impl Connection {
    /// Returns the time without progress, or `None` if the connection must not be ended.
    fn stall(&self, now: Timestamp) -> Option<Duration> {
        let stall = now.since(self.progress_at);
        (!self.is_serving && !self.is_ending && stall >= MIN_STALL).then_some(stall)
    }
}

/// Bytes held for the connections of a process.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: u64,
    held: u64,
    next_id: u64,
    connections: IndexMap<u64, Connection>,
    /// Connections of each port that were not chosen to be ended.
    counts: IndexMap<Port, usize>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        let (connections, counts) = (IndexMap::new(), IndexMap::new());
        Self { limit, held: 0, next_id: 0, connections, counts }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the bytes that count, without those of connections that were chosen to be ended.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns whether `bytes` more fit into the budget.
    pub fn has_room(&self, bytes: u64) -> bool {
        self.held.saturating_add(bytes) <= self.limit
    }

    /// Returns the number of connections of the ports that `is_counted` accepts. Those that were chosen to be
    /// ended are left out.
    pub fn count(&self, is_counted: impl Fn(Port) -> bool) -> usize {
        self.counts.iter().filter(|&(&port, _)| is_counted(port)).map(|(_, count)| count).sum()
    }

    /// Adds a connection that was accepted on `port`, and returns its id.
    pub fn open(&mut self, now: Timestamp, port: Port) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            port,
            bytes: 0,
            is_serving: false,
            marked: 0,
            progress_at: now,
            is_ending: false,
        };
        self.connections.insert(id, connection);
        *self.counts.entry(port).or_default() += 1;
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        if let Some(connection) = self.connections.swap_remove(&id) {
            self.held -= connection.bytes;
            if !connection.is_ending {
                self.uncount(connection.port);
            }
        }
    }

    fn uncount(&mut self, port: Port) {
        if let Some(count) = self.counts.get_mut(&port) {
            *count -= 1;
        }
    }

    /// Sets the bytes that a connection holds.
    pub fn set_bytes(&mut self, id: u64, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| !c.is_ending) else {
            return;
        };
        let counted = bytes.saturating_sub(FREE_BYTES);
        self.held = self.held - connection.bytes + counted;
        connection.bytes = counted;
    }

    /// Records that a request has been read completely, or that its answer is ready.
    pub fn set_serving(&mut self, now: Timestamp, id: u64, is_serving: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_serving = is_serving;
            connection.progress_at = now;
        }
    }

    /// Records the number of bytes that the caller has sent and read since the connection was opened.
    pub fn record_moved(&mut self, now: Timestamp, id: u64, moved: u64) {
        if let Some(connection) = self.connections.get_mut(&id)
            && moved.saturating_sub(connection.marked) >= PROGRESS_BYTES
        {
            connection.marked = moved;
            connection.progress_at = now;
        }
    }

    /// Chooses the connections to end so that `bytes` more fit into the budget, as far as there are any. The
    /// one with the largest product of bytes and time without progress comes first.
    pub fn make_room(&mut self, now: Timestamp, bytes: u64) -> Vec<u64> {
        if self.has_room(bytes) {
            return Vec::new();
        }
        let weight = |connection: &Connection| {
            let stall = connection.stall(now).filter(|_| connection.bytes > 0)?;
            Some(stall.as_millis() * u128::from(connection.bytes))
        };
        let stalled = self.connections.iter().filter_map(|(&id, c)| Some((weight(c)?, id)));
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_unstable_by_key(|&(weight, id)| (Reverse(weight), id));
        let mut chosen = Vec::new();
        for (_, id) in stalled {
            if self.has_room(bytes) {
                break;
            }
            self.mark_ending(id);
            chosen.push(id);
        }
        chosen
    }

    /// Chooses the connection to end so that another one can be opened: the one that is without progress for
    /// the longest time among those of the ports that `is_counted` accepts.
    pub fn make_place(&mut self, now: Timestamp, is_counted: impl Fn(Port) -> bool) -> Option<u64> {
        let counted = self.connections.iter().filter(|(_, c)| is_counted(c.port));
        let stalled = counted.filter_map(|(&id, c)| Some((c.stall(now)?, Reverse(id))));
        let (_, Reverse(id)) = stalled.max()?;
        self.mark_ending(id);
        Some(id)
    }

    fn mark_ending(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held -= connection.bytes;
            connection.bytes = 0;
            connection.is_ending = true;
            let port = connection.port;
            self.uncount(port);
        }
    }
}
