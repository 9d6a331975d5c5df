//! Byte budget of the process: counts what the connections of all ports hold, and ends some of them when it
//! is used up. Which ones is decided by [`ByteBudget`].

use crate::{clock::Clock, metrics::BudgetMetrics, settings::Size, socket::ConnectionState};
use azuretally_policy::{
    Timestamp,
    budget::{ByteBudget, FREE_BYTES, Port},
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// The budget is the memory of the process divided by this number. As much again is for what connections
/// hold without counting, and the rest for the catalog and the program.
const BUDGET_DIVISOR: u64 = 4;
/// Interval at which the bytes and the progress of all connections are read.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between reviews while the budget is used up.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a body waits unread for room. Connections are ended after 500 ms without progress.
const ROOM_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum interval between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Memory that a header field takes besides its text: an entry of the map, and its copy for an attempt.
const FIELD_BYTES: u64 = 256;
/// Memory that a body takes besides what is kept of it: the part that was read last, which shares its buffer
/// with nothing else.
const BODY_OVERHEAD_BYTES: u64 = 16 * 1_024;
/// Memory that a body takes while it waits for room: the part that was read last, and the read buffer.
const WAITING_BYTES: u64 = 32 * 1_024;
/// Bodies wait for room while what they take exceeds the budget by at most this fraction of it. Further ones are
/// refused at once.
const WAITING_DIVISOR: u64 = 8;
/// Largest number of bytes of a request that count before its head has been read. The read buffer of a
/// connection is not larger.
const MAX_READ_AHEAD_BYTES: u64 = 16 * 1_024;

/// Error returned if the budget is used up and no connection can be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the byte budget is used up")
    }
}

impl std::error::Error for NoRoom {}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// The budget is used up.
    Bytes,
    /// The limit of open connections is reached.
    Connections,
}

impl EndReason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Connections => "connections",
        }
    }
}

/// Byte budget shared by the servers of all ports.
#[derive(Debug)]
pub struct Budget {
    clock: Clock,
    metrics: BudgetMetrics,
    policy: RefCell<ByteBudget>,
    usages: RefCell<IndexMap<u64, Rc<Usage>>>,
    /// Notified when connections end or hold less.
    freed: Notify,
    reviewed_at: Cell<Timestamp>,
    /// Ended connections, refused connections and refused requests since the last line, and when the next one
    /// may be written.
    ended: Cell<u64>,
    rejected: Cell<u64>,
    refused: Cell<u64>,
    next_line: Cell<Timestamp>,
}

impl Budget {
    /// Creates the budget of a process on a host of `size`.
    pub fn new(clock: Clock, metrics: BudgetMetrics, size: &Size) -> Self {
        Self {
            clock,
            metrics,
            policy: RefCell::new(ByteBudget::new(limit(size))),
            usages: RefCell::default(),
            freed: Notify::new(),
            reviewed_at: Cell::default(),
            ended: Cell::default(),
            rejected: Cell::default(),
            refused: Cell::default(),
            next_line: Cell::default(),
        }
    }

    /// Begins to count a connection that was accepted on `port`.
    pub fn open(self: &Rc<Self>, port: Port, state: Arc<ConnectionState>) -> Holding {
        let id = self.policy.borrow_mut().open(self.clock.now(), port);
        let usage = Rc::new(Usage::new(state));
        self.usages.borrow_mut().insert(id, Rc::clone(&usage));
        Holding { budget: Rc::clone(self), id, usage }
    }

    /// Returns whether fewer than `limit` connections of the ports that `is_counted` accepts are open, after
    /// one that is without progress has been ended if necessary.
    pub fn make_place(&self, limit: usize, is_counted: impl Fn(Port) -> bool + Copy) -> bool {
        if self.policy.borrow().count(is_counted) < limit {
            return true;
        }
        let chosen = self.policy.borrow_mut().make_place(self.clock.now(), is_counted);
        self.end(chosen, EndReason::Connections);
        if chosen.is_none() {
            self.rejected.set(self.rejected.get() + 1);
            self.metrics.refused_connections.inc();
        }
        chosen.is_some()
    }

    /// Returns whether `bytes` more fit into the budget, after connections have been ended if necessary.
    pub fn make_room(&self, bytes: u64) -> bool {
        if self.policy.borrow().has_room(bytes) {
            return true;
        }
        let now = self.clock.now();
        // Each choice looks at all connections, and many bodies may wait for room.
        if now.since(self.reviewed_at.get()) >= MIN_REVIEW_INTERVAL {
            self.review(bytes);
        }
        self.policy.borrow().has_room(bytes)
    }

