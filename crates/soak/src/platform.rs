//! A stand-in for the platform: publishes settings and targets, and misbehaves when told to.

use crate::ledger::Ledger;
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

/// Changes that are kept for those who follow.
const HISTORY: usize = 400;

/// How the platform treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It answers.
    #[default]
    Sound,
    /// It turns calls away.
    Busy,
    /// It does not answer.
    Silent,
    /// It answers late.
    Slow,
    /// It breaks connections.
    Reset,
}

#[derive(Debug, Default)]
struct Store {
    mode: Mode,
    revision: u64,
    published: Option<PublishedSettings>,
    targets: IndexMap<Arc<str>, TargetRecord>,
    history: Vec<(u64, Change)>,
    forgotten: u64,
}

/// The platform.
#[derive(Debug)]
pub(crate) struct Platform {
    store: Mutex<Store>,
    ledger: Arc<Ledger>,
}

impl Platform {
    pub(crate) fn new(ledger: Arc<Ledger>) -> Self {
        Self { store: Mutex::default(), ledger }
    }

    /// Serves until `stop`.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| Arc::clone(&self).answer(request)).await;
    }

    /// Changes how calls are treated.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.store.lock().mode = mode;
        self.ledger.outage();
    }

    /// Forgets what changed so far.
    pub(crate) fn forget(&self) {
        let mut store = self.store.lock();
        store.history.clear();
        store.forgotten = store.revision;
        self.ledger.outage();
    }

    /// Publishes settings.
    pub(crate) fn publish(&self, published: PublishedSettings) {
        let version = published.version;
        self.store.lock().add(Change::Published(published));
        self.ledger.published(version);
    }

    /// Takes in a target's record.
    pub(crate) fn list(&self, record: TargetRecord) {
        let (name, leaving) = (Arc::clone(&record.name), record.leaving);
        self.store.lock().add(Change::Target(record));
        if leaving {
            self.ledger.leaves(&name);
        }
    }

    /// Removes a target's record.
    pub(crate) fn remove(&self, name: &Arc<str>) {
        self.store.lock().add(Change::Gone(Arc::clone(name)));
        self.ledger.leaves(name);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let mode = self.store.lock().mode;
        match mode {
            Mode::Sound => {}
            Mode::Busy => return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "busy")),
            Mode::Silent => sleep(Duration::from_secs(30)).await,
            Mode::Slow => sleep(Duration::from_millis(400)).await,
            Mode::Reset => return Err(ConnectionAborted),
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

    async fn changes(&self, after: u64, wait: Duration) -> Response<ResponseBody> {
        if self.store.lock().revision <= after {
            sleep(wait).await;
        }
        let store = self.store.lock();
        if after < store.forgotten {
            return text_response(StatusCode::GONE, "forgotten");
        }
        let later = store.history.iter().filter(|(revision, _)| *revision > after);
        let changes = later.map(|(_, change)| change.clone()).collect();
        json_response(&PublishedChanges { revision: store.revision, changes })
    }
}

impl Store {
    fn add(&mut self, change: Change) {
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
        if self.history.len() > HISTORY {
            self.forgotten = self.history.remove(0).0;
        }
    }

    fn all(&self) -> PublishedChanges {
        let published = self.published.iter().cloned().map(Change::Published);
        let targets = self.targets.values().cloned().map(Change::Target);
        PublishedChanges { revision: self.revision, changes: published.chain(targets).collect() }
    }
}
