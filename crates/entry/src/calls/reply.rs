//! Replies to callers, each with the outcome of the call.

use super::{
    app::App,
    body::{ReplyBody, StreamedBody},
    call_guard::CallGuard,
    exchange::{ResponseBody, UpstreamResponse, remove_hop_headers},
    inbound::StoredReply,
};
use azuretally_api::{headers, record::Outcome};
use azuretally_policy::dispatch::UnknownReason;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::{Either, Full};
use std::time::Duration;

/// A reply to a caller.
#[derive(Debug)]
pub(super) struct Reply {
    /// Outcome of the call.
    pub(super) outcome: Outcome,
    /// Reason, if the outcome is not [`Outcome::Answered`].
    pub(super) reason: Option<&'static str>,
    /// HTTP response.
    pub(super) response: Response<ReplyBody>,
    /// Copy of the response that can be replayed, if the body was buffered.
    pub(super) stored: Option<StoredReply>,
}

impl Reply {
    /// Reports that the call was not run and may be retried after `retry_after`.
    pub(super) fn not_run(status: StatusCode, reason: &'static str, retry_after: Duration) -> Self {
        let mut reply = Self::without_response(status, Outcome::NotRun, reason);
        let header_map = reply.response.headers_mut();
        header_map.insert(RETRY_AFTER, whole_seconds(retry_after).into());
        let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        header_map.insert(headers::RETRY_AFTER_MS, ms.into());
        reply
    }

    /// Reports that the call may have been run.
    pub(super) fn unknown(reason: &'static str) -> Self {
        Self::without_response(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason)
    }

    /// Reports that the call was sent, may have been run, and has no answer for `reason`.
    pub(super) fn unanswered(reason: UnknownReason) -> Self {
        let status = match reason {
            UnknownReason::Broken => StatusCode::BAD_GATEWAY,
            UnknownReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        };
        Self::without_response(status, Outcome::Unknown, reason.as_str())
    }

    /// Forwards the response of a target or peer. The call ends once the body is complete.
    pub(super) fn forwarded(
        outcome: Outcome,
        upstream: UpstreamResponse,
        guard: CallGuard,
    ) -> Self {
        let UpstreamResponse { mut head, body } = upstream;
        remove_hop_headers(&mut head.headers);
        for name in [
            headers::TARGET_BUSY,
            headers::TARGET_STATE,
            headers::TARGET_INCARNATION,
            headers::TARGET_ATTEMPT,
        ] {
            head.headers.remove(name);
        }
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        let mut stored = None;
        match body {
            ResponseBody::Buffered(body) => {
                let mut guard = guard;
                guard.end(outcome, None);
                stored = Some(StoredReply {
                    status: head.status,
                    headers: response.headers().clone(),
                    body: body.clone(),
                });
                *response.body_mut() = Either::Left(Full::new(body));
            }
            ResponseBody::Streaming(body, connection) => {
                let streamed = StreamedBody::new(body, guard, connection, outcome);
                *response.body_mut() = Either::Right(streamed);
            }
        }
        Self { outcome, reason: None, response, stored }
    }

    /// Forwards a peer's response about the outcome of a key.
    pub(super) fn key_result(outcome: Outcome, upstream: UpstreamResponse) -> Self {
        let UpstreamResponse { mut head, body } = upstream;
        remove_hop_headers(&mut head.headers);
        let body = match body {
            ResponseBody::Buffered(body) => body,
            ResponseBody::Streaming(..) => return Self::unknown("holder-silent"),
        };
        let mut response = Response::new(Either::Left(Full::new(body)));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        Self { outcome, reason: None, response, stored: None }
    }

    /// Replays the reply that was stored for the first call with the same key.
    pub(super) fn replayed(stored: &StoredReply) -> Self {
        let mut response = Response::new(Either::Left(Full::new(stored.body.clone())));
        *response.status_mut() = stored.status;
        response.headers_mut().clone_from(&stored.headers);
        response.headers_mut().insert(headers::REPLAYED, HeaderValue::from_static("1"));
        Self { outcome: Outcome::Answered, reason: None, response, stored: None }
    }

    /// Adds the remaining header fields and returns the HTTP response.
    pub(super) fn into_response(self, app: &App, revision: u64) -> Response<ReplyBody> {
        let mut response = self.response;
        let header_map = response.headers_mut();
        header_map.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if !header_map.contains_key(headers::ENTRY) {
            insert_header(header_map, headers::ENTRY, &app.context.local.host);
            header_map.insert(headers::REVISION, revision.into());
        }
        if app.context.stop.is_cancelled() {
            header_map.insert(headers::ASK_AGAIN, HeaderValue::from_static("1"));
        }
        response
    }

    /// Builds a reply without a response of a target or peer.
    fn without_response(status: StatusCode, outcome: Outcome, reason: &'static str) -> Self {
        let body = format!("{{\"outcome\":\"{}\",\"reason\":\"{reason}\"}}\n", outcome.as_str());
        let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
        *response.status_mut() = status;
        let header_map = response.headers_mut();
        header_map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        header_map.insert(headers::REASON, HeaderValue::from_static(reason));
        Self { outcome, reason: Some(reason), response, stored: None }
    }
}

/// Inserts a header field unless the value is not valid in a header.
fn insert_header(header_map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        header_map.insert(name, value);
    }
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
