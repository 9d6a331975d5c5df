//! A call as it came in.

use super::body::{BodyError, Joined, Part, Payload, read};
use crate::{
    adapter::{CallAdapter, CallFailure, CallHeaders, PlatformAdapter, TargetRequest},
    gateway::Gateway,
};
use azuretally_policy::{
    Timestamp,
    balance::{Call, Route},
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Method, Request, Uri,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};
use http_body::Body;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use std::{cell::RefCell, net::IpAddr, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Bodies up to this size are kept for a second try.
const KEPT_BYTES: usize = 256 * 1_024;
/// Time after which a caller may come back to a gateway that does not know any routes yet.
const NO_ROUTES: Duration = Duration::from_millis(300);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Body of a call.
#[derive(Debug)]
pub(super) enum Content {
    /// At hand for every try.
    Kept(Bytes),
    /// Can be sent once.
    Once(RefCell<Option<Joined>>),
}

/// A call as it came in.
#[derive(Debug)]
pub(super) struct Inbound {
    /// Number by which the balancer knows it.
    pub(super) number: u64,
    /// What its head says.
    pub(super) head: CallHeaders,
    /// Where it came from.
    pub(super) caller: IpAddr,
    /// Route that it took.
    pub(super) route: Arc<Route>,
    /// Service that takes it.
    pub(super) service: Arc<str>,
    /// Version of the settings under which it is served.
    pub(super) version: u64,
    /// When it arrived.
    pub(super) arrival: Timestamp,
    /// Until when an answer is of use.
    pub(super) deadline: Timestamp,
    method: Method,
    uri: Uri,
    fields: HeaderMap,
    content: Content,
}

/// A call that was not taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rejected {
    /// What its head says.
    pub(super) head: CallHeaders,
    /// Why.
    pub(super) failing: CallFailure,
}

impl Inbound {
    /// Reads a call and finds its route.
    ///
    /// # Errors
    ///
    /// [`Rejected`] when it cannot be served. Nothing of it was run.
    pub(super) async fn read<Adapter>(
        gateway: &Gateway<Adapter>,
        caller: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Self, Rejected>
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        let arrival = gateway.clock.now();
        let (parts, body) = request.into_parts();
        let head = gateway.adapter.parse_call(&parts);
        let reject = |failing| Rejected { head: head.clone(), failing };
        let table = gateway.routes().ok_or_else(|| reject(CallFailure::NotRun(NO_ROUTES)))?;
        let host =
            host_of(&parts.headers, &parts.uri).ok_or_else(|| reject(CallFailure::Malformed))?;
        let route = table.find(&host, parts.uri.path());
        let route = Arc::clone(route.ok_or_else(|| reject(CallFailure::NoRoute))?);
        let patience = head.timeout.map_or(route.timeout, |t| t.min(route.timeout));
        let limit = table.published().limits.body_bytes;
        if body.size_hint().lower() > limit {
            return Err(reject(CallFailure::TooLarge));
        }
        let part = timeout(patience, read(body, KEPT_BYTES)).await;
        let part = part.map_err(|_| reject(CallFailure::SlowBody))?;
        let content = match part.map_err(|e| reject(failing_of(e)))? {
            Part::Whole(bytes) => Content::Kept(bytes),
            Part::Begun(first, rest) => {
                Content::Once(RefCell::new(Some(Joined::new(first, rest, limit, None))))
            }
        };
        let mut fields = parts.headers;
        strip(&mut fields);
        Ok(Self {
            number: gateway.next_call_id(),
            service: gateway.traffic_split.borrow_mut().next_service(&route),
            version: table.published().version,
            caller,
            arrival,
            deadline: arrival + patience,
            method: parts.method,
            uri: parts.uri,
            fields,
            content,
            route,
            head,
        })
    }

    /// The call as the balancer sees it.
    pub(super) fn call(&self) -> Call {
        Call {
            id: self.number,
            route: Arc::clone(&self.route),
            service: Arc::clone(&self.service),
            objective: self.arrival + self.route.objective,
            deadline: self.deadline,
            caller: self.caller,
            replayable: matches!(self.content, Content::Kept(_)),
        }
    }

    /// The caller's number of the call, for the log.
    pub(super) fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// A request to a target, or nothing when the body was used up.
    pub(super) fn request<Adapter>(
        &self,
        adapter: &Adapter,
        outbound: &TargetRequest,
    ) -> Option<Request<Payload>>
    where
        Adapter: CallAdapter,
    {
        let payload = match &self.content {
            Content::Kept(bytes) => Either::Left(Full::new(bytes.clone())),
            Content::Once(body) => Either::Right(body.borrow_mut().take()?),
        };
        let mut request = Request::new(payload);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
        let fields = request.headers_mut();
        fields.clone_from(&self.fields);
        adapter.set_target_headers(fields, outbound);
        Some(request)
    }
}

fn failing_of(e: BodyError) -> CallFailure {
    match e {
        BodyError::TooLarge => CallFailure::TooLarge,
        BodyError::CutShort => CallFailure::Malformed,
    }
}

/// Host that the caller asks for, in lower case and without a port.
fn host_of(fields: &HeaderMap, uri: &Uri) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => fields.get(HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Removes fields that concern one connection alone, those that `Connection` names included.
pub(super) fn strip(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
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
    for name in fixed.into_iter().chain(named) {
        fields.remove(name);
    }
}
