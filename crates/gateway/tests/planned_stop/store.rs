//! A stand-in for the platform that publishes settings and targets.

use azuretally_gateway::native::{CHANGES_PATH, LIST_PATH, PublishedChanges};
use azuretally_policy::balance::Change;
use azuretally_standin::http::{
    ConnectionAborted, ResponseBody, json_response, query_param, serve, text_response,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

/// Publishes settings and targets to the gateways.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// All changes; the revision of each is its position, counted from 1.
    changes: Mutex<Vec<Change>>,
    changed: Notify,
}

impl Store {
    /// Publishes a change of the settings or of a target.
    pub(crate) fn publish(&self, change: Change) {
        self.changes.lock().push(change);
        self.changed.notify_waiters();
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
            LIST_PATH => Ok(json_response(&self.changes_after(0))),
            CHANGES_PATH => {
                let after = number("after");
                let changed = self.changed.notified();
                if self.changes.lock().len() as u64 <= after {
                    let wait = Duration::from_millis(number("wait_ms"));
                    let _ = timeout(wait, changed).await;
                }
                Ok(json_response(&self.changes_after(after)))
            }
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn changes_after(&self, after: u64) -> PublishedChanges {
        let changes = self.changes.lock();
        let skipped = usize::try_from(after).unwrap_or(usize::MAX);
        PublishedChanges {
            revision: changes.len() as u64,
            changes: changes.iter().skip(skipped).cloned().collect(),
        }
    }
}
