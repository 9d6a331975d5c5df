//! A link, which forwards connections from a listening address to a target address.

use super::pump::{LinkState, Turn, pump};
use bytes::BytesMut;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Faults of a link. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Open connections are reset, and new ones are reset at once.
    pub cut: bool,
    /// Bytes from the client are read and discarded; connections stay open.
    pub drop_forward: bool,
    /// Bytes to the client are read and discarded; connections stay open.
    pub drop_backward: bool,
    /// Connections that are open when this is set discard all bytes in both directions for the rest
    /// of their lifetime. New connections are not affected.
    pub silence_open: bool,
    /// Delay added in each direction, in ms.
    pub delay_ms: u64,
    /// Throughput limit of each direction, in bytes per second; 0 means no limit.
    pub drip_bytes_per_s: u64,
    /// When the client sends its next request on a connection, it gets the latest answer that came since this
    /// was set once more, late.
    pub repeat_answers: bool,
    /// Bytes of the next answer on a connection after which the connection ends; 0 means no end.
    pub truncate_answers_to: usize,
    /// In the place of the next answer on a connection, the client gets a header without end.
    pub endless_answers: bool,
}

/// Connection counters of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounts {
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Connections that are open and connected to the target.
    pub open: u64,
}

/// A link with its faults and counters.
#[derive(Debug)]
pub struct Link {
    state: watch::Sender<LinkState>,
    accepted: AtomicU64,
    open: AtomicU64,
    target: Mutex<SocketAddr>,
    /// Whether connections to the target come from the address of the client.
    keeps_source: bool,
}

impl Link {
    /// Creates a link to `target` without faults.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            state: watch::Sender::new(LinkState::default()),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            target: Mutex::new(target),
            keeps_source: false,
        }
    }

    /// Connects to the target from the address of each client, which must be one of this host, so that
    /// the target can tell clients apart.
    pub fn keeping_source(mut self) -> Self {
        self.keeps_source = true;
        self
    }

    /// Replaces the active faults. They also apply to open connections.
    pub fn set_faults(&self, faults: Faults) {
        let next_number = self.accepted.load(Ordering::SeqCst);
        self.state.send_modify(|state| {
            state.faults = faults;
            if faults.silence_open {
                state.silent_below = next_number;
            }
        });
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.state.borrow().faults
    }

    /// Returns the connection counters.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            accepted: self.accepted.load(Ordering::SeqCst),
            open: self.open.load(Ordering::SeqCst),
        }
    }

    /// Forwards new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }

    /// Forwards connections until `stop` is cancelled, then closes them.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => {
                        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
                        let source = self.keeps_source.then_some(from.ip());
                        let link = Arc::clone(&self);
                        connections.spawn(link.forward_connection(stream, number, source));
                    }
                    Err(e) => log::warn!("proxy: accept failed: {e}"),
                },
            }
        }
        connections.shutdown().await;
    }

    async fn forward_connection(
        self: Arc<Self>,
        mut client: TcpStream,
        number: u64,
        source: Option<IpAddr>,
    ) {
        if self.faults().cut {
            let _ = client.set_zero_linger();
            return;
        }
        let target = *self.target.lock();
        let connected = match source {
            Some(source) => connect_from(source, target).await,
            None => TcpStream::connect(target).await,
        };
        let Ok(mut upstream) = connected else {
            let _ = client.set_zero_linger();
            return;
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        let _open = OpenConnection(&self.open);
        let _ = client.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let mut state = self.state.subscribe();
        let cut = async {
            let _ = state.wait_for(|s| s.faults.cut).await;
        };
        let reset = {
            let (client_read, client_write) = client.split();
            let (upstream_read, upstream_write) = upstream.split();
            let (requests, asked) = mpsc::unbounded_channel();
            let (requests, answers) =
                (Turn::Requests(requests), Turn::Answers(asked, BytesMut::new()));
            let state = || self.state.subscribe();
            let to_upstream =
                pump(client_read, upstream_write, state(), number, requests, |f| f.drop_forward);
            let to_client =
                pump(upstream_read, client_write, state(), number, answers, |f| f.drop_backward);
            tokio::select! {
                () = cut => true,
                _ = async { tokio::join!(to_upstream, to_client) } => false,
            }
        };
        if reset {
            let _ = client.set_zero_linger();
            let _ = upstream.set_zero_linger();
        }
    }
}

/// Connects to `target` from the address `source` of this host.
///
/// # Errors
///
/// Returns an error if `source` is not an address of this host or the connection fails.
pub async fn connect_from(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// Counts an open connection until dropped.
struct OpenConnection<'a>(&'a AtomicU64);

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
