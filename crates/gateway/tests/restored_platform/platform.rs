//! A stand-in for the platform that can be restored from a copy of an earlier state.

use azuretally_api::headers;
use azuretally_gateway::native::{CHANGES_PATH, LIST_PATH, PublishedChanges};
use azuretally_policy::balance::Change;
use azuretally_standin::http::{
    ConnectionAborted, ResponseBody, json_response, query_param, serve, text_response,
};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

/// What a platform does differently from the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Variant {
    /// No answer names the era.
    pub(crate) is_eraless: bool,
    /// A poll after a revision that does not exist gets no changes instead of 410.
    pub(crate) denies_gone: bool,
}

#[derive(Debug)]
struct State {
    era: u64,
    /// The revision of each change is its position, counted from 1.
    changes: Vec<Change>,
    is_away: bool,
    /// Values that the next answers name, one each, instead of the era.
    false_eras: VecDeque<&'static str>,
}

impl State {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }
}

/// Publishes settings and targets to the gateways.
#[derive(Debug)]
pub(crate) struct Platform {
    variant: Variant,
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    pub(crate) fn new(variant: Variant) -> Self {
        let false_eras = VecDeque::new();
        let state = State { era: 5, changes: Vec::new(), is_away: false, false_eras };
        Self { variant, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Publishes a change of the settings or of a target. Returns whether it is confirmed, which it is
    /// not while the platform is away.
    pub(crate) fn publish(&self, change: Change) -> bool {
        let mut state = self.state.lock();
        if state.is_away {
            return false;
        }
        state.changes.push(change);
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Answers all requests with 503 until the next [`restore`](Self::restore).
    pub(crate) fn leave(&self) {
        self.state.lock().is_away = true;
        self.changed.notify_waiters();
    }

    /// Comes back from a copy that lacks the last `lost` changes, which are returned.
    pub(crate) fn restore(&self, lost: usize) -> Vec<Change> {
        let mut state = self.state.lock();
        let kept = state.changes.len().checked_sub(lost).expect("so many changes");
        let lost = state.changes.split_off(kept);
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_waiters();
        lost
    }

    /// Returns the revision of the last change.
    pub(crate) fn revision(&self) -> u64 {
        self.state.lock().revision()
    }

    /// Names `values` in the next answers, one each, instead of the era.
    pub(crate) fn name_false_eras(&self, values: &[&'static str]) {
        self.state.lock().false_eras.extend(values);
    }

    /// Returns whether all false values have been named.
    pub(crate) fn has_named_false_eras(&self) -> bool {
        self.state.lock().false_eras.is_empty()
    }

    /// Serves requests until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| Arc::clone(&self).handle(request)).await;
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let number = |name| query_param(&request, name).and_then(|n| n.parse().ok()).unwrap_or(0);
        match request.uri().path() {
            LIST_PATH => Ok(self.respond(None)),
            CHANGES_PATH => {
                let after: u64 = number("after");
                let changed = self.changed.notified();
                if self.waits_for_changes(after) {
                    let _ = timeout(Duration::from_millis(number("wait_ms")), changed).await;
                }
                Ok(self.respond(Some(after)))
            }
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn waits_for_changes(&self, after: u64) -> bool {
        let state = self.state.lock();
        let revision = state.revision();
        !state.is_away && (after == revision || (after > revision && self.variant.denies_gone))
    }

    /// Returns the answer to a poll, or to a request for the full list if there is no `after`.
    fn respond(&self, after: Option<u64>) -> Response<ResponseBody> {
        let mut state = self.state.lock();
        let revision = state.revision();
        let mut response = match after {
            _ if state.is_away => text_response(StatusCode::SERVICE_UNAVAILABLE, "away"),
            Some(after) if after > revision && !self.variant.denies_gone => {
                text_response(StatusCode::GONE, "no such revision")
            }
            Some(after) => {
                let skipped = usize::try_from(after).unwrap_or(usize::MAX);
                let changes = state.changes.iter().skip(skipped).cloned().collect();
                json_response(&PublishedChanges { revision, changes })
            }
            None => json_response(&PublishedChanges { revision, changes: current(&state.changes) }),
        };
        let named = state.false_eras.pop_front().map(str::to_owned);
        let named = named.unwrap_or_else(|| state.era.to_string());
        if !self.variant.is_eraless {
            let value = HeaderValue::from_str(&named).expect("visible characters");
            response.headers_mut().insert(headers::PLATFORM_ERA, value);
        }
        response
    }
}

/// Returns the last settings, the last record of each target that is still there, and the last state of each
/// evacuation.
fn current(changes: &[Change]) -> Vec<Change> {
    let mut latest: IndexMap<Arc<str>, &Change> = IndexMap::new();
    for change in changes {
        match change {
            Change::Published(_) => latest.insert(Arc::from(""), change),
            Change::Target(record) => latest.insert(Arc::clone(&record.name), change),
            Change::Gone(name) => latest.shift_remove(name),
            // Key of the store, which no target is named after.
            Change::Evacuation { domain, .. } => {
                latest.insert(Arc::from(format!("op/evacuate/{domain}")), change)
            }
        };
    }
    latest.into_values().cloned().collect()
}
