//! Connections of callers: whether an answer is the last one, and how each connection ended.

use super::app::App;
use crate::{
    metrics::{ConnectionEnd, Metrics},
    socket::ConnectionState,
};
use http::{HeaderValue, Response, Version, header::CONNECTION};
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Counts the calls of a connection. Once dropped, which must be after the stream of the connection,
/// counts how the connection ended.
#[derive(Debug)]
pub(super) struct CallerConnection {
    app: Arc<App>,
    client: SocketAddr,
    state: Arc<ConnectionState>,
    calls: AtomicU64,
    in_progress: AtomicU64,
    is_http2: AtomicBool,
    /// How the connection ended. Without it, the process ended first.
    end: Mutex<Option<ConnectionEnd>>,
}

impl CallerConnection {
    /// Creates the account of a connection that was accepted from `client`.
    pub(super) fn new(app: Arc<App>, client: SocketAddr, state: Arc<ConnectionState>) -> Self {
        Self {
            app,
            client,
            state,
            calls: AtomicU64::new(0),
            in_progress: AtomicU64::new(0),
            is_http2: AtomicBool::new(false),
            end: Mutex::default(),
        }
    }

    /// Records that the head of a call was read.
    pub(super) fn call_started(&self, version: Version) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.is_http2.store(version == Version::HTTP_2, Ordering::Relaxed);
    }

    /// Records that the answer to a call is ready to be written. During a planned stop, it is the
    /// last answer on an HTTP/1 connection and announces that.
    pub(super) fn call_ended<Body>(&self, response: &mut Response<Body>) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
        if self.is_http2.load(Ordering::Relaxed) {
            // HTTP/2 announces the close with a frame.
            response.headers_mut().remove(CONNECTION);
            return;
        }
        if self.app.context.stop.is_cancelled() {
            announce_close(response);
        }
        if response.headers().contains_key(CONNECTION) {
            self.state.announce_close();
        }
    }

    /// Records that the connection is about to be closed. On an HTTP/2 connection, a GOAWAY frame
    /// announces that.
    pub(super) fn closing(&self) {
        if self.is_http2.load(Ordering::Relaxed) {
            self.state.announce_close();
        }
    }

    /// Records that the connection has ended, with an error or not.
    pub(super) fn ended(&self, failed: bool) {
        let end = match failed {
            _ if self.state.is_close_announced() => ConnectionEnd::Announced,
            _ if self.state.is_closed_by_peer() => ConnectionEnd::Caller,
            true => ConnectionEnd::Failed,
            false => ConnectionEnd::Idle,
        };
        *self.end.lock() = Some(end);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let end = self.end.lock().unwrap_or(ConnectionEnd::Interrupted);
        let unread = self.state.unread_bytes();
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        log::log!(
            if in_progress > 0 || unread > 0 { log::Level::Info } else { log::Level::Debug },
            "calls: connection ended from={} reason={} calls={} in_progress={in_progress} \
             unread_bytes={unread}",
            self.client,
            end.as_str(),
            self.calls.load(Ordering::Relaxed),
        );
        self.app.context.metrics.record_connection_end(end);
    }
}

/// Number of connections that ended so far, in each way.
#[derive(Debug)]
pub(super) struct EndCounts([u64; ConnectionEnd::ALL.len()]);

impl EndCounts {
    /// Reads the current numbers.
    pub(super) fn read(metrics: &Metrics) -> Self {
        Self(ConnectionEnd::ALL.map(|end| metrics.connection_ends(end)))
    }

    /// Returns the numbers since `earlier`, for a log line.
    pub(super) fn since(&self, earlier: &Self) -> String {
        let numbers = self.0.iter().zip(&earlier.0).map(|(now, then)| now - then);
        let ends = ConnectionEnd::ALL.iter().zip(numbers);
        ends.map(|(end, n)| format!("{}={n}", end.as_str())).collect::<Vec<_>>().join(" ")
    }
}

/// Announces that the connection is closed after this response.
pub(super) fn announce_close<Body>(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