    /// Returns whether no further body may wait for room.
    fn has_too_many_waiting(&self) -> bool {
        let policy = self.policy.borrow();
        policy.held() > policy.limit() + policy.limit() / WAITING_DIVISOR
    }

    /// Counts a request that was refused for lack of room.
    fn record_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
        self.metrics.refused_requests.inc();
    }

    /// Reviews the connections at regular intervals and ends some if the budget is used up.
    pub async fn run(&self) {
        loop {
            sleep(REVIEW_INTERVAL).await;
            self.review(0);
            let held = self.policy.borrow().held();
            self.metrics.held_bytes.set(i64::try_from(held).unwrap_or(i64::MAX));
            self.write_line();
        }
    }

    /// Reads the bytes and the progress of all connections, and ends some if `bytes` more do not fit into the
    /// budget.
    fn review(&self, bytes: u64) {
        let now = self.clock.now();
        self.reviewed_at.set(now);
        let before = self.policy.borrow().held();
        for (&id, usage) in &*self.usages.borrow() {
            let mut policy = self.policy.borrow_mut();
            policy.record_moved(now, id, usage.moved());
            policy.set_bytes(id, usage.bytes());
        }
        if self.policy.borrow().held() < before {
            self.freed.notify_waiters();
        }
        let chosen = self.policy.borrow_mut().make_room(now, bytes);
        self.end(chosen, EndReason::Bytes);
    }

    fn end(&self, ids: impl IntoIterator<Item = u64>, reason: EndReason) {
        for id in ids {
            let Some(usage) = self.usages.borrow().get(&id).cloned() else { continue };
            log::debug!(
                "budget: connection ends, reason={} bytes={}",
                reason.as_str(),
                usage.bytes()
            );
            self.ended.set(self.ended.get() + 1);
            self.metrics.record_ended_connection(reason.as_str());
            usage.end.cancel();
        }
    }

    fn write_line(&self) {
        let now = self.clock.now();
        let counts = [&self.ended, &self.rejected, &self.refused];
        if counts.iter().all(|count| count.get() == 0) || now < self.next_line.get() {
            return;
        }
        self.next_line.set(now + LINE_INTERVAL);
        let [ended, rejected, refused] = counts.map(Cell::take);
        let policy = self.policy.borrow();
        log::warn!(
            "budget: connections ended={ended} refused={rejected}, requests refused={refused}, \
             held={} limit={} connections={}",
            policy.held(),
            policy.limit(),
            policy.count(|_| true),
        );
    }
}

fn limit(size: &Size) -> u64 {
    size.memory_mb * 1_024 * 1_024 / BUDGET_DIVISOR
}

/// What one connection holds.
#[derive(Debug)]
struct Usage {
    state: Arc<ConnectionState>,
    /// Cancelled when the connection is to be ended.
    end: CancellationToken,
    /// Bytes that had been read when the last request ended.
    read_before: Cell<u64>,
    /// Bytes of the head of the present request, 0 while it has not been read.
    head: Cell<u64>,
    /// Bytes of the body of the present request that are kept.
    body: Cell<u64>,
    /// Bytes that the body takes while it waits for room.
    waiting: Cell<u64>,
    /// Bytes of its answers that are kept.
    answer: Cell<u64>,
    /// Number of written bytes with which the last answer will have been written.
    answer_end: Cell<u64>,
}

impl Usage {
    fn new(state: Arc<ConnectionState>) -> Self {
        Self {
            state,
            end: CancellationToken::new(),
            read_before: Cell::default(),
            head: Cell::default(),
            body: Cell::default(),
            waiting: Cell::default(),
            answer: Cell::default(),
            answer_end: Cell::default(),
        }
    }

    fn bytes(&self) -> u64 {
        let head = match self.head.get() {
            0 => self.state.read_bytes().saturating_sub(self.read_before.get()),
            head => head,
        };
        let unwritten = self.answer_end.get().saturating_sub(self.state.written_bytes());
        head.min(MAX_READ_AHEAD_BYTES.max(self.head.get()))
            + self.body.get()
            + if self.body.get() > FREE_BYTES { BODY_OVERHEAD_BYTES } else { 0 }
            + self.waiting.get()
            + self.answer.get()
            + unwritten
    }

    fn moved(&self) -> u64 {
        self.state.read_bytes() + self.state.written_bytes()
    }
}

