//! Sends one request to a target or peer and receives the response.

use super::{
    app::App,
    body::RequestBody,
    inbound::Inbound,
    limits::{CONNECT_TIMEOUT, MAX_BUFFERED_BYTES, MIN_PAUSE},
    pool::{Connection, ReusePolicy},
};
use azuretally_api::headers;
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
    ops::RangeInclusive,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use tokio::time::timeout;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Statuses that end an exchange, apart from a change of the protocol, which is never requested.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of connections tried while idle ones turn out to be closed.
const MAX_CONNECTION_TRIES: usize = 4;

/// Reason for the failure of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeError {
    /// What failed.
    pub(super) kind: FailureKind,
    /// Whether it is certain that the request was not executed, because nothing was written.
    pub(super) not_executed: bool,
}

impl ExchangeError {
    /// A failure before any part of the request was written.
    const fn before_write(kind: FailureKind) -> Self {
        Self { kind, not_executed: true }
    }

    /// A failure after which the request may have been executed.
    const fn after_write(kind: FailureKind) -> Self {
        Self { kind, not_executed: false }
    }
}

/// Body of an upstream response.
#[derive(Debug)]
pub(super) enum ResponseBody {
    /// The complete body. The connection has been returned to the pool.
    Buffered(Bytes),
    /// A body that is still being received on the connection.
    Streaming(Incoming, Connection),
}

/// Response of a target or peer.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    /// Status and header fields of the response.
    pub(super) head: Parts,
    /// Body of the response.
    pub(super) body: ResponseBody,
}

/// Parameters of one exchange.
#[derive(Debug)]
pub(super) struct Exchange<'a> {
    /// Shared state.
    pub(super) app: &'a App,
    /// Address of the target or peer.
    pub(super) address: SocketAddr,
    /// Which idle connections may be used.
    pub(super) reuse: ReusePolicy,
    /// Time after which the request is no longer written.
    pub(super) deadline: Timestamp,
    /// Timeout from the start of the exchange to the head of the response, and to the end of the
    /// body if that is buffered.
    pub(super) timeout: Duration,
}

impl Exchange<'_> {
    /// Sends the request and receives the head of the response, and its body if it is small enough
    /// to be buffered.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`], which states whether the request may have been executed.
    pub(super) async fn run(
        &self,
        request: Request<RequestBody>,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let started = self.app.context.clock.now();
        let written = AtomicBool::new(false);
        let result = match timeout(self.timeout, self.send(request, started, &written)).await {
            Ok(result) => result,
            Err(_) if !written.load(Ordering::Relaxed) => {
                Err(ExchangeError::before_write(FailureKind::Timeout))
            }
            Err(_) => {
                self.app.pool.close_inactive(self.address, started);
                Err(ExchangeError::after_write(FailureKind::Timeout))
            }
        };
        result.map_err(|error| self.attribute(error, started))
    }

    /// Attributes a failure to a pause of the process if it comes later than the timeouts allow.
    fn attribute(&self, error: ExchangeError, started: Timestamp) -> ExchangeError {
        let limit = if error.not_executed { CONNECT_TIMEOUT } else { self.timeout };
        let elapsed = self.app.context.clock.now() - started;
        let is_paused = elapsed > limit + MIN_PAUSE;
        ExchangeError { kind: if is_paused { FailureKind::Paused } else { error.kind }, ..error }
    }

    async fn send(
        &self,
        mut request: Request<RequestBody>,
        started: Timestamp,
        written: &AtomicBool,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let attempt = request.headers().get(headers::TARGET_ATTEMPT).cloned();
        for _ in 0..MAX_CONNECTION_TRIES {
            let mut connection = self
                .app
                .pool
                .acquire(self.address, self.reuse)
                .await
                .map_err(|_| ExchangeError::before_write(FailureKind::Connect))?;
            if self.is_outdated(started) {
                self.app.pool.release(connection);
                return Err(ExchangeError::before_write(FailureKind::Timeout));
            }
            written.store(true, Ordering::Relaxed);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.receive(response, attempt, connection).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::after_write(FailureKind::Broken)),
                },
            }
            written.store(false, Ordering::Relaxed);
        }
        Err(ExchangeError::before_write(FailureKind::Connect))
    }

    /// Returns whether the decision to send is too old to be executed: the deadline has passed, or
    /// the process was paused after the decision.
    fn is_outdated(&self, started: Timestamp) -> bool {
        let now = self.app.context.clock.now();
        now >= self.deadline || now - started > CONNECT_TIMEOUT + MIN_PAUSE
    }

    async fn receive(
        &self,
        response: Response<Incoming>,
        attempt: Option<HeaderValue>,
        mut connection: Connection,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let (head, body) = response.into_parts();
        let named = head.headers.get(headers::TARGET_ATTEMPT);
        let is_own = attempt.is_none_or(|attempt| connection.is_response_to(&attempt, named));
        if !is_own || !is_framed(&head, &body) || !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(ExchangeError::after_write(FailureKind::Broken));
        }
        if body.size_hint().exact().is_none_or(|n| n > MAX_BUFFERED_BYTES) {
            return Ok(UpstreamResponse { head, body: ResponseBody::Streaming(body, connection) });
        }
        let bytes = body
            .collect()
            .await
            .map_err(|_| ExchangeError::after_write(FailureKind::Broken))?
            .to_bytes();
        self.app.pool.release(connection);
        Ok(UpstreamResponse { head, body: ResponseBody::Buffered(bytes) })
    }
}

/// Returns whether the end of the body can be distinguished from a connection that closed early.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some()
        || body.is_end_stream()
        || head.headers.contains_key(TRANSFER_ENCODING)
        || head.version == Version::HTTP_2
}

/// Builds the request to `address` for a call, or returns `None` if the body of the call has
/// already been sent and was not buffered.
pub(super) fn request_from<const N: usize>(
    inbound: &Inbound,
    address: SocketAddr,
    extra_headers: [(HeaderName, HeaderValue); N],
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(inbound.body.request_body()?);
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.path.clone().into();
    let header_map = request.headers_mut();
    header_map.clone_from(&inbound.headers);
    remove_hop_headers(header_map);
    header_map.remove(headers::TARGET_ATTEMPT);
    header_map.remove(HOST);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        header_map.insert(HOST, host);
    }
    for (name, value) in extra_headers {
        header_map.insert(name, value);
    }
    Some(request)
}

/// Removes hop-by-hop header fields, and those that depend on the framing of the body.
pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
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
        headers.remove(name);
    }
}
