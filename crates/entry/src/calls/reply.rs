//! Answers to callers, each with its outcome.

use super::{
    app::App,
    body::{Answer, Streamed},
    ending::Ending,
    exchange::{Arrived, Received, strip},
    inbound::KeptReply,
};
use azuretally_api::{headers, record::Outcome};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::{Either, Full};
use std::time::Duration;

/// An answer and what became of the call.
#[derive(Debug)]
pub(super) struct Reply {
    /// What became of the call.
    pub(super) outcome: Outcome,
    /// Reason when the call was not answered.
    pub(super) reason: Option<&'static str>,
    /// The answer.
    pub(super) response: Response<Answer>,
    /// The answer once more, when it is small enough to be kept.
    pub(super) kept: Option<KeptReply>,
}

impl Reply {
    /// The call was not run and may be tried again after `retry_after`.
    pub(super) fn not_run(status: StatusCode, reason: &'static str, retry_after: Duration) -> Self {
        let mut reply = Self::without_answer(status, Outcome::NotRun, reason);
        let fields = reply.response.headers_mut();
        fields.insert(RETRY_AFTER, seconds(retry_after).into());
        let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        fields.insert(headers::RETRY_AFTER_MS, ms.into());
        reply
    }

    /// The call may have been run.
    pub(super) fn unknown(reason: &'static str) -> Self {
        Self::without_answer(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason)
    }

    /// The answer of a target or peer.
    pub(super) fn passed_on(outcome: Outcome, received: Received, ending: Ending) -> Self {
        let Received { mut head, body } = received;
        strip(&mut head.headers);
        for name in [headers::TARGET_BUSY, headers::TARGET_STATE, headers::TARGET_INCARNATION] {
            head.headers.remove(name);
        }
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        let mut kept = None;
        match body {
            Arrived::Whole(body) => {
                let mut ending = ending;
                ending.end(outcome, None);
                kept = Some(KeptReply {
                    status: head.status,
                    headers: response.headers().clone(),
                    body: body.clone(),
                });
                *response.body_mut() = Either::Left(Full::new(body));
            }
            Arrived::Coming(body, connection) => {
                let streamed = Streamed::new(body, ending, connection, outcome);
                *response.body_mut() = Either::Right(streamed);
            }
        }
        Self { outcome, reason: None, response, kept }
    }

    /// What a peer told of a key.
    pub(super) fn told(outcome: Outcome, received: Received) -> Self {
        let Received { mut head, body } = received;
        strip(&mut head.headers);
        let body = match body {
            Arrived::Whole(body) => body,
            Arrived::Coming(..) => return Self::unknown("holder-silent"),
        };
        let mut response = Response::new(Either::Left(Full::new(body)));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        Self { outcome, reason: None, response, kept: None }
    }

    /// The answer kept from the first call with the same key.
    pub(super) fn replayed(kept: &KeptReply) -> Self {
        let mut response = Response::new(Either::Left(Full::new(kept.body.clone())));
        *response.status_mut() = kept.status;
        response.headers_mut().clone_from(&kept.headers);
        response.headers_mut().insert(headers::REPLAYED, HeaderValue::from_static("1"));
        Self { outcome: Outcome::Answered, reason: None, response, kept: None }
    }

    /// Completes the header fields and gives the response.
    pub(super) fn finish(self, app: &App, revision: u64) -> Response<Answer> {
        let mut response = self.response;
        let fields = response.headers_mut();
        fields.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if !fields.contains_key(headers::ENTRY) {
            insert(fields, headers::ENTRY, &app.context.local.host);
            fields.insert(headers::REVISION, revision.into());
        }
        if app.context.stop.is_cancelled() {
            fields.insert(headers::ASK_AGAIN, HeaderValue::from_static("1"));
            if response.version() != http::Version::HTTP_2 {
                fields_close(response.headers_mut());
            }
        }
        response
    }

    fn without_answer(status: StatusCode, outcome: Outcome, reason: &'static str) -> Self {
        let body = format!("{{\"outcome\":\"{}\",\"reason\":\"{reason}\"}}\n", outcome.as_str());
        let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
        *response.status_mut() = status;
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(headers::REASON, HeaderValue::from_static(reason));
        Self { outcome, reason: Some(reason), response, kept: None }
    }
}

fn fields_close(fields: &mut HeaderMap) {
    fields.insert(CONNECTION, HeaderValue::from_static("close"));
}

fn insert(fields: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(name, value);
    }
}

/// Whole seconds, rounded up, as `Retry-After` wants them.
fn seconds(d: Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}
