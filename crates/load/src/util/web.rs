//! Single requests with JSON answers, to the platform, control ports and administration APIs.

use super::client::Pool;
use crate::core::LoadError;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Longest time that a single request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A request with the `Host` field that HTTP/1.1 asks for.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let host = address.to_string();
    Request::builder().method(method).uri(path).header(header::HOST, host).body(Full::new(body))
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// [`LoadError::Answer`] when no whole answer came in time or its status is not one of success.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, Report<LoadError>> {
    let failed = || LoadError::Answer(address);
    let request = request(method, address, path, body.into()).change_context_lazy(failed)?;
    let pool = Pool::new(address);
    let sent = time::timeout(REQUEST_TIMEOUT, pool.send(request)).await;
    let response = sent.ok().and_then(Result::ok).ok_or_else(|| Report::new(failed()))?;
    pool.close().await;
    if response.status().is_success() {
        Ok(response)
    } else {
        let body = String::from_utf8_lossy(response.body()).into_owned();
        Err(Report::new(failed()).attach(format!("{}: {body}", response.status())))
    }
}

/// Reads a JSON value.
///
/// # Errors
///
/// As [`send`], and when the body is not such a value.
pub async fn get<T>(address: SocketAddr, path: &str) -> Result<T, Report<LoadError>>
where
    T: DeserializeOwned,
{
    let response = send(Method::GET, address, path, Bytes::new()).await?;
    serde_json::from_slice(response.body()).change_context(LoadError::Answer(address))
}
