//! Calls sent straight to one target, for comparison with the same calls sent through an entry.

use super::drive::Sender;
use crate::{
    core::{mix::Mix, sample::Verdict, schedule::Due},
    util::client::{Pool, SendError},
};
use azuretally_api::headers;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::net::SocketAddr;

/// Body of calls that are not idempotent, in bytes.
const BODY_BYTES: usize = 64;

/// What the calls of one load have in common.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Operations.
    pub mix: Mix,
    /// Distinguishes the keys of one load from those of others.
    pub seed: u64,
    /// Whether each call names itself and its service time, so that targets can count its runs.
    pub is_named: bool,
}

impl Shape {
    /// Name of a call, its idempotency key where it needs one.
    pub fn key(&self, call: &Due) -> String {
        format!("{}-{}", self.seed, call.number)
    }

    /// The request of `call`, without the fields that only entries read.
    ///
    /// # Errors
    ///
    /// When the path of the operation is no path.
    pub fn request(
        &self,
        call: &Due,
        address: SocketAddr,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let operation = &self.mix.operations[call.operation];
        let mut request = Request::builder()
            .method(operation.method.clone())
            .header(header::HOST, address.to_string());
        request = if self.is_named {
            let ms = call.service.as_secs_f64() * 1_000.0;
            request.uri(format!("{}?id={}&ms={ms:.3}", operation.path, self.key(call)))
        } else {
            request.uri(operation.path.as_str())
        };
        if operation.idempotent {
            return request.body(Full::default());
        }
        request = request.header(headers::IDEMPOTENCY_KEY, self.key(call));
        request.body(Full::new(Bytes::from(vec![b'.'; BODY_BYTES])))
    }

    /// Whether `answer` belongs to `call`. Targets repeat the name of the call, or its key, in the
    /// first line.
    pub fn is_own(&self, call: &Due, answer: &[u8]) -> bool {
        let line = answer.split(|b| *b == b'\n').next().unwrap_or_default();
        let name = line.rsplit(|b| matches!(b, b' ' | b'/')).next().unwrap_or_default();
        !self.is_named || name == self.key(call).as_bytes()
    }
}

/// What the answer of a target means.
pub fn judge(answer: &Response<Bytes>) -> Verdict {
    let is_refusal = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
    if is_refusal && answer.headers().contains_key(headers::TARGET_REFUSED) {
        return Verdict::not_run("target-busy");
    }
    Verdict::answered(answer.status().is_success())
}

/// Sends every call to one target.
#[derive(Debug)]
pub struct Direct {
    shape: Shape,
    address: SocketAddr,
    pool: Pool,
}

impl Direct {
    /// Calls of `shape` to the target at `address`.
    pub fn new(shape: Shape, address: SocketAddr) -> Self {
        Self { shape, address, pool: Pool::new(address) }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.pool.close().await;
    }
}

impl Sender for Direct {
    async fn send(&self, call: &Due) -> Verdict {
        let Ok(request) = self.shape.request(call, self.address) else {
            return Verdict::not_run("bad-request");
        };
        match self.pool.send(request).await {
            Ok(answer) => judge(&answer),
            Err(SendError::NotSent) => Verdict::not_run("no-connection"),
            Err(SendError::Broken) => Verdict::unknown("broken"),
        }
    }
}