/// What the process holds for one connection, until it is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Rc<Budget>,
    id: u64,
    usage: Rc<Usage>,
}

impl Holding {
    /// Waits until the connection is to be ended.
    pub async fn ended(&self) {
        self.usage.end.cancelled().await;
    }

    /// Returns whether the connection is to be ended.
    pub fn is_ended(&self) -> bool {
        self.usage.end.is_cancelled()
    }

    /// Waits until what was written to the connection has been passed to the kernel, so that a caller cannot
    /// have answers collected that it does not read.
    pub async fn written(&self) {
        self.usage.state.writable().await;
    }

    /// Records that the head of a request with `fields` header fields was read.
    pub fn begin_request(&self, fields: usize) {
        let read = self.usage.state.read_bytes().saturating_sub(self.usage.read_before.get());
        let head = read.min(MAX_READ_AHEAD_BYTES) + fields as u64 * FIELD_BYTES;
        self.usage.head.set(head.max(1));
        self.update();
    }

    /// Returns whether there is room for an answer of `bytes` bytes. A short one needs none.
    pub fn has_room_for_answer(&self, bytes: u64) -> bool {
        let has_room = bytes <= FREE_BYTES || self.budget.make_room(bytes);
        if !has_room {
            self.record_refusal();
        }
        has_room
    }

    /// Returns whether there is room for the head of the present request. An ordinary head needs none.
    pub fn has_room_for_head(&self) -> bool {
        let has_room = self.usage.head.get() <= FREE_BYTES || self.budget.make_room(0);
        if !has_room {
            self.record_refusal();
        }
        has_room
    }

    /// Records that the request has been read, and waits for its answer.
    pub fn begin_serving(&self) {
        self.set_serving(true);
    }

    /// Records that the answer, of which `bytes` bytes are kept, is ready to be written.
    pub fn end_request(&self, bytes: u64) {
        let usage = &self.usage;
        usage.read_before.set(usage.state.read_bytes());
        usage.head.set(0);
        usage.body.set(0);
        usage.waiting.set(0);
        usage.answer.set(0);
        usage.answer_end.set(usage.state.written_bytes() + bytes);
        self.update();
        self.set_serving(false);
        self.budget.freed.notify_waiters();
    }

    /// Counts `bytes` bytes as those of the body that are to be kept. Waits for room, while nothing is read.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if there is none in time.
    pub async fn keep_body(&self, bytes: u64) -> Result<(), NoRoom> {
        let usage = &self.usage;
        let added = bytes.saturating_sub(usage.body.get());
        let is_free = usage.bytes() + added <= FREE_BYTES;
        if !is_free && !self.budget.make_room(added) {
            self.wait_for_room(added).await?;
        }
        usage.body.set(bytes);
        self.update();
        Ok(())
    }

    async fn wait_for_room(&self, bytes: u64) -> Result<(), NoRoom> {
        if self.budget.has_too_many_waiting() {
            self.record_refusal();
            return Err(NoRoom);
        }
        // The caller cannot make progress now.
        self.set_serving(true);
        self.usage.waiting.set(WAITING_BYTES);
        self.update();
        let room = async {
            loop {
                let freed = self.budget.freed.notified();
                if self.budget.make_room(bytes) {
                    return;
                }
                tokio::select! {
                    () = freed => {}
                    () = sleep(REVIEW_INTERVAL) => {}
                }
            }
        };
        let result = timeout(ROOM_TIMEOUT, room).await;
        self.usage.waiting.set(0);
        self.update();
        self.set_serving(false);
        result.map_err(|_| {
            self.record_refusal();
            NoRoom
        })
    }

    /// Counts `bytes` bytes of an answer that are kept. Returns whether there is room for more.
    pub fn keep_answer(&self, bytes: u64) -> bool {
        self.usage.answer.set(self.usage.answer.get() + bytes);
        self.update();
        self.budget.make_room(0)
    }

    /// Counts a request that was refused for lack of room.
    fn record_refusal(&self) {
        self.budget.record_refusal();
    }

    fn update(&self) {
        self.budget.policy.borrow_mut().set_bytes(self.id, self.usage.bytes());
    }

    fn set_serving(&self, is_serving: bool) {
        let now = self.budget.clock.now();
        self.budget.policy.borrow_mut().set_serving(now, self.id, is_serving);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.budget.policy.borrow_mut().close(self.id);
        self.budget.usages.borrow_mut().swap_remove(&self.id);
        self.budget.freed.notify_waiters();
    }
}
