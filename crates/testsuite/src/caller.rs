//! Calls as callers make them.

use azuretally_api::{
    directions::{Direction, Directions},
    headers,
    record::Outcome,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use std::{error::Error, fmt, net::SocketAddr, time::Duration};
use tokio::time;

/// One call to be made.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    id: String,
    key: Option<String>,
    timeout: Option<Duration>,
    caller: Option<String>,
    client_timeout: Duration,
    body: Bytes,
    response_bytes: Option<usize>,
    query: String,
}

impl Call {
    /// A call without body. `id` tells calls apart at the targets.
    pub fn get(path: &str, id: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            id: id.into(),
            key: None,
            timeout: None,
            caller: None,
            client_timeout: Duration::from_secs(15),
            body: Bytes::new(),
            response_bytes: None,
            query: String::new(),
        }
    }

    /// A call with a body.
    pub fn post(path: &str, id: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path, id) }
    }

    /// A sale: not idempotent, so its idempotency key begins with the token of the entry `to`.
    pub fn sale(id: impl Into<String>, to: &Direction) -> Self {
        let id = id.into();
        let key = format!("{}/{id}", to.token);
        let call = Self::post("/till/sale", id.clone(), format!("voucher {id}"));
        Self { key: Some(key), ..call }
    }

    /// Name under which the targets count the runs of this call.
    pub fn run_key(&self) -> &str {
        self.key.as_deref().unwrap_or(&self.id)
    }

    /// Whether the call may run at most once.
    pub fn is_sale(&self) -> bool {
        self.key.is_some()
    }

    /// Time that the caller allows.
    #[must_use]
    pub fn timeout(self, timeout: Duration) -> Self {
        Self { timeout: Some(timeout), ..self }
    }

    /// Time after which the caller goes away without an answer.
    #[must_use]
    pub fn client_timeout(self, client_timeout: Duration) -> Self {
        Self { client_timeout, ..self }
    }

    /// Name of the caller.
    #[must_use]
    pub fn caller(self, caller: impl Into<String>) -> Self {
        Self { caller: Some(caller.into()), ..self }
    }

    /// Mean service time that the call asks of the target.
    #[must_use]
    pub fn service_ms(mut self, ms: u64) -> Self {
        self.query.push_str(&format!("&ms={ms}"));
        self
    }

    /// Size of the answer that the call asks of the target.
    #[must_use]
    pub fn response_bytes(mut self, bytes: usize) -> Self {
        self.response_bytes = Some(bytes);
        self.query.push_str(&format!("&size={bytes}"));
        self
    }

    /// Whether `body` is the target's whole answer to this very call.
    pub fn is_own_response(&self, body: &Bytes) -> bool {
        let Some(end) = body.iter().position(|b| *b == b'\n') else { return false };
        let (line, rest) = (&body[..end], &body[end + 1..]);
        let key = self.run_key();
        let is_rest = match self.response_bytes {
            Some(n) => rest.len() == n && rest.iter().copied().eq(key.bytes().cycle().take(n)),
            None => rest == self.body,
        };
        is_rest && line.ends_with(format!(" {key}").as_bytes())
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let uri = format!("http://{address}{}?id={}{}", self.path, self.id, self.query);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        let ms = self.timeout.map(|t| t.as_millis().to_string());
        let fields = [
            (headers::IDEMPOTENCY_KEY, self.key.as_ref()),
            (headers::TIMEOUT_MS, ms.as_ref()),
            (headers::CALLER, self.caller.as_ref()),
        ];
        for (name, value) in fields {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        request.body(Full::new(self.body.clone())).expect("a sound request")
    }
}

/// How a call ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made.
    Connect,
    /// The connection broke.
    Broken,
    /// The caller lost its patience.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection",
            Self::Broken => "the connection broke",
            Self::Timeout => "no answer in time",
        })
    }
}

impl Error for CallError {}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// What became of the call.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.header(headers::OUTCOME)? {
            headers::ANSWERED => Some(Outcome::Answered),
            headers::NOT_RUN => Some(Outcome::NotRun),
            headers::UNKNOWN => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Whether a target answered.
    pub fn is_answered(&self) -> bool {
        self.outcome() == Some(Outcome::Answered)
    }

    /// Whether the call was refused as not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome() == Some(Outcome::NotRun)
    }

    /// Revision of the settings under which the call was decided.
    pub fn revision(&self) -> Option<u64> {
        self.header(headers::REVISION)?.parse().ok()
    }

    /// Value of `Retry-After`.
    pub fn retry_after(&self) -> Option<&str> {
        self.header(header::RETRY_AFTER.as_str())
    }

    /// The first line of a target's answer and the rest of it.
    pub fn echo_parts(&self) -> (String, Bytes) {
        let end = self.body.iter().position(|b| *b == b'\n').unwrap_or(self.body.len());
        let line = String::from_utf8_lossy(&self.body[..end]).into_owned();
        (line, self.body.slice((end + 1).min(self.body.len())..))
    }
}

/// Makes calls on kept connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        Self { client }
    }
}

impl Caller {
    /// Asks `address` which entries to use for `service`.
    ///
    /// # Errors
    ///
    /// When there is no sound answer.
    pub async fn directions(
        &self,
        address: SocketAddr,
        service: &str,
    ) -> Result<Directions, CallError> {
        let uri = format!("http://{address}/directions?service={service}");
        let request = Request::get(uri).body(Full::default()).expect("a sound request");
        let reply = self.send(request, Duration::from_secs(2)).await?;
        serde_json::from_slice(&reply.body).map_err(|_| CallError::Broken)
    }

    /// Makes a call at the entry that listens on `address`.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
        self.send(call.request(address), call.client_timeout).await
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        client_timeout: Duration,
    ) -> Result<Reply, CallError> {
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|e| {
                    if e.is_connect() { CallError::Connect } else { CallError::Broken }
                })?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|_| CallError::Broken)?.to_bytes();
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        time::timeout(client_timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}
