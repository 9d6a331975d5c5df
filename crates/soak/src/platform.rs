//! A stand-in for the platform that publishes settings and targets and can simulate faults.

use crate::{checker::Checker, cluster::MOVING_SERVICES};
use azuretally_api::headers;
use azuretally_gateway::native::{CHANGES_PATH, LIST_PATH, PublishedChanges};
use azuretally_policy::balance::{Change, PublishedSettings, TargetRecord};
use azuretally_standin::http::{
    ConnectionAborted, ResponseBody, json_response, query_param, serve, text_response,
};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch, time::sleep};
use tokio_util::sync::CancellationToken;

/// Most changes that are kept for gateways that poll for changes.
const MAX_HISTORY: u64 = 400;

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

/// What a change is about: a target, or the settings if there is no name.
pub(crate) type Subject = Option<Arc<str>>;

/// A change with its revision and the time at which it was written.
#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    at: Instant,
    change: Change,
}

/// Published state and the history of changes to it.
#[derive(Debug, Default)]
struct Store {
    mode: PlatformMode,
    /// Number of restores.
    restores: u64,
    revision: u64,
    published: Option<PublishedSettings>,
    targets: IndexMap<Arc<str>, TargetRecord>,
    /// All changes since the first, without those that a restore has lost.
    log: Vec<Entry>,
    /// Last revision whose change gateways can no longer get.
    discarded_until: u64,
    /// Latest changes that a restore has lost and that have not been written again.
    lost: IndexMap<Subject, Change>,
    /// Changes that wait for the end of a restore.
    waiting: Vec<Change>,
}

/// The stand-in platform.
#[derive(Debug)]
pub(crate) struct Platform {
    store: Mutex<Store>,
    /// Number of restores in progress.
    away: watch::Sender<u32>,
    checker: Arc<Checker>,
    /// Number of settings versions after which the moving route moves.
    step: u64,
    /// Confirmed settings versions that no restore has lost, with the time of each.
    confirmed: Mutex<Vec<(u64, Instant)>>,
}

impl Platform {
    pub(crate) fn new(checker: Arc<Checker>, step: u64) -> Self {
        let (store, confirmed) = (Mutex::default(), Mutex::default());
        Self { store, away: watch::Sender::new(0), checker, step, confirmed }
    }

    /// Returns the number of the service that the moving route goes to under a settings version.
    pub(crate) fn moving_service(&self, version: u64) -> u64 {
        version.div_ceil(self.step).min(MOVING_SERVICES)
    }

    /// Returns the latest settings version that was confirmed before `at` and is not lost.
    pub(crate) fn version_at(&self, at: Instant) -> u64 {
        let confirmed = self.confirmed.lock();
        let due = confirmed.iter().filter(|(_, confirmed_at)| *confirmed_at < at);
        due.map(|(version, _)| *version).max().unwrap_or(0)
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
        store.discarded_until = store.revision;
        self.checker.record_outage();
    }

    /// Publishes settings to the gateways.
    pub(crate) fn publish(&self, published: PublishedSettings) {
        self.write(&mut self.store.lock(), Change::Published(published));
    }

    /// Adds or replaces the record of a target.
    pub(crate) fn put_target(&self, record: TargetRecord) {
        self.write(&mut self.store.lock(), Change::Target(record));
    }

    /// Removes the record of a target.
    pub(crate) fn remove_target(&self, name: &Arc<str>) {
        self.write(&mut self.store.lock(), Change::Gone(Arc::clone(name)));
    }

    /// Removes the record of a target that has crashed, unless it is that of a later process.
    pub(crate) fn let_lapse(&self, record: &TargetRecord) {
        let mut store = self.store.lock();
        let lost = store.lost.get(&Some(Arc::clone(&record.name)));
        let started = |change: &Change| match change {
            Change::Target(record) => record.started,
            _ => None,
        };
        let listed = store.targets.get(&record.name).and_then(|listed| listed.started);
        if listed == record.started || lost.and_then(started) == record.started {
            self.write(&mut store, Change::Gone(Arc::clone(&record.name)));
        }
    }

    /// Aborts all requests until as many calls of [`Platform::restore`].
    pub(crate) fn begin_restore(&self) {
        self.away.send_modify(|count| *count += 1);
        self.checker.record_outage();
    }

    /// Restores the platform from a copy of the time `copied_at`, or from one that ends with the first
    /// settings. Returns the subjects of which changes were lost.
    pub(crate) fn restore(&self, copied_at: Option<Instant>) -> Vec<Subject> {
        let mut store = self.store.lock();
        let lost = store.restore(copied_at);
        let version = store.published.as_ref().map_or(0, |p| p.version);
        let listed = store.targets.values().filter(|t| !t.leaving).map(|t| &*t.name);
        self.checker.record_restore(self.moving_service(version), listed);
        self.confirmed.lock().retain(|(confirmed, _)| *confirmed <= version);
        self.away.send_modify(|count| *count -= 1);
        if *self.away.borrow() == 0 {
            for change in std::mem::take(&mut store.waiting) {
                self.write(&mut store, change);
            }
        }
        lost
    }

    /// Writes the lost change of a subject again, unless a later one has been written.
    pub(crate) fn write_again(&self, subject: &Subject) {
        let mut store = self.store.lock();
        if let Some(change) = store.lost.shift_remove(subject) {
            self.write(&mut store, change);
        }
    }

