//! HTTP/1.1 server and client for the control plane. Calls have a server and client of their own.

use crate::{
    budget::{Budget, Holding},
    socket::{CallerStream, accept_backlog, configure},
};
use azuretally_policy::budget::Port;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::{
    body::Incoming, client::conn::http1 as client, server::conn::http1 as server,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{error::Error, fmt, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// Size of the read buffer of a server connection, in bytes; the minimum that hyper accepts.
const READ_BUFFER_BYTES: usize = 8_192;
/// Timeout for the head of a request; also closes idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a connection is closed if the peer does not acknowledge sent data.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of open connections of one server.
const MAX_CONNECTIONS: usize = 512;
/// Maximum number of open connections of all servers of the control plane. Half of the descriptors that
/// connections of callers leave; the rest is for connections to targets and to the platform.
const MAX_ALL_CONNECTIONS: usize = 600;
/// The time for closing divided by this number is the time in which requests are still read.
const READ_TIME_DIVISOR: u32 = 8;
/// Maximum size of a response body that a client accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returned by a handler to close the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl Error for NoAnswer {}

/// Byte budget of the process, as the server of one port uses it.
#[derive(Clone, Debug)]
pub struct PortBudget {
    /// Budget of the process.
    pub budget: Rc<Budget>,
    /// Port of the server.
    pub port: Port,
}

impl PortBudget {
    /// Returns an accepted connection with what is held for it, or `None` if there is no place for it.
    fn open(&self, stream: TcpStream) -> Option<(CallerStream, Holding)> {
        let Self { budget, port } = self;
        let has_place = budget.make_place(MAX_CONNECTIONS, |other| other == *port)
            && budget.make_place(MAX_ALL_CONNECTIONS, |other| other != Port::Calls);
        let stream = has_place.then(|| CallerStream::new(stream, ACK_TIMEOUT).ok()).flatten()?;
        let holding = budget.open(*port, stream.state());
        Some((stream, holding))
    }
}

/// Serves requests on `listener` with `handler` until `shutdown` is cancelled.
///
/// Requests that have arrived by then are still answered. All connections are closed within
/// `close_timeout`. Request bodies are not read. At the limit of open connections, the one that is without
/// progress for the longest time is ended, or else the new one. What connections hold counts to `budget`.
pub async fn serve<Handler, Fut>(
    listener: TcpListener,
    shutdown: CancellationToken,
    close_timeout: Duration,
    budget: PortBudget,
    handler: Handler,
) where
    Handler: Fn(Request<()>) -> Fut + 'static,
    Fut: Future<Output = Result<Response<Bytes>, NoAnswer>> + 'static,
{
    let handler = Rc::new(handler);
    let read_time = close_timeout / READ_TIME_DIVISOR;
    let serve_stream = |(stream, holding)| {
        serve_connection(stream, holding, shutdown.clone(), read_time, Rc::clone(&handler))
    };
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(opened) = budget.open(stream) {
            connections.spawn_local(serve_stream(opened));
        }
    }
    let backlog = accept_backlog(&listener).into_iter();
    for opened in backlog.filter_map(|(stream, _)| budget.open(stream)) {
        connections.spawn_local(serve_stream(opened));
    }
    drop(listener);
    let closed = async { while connections.join_next().await.is_some() {} };
    if timeout(close_timeout, closed).await.is_err() {
        connections.shutdown().await;
    }
}

/// Serves the requests of one connection. After `shutdown` further ones are read for `read_time`.
async fn serve_connection<Handler, Fut>(
    stream: CallerStream,
    holding: Holding,
    shutdown: CancellationToken,
    read_time: Duration,
    handler: Rc<Handler>,
) where
    Handler: Fn(Request<()>) -> Fut + 'static,
    Fut: Future<Output = Result<Response<Bytes>, NoAnswer>> + 'static,
{
    let holding = Rc::new(holding);
    let service = {
        let holding = Rc::clone(&holding);
        service_fn(move |request: Request<Incoming>| {
            let (parts, _) = request.into_parts();
            holding.begin_request(parts.headers.len());
            let (handler, holding) = (Rc::clone(&handler), Rc::clone(&holding));
            async move {
                holding.written().await;
                holding.begin_serving();
                let mut response = handler(Request::from_parts(parts, ())).await?;
                let kept = response.body().len() as u64;
                if !holding.has_room_for_answer(kept) {
                    response = Response::new(Bytes::new());
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                holding.end_request(response.body().len() as u64);
                Ok::<_, NoAnswer>(response.map(Full::new))
            }
        })
    };
    // All requests may be repeated, so those after the last answer may be discarded.
    stream.state().announce_close();
    let connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        shutdown.cancelled().await;
        sleep(read_time).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = holding.ended() => return,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("http: connection ended: {e}");
    }
}

/// Error that prevented a complete response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened.
    Connect,
    /// The connection closed early, or the response was invalid or too large.
    Broken,
    /// No response arrived in time.
    Timeout,
}

impl ClientError {
    /// Returns the description used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "cannot connect",
            Self::Broken => "connection closed or response invalid",
            Self::Timeout => "no response in time",
        }
    }
}

/// HTTP client with a single connection, which is replaced after any failure.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

#[derive(Debug)]
struct Connection {
    sender: client::SendRequest<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Client {
    /// Returns a client for the server at `address`. The connection is opened by the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request for `path` and waits at most `limit` for the complete response. The time
    /// to open a connection is not included in `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if no complete response arrived. The next request opens a new
    /// connection.
    pub async fn get(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.sender.is_ready() => connection,
            _ => connect(self.address).await?,
        };
        let response = timeout(limit, exchange(&mut connection, self.address, path)).await;
        let response = response.map_err(|_| ClientError::Timeout)??;
        self.connection = Some(connection);
        Ok(response)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ClientError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ClientError::Connect)?.map_err(|_| ClientError::Connect)?;
    configure(&stream, ACK_TIMEOUT).map_err(|_| ClientError::Connect)?;
    let (sender, connection) =
        client::handshake(TokioIo::new(stream)).await.map_err(|_| ClientError::Connect)?;
    let driver = spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("http: connection to {address} ended: {e}");
        }
    });
    Ok(Connection { sender, _driver: AbortOnDropHandle::new(driver) })
}

async fn exchange(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Bytes>, ClientError> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|_| ClientError::Broken)?;
    let response =
        connection.sender.send_request(request).await.map_err(|_| ClientError::Broken)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| ClientError::Broken)?.to_bytes();
    Ok(Response::from_parts(head, body))
}
