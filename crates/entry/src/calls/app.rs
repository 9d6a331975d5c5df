//! State shared by the tasks of the request path.

use super::{inbound::StoredReply, pool::ConnectionPool, router::Router, service::ProbeRequest};
use crate::context::Context;
use arc_swap::ArcSwap;
use azuretally_policy::{dispatch::CallId, idempotency::KeyTable};
use http::HeaderValue;
use parking_lot::Mutex;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::{Notify, mpsc};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// State shared by all tasks of the request path.
#[derive(Debug)]
pub(super) struct App {
    /// State shared with the rest of the process.
    pub(super) context: Arc<Context>,
    /// Routes under the current view.
    pub(super) router: ArcSwap<Router>,
    /// Connections to targets and peers.
    pub(super) pool: ConnectionPool,
    /// Idempotency keys of this incarnation.
    pub(super) key_table: Mutex<KeyTable<Arc<StoredReply>>>,
    /// Notified whenever a call with an idempotency key finishes.
    pub(super) key_finished: Notify,
    /// Queue of probes to be sent.
    pub(super) probes: mpsc::UnboundedSender<ProbeRequest>,
    /// Tasks of the connections of callers. The planned stop waits for them first.
    pub(super) connections: TaskTracker,
    /// Cancelled when the connections of callers are to be closed once they are idle.
    pub(super) close: CancellationToken,
    /// Cancelled when the entry is about to exit and calls that have not ended are aborted.
    pub(super) abort: CancellationToken,
    /// Tasks of connections to targets and peers, probes and calls with an idempotency key. The
    /// planned stop waits for them.
    pub(super) tasks: TaskTracker,
    next_id: AtomicU64,
    next_attempt: AtomicU64,
}

impl App {
    /// Creates the shared state, without routes.
    pub(super) fn new(context: Arc<Context>, probes: mpsc::UnboundedSender<ProbeRequest>) -> Self {
        let tasks = TaskTracker::new();
        Self {
            pool: ConnectionPool::new(context.clock, tasks.clone()),
            context,
            router: ArcSwap::default(),
            key_table: Mutex::default(),
            key_finished: Notify::new(),
            probes,
            connections: TaskTracker::new(),
            close: CancellationToken::new(),
            abort: CancellationToken::new(),
            tasks,
            next_id: AtomicU64::new(1),
            next_attempt: AtomicU64::new(1),
        }
    }

    /// Returns the id of a new call.
    pub(super) fn next_call_id(&self) -> CallId {
        CallId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns what names a new request to a target.
    pub(super) fn next_attempt(&self) -> HeaderValue {
        self.next_attempt.fetch_add(1, Ordering::Relaxed).into()
    }
}
