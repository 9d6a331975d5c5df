//! HTTP client for control ports and the administration API.

use crate::caller::CallError;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request on a new connection and returns the complete response.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<http::Response<Bytes>, CallError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.map_err(|_| CallError::Connect)?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallError::Connect)?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|_| CallError::Broken)?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|_| CallError::Broken)?.to_bytes();
            Ok(http::Response::from_parts(head, body))
        };
        tokio::pin!(connection);
        tokio::select! {
            biased;
            done = exchange => done,
            // Drives the connection and never completes.
            _ = async { let _ = (&mut connection).await; std::future::pending::<()>().await } => {
                Err(CallError::Broken)
            }
        }
    };
    time::timeout(TIMEOUT, exchange).await.unwrap_or(Err(CallError::Timeout))
}

/// Sends a request with a body and returns the status and the body of the response.
pub(crate) async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes), CallError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body.into()))
        .map_err(|_| CallError::Connect)?;
    let (head, body) = send(address, request).await?.into_parts();
    Ok((head.status, body))
}
