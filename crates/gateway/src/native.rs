//! Adapter for the project's own protocol, used where there is no other platform to adapt to.
//!
//! Calls carry the headers of `azuretally_api::headers`. The platform publishes JSON: everything at
//! [`LIST_PATH`], and the changes after a revision at [`CHANGES_PATH`].

mod published;

use crate::{
    adapter::{
        CallAdapter, CallFailure, CallHeaders, DirectionsQuery, EraField, PlatformAdapter,
        PlatformUpdate, ProbeResponse, ReadError, ResponseKind, TargetNotice, TargetRequest,
        TargetResponse, era_field, header_text, json_directions, limit_field, load_report,
        rest_field,
    },
    settings::Settings,
};
use azuretally_api::headers;
use azuretally_policy::balance::{Change, Directions};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header::RETRY_AFTER, request,
    response,
};
use published::RawChanges;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Platform path of the full list of settings and targets.
pub const LIST_PATH: &str = "/v1/published";
/// Platform path of the changes after a revision, requested with `?after=REV&wait_ms=N`.
///
/// The platform responds with 410 if it has discarded these changes.
pub const CHANGES_PATH: &str = "/v1/changes";
/// Path at which callers request directions, that is, the addresses of gateways to use, optionally
/// with `?failure_domain=NAME`.
pub const DIRECTIONS_PATH: &str = "/v1/directions";
/// Path that returns 200 while the gateway is ready.
pub const READINESS_PATH: &str = "/v1/ready";

/// Response body of the platform at [`LIST_PATH`] and [`CHANGES_PATH`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedChanges {
    /// Platform revision up to which the changes are complete.
    pub revision: u64,
    /// Changes of the published settings and of targets.
    pub changes: Vec<Change>,
}

/// Response body at [`DIRECTIONS_PATH`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayAddresses {
    /// Addresses at which gateways accept calls.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the addresses may be used, in ms.
    pub ttl_ms: u64,
}

/// Adapter for the project's own protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeAdapter;

impl CallAdapter for NativeAdapter {
    fn configure(&self, _settings: &mut Settings) {}

    fn parse_call(&self, head: &request::Parts) -> CallHeaders {
        let timeout = header_text(&head.headers, headers::TIMEOUT_MS).and_then(|t| t.parse().ok());
        CallHeaders {
            id: header_text(&head.headers, headers::CALL).map(Arc::from),
            timeout: timeout.map(Duration::from_millis),
        }
    }

    fn set_target_headers(&self, fields: &mut HeaderMap, request: &TargetRequest) {
        let ms = u64::try_from(request.timeout.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::TARGET_TIMEOUT_MS, HeaderValue::from(ms));
        match HeaderValue::from_str(&request.target) {
            Ok(name) => fields.insert(headers::TARGET, name),
            Err(_) => fields.remove(headers::TARGET),
        };
    }

