//! Reading calls from callers and building requests to targets.

use super::{
    body::{
        BodyError, BodySource, BufferLimits, BufferedBody, PrefixedBody, RequestBody, buffer_body,
    },
    connection::Origin,
};
use crate::{
    adapter::{CallAdapter, CallFailure, CallHeaders, PlatformAdapter, TargetRequest},
    budget::Holding,
    control::codec::MessageKind,
    gateway::Gateway,
};
use azuretally_api::headers::RELAYED;
use azuretally_policy::{
    Timestamp,
    balance::{Call, CallDigest, CallDigests, DigestParts, LookupError, Route},
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    request,
    uri::PathAndQuery,
};
use http_body::Body;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use std::{
    cell::{Cell, RefCell},
    fmt::{self, Display, Formatter},
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::time::timeout;

/// Bodies up to this size are buffered, so that another attempt can send them again.
const MAX_REPLAY_BYTES: usize = 256 * 1_024;
/// Bytes of a longer body with a known length by which its call is recognized when it comes again.
const MAX_DIGEST_BYTES: usize = 16 * 1_024;
const BODY_LIMITS: BufferLimits =
    BufferLimits { complete: MAX_REPLAY_BYTES, partial: MAX_DIGEST_BYTES };
/// Time in which the body of a response must end if the caller names no time limit.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Time after which a caller may retry while the gateway does not know any routes yet.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a caller may retry while its route cannot be used: until the settings are corrected.
const UNUSABLE_ROUTE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may retry elsewhere if the gateway stops before it has read the call.
const STOPPED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which a caller may retry if there was no room for its call.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Body of a call.
#[derive(Debug)]
pub(super) enum CallBody {
    /// Buffered completely, available to every attempt.
    Buffered(Bytes),
    /// Streamed from the caller, so that only one attempt can send it.
    Streaming(RefCell<Option<PrefixedBody>>),
}

/// A call that has been read and matched to a route.
#[derive(Debug)]
pub(super) struct InboundCall {
    /// Id of the call within this process.
    pub(super) id: u64,
    /// Values that the adapter read from the headers.
    pub(super) call_headers: CallHeaders,
    /// Address of the caller.
    pub(super) caller: IpAddr,
    /// Number of the connection on which the call came.
    pub(super) connection: u64,
    /// Whether another gateway relayed the call.
    pub(super) is_relayed: bool,
    /// Route that matched the call.
    pub(super) route: Arc<Route>,
    /// Service that the call is sent to.
    pub(super) service: Arc<str>,
    /// Version of the published settings when the call arrived.
    pub(super) version: u64,
    /// When the call arrived.
    pub(super) arrived_at: Timestamp,
    /// Time by which the caller must have a response.
    pub(super) deadline: Timestamp,
    /// Hashes by which it is recognized when it comes again.
    pub(super) digests: CallDigests,
    /// What the process holds for the caller's connection.
    pub(super) holding: Rc<Holding>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: CallBody,
}

/// A call that was rejected on arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RejectedCall {
    /// Values that the adapter read from the headers.
    pub(super) call_headers: CallHeaders,
    /// Reason for the rejection.
    pub(super) failure: CallFailure,
}

