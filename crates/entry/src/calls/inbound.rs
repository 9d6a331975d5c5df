//! A call as it came in.

use super::{
    body::Payload,
    limits::{BODY_BYTES, BODY_TIMEOUT, DISCARDED_BYTES, KEPT_BYTES, NAME_BYTES},
    router::{Route, RouteError, Router},
    service::Admitted,
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
use std::{net::IpAddr, sync::Arc, time::Duration};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

/// What is kept of an answer to a call with a key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KeptReply {
    /// Status of the answer.
    pub(super) status: StatusCode,
    /// Header fields of the answer.
    pub(super) headers: HeaderMap,
    /// The whole body.
    pub(super) body: Bytes,
}

/// Why a request was not taken in. Nothing of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InboundError {
    /// No operation matches.
    Route(RouteError),
    /// A header field is not of its form.
    Header(&'static str),
    /// The operation is not idempotent and no key was sent.
    KeyNeeded,
    /// The key is not acceptable.
    Key(KeyError),
    /// The body is too large.
    TooLarge,
    /// The body did not come in time or was broken off.
    Body,
}

impl InboundError {
    /// Status of the answer.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::Route(RouteError::Method) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Route(_) => StatusCode::NOT_FOUND,
            Self::Header(_) | Self::KeyNeeded | Self::Key(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Name on the wire.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Route(e) => e.as_str(),
            Self::Header(name) => name,
            Self::KeyNeeded => "key-needed",
            Self::Key(e) => e.as_str(),
            Self::TooLarge => "body-too-large",
            Self::Body => "body-incomplete",
        }
    }
}

/// Body of a call.
#[derive(Debug)]
pub(super) enum Content {
    /// Small enough to be kept for a second try.
    Kept(Bytes),
    /// Can be sent once.
    Stream(Mutex<Option<Incoming>>),
}

impl Content {
    /// The body for one attempt, nothing when a stream was used up.
    pub(super) fn payload(&self) -> Option<Payload> {
        match self {
            Self::Kept(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            Self::Stream(stream) => {
                stream.lock().take().map(|s| Either::Right(Limited::new(s, BODY_BYTES as usize)))
            }
        }
    }
}

/// A call as it came in.
#[derive(Debug)]
pub(super) struct Inbound {
    /// Operation that it reached.
    pub(super) route: Route,
    /// Plan under which it was taken in.
    pub(super) admitted: Admitted,
    /// Who calls.
    pub(super) caller: Arc<str>,
    /// When it arrived.
    pub(super) arrival: Timestamp,
    /// After this the answer is of no use.
    pub(super) deadline: Timestamp,
    /// Key, whenever one was sent with an operation that is not idempotent.
    pub(super) key: Option<IdempotencyKey>,
    /// Whether another entry relayed it here.
    pub(super) relayed: bool,
    /// Method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: PathAndQuery,
    /// Header fields.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) content: Content,
}

impl Inbound {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// [`InboundError`] when it cannot be taken in.
    pub(super) async fn read(
        context: &Context,
        router: &Router,
        from: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Self, InboundError> {
        let arrival = context.clock.now();
        let (parts, body) = request.into_parts();
        let route =
            router.find(&parts.method, parts.uri.path()).map_err(InboundError::Route)?.clone();
        let admitted = route
            .service
            .admit(&route.operation)
            .ok_or(InboundError::Route(RouteError::NoOperation))?;
        let operation = &admitted.plan.operations[admitted.operation];
        let key = match operation.idempotent {
            true => None,
            false => Some(read_key(&parts.headers, &context.peer_key)?),
        };
        let limit = admitted.plan.classes[operation.class].timeout;
        let deadline = arrival + read_timeout(&parts.headers)?.map_or(limit, |t| t.min(limit));
        let caller = read_caller(&parts.headers, from)?;
        let relayed = parts.headers.contains_key(headers::HOPS);
        let content = read_content(body).await?;
        let Parts { method, uri, headers, .. } = parts;
        let path = uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        Ok(Self {
            route,
            admitted,
            caller,
            arrival,
            deadline,
            key,
            relayed,
            method,
            path,
            headers,
            content,
        })
    }

    /// Whether the call may run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.key.is_none()
    }

    /// Whether the body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        matches!(self.content, Content::Kept(_))
    }

    /// Identifies the request among those with the same key.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(b" ");
        hash.update(self.path.as_str().as_bytes());
        hash.update(b"\n");
        if let Content::Kept(bytes) = &self.content {
            hash.update(bytes);
        }
        hash.digest()
    }
}

/// Reads the idempotency key of a request.
///
/// # Errors
///
/// [`InboundError`] when there is none or it is not acceptable.
pub(super) fn read_key(
    fields: &HeaderMap,
    peer_key: &[u8],
) -> Result<IdempotencyKey, InboundError> {
    let value = fields.get(headers::IDEMPOTENCY_KEY).ok_or(InboundError::KeyNeeded)?;
    let text = value.to_str().map_err(|_| InboundError::Header("bad-key"))?;
    if text.len() > NAME_BYTES {
        return Err(InboundError::Header("key-too-long"));
    }
    IdempotencyKey::parse(text, peer_key).map_err(InboundError::Key)
}

fn read_timeout(fields: &HeaderMap) -> Result<Option<Duration>, InboundError> {
    let Some(value) = fields.get(headers::TIMEOUT_MS) else { return Ok(None) };
    let ms = value.to_str().ok().and_then(|t| t.parse().ok());
    ms.map(|ms| Some(Duration::from_millis(ms))).ok_or(InboundError::Header("bad-timeout"))
}

fn read_caller(fields: &HeaderMap, from: IpAddr) -> Result<Arc<str>, InboundError> {
    let Some(value) = fields.get(headers::CALLER) else { return Ok(from.to_string().into()) };
    match value.to_str() {
        Ok(name) if !name.is_empty() && name.len() <= NAME_BYTES => Ok(Arc::from(name)),
        _ => Err(InboundError::Header("bad-caller")),
    }
}

async fn read_content(body: Incoming) -> Result<Content, InboundError> {
    match body.size_hint().exact() {
        Some(0) => Ok(Content::Kept(Bytes::new())),
        Some(n) if n > BODY_BYTES => {
            discard(body).await;
            Err(InboundError::TooLarge)
        }
        Some(n) if n <= KEPT_BYTES => match timeout(BODY_TIMEOUT, body.collect()).await {
            Ok(Ok(whole)) => Ok(Content::Kept(whole.to_bytes())),
            _ => Err(InboundError::Body),
        },
        _ => Ok(Content::Stream(Mutex::new(Some(body)))),
    }
}

/// Reads a refused body for a while, since an answer on a connection with unread data is lost to
/// a caller that is still sending.
async fn discard(mut body: Incoming) {
    let mut left = DISCARDED_BYTES;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let read = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(read);
            if left == 0 {
                return;
            }
        }
    };
    // Whether all of it came makes no difference to the refusal.
    let _ = timeout(BODY_TIMEOUT, reading).await;
}
