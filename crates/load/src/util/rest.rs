//! Single HTTP requests to the platform, control ports and administration APIs.

use super::client::Pool;
use crate::core::LoadError;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Timeout of a single request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Builds a request with the `Host` header that HTTP/1.1 requires.
///
/// # Errors
///
/// [`http::Error`] if `path` is not a valid path.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let host = address.to_string();
    Request::builder().method(method).uri(path).header(header::HOST, host).body(Full::new(body))
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// [`LoadError::UnexpectedAnswer`] if no complete answer is received in time or its status is not a
/// success.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, Report<LoadError>> {
    let failed = || LoadError::UnexpectedAnswer(address);
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

/// Sends a GET request and parses the body of the answer as JSON.
///
/// # Errors
///
/// As for [`send`], and if the body is not a JSON value of type `T`.
pub async fn get<T>(address: SocketAddr, path: &str) -> Result<T, Report<LoadError>>
where
    T: DeserializeOwned,
{
    let response = send(Method::GET, address, path, Bytes::new()).await?;
    serde_json::from_slice(response.body()).change_context(LoadError::UnexpectedAnswer(address))
}
