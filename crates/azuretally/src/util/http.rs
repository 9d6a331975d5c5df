//! A small HTTP client for single requests.

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{error::Error, fmt, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// Longest time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Why a request had no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made.
    Connect,
    /// The request could not be formed.
    Request,
    /// The connection broke.
    Broken,
    /// No answer in time.
    Timeout,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "cannot connect",
            Self::Request => "cannot form the request",
            Self::Broken => "the connection broke before the whole answer had come",
            Self::Timeout => "no answer in time",
        })
    }
}

impl Error for HttpError {}

/// Sends one request without body and reads the whole answer.
///
/// # Errors
///
/// [`HttpError`] when there is no whole answer.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<(StatusCode, Bytes), HttpError> {
    let work = exchange(method, address, path, token);
    time::timeout(REQUEST_TIMEOUT, work).await.map_err(|_| HttpError::Timeout)?
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
    let answer = async {
        let answer = sender.send_request(request).await.map_err(|_| HttpError::Broken)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let body = body.collect().await.map_err(|_| HttpError::Broken)?;
        Ok((status, body.to_bytes()))
    };
    let mut connection = std::pin::pin!(connection);
    let mut answer = std::pin::pin!(answer);
    tokio::select! {
        result = &mut answer => result,
        result = &mut connection => match result {
            Ok(()) => answer.await,
            Err(_) => Err(HttpError::Broken),
        },
    }
}