impl InboundCall {
    /// Reads a call and matches it to a route.
    ///
    /// # Errors
    ///
    /// Returns [`RejectedCall`] if the call cannot be served. No target has executed it.
    pub(super) async fn read<Adapter>(
        gateway: &Gateway<Adapter>,
        origin: Origin,
        holding: Rc<Holding>,
        request: Request<Incoming>,
    ) -> Result<Self, RejectedCall>
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        // The call has waited to be read while the event loop was late.
        let arrived_at = gateway.clock.now() - gateway.reading_delay();
        let (mut parts, body) = request.into_parts();
        let relayed = Relayed::take(gateway, &mut parts.headers, origin.caller);
        let call_headers = gateway.adapter.parse_call(&parts);
        let reject = |failure| RejectedCall { call_headers: call_headers.clone(), failure };
        let min_version = relayed.as_ref().map_or(0, |relayed| relayed.version);
        let table = gateway.routes_from(min_version).await;
        let table = table.ok_or_else(|| reject(CallFailure::NotRun(NO_ROUTES_RETRY_AFTER)))?;
        let host = requested_host(&parts.headers, &parts.uri)
            .ok_or_else(|| reject(CallFailure::Malformed))?;
        let route = table.find(&host, parts.uri.path()).map_err(|e| reject(lookup_failure(e)))?;
        let mut route = Arc::clone(route);
        if let Some(relayed) = &relayed {
            let attempts = relayed.attempts.min(route.attempts);
            route = Arc::new(Route { attempts, ..route.as_ref().clone() });
        }
        let time_limit = call_headers.timeout.map_or(route.timeout, |t| t.min(route.timeout));
        let limit = table.published().limits.body_bytes;
        if body.size_hint().lower() > limit {
            return Err(reject(CallFailure::TooLarge));
        }
        if !holding.has_room_for_head() {
            return Err(reject(CallFailure::NotRun(NO_ROOM_RETRY_AFTER)));
        }
        let buffered = tokio::select! {
            buffered = timeout(
                time_limit,
                buffer_body(body, BODY_LIMITS, BodySource::Caller(&holding)),
            ) => buffered,
            () = gateway.serving_ended() => {
                return Err(reject(CallFailure::NotRun(STOPPED_RETRY_AFTER)));
            }
        };
        let buffered = buffered.map_err(|_| reject(CallFailure::SlowBody))?;
        let buffered = buffered.map_err(|e| reject(body_failure(e)))?;
        let digests = digests(&parts, &host, &buffered);
        let body = match buffered {
            BufferedBody::Complete(bytes) => CallBody::Buffered(bytes),
            BufferedBody::Partial(first, rest) => {
                CallBody::Streaming(RefCell::new(Some(PrefixedBody::of_call(first, rest, limit))))
            }
        };
        if !gateway.is_reading() {
            return Err(reject(CallFailure::NotRun(STOPPED_RETRY_AFTER)));
        }
        holding.begin_serving();
        let mut headers = parts.headers;
        strip_hop_by_hop_headers(&mut headers);
        Ok(Self {
            id: gateway.next_call_id(),
            service: gateway.split.borrow_mut().next_service(&route),
            version: table.published().version,
            caller: relayed.as_ref().map_or(origin.caller, |relayed| relayed.caller),
            connection: origin.connection,
            is_relayed: relayed.is_some(),
            arrived_at,
            deadline: arrived_at + time_limit,
            digests,
            holding,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            route,
            call_headers,
        })
    }

    /// Returns until when a response may be forwarded: the caller's own time limit, which may be later
    /// than that of the route, or a fixed time.
    pub(super) fn body_deadline(&self) -> Timestamp {
        self.arrived_at + self.call_headers.timeout.unwrap_or(MAX_BODY_TIME)
    }

    /// Returns the call in the form that the balancer takes.
    pub(super) fn balancer_call(&self) -> Call {
        Call {
            id: self.id,
            route: Arc::clone(&self.route),
            service: Arc::clone(&self.service),
            objective: self.arrived_at + self.route.objective,
            deadline: self.deadline,
            caller: self.caller,
            replayable: self.is_buffered(),
            relayed: self.is_relayed,
            digests: self.digests,
        }
    }

    /// Returns whether the body has been read completely.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self.body, CallBody::Buffered(_))
    }

    /// Returns a flag that is set once the end of the body has been read, or `None` if the body is
    /// buffered.
    pub(super) fn body_complete_flag(&self) -> Option<Rc<Cell<bool>>> {
        match &self.body {
            CallBody::Buffered(_) => None,
            CallBody::Streaming(body) => body.borrow().as_ref().map(PrefixedBody::complete_flag),
        }
    }

    /// Returns the caller's id of the call for log lines, `-` if there is none.
    pub(super) fn log_id(&self) -> &str {
        self.call_headers.id.as_deref().unwrap_or("-")
    }

    /// Builds a request to a target. Returns `None` if a streamed body has been sent already.
    pub(super) fn build_request<Adapter>(
        &self,
        adapter: &Adapter,
        target_request: &TargetRequest,
    ) -> Option<Request<RequestBody>>
    where
        Adapter: CallAdapter,
    {
        let mut request = self.copy_request()?;
        adapter.set_target_headers(request.headers_mut(), target_request);
        Some(request)
    }

    /// Builds a request to another gateway, which may make `attempts` attempts within `timeout`.
    /// Returns `None` if a streamed body has been sent already.
    pub(super) fn build_relay_request<Adapter>(
        &self,
        adapter: &Adapter,
        attempts: u32,
        timeout: Duration,
    ) -> Option<Request<RequestBody>>
    where
        Adapter: CallAdapter,
    {
        let relayed = Relayed { attempts, version: self.version, caller: self.caller };
        let mut request = self.copy_request()?;
        let headers = request.headers_mut();
        headers.insert(RELAYED, HeaderValue::from_str(&relayed.to_string()).ok()?);
        adapter.set_caller_timeout(headers, timeout);
        Some(request)
    }

    fn copy_request(&self) -> Option<Request<RequestBody>> {
        let body = match &self.body {
            CallBody::Buffered(bytes) => Either::Left(Full::new(bytes.clone())),
            CallBody::Streaming(body) => Either::Right(body.borrow_mut().take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
        request.headers_mut().clone_from(&self.headers);
        Some(request)
    }
}

/// What a gateway says of a call that it relays.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Relayed {
    /// Attempts that are left.
    attempts: u32,
    /// Version of the settings that the gateway uses.
    version: u64,
    caller: IpAddr,
}

