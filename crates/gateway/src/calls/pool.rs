//! Connections to targets and the pool of idle ones.

use super::{
    allowance::{AllowedStream, ReadAllowance},
    body::RequestBody,
    streams::StreamWatch,
    unread::UnreadAnswer,
};
use crate::{clock::Clock, socket::configure};
use azuretally_policy::{Timestamp, balance::StreamEnd};
use http::{HeaderMap, HeaderName, header::CONNECTION};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

/// Timeout for opening a connection. Round trips are a few ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection is closed if the target does not acknowledge sent data.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle timeout assumed for a target that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of a target's idle timeout after which a connection is no longer used, so that a call
/// does not race with the target closing it.
const USABLE_IDLE_FRACTION: f64 = 0.7;
/// Idle time after which a connection is not used for a call that must not be sent twice, since the
/// target may have dropped the connection unnoticed.
const RECENT_IDLE: Duration = Duration::from_secs(1);
/// Size of the read buffer of a connection, in bytes; the minimum that hyper accepts.
const READ_BUFFER_BYTES: usize = 8_192;
/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 8;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Error returned if a connection cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectError;

/// An open connection. It is closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends requests on the connection.
    pub(super) sender: SendRequest<RequestBody>,
    /// Bytes that the target may send.
    pub(super) allowance: ReadAllowance,
    /// Whether it has carried an earlier request, whose answer the target may send once more.
    pub(super) is_reused: bool,
    address: SocketAddr,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Closes the connection after `delay`, unless the returned handle is dropped before.
    pub(super) fn close_after(&self, delay: Duration) -> AbortOnDropHandle<()> {
        let driver = self.driver.abort_handle();
        let close = async move {
            sleep(delay).await;
            driver.abort();
        };
        AbortOnDropHandle::new(spawn_local(close))
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Timestamp,
    expires_at: Timestamp,
}

/// Idle connections by address, the most recently used last.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    clock: Clock,
    /// Local address of new connections, any if `None`.
    source: Option<IpAddr>,
    idle: RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>,
    unread_answers: mpsc::UnboundedSender<UnreadAnswer>,
    stream_ends: mpsc::UnboundedSender<StreamEnd>,
}

impl ConnectionPool {
    /// Creates an empty pool. Answers that nobody waits for any more are sent to `unread_answers`, and the
    /// ends of those that are passed on as they arrive to `stream_ends`.
    pub(super) fn new(
        clock: Clock,
        source: Option<IpAddr>,
        unread_answers: mpsc::UnboundedSender<UnreadAnswer>,
        stream_ends: mpsc::UnboundedSender<StreamEnd>,
    ) -> Self {
        Self { clock, source, idle: RefCell::default(), unread_answers, stream_ends }
    }

    /// Returns a watch that tells how the body of an answer ends, which may take `time_left`.
    pub(super) fn watch_stream(&self, end: StreamEnd, time_left: Duration) -> Box<StreamWatch> {
        Box::new(StreamWatch::new(end, time_left, self.stream_ends.clone()))
    }

    /// Returns where answers are sent that nobody waits for any more.
    pub(super) fn unread_answers(&self) -> &mpsc::UnboundedSender<UnreadAnswer> {
        &self.unread_answers
    }

    /// Takes an idle connection to `address` out of the pool.
    ///
    /// With `recent_only`, only a connection that has been idle for at most [`RECENT_IDLE`] is
    /// returned.
    pub(super) fn take(&self, address: SocketAddr, recent_only: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            if now >= last.expires_at || !last.connection.sender.is_ready() {
                continue;
            }
            if recent_only && now.since(last.idle_since) > RECENT_IDLE {
                idle.push(last);
                return None;
            }
            last.connection.allowance.renew();
            return Some(last.connection);
        }
        None
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if the target refuses the connection or does not respond in time.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, open(self.source, address)).await;
        let stream = stream.map_err(|_| ConnectError)?.map_err(|_| ConnectError)?;
        configure(&stream, ACK_TIMEOUT).map_err(|_| ConnectError)?;
        let allowance = ReadAllowance::new();
        let stream = AllowedStream::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| ConnectError)?;
        let driver = spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("calls: connection to {address} ended: {e}");
            }
        });
        let driver = AbortOnDropHandle::new(driver);
        Ok(Connection { sender, allowance, is_reused: false, address, driver })
    }

    /// Adds an idle connection, for which the target announced `idle_timeout`.
    fn insert(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        connection.is_reused = true;
        let idle_since = self.clock.now();
        let expires_at =
            idle_since + idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(USABLE_IDLE_FRACTION);
        let mut all = self.idle.borrow_mut();
        let connections = all.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { connection, idle_since, expires_at });
        }
    }

    /// Returns a connection to the pool after a response with `headers`, unless these say that it
    /// closes.
    pub(super) fn release(&self, connection: Connection, headers: &HeaderMap) {
        if !is_closing(headers) {
            self.insert(connection, keep_alive_timeout(headers));
        }
    }

    /// Closes connections that have expired or were closed by the target.
    pub(super) fn remove_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|i| now < i.expires_at && !i.connection.sender.is_closed());
            !connections.is_empty()
        });
    }
}

async fn open(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Returns the idle timeout that the target announces in the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|v| v.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
