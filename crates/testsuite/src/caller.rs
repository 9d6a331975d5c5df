//! Calls and a client that makes them as callers do.

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

/// A call to make.
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
    /// Query parameters after `id`, each with a leading `&`.
    query: String,
}

impl Call {
    /// Creates a GET call without a body. `id` identifies the call at the targets.
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

    /// Creates a POST call with a body.
    pub fn post(path: &str, id: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path, id) }
    }

    /// Creates a sale. Sales are not idempotent, so the call has an idempotency key, which begins
    /// with the token of the entry `to`.
    pub fn sale(id: impl Into<String>, to: &Direction) -> Self {
        let id = id.into();
        let key = format!("{}/{id}", to.token);
        let call = Self::post("/till/sale", id.clone(), format!("voucher {id}"));
        Self { key: Some(key), ..call }
    }

    /// Returns the key under which the targets count the runs of this call.
    pub fn run_key(&self) -> &str {
        self.key.as_deref().unwrap_or(&self.id)
    }

    /// Returns whether the call is a sale, which may run at most once.
    pub fn is_sale(&self) -> bool {
        self.key.is_some()
    }

    /// Sets the timeout that is sent with the call.
    #[must_use]
    pub fn timeout(self, timeout: Duration) -> Self {
        Self { timeout: Some(timeout), ..self }
    }

    /// Sets the time after which the client closes the connection if there is no response.
    #[must_use]
    pub fn client_timeout(self, client_timeout: Duration) -> Self {
        Self { client_timeout, ..self }
    }

    /// Sets the name of the caller.
    #[must_use]
    pub fn caller(self, caller: impl Into<String>) -> Self {
        Self { caller: Some(caller.into()), ..self }
    }

    /// Sets the mean service time that the call requests from the target.
    #[must_use]
    pub fn service_ms(mut self, ms: u64) -> Self {
        self.query.push_str(&format!("&ms={ms}"));
        self
    }

    /// Sets the size of the response that the call requests from the target.
    #[must_use]
    pub fn response_bytes(mut self, bytes: usize) -> Self {
        self.response_bytes = Some(bytes);
        self.query.push_str(&format!("&size={bytes}"));
        self
    }

    /// Returns whether `body` is the complete response of a target to this call.
    pub fn is_own_response(&self, body: &Bytes) -> bool {
        let Some(end) = body.iter().position(|b| *b == b'\n') else { return false };
        let (line, rest) = (&body[..end], &body[end + 1..]);
        let key = self.run_key();
        let is_rest_own = match self.response_bytes {
            Some(n) => rest.len() == n && rest.iter().copied().eq(key.bytes().cycle().take(n)),
            None => rest == self.body,
        };
        is_rest_own && line.ends_with(format!(" {key}").as_bytes())
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let uri = format!("http://{address}{}?id={}{}", self.path, self.id, self.query);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        let ms = self.timeout.map(|t| t.as_millis().to_string());
        let header_values = [
            (headers::IDEMPOTENCY_KEY, self.key.as_ref()),
            (headers::TIMEOUT_MS, ms.as_ref()),
            (headers::CALLER, self.caller.as_ref()),
        ];
        for (name, value) in header_values {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        request.body(Full::new(self.body.clone())).expect("valid request")
    }
}

/// Error of a call without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established.
    Connect,
    /// The connection failed before the response was complete, or the response is invalid.
    Broken,
    /// The client timeout passed.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "cannot connect",
            Self::Broken => "the connection failed",
            Self::Timeout => "no complete response within the client timeout",
        })
    }
}

impl Error for CallError {}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the outcome that the entry reports.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.header(headers::OUTCOME)? {
            headers::ANSWERED => Some(Outcome::Answered),
            headers::NOT_RUN => Some(Outcome::NotRun),
            headers::UNKNOWN => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Returns whether a target answered the call.
    pub fn is_answered(&self) -> bool {
        self.outcome() == Some(Outcome::Answered)
    }

    /// Returns whether the call was refused as not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome() == Some(Outcome::NotRun)
    }

    /// Returns the settings revision under which the call was handled.
    pub fn revision(&self) -> Option<u64> {
        self.header(headers::REVISION)?.parse().ok()
    }

    /// Returns the value of `Retry-After`.
    pub fn retry_after(&self) -> Option<&str> {
        self.header(header::RETRY_AFTER.as_str())
    }

    /// Splits the response of a target into its first line and the remaining bytes.
    pub fn echo_parts(&self) -> (String, Bytes) {
        let end = self.body.iter().position(|b| *b == b'\n').unwrap_or(self.body.len());
        let line = String::from_utf8_lossy(&self.body[..end]).into_owned();
        (line, self.body.slice((end + 1).min(self.body.len())..))
    }
}

/// HTTP client with a connection pool.
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
    /// Requests directions for `service` from the entry at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
    pub async fn directions(
        &self,
        address: SocketAddr,
        service: &str,
    ) -> Result<Directions, CallError> {
        let uri = format!("http://{address}/directions?service={service}");
        let request = Request::get(uri).body(Full::default()).expect("valid request");
        let reply = self.send(request, Duration::from_secs(2)).await?;
        serde_json::from_slice(&reply.body).map_err(|_| CallError::Broken)
    }

    /// Makes a call at the entry that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
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
