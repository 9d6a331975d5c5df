//! What every part of the daemon is given.

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

/// Shared by all parts of one entry process.
#[derive(Debug)]
pub struct Context {
    /// The local file.
    pub local: LocalSettings,
    /// Key with which the entries authenticate messages and tokens.
    pub peer_key: Vec<u8>,
    /// Nonce of this incarnation, drawn at start, as lower-case hex.
    pub incarnation: Arc<str>,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters of calls.
    pub counts: Counts,
    /// Channels and counters shared with control.
    pub control: ControlHandle,
    /// Where decided calls are handed to the audit record.
    pub records: Sink,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Lines of the audit record that are kept in memory.
    pub journal: Journal,
    /// Copies of the lines of peers.
    pub copies: CopyStore,
    /// Spans, when the local file names a file for them.
    pub tracing: Option<Tracing>,
    /// Asks for the planned stop: no new calls, finish those in flight.
    pub stop: CancellationToken,
    /// Ends every part after the planned stop.
    pub shutdown: CancellationToken,
    view: ArcSwap<ClusterView>,
    changed: watch::Sender<u64>,
}

impl Context {
    /// A context with an empty view.
    ///
    /// # Errors
    ///
    /// [`StartError::ReadFile`] when the file for spans cannot be opened.
    pub fn new(local: LocalSettings, peer_key: Vec<u8>) -> Result<Self, Report<StartError>> {
        let incarnation = Arc::from(hex::encode(rand::random::<[u8; 8]>()));
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
            changed: watch::Sender::new(0),
        })
    }

    /// The view in force now.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Publishes a new view. Called by the control thread alone.
    pub fn publish(&self, view: ClusterView) {
        self.view.store(Arc::new(view));
        self.changed.send_modify(|n| *n += 1);
    }

    /// A token of this incarnation, issued now.
    pub fn mint_token(&self) -> String {
        let token = Token {
            host: Arc::clone(&self.local.host),
            incarnation: Arc::clone(&self.incarnation),
            issued: self.clock.now(),
        };
        token.sign(&self.peer_key)
    }

    /// Wakes whenever a new view was published.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