impl Relayed {
    /// Takes the field out of the headers of a call from `from`. Returns `None` if it is missing.
    ///
    /// A call whose field cannot be read completely is a relayed one, too. It gets one attempt, under any
    /// settings, unless the field tells more.
    fn take<Adapter>(
        gateway: &Gateway<Adapter>,
        headers: &mut HeaderMap,
        from: IpAddr,
    ) -> Option<Self>
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        let value = headers.remove(RELAYED)?;
        let mut fields = value.to_str().unwrap_or_default().split(',');
        let attempts = fields.next().and_then(|text| text.parse().ok());
        let version = fields.next().and_then(|text| text.parse().ok());
        let caller = fields.next().and_then(|text| text.parse().ok());
        if attempts.is_none() || version.is_none() || caller.is_none() {
            gateway.record_unreadable_message(MessageKind::Relay, from);
        }
        Some(Self {
            attempts: attempts.unwrap_or(1),
            version: version.unwrap_or(0),
            caller: caller.unwrap_or(from),
        })
    }
}

impl Display for Relayed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.attempts, self.version, self.caller)
    }
}

/// Returns the digests of a call. Of a body that is streamed, only the beginning counts.
fn digests(head: &request::Parts, host: &str, body: &BufferedBody) -> CallDigests {
    let (bytes, rest) = match body {
        BufferedBody::Complete(bytes) => (bytes, Some(0)),
        BufferedBody::Partial(first, rest) => (first, rest.size_hint().exact()),
    };
    let body_length = rest.map(|rest| bytes.len() as u64 + rest);
    // Where the buffered part ends depends on how the body arrived.
    let is_large = body_length.is_some_and(|length| length > MAX_REPLAY_BYTES as u64);
    let limit = if is_large { MAX_DIGEST_BYTES } else { MAX_REPLAY_BYTES };
    let bytes = &bytes[..bytes.len().min(limit)];
    let content = CallDigest::new(&DigestParts {
        method: head.method.as_str(),
        host,
        path: head.uri.path_and_query().map_or("", PathAndQuery::as_str),
        authorization: head.headers.get(AUTHORIZATION).map_or(&[], HeaderValue::as_bytes),
        body: bytes,
        body_length,
    });
    let cookies = head.headers.get_all(COOKIE);
    CallDigests::new(content, cookies.iter().map(HeaderValue::as_bytes))
}

fn lookup_failure(e: LookupError) -> CallFailure {
    match e {
        LookupError::NoRoute => CallFailure::NoRoute,
        LookupError::Unusable => CallFailure::NotRun(UNUSABLE_ROUTE_RETRY_AFTER),
    }
}

fn body_failure(e: BodyError) -> CallFailure {
    match e {
        BodyError::TooLarge => CallFailure::TooLarge,
        BodyError::Truncated => CallFailure::Malformed,
        BodyError::NoRoom => CallFailure::NotRun(NO_ROOM_RETRY_AFTER),
    }
}

/// Returns the requested host in lower case and without a port.
fn requested_host(headers: &HeaderMap, uri: &Uri) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names. Also removes
/// `Content-Length` and `Expect`, which hyper handles for each connection.
pub(super) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let standard = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    for name in standard.into_iter().chain(named) {
        headers.remove(name);
    }
}
