//! A small HTTP/1.1 server for all stand-ins.

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

const LISTEN_BACKLOG: u32 = 1024;
const CHUNK_BYTES: usize = 16 * 1024;
const CUT_AFTER: Duration = Duration::from_millis(20);

/// The connection is to be broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("broken off on purpose")
    }
}

impl Error for ConnectionAborted {}

/// Body of an answer, which can be cut short.
#[derive(Debug)]
pub struct ResponseBody {
    data: Bytes,
    length: u64,
    cut: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    /// The whole of `data`.
    pub fn full(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        let length = data.len() as u64;
        Self { data, length, cut: None }
    }

    /// Announces all of `data`, sends the first `bytes` and breaks the connection.
    pub fn truncated(data: impl Into<Bytes>, bytes: usize) -> Self {
        let mut answer = Self::full(data);
        if bytes < answer.data.len() {
            answer.data.truncate(bytes);
            answer.cut = Some(Box::pin(time::sleep(CUT_AFTER)));
        }
        answer
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
            // What was sent before the break must reach the reader first.
            return match self.cut.as_mut() {
                Some(cut) => cut.as_mut().poll(cx).map(|()| Some(Err(ConnectionAborted))),
                None => Poll::Ready(None),
            };
        }
        let n = self.data.len().min(CHUNK_BYTES);
        let chunk = self.data.split_to(n);
        self.length -= n as u64;
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// An answer with a JSON body.
pub fn json_response<T>(value: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(ResponseBody::full(body));
            let kind = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// An answer with a status and a short text.
pub fn text_response(code: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text.to_owned()));
    *response.status_mut() = code;
    response
}

/// The value of the query parameter `name`.
pub fn query_param<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v)
}

/// Listens on `address`, also when it was in use a moment ago.
///
/// # Errors
///
/// [`StandinError::Bind`] when the address cannot be used.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Report<StandinError>> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let open = || {
        let socket = socket?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().change_context(StandinError::Bind(address))
}

/// Serves one connection until either side closes it.
pub async fn serve_connection<Handler, Reply>(stream: TcpStream, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Reply,
    Reply: Future<Output = Result<Response<ResponseBody>, ConnectionAborted>>,
{
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    if let Err(e) = connection.await {
        log::debug!("stand-in: connection ended: {e}");
    }
}

/// Serves every connection with `handler` until `stop`, then drops what is open.
pub async fn serve<Handler, Reply>(listener: TcpListener, stop: CancellationToken, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Reply + Clone + Send + 'static,
    Reply: Future<Output = Result<Response<ResponseBody>, ConnectionAborted>> + Send + 'static,
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
