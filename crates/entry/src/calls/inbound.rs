//! Reads the requests of callers.

use super::{
    body::{RequestBody, TrackedBody},
    limits::{
        BODY_TIMEOUT, MAX_BODY_BYTES, MAX_BODY_TIME, MAX_BUFFERED_BYTES, MAX_DISCARDED_BYTES,
        MAX_NAME_BYTES,
    },
    router::{Route, RouteError, Router},
    service::CallConfig,
};
use crate::context::Context;
use azuretally_api::headers;
use azuretally_policy::{
    Timestamp,
    idempotency::{IdempotencyKey, KeyError},
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, request::Parts, uri::PathAndQuery};
use http_body::Body;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

/// Stored reply to a call with an idempotency key, replayed to later calls with the same key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredReply {
    /// Status code of the reply.
    pub(super) status: StatusCode,
    /// Header fields of the reply.
    pub(super) headers: HeaderMap,
    /// Complete body of the reply.
    pub(super) body: Bytes,
}

/// Reason to reject a request before any part of it is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InboundError {
    /// No operation matches the method and path.
    Route(RouteError),
    /// A header field is malformed. Holds the reason sent in the reply.
    Header(&'static str),
    /// The operation is not idempotent and the request has no idempotency key.
    KeyMissing,
    /// The idempotency key is invalid.
    Key(KeyError),
    /// The declared length of the body exceeds [`MAX_BODY_BYTES`].
    TooLarge,
    /// The body did not arrive in time or is incomplete.
    Body,
}

impl InboundError {
    /// Returns the status code of the reply.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::Route(RouteError::Method) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Route(_) => StatusCode::NOT_FOUND,
            Self::Header(_) | Self::KeyMissing | Self::Key(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the reason sent in the reply.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Route(e) => e.as_str(),
            Self::Header(name) => name,
            Self::KeyMissing => "key-needed",
            Self::Key(e) => e.as_str(),
            Self::TooLarge => "body-too-large",
            Self::Body => "body-incomplete",
        }
    }
}

/// Body of a call.
#[derive(Debug)]
pub(super) enum CallBody {
    /// A complete body, which can be sent more than once.
    Buffered(Bytes),
    /// A body that is still being received and can be sent once.
    Streaming(StreamingBody),
}

/// Body of a call that is still being received.
#[derive(Debug)]
pub(super) struct StreamingBody {
    unsent: Mutex<Option<Incoming>>,
    is_complete: Arc<AtomicBool>,
}

impl CallBody {
    /// Returns the body for one attempt, or `None` if it was not buffered and has been sent.
    pub(super) fn request_body(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            Self::Streaming(StreamingBody { unsent, is_complete }) => {
                let body = TrackedBody::new(unsent.lock().take()?, Arc::clone(is_complete));
                Some(Either::Right(Limited::new(body, MAX_BODY_BYTES as usize)))
            }
        }
    }

    /// Returns whether all of the body has been read.
    pub(super) fn is_complete(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(body) => body.is_complete.load(Ordering::Relaxed),
        }
    }
}

/// A call received from a caller or a peer.
#[derive(Debug)]
pub(super) struct Inbound {
    /// Route to the operation.
    pub(super) route: Route,
    /// Configuration under which the call was accepted.
    pub(super) config: CallConfig,
    /// Name of the caller, or its IP address.
    pub(super) caller: Arc<str>,
    /// Time of arrival.
    pub(super) arrival: Timestamp,
    /// Time after which the caller no longer needs the reply.
    pub(super) deadline: Timestamp,
    /// Time by which the body of the response must end: the caller's own time limit, which may be later
    /// than that of the class, or [`MAX_BODY_TIME`].
    pub(super) body_deadline: Timestamp,
    /// Idempotency key. Present if and only if the operation is not idempotent.
    pub(super) key: Option<IdempotencyKey>,
    /// Whether another entry relayed the call.
    pub(super) relayed: bool,
    /// HTTP method.
    pub(super) method: Method,
    /// Path and query of the request.
    pub(super) path: PathAndQuery,
    /// Header fields of the request.
    pub(super) headers: HeaderMap,
    /// Body of the request.
    pub(super) body: CallBody,
}

