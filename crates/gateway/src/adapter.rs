//! Traits that adapt the gateway to the header names and message formats of a platform.
//!
//! An adapter only translates between the platform's formats and the types in this module. It makes
//! no decisions, performs no I/O and keeps no state of calls.

pub use azuretally_api::retry_after::RetryAfter;

use crate::settings::Settings;
use azuretally_api::retry_after::retry_after;
use azuretally_policy::balance::{Change, Directions, LimitField, LoadReport, RequestRate};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{AsHeaderName, CONTENT_TYPE, DATE, RETRY_AFTER},
    request, response,
};
use serde::Serialize;
use std::{error::Error, fmt, sync::Arc, time::Duration};

/// Values that the gateway reads from the headers of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHeaders {
    /// Call id that the caller assigned, if any.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for a response, if it says so.
    pub timeout: Option<Duration>,
}

/// Values that the gateway writes to the headers of a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRequest {
    /// Name of the target that the request is meant for.
    pub target: Arc<str>,
    /// Time left until the deadline of the call.
    pub timeout: Duration,
}

/// What a target's response says about the execution of the call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// The target executed the call.
    Executed,
    /// The target did not execute the call and will not.
    Refused,
    /// Another process now listens on the target's address. The call was not executed.
    Misdirected,
    /// The response cannot be attributed to this call or to a target.
    Unverified,
}

/// Values read from the head of a target's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetResponse {
    /// Whether the target executed the call.
    pub kind: ResponseKind,
    /// Load that the target reports, if any.
    pub report: Option<LoadReport>,
    /// What the response says about the limit of the target.
    pub limit: LimitField,
}

/// What a target says of itself in the head of any response, to a call or to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Time for which it wants no requests from this gateway.
    pub rest: RetryAfter,
    /// Whether it is about to end and takes no new calls.
    pub leaving: bool,
}

/// Values read from the head of a probe response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProbeResponse {
    /// Name of the target that responded, if it says so.
    pub target: Option<Arc<str>>,
    /// Load that the target reports, if any.
    pub report: Option<LoadReport>,
    /// What the response says about the limit of the target.
    pub limit: LimitField,
    /// Time until the target is warm, if it says so.
    pub warmup: Option<Duration>,
}

/// Failure that the gateway reports to the caller instead of a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was not executed and will not be. The caller may retry after this time.
    NotRun(Duration),
    /// The exchange with the target failed. The call may have been executed.
    Broken,
    /// The deadline passed. The call may have been executed.
    TimedOut,
    /// No route matches the call.
    NoRoute,
    /// The body exceeds the limit for callers.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The request is malformed.
    Malformed,
}

impl CallFailure {
    /// Returns the name used in logs, metrics and reason headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::NoRoute => "no-route",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::Malformed => "malformed",
        }
    }
}

/// A request of a caller for the addresses of the gateways to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectionsQuery {
    /// Failure domain of the caller, or an empty string if it names none.
    pub failure_domain: Arc<str>,
}

/// Parses a load report: comma-separated counts of running calls, waiting calls and slots,
/// optionally followed by the current service time in percent of the usual one.
///
/// Returns `None` if one of the three counts is missing or not a number.
pub fn load_report(text: &str) -> Option<LoadReport> {
    let mut fields = text.split(',').map(|f| f.trim().parse::<u32>().ok());
    let (running, waiting, slots) = (fields.next()??, fields.next()??, fields.next()??);
    let slowdown = fields.next().flatten().map(|percent| f64::from(percent) / 100.0);
    Some(LoadReport { running, waiting, slots, slowdown })
}

/// Parses the limit that a target names in the header `name`: a decimal number of requests per second.
///
/// The lowest counts if there are several. A value that is negative or not a number is unreadable.
pub fn limit_field<Name>(headers: &HeaderMap, name: Name) -> LimitField
where
    Name: AsHeaderName,
{
    let mut field = LimitField::Absent;
    for value in headers.get_all(name) {
        for text in value.to_str().unwrap_or_default().split(',') {
            let parsed = text.trim().parse().ok().and_then(RequestRate::from_per_second);
            field = match (field, parsed) {
                (LimitField::Named(before), Some(rate)) => LimitField::Named(rate.min(before)),
                (_, Some(rate)) => LimitField::Named(rate),
                (LimitField::Absent, None) => LimitField::Unreadable,
                (_, None) => field,
            };
        }
    }
    field
}

/// Parses the rest that a target asks for when it turns a request away.
pub fn rest_field(status: StatusCode, headers: &HeaderMap) -> RetryAfter {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            let values = headers.get_all(RETRY_AFTER).into_iter().map(HeaderValue::as_bytes);
            retry_after(values, headers.get(DATE).map(HeaderValue::as_bytes))
        }
        _ => RetryAfter::Absent,
    }
}

/// What the headers of a response of the platform say about the era of its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraField {
    /// The platform names no era.
    #[default]
    Absent,
    /// The value is not a whole number above 0.
    Unreadable,
    /// The era of the data.
    Named(u64),
}

