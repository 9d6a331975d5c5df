//! Connections to targets.

use super::body::Payload;
use crate::{clock::Clock, socket::configure};
use azuretally_policy::Timestamp;
use http::{HeaderMap, HeaderName, header::CONNECTION};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};
use tokio_util::task::AbortOnDropHandle;

/// Time to make a connection; round trips are a few ms.
const CONNECT: Duration = Duration::from_millis(200);
/// Time after which a connection closes whose other end acknowledges nothing.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Idle time of a target that does not tell its own.
const UNTOLD_IDLE: Duration = Duration::from_secs(4);
/// Part of a target's idle time after which a connection is not used any more, so that a call does
/// not cross its close.
const USABLE_PART: f64 = 0.7;
/// Idle time after which a connection is not trusted with a call that cannot be made again: a
/// target may have forgotten it.
const SURE: Duration = Duration::from_secs(1);
/// Bytes of the read buffer of a connection; the least that hyper takes.
const BUFFER_BYTES: usize = 8_192;
/// Connections kept to one target.
const KEPT: usize = 8;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// No connection could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectError;

/// An open connection, which is closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends calls.
    pub(super) sender: SendRequest<Payload>,
    address: SocketAddr,
    _driver: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Timestamp,
    until: Timestamp,
}

/// Idle connections by address, the last used at the end.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    idle: RefCell<IndexMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// An empty pool.
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, idle: RefCell::default() }
    }

    /// An idle connection to `address`; one that was used a moment ago when it has to be `sure`.
    pub(super) fn take(&self, address: SocketAddr, sure: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            if now >= last.until || !last.connection.sender.is_ready() {
                continue;
            }
            if sure && now.since(last.since) > SURE {
                idle.push(last);
                return None;
            }
            return Some(last.connection);
        }
        None
    }

    /// A new connection to `address`.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] when the target refused it or did not answer in time.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| ConnectError)?.map_err(|_| ConnectError)?;
        configure(&stream, SILENCE).map_err(|_| ConnectError)?;
        let handshake =
            http1::Builder::new().max_buf_size(BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError)?;
        let driver = spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("calls: connection to {address} ended: {e}");
            }
        });
        Ok(Connection { sender, address, _driver: AbortOnDropHandle::new(driver) })
    }

    /// Keeps a connection whose last exchange is over. `idle` is what the target said.
    fn keep(&self, connection: Connection, idle: Option<Duration>) {
        let since = self.clock.now();
        let until = since + idle.unwrap_or(UNTOLD_IDLE).mul_f64(USABLE_PART);
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(connection.address).or_default();
        if kept.len() < KEPT {
            kept.push(Idle { connection, since, until });
        }
    }

    /// Keeps a connection after an answer with the head fields `fields`, unless it is closing.
    pub(super) fn keep_after(&self, connection: Connection, fields: &HeaderMap) {
        if !is_closing(fields) {
            self.keep(connection, idle_time(fields));
        }
    }

    /// Closes connections that must not be used any more.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|i| now < i.until && !i.connection.sender.is_closed());
            !kept.is_empty()
        });
    }
}

fn is_closing(fields: &HeaderMap) -> bool {
    let values = fields.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Idle time that the target promises for the connection.
fn idle_time(fields: &HeaderMap) -> Option<Duration> {
    let value = fields.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|v| v.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
