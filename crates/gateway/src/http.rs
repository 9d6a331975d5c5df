//! Small HTTP servers and a client, for everything but calls.

use crate::socket::configure;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::{
    body::Incoming, client::conn::http1 as client, server::conn::http1 as server,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// Bytes of the read buffer of a small server's connection; the least that hyper takes.
const BUFFER_BYTES: usize = 8_192;
/// Time in which a request has to arrive, and for which a connection may stay idle.
const IDLE: Duration = Duration::from_secs(15);
/// Time after which a connection closes whose other end takes nothing in.
const SILENCE: Duration = Duration::from_secs(3);
/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that one small server keeps open.
const CONNECTIONS: usize = 512;
/// Bytes of an answer that a client takes in.
const ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Serves `answer` on `listener` until `end`.
pub async fn serve<Answer, Fut>(listener: TcpListener, end: CancellationToken, answer: Answer)
where
    Answer: Fn(Request<()>) -> Fut + 'static,
    Fut: Future<Output = Response<Bytes>> + 'static,
{
    let answer = Rc::new(answer);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = end.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if connections.len() >= CONNECTIONS || configure(&stream, SILENCE).is_err() {
            continue;
        }
        let answer = Rc::clone(&answer);
        connections.spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = Rc::clone(&answer);
                async move {
                    let (parts, _) = request.into_parts();
                    let response = answer(Request::from_parts(parts, ())).await;
                    Ok::<_, Infallible>(response.map(Full::new))
                }
            });
            let connection = server::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .max_buf_size(BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                log::debug!("http: connection ended: {e}");
            }
        });
    }
    connections.shutdown().await;
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection was made.
    Connect,
    /// The connection broke, or the answer was too large.
    Broken,
    /// No answer came in time.
    Timeout,
}

impl ClientError {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "no connection",
            Self::Broken => "the connection broke",
            Self::Timeout => "no answer in time",
        }
    }
}

/// A client with one connection, which is made anew after any failure.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    open: Option<Open>,
}

#[derive(Debug)]
struct Open {
    sender: client::SendRequest<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Client {
    /// A client of the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, open: None }
    }

    /// Where the server is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for `path` and waits at most `limit` for the whole answer.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the next request makes a new connection.
    pub async fn get(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let mut open = match self.open.take() {
            Some(open) if open.sender.is_ready() => open,
            _ => connect(self.address).await?,
        };
        let answer = timeout(limit, exchange(&mut open, self.address, path)).await;
        let answer = answer.map_err(|_| ClientError::Timeout)??;
        self.open = Some(open);
        Ok(answer)
    }
}

async fn connect(address: SocketAddr) -> Result<Open, ClientError> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ClientError::Connect)?.map_err(|_| ClientError::Connect)?;
    configure(&stream, SILENCE).map_err(|_| ClientError::Connect)?;
    let (sender, connection) =
        client::handshake(TokioIo::new(stream)).await.map_err(|_| ClientError::Connect)?;
    let driver = spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("http: connection to {address} ended: {e}");
        }
    });
    Ok(Open { sender, _driver: AbortOnDropHandle::new(driver) })
}

async fn exchange(
    open: &mut Open,
    address: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), ClientError> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|_| ClientError::Broken)?;
    let response = open.sender.send_request(request).await.map_err(|_| ClientError::Broken)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_BYTES).collect().await;
    Ok((head.status, body.map_err(|_| ClientError::Broken)?.to_bytes()))
}
