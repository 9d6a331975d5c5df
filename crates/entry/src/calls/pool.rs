//! Connections to targets and peers.
//!
//! A connection can go silent while others to the same address work, so each is judged on its
//! own: by the time of its last answer.

use super::{
    body::Payload,
    limits::{CONNECT_TIMEOUT, FRESH, IDLE, UPSTREAM_SILENCE},
};
use crate::{clock::Clock, socket::configure};
use azuretally_policy::Timestamp;
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

/// How far a connection must be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    /// Any open connection will do.
    Any,
    /// It must be new or have answered a moment ago.
    Fresh,
    /// It must be new or have answered since this time.
    Since(Timestamp),
    /// It must be new.
    New,
}

/// No connection could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectError;

/// One open connection.
pub(super) struct Connection {
    /// Sends requests.
    pub(super) sender: SendRequest<Payload>,
    address: SocketAddr,
    answered: Timestamp,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Idle connections by address.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    tasks: TaskTracker,
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
    /// Set by the planned stop: connections are closed when they come back.
    closed: AtomicBool,
}

impl Pool {
    /// An empty pool whose connections are driven by tasks of `tasks`.
    pub(super) fn new(clock: Clock, tasks: TaskTracker) -> Self {
        Self { clock, tasks, idle: Mutex::default(), closed: AtomicBool::new(false) }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] when none could be made in time.
    pub(super) async fn take(
        &self,
        address: SocketAddr,
        trust: Trust,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(address, trust) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        match timeout(CONNECT_TIMEOUT, self.connect(address)).await {
            Ok(connection) => connection,
            Err(_) => Err(ConnectError),
        }
    }

    /// Keeps a connection that has just given a whole answer.
    pub(super) fn keep(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.answered = self.clock.now();
        let mut idle = self.idle.lock();
        if !self.closed.load(Ordering::Relaxed) {
            idle.entry(connection.address).or_default().push(connection);
        }
    }

    /// Closes idle connections to `address` that have not answered since `since`, because another
    /// connection to it went silent.
    pub(super) fn suspect(&self, address: SocketAddr, since: Timestamp) {
        if let Some(idle) = self.idle.lock().get_mut(&address) {
            idle.retain(|c| c.answered >= since);
        }
    }

    /// Closes connections that were idle for long.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        self.idle.lock().retain(|_, idle| {
            idle.retain(|c| now - c.answered < IDLE && !c.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes every idle connection, and each one in use when it comes back.
    pub(super) fn close(&self) {
        let mut idle = self.idle.lock();
        self.closed.store(true, Ordering::Relaxed);
        idle.clear();
    }

    fn take_idle(&self, address: SocketAddr, trust: Trust) -> Option<Connection> {
        let now = self.clock.now();
        let mut pool = self.idle.lock();
        let idle = pool.get_mut(&address)?;
        idle.pop_if(|c| match trust {
            Trust::Any => true,
            Trust::Fresh => now - c.answered < FRESH,
            Trust::Since(time) => c.answered >= time,
            Trust::New => false,
        })
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = TcpStream::connect(address).await.map_err(|_| ConnectError)?;
        configure(&stream, UPSTREAM_SILENCE).map_err(|_| ConnectError)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| ConnectError)?;
        self.tasks.spawn(async move {
            // Faults of the connection show at the request that uses it.
            let _ = driver.await;
        });
        Ok(Connection { sender, address, answered: self.clock.now() })
    }
}
