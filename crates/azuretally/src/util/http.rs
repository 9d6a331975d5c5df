//! Minimal HTTP client for single requests.

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{error::Error, fmt, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection could not be established.
    Connect,
    /// The request could not be built.
    Request,
    /// The connection was lost, or the response was too large.
    ConnectionLost,
    /// The request timed out.
    Timeout,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "cannot connect",
            Self::Request => "cannot build the request",
            Self::ConnectionLost => "connection lost before the response was complete",
            Self::Timeout => "request timed out",
        })
    }
}

impl Error for HttpError {}

/// Sends one request without a body, with `token`, if given, as bearer token, and reads the whole
/// response.
///
/// # Errors
///
/// Returns [`HttpError`] if no complete response arrives.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<(StatusCode, Bytes), HttpError> {
    let response = exchange(method, address, path, token);
    time::timeout(REQUEST_TIMEOUT, response).await.map_err(|_| HttpError::Timeout)?
}

async fn exchange(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<(StatusCode, Bytes), HttpError> {
    let mut request =
        Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::<Bytes>::default()).map_err(|_| HttpError::Request)?;
    let stream = TcpStream::connect(address).await.map_err(|_| HttpError::Connect)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| HttpError::Connect)?;
    let response = async {
        let response = sender.send_request(request).await.map_err(|_| HttpError::ConnectionLost)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| HttpError::ConnectionLost)?;
        Ok((status, body.to_bytes()))
    };
    let mut connection = std::pin::pin!(connection);
    let mut response = std::pin::pin!(response);
    tokio::select! {
        result = &mut response => result,
        result = &mut connection => match result {
            Ok(()) => response.await,
            Err(_) => Err(HttpError::ConnectionLost),
        },
    }
}
