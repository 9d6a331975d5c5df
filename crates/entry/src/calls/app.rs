//! What the parts of the request path share.

use super::{inbound::KeptReply, pool::Pool, router::Router, service::ProbeOrder};
use crate::context::Context;
use arc_swap::ArcSwap;
use azuretally_policy::{dispatch::CallId, idempotency::KeyTable};
use parking_lot::Mutex;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::{Notify, mpsc};
use tokio_util::task::TaskTracker;

/// Shared by all tasks of the request path.
#[derive(Debug)]
pub(super) struct App {
    /// Shared with the rest of the process.
    pub(super) context: Arc<Context>,
    /// Routes under the view in force.
    pub(super) router: ArcSwap<Router>,
    /// Connections to targets and peers.
    pub(super) pool: Pool,
    /// Idempotency keys of this incarnation.
    pub(super) keys: Mutex<KeyTable<Arc<KeptReply>>>,
    /// Wakes those who wait for the end of a call with the same key.
    pub(super) key_ended: Notify,
    /// Probes on their way to the prober.
    pub(super) probes: mpsc::UnboundedSender<ProbeOrder>,
    /// Every task that the request path spawned.
    pub(super) tasks: TaskTracker,
    next_call: AtomicU64,
}

impl App {
    /// The shared parts, with no routes yet.
    pub(super) fn new(context: Arc<Context>, probes: mpsc::UnboundedSender<ProbeOrder>) -> Self {
        let tasks = TaskTracker::new();
        Self {
            pool: Pool::new(context.clock, tasks.clone()),
            context,
            router: ArcSwap::default(),
            keys: Mutex::default(),
            key_ended: Notify::new(),
            probes,
            tasks,
            next_call: AtomicU64::new(1),
        }
    }

    /// A number for a new call.
    pub(super) fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }
}