    /// Applies a change, during a restore at its end, and reports it to the checker.
    fn write(&self, store: &mut Store, change: Change) {
        store.lost.shift_remove(&subject_of(&change));
        if *self.away.borrow() > 0 {
            store.waiting.push(change);
            return;
        }
        match &change {
            Change::Published(published) => {
                self.checker.record_published(self.moving_service(published.version));
                self.confirmed.lock().push((published.version, Instant::now()));
            }
            Change::Target(record) if record.leaving => self.checker.record_leaving(&record.name),
            Change::Target(record) => self.checker.record_listed(&record.name),
            Change::Gone(name) => self.checker.record_leaving(name),
            // The run evacuates nothing.
            Change::Evacuation { .. } => {}
        }
        store.apply(change);
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let mut away = self.away.subscribe();
        tokio::select! {
            biased;
            _ = away.wait_for(|count| *count > 0) => Err(ConnectionAborted),
            answer = self.answer(request) => answer,
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let mode = self.store.lock().mode;
        match mode {
            PlatformMode::Healthy => {}
            PlatformMode::Busy => {
                let answer = text_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
                return Ok(self.store.lock().with_era(answer));
            }
            PlatformMode::Silent => sleep(Duration::from_secs(30)).await,
            PlatformMode::Slow => sleep(Duration::from_millis(400)).await,
            PlatformMode::Reset => return Err(ConnectionAborted),
        }
        match request.uri().path() {
            LIST_PATH => {
                let store = self.store.lock();
                Ok(store.with_era(json_response(&store.all())))
            }
            CHANGES_PATH => {
                let after =
                    query_param(&request, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait =
                    query_param(&request, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                Ok(self.changes(after, Duration::from_millis(wait)).await)
            }
            _ => {
                Ok(self.store.lock().with_era(text_response(StatusCode::NOT_FOUND, "no such path")))
            }
        }
    }

    /// Returns the changes after revision `after`, after a delay of `wait` if there are none
    /// yet. Answers with status 410 if they are no longer kept, or if there is no such revision.
    async fn changes(&self, after: u64, wait: Duration) -> Response<ResponseBody> {
        if self.store.lock().revision == after {
            sleep(wait).await;
        }
        let store = self.store.lock();
        if after < store.discarded_until || after > store.revision {
            return store.with_era(text_response(StatusCode::GONE, "forgotten"));
        }
        let later = store.log.iter().filter(|entry| entry.revision > after);
        let changes = later.map(|entry| entry.change.clone()).collect();
        store.with_era(json_response(&PublishedChanges { revision: store.revision, changes }))
    }
}

impl Store {
    /// Applies a change under a new revision and records it in the log.
    fn apply(&mut self, change: Change) {
        self.revision += 1;
        self.log.push(Entry {
            revision: self.revision,
            at: Instant::now(),
            change: change.clone(),
        });
        self.set(change);
        self.discarded_until = self.discarded_until.max(self.revision.saturating_sub(MAX_HISTORY));
    }

    fn set(&mut self, change: Change) {
        match change {
            Change::Published(published) => self.published = Some(published),
            Change::Target(record) => {
                self.targets.insert(Arc::clone(&record.name), record);
            }
            Change::Gone(name) => {
                self.targets.shift_remove(&name);
            }
            Change::Evacuation { .. } => {}
        }
    }

    /// Goes back to the state at `copied_at`, but not beyond the first settings, under the next era.
    /// Returns the subjects of which changes were lost.
    fn restore(&mut self, copied_at: Option<Instant>) -> Vec<Subject> {
        self.restores += 1;
        let is_settings = |entry: &Entry| matches!(entry.change, Change::Published(_));
        let first_settings = self.log.iter().position(is_settings).map_or(0, |index| index + 1);
        let is_copied = |entry: &Entry| copied_at.is_some_and(|copied_at| entry.at <= copied_at);
        let kept = self.log.partition_point(is_copied).max(first_settings);
        let lost = self.log.split_off(kept);
        self.revision = self.log.last().map_or(0, |entry| entry.revision);
        self.discarded_until = self.discarded_until.min(self.revision);
        (self.published, self.targets) = (None, IndexMap::new());
        for entry in self.log.clone() {
            self.set(entry.change);
        }
        let subjects: IndexSet<_> = lost.iter().map(|entry| subject_of(&entry.change)).collect();
        self.lost.extend(lost.into_iter().map(|entry| (subject_of(&entry.change), entry.change)));
        subjects.into_iter().collect()
    }

    /// Adds the era to an answer. Eras count from 1.
    fn with_era(&self, mut answer: Response<ResponseBody>) -> Response<ResponseBody> {
        let era = HeaderValue::from(self.restores + 1);
        answer.headers_mut().insert(headers::PLATFORM_ERA, era);
        answer
    }

    /// Returns the whole state as a list of changes.
    fn all(&self) -> PublishedChanges {
        let published = self.published.iter().cloned().map(Change::Published);
        let targets = self.targets.values().cloned().map(Change::Target);
        PublishedChanges { revision: self.revision, changes: published.chain(targets).collect() }
    }
}

fn subject_of(change: &Change) -> Subject {
    match change {
        Change::Published(_) | Change::Evacuation { .. } => None,
        Change::Target(record) => Some(Arc::clone(&record.name)),
        Change::Gone(name) => Some(Arc::clone(name)),
    }
}
