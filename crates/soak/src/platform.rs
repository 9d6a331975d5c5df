//! A stand-in for the platform that publishes settings and targets and can simulate faults.

use crate::checker::Checker;
use azuretally_gateway::native::{CHANGES_PATH, LIST_PATH, PublishedChanges};
use azuretally_policy::balance::{Change, PublishedSettings, TargetRecord};
use azuretally_standin::http::{
    ConnectionAborted, ResponseBody, json_response, query_param, serve, text_response,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Most changes that are kept for gateways that poll for changes.
const MAX_HISTORY: usize = 400;

/// How the platform handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PlatformMode {
    /// Answers normally.
    #[default]
    Healthy,
    /// Answers with status 503.
    Busy,
    /// Delays each answer by 30 s.
    Silent,
    /// Delays each answer by 400 ms.
    Slow,
    /// Aborts the connection.
    Reset,
}

/// Published state and the history of changes to it.
#[derive(Debug, Default)]
struct Store {
    mode: PlatformMode,
    revision: u64,
    published: Option<PublishedSettings>,
    targets: IndexMap<Arc<str>, TargetRecord>,
    history: Vec<(u64, Change)>,
    /// Last revision that is no longer in `history`.
    discarded_until: u64,
}

/// The stand-in platform.
#[derive(Debug)]
pub(crate) struct Platform {
    store: Mutex<Store>,
    checker: Arc<Checker>,
}

impl Platform {
    pub(crate) fn new(checker: Arc<Checker>) -> Self {
        Self { store: Mutex::default(), checker }
    }

    /// Serves requests until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| Arc::clone(&self).handle(request)).await;
    }

    /// Changes how requests are handled and records an outage, also for the return to `Healthy`.
    pub(crate) fn set_mode(&self, mode: PlatformMode) {
        self.store.lock().mode = mode;
        self.checker.record_outage();
    }

    /// Discards the history, so that gateways must read the whole state again.
    pub(crate) fn discard_history(&self) {
        let mut store = self.store.lock();
        store.history.clear();
        store.discarded_until = store.revision;
        self.checker.record_outage();
    }

    /// Publishes settings to the gateways.
    pub(crate) fn publish(&self, published: PublishedSettings) {
        let version = published.version;
        self.store.lock().apply(Change::Published(published));
        self.checker.record_published(version);
    }

    /// Adds or replaces the record of a target.
    pub(crate) fn put_target(&self, record: TargetRecord) {
        let (name, leaving) = (Arc::clone(&record.name), record.leaving);
        self.store.lock().apply(Change::Target(record));
        if leaving {
            self.checker.record_leaving(&name);
        }
    }

    /// Removes the record of a target.
    pub(crate) fn remove_target(&self, name: &Arc<str>) {
        self.store.lock().apply(Change::Gone(Arc::clone(name)));
        self.checker.record_leaving(name);
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let mode = self.store.lock().mode;
        match mode {
            PlatformMode::Healthy => {}
            PlatformMode::Busy => {
                return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "busy"));
            }
            PlatformMode::Silent => sleep(Duration::from_secs(30)).await,
            PlatformMode::Slow => sleep(Duration::from_millis(400)).await,
            PlatformMode::Reset => return Err(ConnectionAborted),
        }
        match request.uri().path() {
            LIST_PATH => Ok(json_response(&self.store.lock().all())),
            CHANGES_PATH => {
                let after =
                    query_param(&request, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait =
                    query_param(&request, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                Ok(self.changes(after, Duration::from_millis(wait)).await)
            }
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Returns the changes after revision `after`, after a delay of `wait` if there are none
    /// yet. Answers with status 410 if they are no longer kept.
    async fn changes(&self, after: u64, wait: Duration) -> Response<ResponseBody> {
        if self.store.lock().revision <= after {
            sleep(wait).await;
        }
        let store = self.store.lock();
        if after < store.discarded_until {
            return text_response(StatusCode::GONE, "forgotten");
        }
        let later = store.history.iter().filter(|(revision, _)| *revision > after);
        let changes = later.map(|(_, change)| change.clone()).collect();
        json_response(&PublishedChanges { revision: store.revision, changes })
    }
}

impl Store {
    /// Applies a change under a new revision and records it in the history.
    fn apply(&mut self, change: Change) {
        self.revision += 1;
        match &change {
            Change::Published(published) => self.published = Some(published.clone()),
            Change::Target(record) => {
                self.targets.insert(Arc::clone(&record.name), record.clone());
            }
            Change::Gone(name) => {
                self.targets.shift_remove(name);
            }
        }
        self.history.push((self.revision, change));
        if self.history.len() > MAX_HISTORY {
            self.discarded_until = self.history.remove(0).0;
        }
    }

    /// Returns the whole state as a list of changes.
    fn all(&self) -> PublishedChanges {
        let published = self.published.iter().cloned().map(Change::Published);
        let targets = self.targets.values().cloned().map(Change::Target);
        PublishedChanges { revision: self.revision, changes: published.chain(targets).collect() }
    }
}
