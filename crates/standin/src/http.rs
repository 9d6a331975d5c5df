//! Minimal HTTP/1.1 server shared by all stand-ins.

use crate::StandinError;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::{
    error::Error,
    fmt,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
    time::{self, Sleep},
};
use tokio_util::sync::CancellationToken;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Largest part of a body that is sent as one frame.
const CHUNK_BYTES: usize = 16 * 1024;
/// Delay before a truncated response is aborted, so that the client reads what was sent before it.
const ABORT_DELAY: Duration = Duration::from_millis(20);

/// Error of a handler that closes the connection instead of completing the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection aborted by the stand-in")
    }
}

impl Error for ConnectionAborted {}

/// Response body that is either complete or aborted early.
#[derive(Debug)]
pub struct ResponseBody {
    data: Bytes,
    /// Announced bytes that were not sent yet.
    length: u64,
    /// Delay before the abort of a truncated body.
    abort: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    /// Creates a body that sends all of `data`.
    pub fn full(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        let length = data.len() as u64;
        Self { data, length, abort: None }
    }

    /// Creates a body that announces all of `data`, sends its first `bytes` bytes and then aborts
    /// the connection. Equals [`full`](Self::full) if `data` is not longer than that.
    pub fn truncated(data: impl Into<Bytes>, bytes: usize) -> Self {
        let mut body = Self::full(data);
        if bytes < body.data.len() {
            body.data.truncate(bytes);
            body.abort = Some(Box::pin(time::sleep(ABORT_DELAY)));
        }
        body
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        if self.data.is_empty() {
            // An immediate abort could discard bytes that the client has not read yet.
            return match self.abort.as_mut() {
                Some(abort) => abort.as_mut().poll(cx).map(|()| Some(Err(ConnectionAborted))),
                None => Poll::Ready(None),
            };
        }
        let n = self.data.len().min(CHUNK_BYTES);
        let chunk = self.data.split_to(n);
        self.length -= n as u64;
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.abort.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Returns a response with `value` as JSON body.
pub fn json_response<T>(value: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(ResponseBody::full(body));
            let content_type = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Returns a response with a status and a plain-text body.
pub fn text_response(code: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text.to_owned()));
    *response.status_mut() = code;
    response
}

/// Returns the value of the query parameter `name`, without percent-decoding.
pub fn query_param<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v)
}

/// Listens on `address` with `SO_REUSEADDR`, so that a restart can bind the address again at once.
///
/// # Errors
///
/// Returns [`StandinError::Bind`] if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Report<StandinError>> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let bind = || {
        let socket = socket?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().change_context(StandinError::Bind(address))
}

/// Serves one connection with `handler` until either side closes it.
pub async fn serve_connection<Handler, ResponseFuture>(stream: TcpStream, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> ResponseFuture,
    ResponseFuture: Future<Output = Result<Response<ResponseBody>, ConnectionAborted>>,
{
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    if let Err(e) = connection.await {
        log::debug!("stand-in: connection ended: {e}");
    }
}

/// Accepts connections and serves them with `handler` until `stop` is cancelled, then closes all
/// open connections.
pub async fn serve<Handler, ResponseFuture>(
    listener: TcpListener,
    stop: CancellationToken,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + 'static,
    ResponseFuture:
        Future<Output = Result<Response<ResponseBody>, ConnectionAborted>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
                Err(e) => log::warn!("stand-in: accept failed: {e}"),
            },
        }
    }
    connections.shutdown().await;
}
