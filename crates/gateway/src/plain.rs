//! The project's own dialect, spoken where no other platform is to be adapted to.
//!
//! Calls carry the header fields of `azuretally_api::headers`. The platform publishes JSON: a list
//! of changes at [`LIST_PATH`], and what came after a revision at [`CHANGES_PATH`].

use crate::{
    dialect::{
        CallHead, Dialect, DirectionsQuery, Failing, News, Outbound, ProbeHead, Publication,
        ReadError, Standing, TargetHead, directions_response, field_text, load_report,
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
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Path of everything that is published.
pub const LIST_PATH: &str = "/v1/published";
/// Path of what came after a revision, `?after=REV&wait_ms=N`. 410 when that is no longer kept.
pub const CHANGES_PATH: &str = "/v1/changes";
/// Path at which callers ask which gateway to use, `?failure_domain=NAME`.
pub const DIRECTIONS_PATH: &str = "/v1/directions";
/// Path that answers 200 while the gateway is ready.
pub const READINESS_PATH: &str = "/v1/ready";

/// What the platform answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedChanges {
    /// Revision up to which it holds.
    pub revision: u64,
    /// What it tells.
    pub changes: Vec<Change>,
}

/// What a caller is answered that asks which gateway to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayAddresses {
    /// Addresses for calls.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be used, in ms.
    pub ttl_ms: u64,
}

/// The project's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plain;

impl Dialect for Plain {
    fn tune(&self, _settings: &mut Settings) {}

    fn call(&self, head: &request::Parts) -> CallHead {
        let timeout = field_text(&head.headers, headers::TIMEOUT_MS).and_then(|t| t.parse().ok());
        CallHead {
            id: field_text(&head.headers, headers::CALL).map(Arc::from),
            timeout: timeout.map(Duration::from_millis),
        }
    }

    fn address(&self, fields: &mut HeaderMap, outbound: &Outbound) {
        let ms = u64::try_from(outbound.timeout.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::TARGET_TIMEOUT_MS, HeaderValue::from(ms));
        match HeaderValue::from_str(&outbound.target) {
            Ok(name) => fields.insert(headers::TARGET, name),
            Err(_) => fields.remove(headers::TARGET),
        };
    }

    fn target_head(&self, head: &response::Parts, id: Option<&str>) -> TargetHead {
        let report = field_text(&head.headers, headers::TARGET_LOAD).and_then(load_report);
        let standing = if field_text(&head.headers, headers::CALL) != id {
            Standing::Foreign
        } else if head.status == StatusCode::MISDIRECTED_REQUEST {
            Standing::Moved
        } else if head.headers.contains_key(headers::TARGET_REFUSED) {
            Standing::Refused
        } else {
            Standing::Ran
        };
        TargetHead { standing, report }
    }

    fn probe_head(&self, head: &response::Parts) -> ProbeHead {
        ProbeHead {
            target: field_text(&head.headers, headers::TARGET).map(Arc::from),
            report: field_text(&head.headers, headers::TARGET_LOAD).and_then(load_report),
        }
    }

    fn trim(&self, fields: &mut HeaderMap) {
        fields.remove(headers::TARGET_LOAD);
        fields.insert(headers::OUTCOME, HeaderValue::from_static(headers::ANSWERED));
    }

    fn failing(&self, failing: Failing, id: Option<&str>) -> Response<Bytes> {
        let (status, outcome) = match failing {
            Failing::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, headers::NOT_RUN),
            Failing::Broken => (StatusCode::BAD_GATEWAY, headers::UNKNOWN),
            Failing::TimedOut => (StatusCode::GATEWAY_TIMEOUT, headers::UNKNOWN),
            Failing::NoRoute => (StatusCode::NOT_FOUND, headers::NOT_RUN),
            Failing::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, headers::NOT_RUN),
            Failing::SlowBody => (StatusCode::REQUEST_TIMEOUT, headers::NOT_RUN),
            Failing::Malformed => (StatusCode::BAD_REQUEST, headers::NOT_RUN),
        };
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let fields = response.headers_mut();
        fields.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
        fields.insert(headers::REASON, HeaderValue::from_static(failing.as_str()));
        if let Failing::NotRun(after) = failing {
            let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            fields.insert(headers::RETRY_AFTER_MS, HeaderValue::from(ms));
            fields.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
            fields.insert(headers::CALL, id);
        }
        response
    }

    fn directions_query(&self, request: &Request<()>) -> Option<DirectionsQuery> {
        if request.method() != Method::GET || request.uri().path() != DIRECTIONS_PATH {
            return None;
        }
        let query = request.uri().query().unwrap_or_default();
        let domain = query.split('&').find_map(|pair| pair.strip_prefix("failure_domain="));
        Some(DirectionsQuery { failure_domain: Arc::from(domain.unwrap_or_default()) })
    }

    fn directions(&self, directions: &Directions) -> Response<Bytes> {
        let addresses = GatewayAddresses {
            addresses: directions.addresses.clone(),
            ttl_ms: u64::try_from(directions.lifetime.as_millis()).unwrap_or(u64::MAX),
        };
        directions_response(directions, &addresses)
    }

    fn is_readiness_query(&self, request: &Request<()>) -> bool {
        request.method() == Method::GET && request.uri().path() == READINESS_PATH
    }
}

impl Publication for Plain {
    fn list_path(&self, _after: Option<&str>) -> String {
        LIST_PATH.to_owned()
    }

    fn read_list(&self, status: StatusCode, body: &[u8]) -> Result<News, ReadError> {
        read(status, body)
    }

    fn changes_path(&self, revision: u64, wait: Duration) -> String {
        format!("{CHANGES_PATH}?after={revision}&wait_ms={}", wait.as_millis())
    }

    fn read_changes(&self, status: StatusCode, body: &[u8]) -> Result<News, ReadError> {
        read(status, body)
    }
}

fn read(status: StatusCode, body: &[u8]) -> Result<News, ReadError> {
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(ReadError::Forgotten),
        _ => return Err(ReadError::Status(status)),
    }
    let told: PublishedChanges =
        serde_json::from_slice(body).map_err(|e| ReadError::Form(e.to_string()))?;
    Ok(News { revision: told.revision, changes: told.changes, ..News::default() })
}
