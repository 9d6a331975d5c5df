//! Calls sent directly to one target, as a baseline for the same calls sent through an entry.

use super::open_loop::CallSender;
use crate::{
    core::{mix::Mix, sample::CallResult, schedule::ScheduledCall},
    util::client::{Pool, SendError},
};
use azuretally_api::headers;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::net::SocketAddr;

/// Size of the body of calls that are not idempotent, in bytes.
const BODY_BYTES: usize = 64;

/// Common properties of the requests of one load.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Operations that are called.
    pub mix: Mix,
    /// Seed of the load. Distinguishes its call ids from those of other loads.
    pub seed: u64,
    /// Whether each request contains the call id and the service time, so that targets can count
    /// the executions of each call.
    pub has_id: bool,
}

impl RequestTemplate {
    /// Returns the id of `call`, which is also its idempotency key if it needs one.
    pub fn call_id(&self, call: &ScheduledCall) -> String {
        format!("{}-{}", self.seed, call.number)
    }

    /// Builds the request of `call`, without the headers that only entries read.
    ///
    /// # Errors
    ///
    /// [`http::Error`] if the path of the operation is invalid.
    pub fn request(
        &self,
        call: &ScheduledCall,
        address: SocketAddr,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let operation = &self.mix.operations[call.operation];
        let mut request = Request::builder()
            .method(operation.method.clone())
            .header(header::HOST, address.to_string());
        request = if self.has_id {
            let ms = call.service_time.as_secs_f64() * 1_000.0;
            request.uri(format!("{}?id={}&ms={ms:.3}", operation.path, self.call_id(call)))
        } else {
            request.uri(operation.path.as_str())
        };
        if operation.idempotent {
            return request.body(Full::default());
        }
        request = request.header(headers::IDEMPOTENCY_KEY, self.call_id(call));
        request.body(Full::new(Bytes::from(vec![b'.'; BODY_BYTES])))
    }

    /// Returns whether `answer` belongs to `call`. The first line of an answer ends with the id or
    /// the key of its call.
    pub fn is_answer_to(&self, call: &ScheduledCall, answer: &[u8]) -> bool {
        let line = answer.split(|b| *b == b'\n').next().unwrap_or_default();
        let name = line.rsplit(|b| matches!(b, b' ' | b'/')).next().unwrap_or_default();
        !self.has_id || name == self.call_id(call).as_bytes()
    }
}

/// Returns the result of a call from the answer of a target.
pub fn classify_answer(answer: &Response<Bytes>) -> CallResult {
    let is_refusal = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
    if is_refusal && answer.headers().contains_key(headers::TARGET_REFUSED) {
        return CallResult::not_run("target-busy");
    }
    CallResult::answered(answer.status().is_success())
}

/// Sender that sends every call to one target.
#[derive(Debug)]
pub struct Direct {
    template: RequestTemplate,
    address: SocketAddr,
    pool: Pool,
}

impl Direct {
    /// Creates a sender of requests of `template` to the target at `address`.
    pub fn new(template: RequestTemplate, address: SocketAddr) -> Self {
        Self { template, address, pool: Pool::new(address) }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.pool.close().await;
    }
}

impl CallSender for Direct {
    async fn send(&self, call: &ScheduledCall) -> CallResult {
        let Ok(request) = self.template.request(call, self.address) else {
            return CallResult::not_run("bad-request");
        };
        match self.pool.send(request).await {
            Ok(answer) => classify_answer(&answer),
            Err(SendError::NotSent) => CallResult::not_run("no-connection"),
            Err(SendError::Interrupted) => CallResult::unknown("broken"),
        }
    }
}
