//! One request to a target or peer, and its answer.

use super::{
    app::App,
    body::Payload,
    inbound::Inbound,
    limits::{CONNECT_TIMEOUT, KEPT_BYTES, PAUSE_GAP},
    pool::{Connection, Trust},
};
use azuretally_policy::{Timestamp, dispatch::FailureKind};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
    response::Parts,
};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use tokio::time::timeout;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Connections tried when idle ones turn out to be closed.
const MAX_STALE: usize = 4;

/// How an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    /// What happened.
    pub(super) kind: FailureKind,
    /// True when nothing of the request had been written.
    pub(super) proof_not_run: bool,
}

impl Failure {
    const fn proven(kind: FailureKind) -> Self {
        Self { kind, proof_not_run: true }
    }

    const fn open(kind: FailureKind) -> Self {
        Self { kind, proof_not_run: false }
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(super) enum Arrived {
    /// The whole body; the connection is back in the pool.
    Whole(Bytes),
    /// A body that is still coming.
    Coming(Incoming, Connection),
}

/// Head of an answer with its body.
#[derive(Debug)]
pub(super) struct Received {
    /// Head of the answer.
    pub(super) head: Parts,
    /// Body of the answer.
    pub(super) body: Arrived,
}

/// One request to be exchanged.
#[derive(Debug)]
pub(super) struct Exchange<'a> {
    /// Shared parts.
    pub(super) app: &'a App,
    /// Where to.
    pub(super) address: SocketAddr,
    /// Which connections will do.
    pub(super) trust: Trust,
    /// After this nothing is written any more.
    pub(super) deadline: Timestamp,
    /// Time for the whole exchange.
    pub(super) limit: Duration,
}

impl Exchange<'_> {
    /// Sends the request and receives the head of the answer, with the body when it is small.
    ///
    /// # Errors
    ///
    /// [`Failure`], with proof when nothing was written.
    pub(super) async fn run(&self, request: Request<Payload>) -> Result<Received, Failure> {
        let started = self.app.context.clock.now();
        let written = AtomicBool::new(false);
        match timeout(self.limit, self.send(request, started, &written)).await {
            Ok(result) => result,
            Err(_) if !written.load(Ordering::Relaxed) => {
                Err(Failure::proven(FailureKind::Timeout))
            }
            Err(_) => {
                self.app.pool.suspect(self.address, started);
                Err(Failure::open(FailureKind::Timeout))
            }
        }
    }

    async fn send(
        &self,
        mut request: Request<Payload>,
        started: Timestamp,
        written: &AtomicBool,
    ) -> Result<Received, Failure> {
        for _ in 0..MAX_STALE {
            let mut connection = self
                .app
                .pool
                .take(self.address, self.trust)
                .await
                .map_err(|_| Failure::proven(FailureKind::Connect))?;
            if self.is_outdated(started) {
                self.app.pool.keep(connection);
                return Err(Failure::proven(FailureKind::Timeout));
            }
            written.store(true, Ordering::Relaxed);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.receive(response, connection).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::open(FailureKind::Broken)),
                },
            }
            written.store(false, Ordering::Relaxed);
        }
        Err(Failure::proven(FailureKind::Connect))
    }

    /// Whether the decision to send is too old to be acted upon: the deadline has passed, or the
    /// process was paused since.
    fn is_outdated(&self, started: Timestamp) -> bool {
        let now = self.app.context.clock.now();
        now >= self.deadline || now - started > CONNECT_TIMEOUT + PAUSE_GAP
    }

    async fn receive(
        &self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<Received, Failure> {
        let (head, body) = response.into_parts();
        if !is_framed(&head, &body) {
            return Err(Failure::open(FailureKind::Broken));
        }
        if body.size_hint().exact().is_none_or(|n| n > KEPT_BYTES) {
            return Ok(Received { head, body: Arrived::Coming(body, connection) });
        }
        let whole =
            body.collect().await.map_err(|_| Failure::open(FailureKind::Broken))?.to_bytes();
        self.app.pool.keep(connection);
        Ok(Received { head, body: Arrived::Whole(whole) })
    }
}

/// Whether the end of the body can be told from a cut.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some()
        || body.is_end_stream()
        || head.headers.contains_key(TRANSFER_ENCODING)
        || head.version == Version::HTTP_2
}

/// A request to `address` made from a call that came in, or nothing when its body was used up.
pub(super) fn request_from(
    inbound: &Inbound,
    address: SocketAddr,
    extra: [(HeaderName, HeaderValue); 2],
) -> Option<Request<Payload>> {
    let mut request = Request::new(inbound.content.payload()?);
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.path.clone().into();
    let fields = request.headers_mut();
    fields.clone_from(&inbound.headers);
    strip(fields);
    fields.remove(HOST);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        fields.insert(HOST, host);
    }
    for (name, value) in extra {
        fields.insert(name, value);
    }
    Some(request)
}

/// Removes fields that concern one connection alone.
pub(super) fn strip(fields: &mut HeaderMap) {
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ] {
        fields.remove(name);
    }
}