/// Parses the era that the platform names in the header `name`.
pub fn era_field<Name>(headers: &HeaderMap, name: Name) -> EraField
where
    Name: AsHeaderName,
{
    let Some(value) = headers.get(name) else { return EraField::Absent };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.filter(|era| *era > 0).map_or(EraField::Unreadable, EraField::Named)
}

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
pub fn header_text<Name>(headers: &HeaderMap, name: Name) -> Option<&str>
where
    Name: AsHeaderName,
{
    headers.get(name)?.to_str().ok()
}

/// Builds the response to a directions query: `body` as JSON, or 503 if `directions` has no
/// addresses.
pub fn json_directions<Body>(directions: &Directions, body: &Body) -> Response<Bytes>
where
    Body: Serialize,
{
    let mut response = Response::new(Bytes::new());
    if directions.addresses.is_empty() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    match serde_json::to_vec(body) {
        Ok(body) => {
            *response.body_mut() = body.into();
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
        }
        // Unreachable in practice: addresses and a lifetime always serialize.
        Err(_) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    response
}

/// Changes read from one response of the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformUpdate {
    /// Platform revision up to which the changes are complete.
    pub revision: u64,
    /// Changes of the published settings and of targets.
    pub changes: Vec<Change>,
    /// Cursor of the next page of a list, or `None` on the last page.
    pub next: Option<String>,
    /// Number of records that could not be parsed, for the log.
    pub unreadable: u32,
}

/// Error that occurred while reading the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The platform has discarded the changes after the requested revision, so that a full list is
    /// needed.
    Compacted,
    /// The platform was restored from a copy since its data was read, so that a full list is needed.
    Restored,
    /// The list is older than what is known.
    Outdated,
    /// The list has more pages than are read.
    TooLong,
    /// The platform responded with an error status.
    Status(StatusCode),
    /// The response body could not be decoded.
    Decode(String),
    /// No complete response was received.
    Transport(&'static str),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("changes after the known revision have been discarded"),
            Self::Restored => f.write_str("the platform went back to an earlier revision"),
            Self::Outdated => f.write_str("the list is older than what is known"),
            Self::TooLong => f.write_str("the list has too many pages"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
            Self::Decode(reason) => write!(f, "answer not understood: {reason}"),
            Self::Transport(reason) => f.write_str(reason),
        }
    }
}

impl Error for ReadError {}

/// Translates calls, responses and directions between the gateway and callers or targets.
pub trait CallAdapter: 'static {
    /// Applies the adapter's own options, [`Settings::adapter`], to the settings.
    fn configure(&self, settings: &mut Settings);

    /// Parses the head of a call.
    fn parse_call(&self, head: &request::Parts) -> CallHeaders;

    /// Writes the values of `request` to the headers of a request to a target.
    fn set_target_headers(&self, headers: &mut HeaderMap, request: &TargetRequest);

    /// Writes the time that the caller still waits to the headers of a call to another gateway.
    fn set_caller_timeout(&self, headers: &mut HeaderMap, timeout: Duration);

    /// Parses the head of a target's response to the call with the caller's id `id`.
    fn parse_response(&self, head: &response::Parts, id: Option<&str>) -> TargetResponse;

    /// Parses the headers of a probe response.
    fn parse_probe_response(&self, headers: &HeaderMap) -> ProbeResponse;

    /// Returns whether the headers of a response name a call. That of a probe names none, also if the
    /// target echoes the id that the probe lacks as an empty one.
    fn names_call(&self, headers: &HeaderMap) -> bool;

    /// Parses what a target says of itself in the head of any response.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> TargetNotice;

    /// Prepares the headers of a target's response for the caller, removing those meant for the
    /// gateway.
    fn prepare_response_headers(&self, headers: &mut HeaderMap);

    /// Builds the response to the call with the caller's id `id` that ended with `failure`.
    fn failure_response(&self, failure: CallFailure, id: Option<&str>) -> Response<Bytes>;

    /// Parses a directions query. Returns `None` for any other request.
    fn parse_directions_query(&self, request: &Request<()>) -> Option<DirectionsQuery>;

    /// Builds the response to a directions query.
    fn directions_response(&self, directions: &Directions) -> Response<Bytes>;

    /// Returns whether the request asks if this gateway is ready.
    fn is_readiness_query(&self, request: &Request<()>) -> bool;
}

/// Builds requests to the platform and parses the settings and target records that it publishes.
pub trait PlatformAdapter: 'static {
    /// Parses the era of the platform's data from the headers of any response.
    fn parse_era(&self, headers: &HeaderMap) -> EraField;

    /// Returns the path of one page of the full list, starting after the cursor `after`.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Parses one page of the full list.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the response is an error or cannot be decoded.
    fn parse_list(&self, status: StatusCode, body: &[u8]) -> Result<PlatformUpdate, ReadError>;

    /// Returns the path of the changes after `revision`, a long poll that the platform may hold
    /// for up to `wait`.
    fn changes_path(&self, revision: u64, wait: Duration) -> String;

    /// Parses the response to a request for changes.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the response is an error or cannot be decoded.
    fn parse_changes(&self, status: StatusCode, body: &[u8]) -> Result<PlatformUpdate, ReadError>;
}