    fn set_caller_timeout(&self, fields: &mut HeaderMap, timeout: Duration) {
        let ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::TIMEOUT_MS, HeaderValue::from(ms));
    }

    fn parse_response(&self, head: &response::Parts, id: Option<&str>) -> TargetResponse {
        let report = header_text(&head.headers, headers::TARGET_LOAD).and_then(load_report);
        let kind = if header_text(&head.headers, headers::CALL) != id {
            ResponseKind::Unverified
        } else if head.status == StatusCode::MISDIRECTED_REQUEST {
            ResponseKind::Misdirected
        } else if head.headers.contains_key(headers::TARGET_REFUSED) {
            ResponseKind::Refused
        } else {
            ResponseKind::Executed
        };
        let limit = limit_field(&head.headers, headers::TARGET_LIMIT);
        TargetResponse { kind, report, limit }
    }

    fn parse_probe_response(&self, fields: &HeaderMap) -> ProbeResponse {
        ProbeResponse {
            target: header_text(fields, headers::TARGET).map(Arc::from),
            report: header_text(fields, headers::TARGET_LOAD).and_then(load_report),
            limit: limit_field(fields, headers::TARGET_LIMIT),
            warmup: None,
        }
    }

    fn names_call(&self, fields: &HeaderMap) -> bool {
        fields.get_all(headers::CALL).iter().any(|id| !id.is_empty())
    }

    fn parse_notice(&self, status: StatusCode, fields: &HeaderMap) -> TargetNotice {
        TargetNotice {
            rest: rest_field(status, fields),
            leaving: header_text(fields, headers::TARGET_LEAVING).is_some_and(|v| v.trim() == "1"),
        }
    }

    fn prepare_response_headers(&self, fields: &mut HeaderMap) {
        fields.remove(headers::TARGET_LOAD);
        fields.remove(headers::TARGET_LIMIT);
        fields.remove(headers::TARGET_LEAVING);
        fields.insert(headers::OUTCOME, HeaderValue::from_static(headers::ANSWERED));
    }

    fn failure_response(&self, failure: CallFailure, id: Option<&str>) -> Response<Bytes> {
        let (status, outcome) = match failure {
            CallFailure::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, headers::NOT_RUN),
            CallFailure::Broken => (StatusCode::BAD_GATEWAY, headers::UNKNOWN),
            CallFailure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, headers::UNKNOWN),
            CallFailure::NoRoute => (StatusCode::NOT_FOUND, headers::NOT_RUN),
            CallFailure::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, headers::NOT_RUN),
            CallFailure::SlowBody => (StatusCode::REQUEST_TIMEOUT, headers::NOT_RUN),
            CallFailure::Malformed => (StatusCode::BAD_REQUEST, headers::NOT_RUN),
        };
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let fields = response.headers_mut();
        fields.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
        fields.insert(headers::REASON, HeaderValue::from_static(failure.as_str()));
        if let CallFailure::NotRun(after) = failure {
            let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            fields.insert(headers::RETRY_AFTER_MS, HeaderValue::from(ms));
            fields.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
            fields.insert(headers::CALL, id);
        }
        response
    }

    fn parse_directions_query(&self, request: &Request<()>) -> Option<DirectionsQuery> {
        if request.method() != Method::GET || request.uri().path() != DIRECTIONS_PATH {
            return None;
        }
        let query = request.uri().query().unwrap_or_default();
        let domain = query.split('&').find_map(|pair| pair.strip_prefix("failure_domain="));
        Some(DirectionsQuery { failure_domain: Arc::from(domain.unwrap_or_default()) })
    }

    fn directions_response(&self, directions: &Directions) -> Response<Bytes> {
        let addresses = GatewayAddresses {
            addresses: directions.addresses.clone(),
            ttl_ms: u64::try_from(directions.lifetime.as_millis()).unwrap_or(u64::MAX),
        };
        json_directions(directions, &addresses)
    }

    fn is_readiness_query(&self, request: &Request<()>) -> bool {
        request.method() == Method::GET && request.uri().path() == READINESS_PATH
    }
}

impl PlatformAdapter for NativeAdapter {
    fn parse_era(&self, fields: &HeaderMap) -> EraField {
        era_field(fields, headers::PLATFORM_ERA)
    }

    fn list_path(&self, _after: Option<&str>) -> String {
        LIST_PATH.to_owned()
    }

    fn parse_list(&self, status: StatusCode, body: &[u8]) -> Result<PlatformUpdate, ReadError> {
        parse_update(status, body)
    }

    fn changes_path(&self, revision: u64, wait: Duration) -> String {
        format!("{CHANGES_PATH}?after={revision}&wait_ms={}", wait.as_millis())
    }

    fn parse_changes(&self, status: StatusCode, body: &[u8]) -> Result<PlatformUpdate, ReadError> {
        parse_update(status, body)
    }
}

fn parse_update(status: StatusCode, body: &[u8]) -> Result<PlatformUpdate, ReadError> {
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(ReadError::Compacted),
        _ => return Err(ReadError::Status(status)),
    }
    let published: RawChanges =
        serde_json::from_slice(body).map_err(|e| ReadError::Decode(e.to_string()))?;
    let (changes, unreadable) = published.parse();
    Ok(PlatformUpdate {
        revision: published.revision,
        changes,
        unreadable,
        ..PlatformUpdate::default()
    })
}
