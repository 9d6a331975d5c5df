//! Pool of connections to targets and peers.
//!
//! A connection can stop responding while others to the same address still work. The pool
//! therefore judges each connection by the time of its own last response.

use super::{
    body::RequestBody,
    limits::{CONNECT_TIMEOUT, IDLE_TIMEOUT, RECENT_ACTIVITY, UPSTREAM_TCP_TIMEOUT},
};
use crate::{clock::Clock, socket::configure};
use azuretally_policy::Timestamp;
use http::HeaderValue;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::TaskTracker;

/// Which idle connections may be reused instead of opening a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReusePolicy {
    /// Any idle connection.
    Any,
    /// Connections that have answered within [`RECENT_ACTIVITY`].
    RecentlyActive,
    /// Connections that have answered since this time.
    AnsweredSince(Timestamp),
    /// None: a new connection is opened.
    Never,
}

/// A connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectError;

/// An open connection.
pub(super) struct Connection {
    /// Sends requests on the connection.
    pub(super) sender: SendRequest<RequestBody>,
    address: SocketAddr,
    /// Time at which the connection was opened or last released to the pool, normally after a
    /// response.
    last_active: Timestamp,
    /// Whether a response on the connection has named its attempt, so that all of them must.
    names_attempts: bool,
}

impl Connection {
    /// Returns whether a response that names the attempt `named`, if any, is the one to `attempt`, and not a
    /// late copy of the response to an earlier request on the connection.
    pub(super) fn is_response_to(
        &mut self,
        attempt: &HeaderValue,
        named: Option<&HeaderValue>,
    ) -> bool {
        self.names_attempts |= named.is_some();
        match named {
            Some(named) => named == attempt,
            None => !self.names_attempts,
        }
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Idle connections, by address.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    clock: Clock,
    tasks: TaskTracker,
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
    /// Set by the planned stop. Released connections are then closed.
    closed: AtomicBool,
}

impl ConnectionPool {
    /// Creates an empty pool. Tasks that drive its connections are spawned on `tasks`.
    pub(super) fn new(clock: Clock, tasks: TaskTracker) -> Self {
        Self { clock, tasks, idle: Mutex::default(), closed: AtomicBool::new(false) }
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if no connection could be opened within [`CONNECT_TIMEOUT`].
    pub(super) async fn acquire(
        &self,
        address: SocketAddr,
        reuse: ReusePolicy,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(address, reuse) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        match timeout(CONNECT_TIMEOUT, self.connect(address)).await {
            Ok(connection) => connection,
            Err(_) => Err(ConnectError),
        }
    }

    /// Returns a connection to the pool and records that it was active until now.
    pub(super) fn release(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.last_active = self.clock.now();
        let mut idle = self.idle.lock();
        if !self.closed.load(Ordering::Relaxed) {
            idle.entry(connection.address).or_default().push(connection);
        }
    }

    /// Closes idle connections to `address` that have not answered since `since`, because another
    /// connection to the address stopped responding.
    pub(super) fn close_inactive(&self, address: SocketAddr, since: Timestamp) {
        if let Some(idle) = self.idle.lock().get_mut(&address) {
            idle.retain(|c| c.last_active >= since);
        }
    }

    /// Closes connections that have been idle for [`IDLE_TIMEOUT`].
    pub(super) fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.lock().retain(|_, idle| {
            idle.retain(|c| now - c.last_active < IDLE_TIMEOUT && !c.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes every idle connection now, and every connection in use when it is released.
    pub(super) fn close(&self) {
        let mut idle = self.idle.lock();
        self.closed.store(true, Ordering::Relaxed);
        idle.clear();
    }

    fn take_idle(&self, address: SocketAddr, reuse: ReusePolicy) -> Option<Connection> {
        let now = self.clock.now();
        let mut pool = self.idle.lock();
        let idle = pool.get_mut(&address)?;
        idle.pop_if(|c| match reuse {
            ReusePolicy::Any => true,
            ReusePolicy::RecentlyActive => now - c.last_active < RECENT_ACTIVITY,
            ReusePolicy::AnsweredSince(time) => c.last_active >= time,
            ReusePolicy::Never => false,
        })
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = TcpStream::connect(address).await.map_err(|_| ConnectError)?;
        configure(&stream, UPSTREAM_TCP_TIMEOUT).map_err(|_| ConnectError)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| ConnectError)?;
        self.tasks.spawn(async move {
            // Connection errors are returned by the request that uses the connection.
            let _ = driver.await;
        });
        let last_active = self.clock.now();
        Ok(Connection { sender, address, last_active, names_attempts: false })
    }
}
