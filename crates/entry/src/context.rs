//! State shared by all parts of the daemon.

use crate::{
    StartError,
    clock::Clock,
    control::ControlHandle,
    counts::Counts,
    metrics::Metrics,
    record::{CopyStore, Journal, Sink},
    trace::Tracing,
    view::ClusterView,
};
use arc_swap::ArcSwap;
use azuretally_policy::idempotency::Token;
use azuretally_settings::LocalSettings;
use error_stack::Report;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Size of the random nonce that identifies a run of the process, in bytes.
const INCARNATION_BYTES: usize = 8;

/// State shared by all parts of an entry process.
#[derive(Debug)]
pub struct Context {
    /// Local settings.
    pub local: LocalSettings,
    /// Shared key that authenticates messages between entries, and tokens.
    pub peer_key: Vec<u8>,
    /// Random nonce that identifies this run of the process, in lower-case hex.
    pub incarnation: Arc<str>,
    /// Clock of the process.
    pub clock: Clock,
    /// Call counters.
    pub counts: Counts,
    /// Channels and counters shared with the control thread.
    pub control: ControlHandle,
    /// Queue of finished calls for the audit record.
    pub records: Sink,
    /// Metrics, exported in the OpenMetrics format.
    pub metrics: Metrics,
    /// Recent lines of the audit record, kept in memory.
    pub journal: Journal,
    /// Copies of the record lines of peers.
    pub copies: CopyStore,
    /// Tracing, if the local settings name a file for spans.
    pub tracing: Option<Tracing>,
    /// Requests the planned stop: calls are accepted for 2 s more, and those still running 30 s
    /// later are aborted.
    pub stop: CancellationToken,
    /// Shuts down all parts of the process after the planned stop.
    pub shutdown: CancellationToken,
    view: ArcSwap<ClusterView>,
    /// Number of views published so far.
    view_count: watch::Sender<u64>,
}

impl Context {
    /// Creates a context with an empty view.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::ReadFile`] if the file for spans cannot be opened.
    pub fn new(local: LocalSettings, peer_key: Vec<u8>) -> Result<Self, Report<StartError>> {
        let incarnation = Arc::from(hex::encode(rand::random::<[u8; INCARNATION_BYTES]>()));
        let tracing = local.span_file.as_deref().map(Tracing::open).transpose()?;
        Ok(Self {
            local,
            peer_key,
            incarnation,
            clock: Clock::start(),
            counts: Counts::default(),
            control: ControlHandle::new(),
            records: Sink::new(),
            metrics: Metrics::new(),
            journal: Journal::default(),
            copies: CopyStore::default(),
            tracing,
            stop: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            view: ArcSwap::from_pointee(ClusterView::default()),
            view_count: watch::Sender::new(0),
        })
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Publishes a new view. Only the control thread calls this.
    pub fn publish(&self, view: ClusterView) {
        self.view.store(Arc::new(view));
        self.view_count.send_modify(|n| *n += 1);
    }

    /// Issues a token of this incarnation.
    pub fn mint_token(&self) -> String {
        let token = Token {
            host: Arc::clone(&self.local.host),
            incarnation: Arc::clone(&self.incarnation),
            issued: self.clock.now(),
        };
        token.sign(&self.peer_key)
    }

    /// Returns a receiver that is notified whenever a new view is published.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.view_count.subscribe()
    }
}