impl Inbound {
    /// Reads and validates a request.
    ///
    /// # Errors
    ///
    /// Returns [`InboundError`] if the request is rejected.
    pub(super) async fn read(
        context: &Context,
        router: &Router,
        client_ip: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Self, InboundError> {
        let arrival = context.clock.now();
        let (parts, body) = request.into_parts();
        let route =
            router.find(&parts.method, parts.uri.path()).map_err(InboundError::Route)?.clone();
        let config = route
            .service
            .call_config(&route.operation)
            .ok_or(InboundError::Route(RouteError::NoOperation))?;
        let operation = &config.service.operations[config.operation];
        let key = match operation.idempotent {
            true => None,
            false => Some(read_key(&parts.headers, &context.peer_key)?),
        };
        let limit = config.service.classes[operation.class].timeout;
        let timeout = read_timeout(&parts.headers)?;
        let deadline = arrival + timeout.map_or(limit, |t| t.min(limit));
        let body_deadline = arrival + timeout.unwrap_or(MAX_BODY_TIME);
        let caller = read_caller(&parts.headers, client_ip)?;
        let relayed = parts.headers.contains_key(headers::HOPS);
        let body = read_body(body).await?;
        let Parts { method, uri, headers, .. } = parts;
        let path = uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        Ok(Self {
            route,
            config,
            caller,
            arrival,
            deadline,
            body_deadline,
            key,
            relayed,
            method,
            path,
            headers,
            body,
        })
    }

    /// Returns whether the call may be executed more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.key.is_none()
    }

    /// Returns whether the body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        matches!(self.body, CallBody::Buffered(_))
    }

    /// Returns a hash that detects different requests with the same idempotency key. It covers the
    /// body only if that was buffered.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(b" ");
        hash.update(self.path.as_str().as_bytes());
        hash.update(b"\n");
        if let CallBody::Buffered(bytes) = &self.body {
            hash.update(bytes);
        }
        hash.digest()
    }
}

/// Reads the idempotency key of a request.
///
/// # Errors
///
/// Returns [`InboundError`] if the key is missing or invalid.
pub(super) fn read_key(
    header_map: &HeaderMap,
    peer_key: &[u8],
) -> Result<IdempotencyKey, InboundError> {
    let value = header_map.get(headers::IDEMPOTENCY_KEY).ok_or(InboundError::KeyMissing)?;
    let text = value.to_str().map_err(|_| InboundError::Header("bad-key"))?;
    if text.len() > MAX_NAME_BYTES {
        return Err(InboundError::Header("key-too-long"));
    }
    IdempotencyKey::parse(text, peer_key).map_err(InboundError::Key)
}

fn read_timeout(header_map: &HeaderMap) -> Result<Option<Duration>, InboundError> {
    let Some(value) = header_map.get(headers::TIMEOUT_MS) else { return Ok(None) };
    let ms = value.to_str().ok().and_then(|t| t.parse().ok());
    ms.map(|ms| Some(Duration::from_millis(ms))).ok_or(InboundError::Header("bad-timeout"))
}

fn read_caller(header_map: &HeaderMap, ip: IpAddr) -> Result<Arc<str>, InboundError> {
    let Some(value) = header_map.get(headers::CALLER) else { return Ok(ip.to_string().into()) };
    match value.to_str() {
        Ok(name) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => Ok(Arc::from(name)),
        _ => Err(InboundError::Header("bad-caller")),
    }
}

async fn read_body(body: Incoming) -> Result<CallBody, InboundError> {
    match body.size_hint().exact() {
        Some(0) => Ok(CallBody::Buffered(Bytes::new())),
        Some(n) if n > MAX_BODY_BYTES => {
            discard(body).await;
            Err(InboundError::TooLarge)
        }
        Some(n) if n <= MAX_BUFFERED_BYTES => match timeout(BODY_TIMEOUT, body.collect()).await {
            Ok(Ok(collected)) => Ok(CallBody::Buffered(collected.to_bytes())),
            _ => Err(InboundError::Body),
        },
        _ => Ok(CallBody::Streaming(StreamingBody {
            unsent: Mutex::new(Some(body)),
            is_complete: Arc::default(),
        })),
    }
}

/// Reads and discards part of a rejected body: a caller that is still sending would not receive a
/// reply if the connection were closed with unread data.
async fn discard(mut body: Incoming) {
    let mut remaining = MAX_DISCARDED_BYTES;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let read = frame.data_ref().map_or(0, Bytes::len);
            remaining = remaining.saturating_sub(read);
            if remaining == 0 {
                return;
            }
        }
    };
    // The request is rejected whether or not the whole body arrived.
    let _ = timeout(BODY_TIMEOUT, reading).await;
}
