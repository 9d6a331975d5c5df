//! The link between one gateway and its peers, which can be cut while the processes run.
//!
//! The gateway uses other ports for its peers than these do, so that all that it exchanges with them
//! passes through sockets of the test. These keep the address of the sender, which identifies it.

use parking_lot::Mutex;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Ports for catalog updates (TCP) and heartbeats (UDP) of ordinary gateways.
pub(crate) const PEER_PORTS: (u16, u16) = (7_003, 7_004);
/// The same of the gateway behind the link.
pub(crate) const LINKED_PORTS: (u16, u16) = (7_103, 7_104);
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time within which an event on the link must come, and interval at which it is looked for.
const EVENT_TIME: Duration = Duration::from_secs(60);
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What has happened to the datagrams of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Datagrams {
    pub(crate) passed: usize,
    pub(crate) withheld: usize,
}

/// Figures of a link since it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// From the peers to the gateway.
    pub(crate) inward: Datagrams,
    /// From the gateway to its peers.
    pub(crate) outward: Datagrams,
    /// Connections that have been passed on, in both directions.
    pub(crate) connections: usize,
}

impl Traffic {
    /// Returns whether datagrams of both directions were withheld since `start`.
    pub(crate) fn is_withheld_since(&self, start: &Self) -> bool {
        self.inward.withheld > start.inward.withheld
            && self.outward.withheld > start.outward.withheld
    }

    /// Returns whether datagrams of both directions were passed on since `start`.
    pub(crate) fn is_passed_since(&self, start: &Self) -> bool {
        self.inward.passed > start.inward.passed && self.outward.passed > start.outward.passed
    }

    /// Returns whether nothing at all was passed on since `start`.
    pub(crate) fn is_silent_since(&self, start: &Self) -> bool {
        let passed = |t: &Self| (t.inward.passed, t.outward.passed, t.connections);
        passed(self) == passed(start)
    }
}

#[derive(Debug, Default)]
struct LinkState {
    is_cut: bool,
    traffic: Traffic,
    /// Connections that are passed on at present.
    open: usize,
}

/// A link that passes on datagrams and connections unless it is cut.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    state: Mutex<LinkState>,
    changed: Notify,
}

impl PeerLink {
    /// Cuts the link and returns its figures once all connections have ended.
    pub(crate) async fn cut(&self) -> Traffic {
        self.state.lock().is_cut = true;
        self.changed.notify_waiters();
        wait_until("the connections end", || self.state.lock().open == 0).await;
        self.traffic()
    }

    /// Restores the link. Returns its figures at the end of the cut.
    pub(crate) fn restore(&self) -> Traffic {
        let mut state = self.state.lock();
        state.is_cut = false;
        state.traffic
    }

    /// Returns the figures of the link.
    pub(crate) fn traffic(&self) -> Traffic {
        self.state.lock().traffic
    }

    /// Waits until the figures satisfy `is_reached`; `event` says what that means.
    pub(crate) async fn wait_for<IsReached>(&self, event: &str, is_reached: IsReached)
    where
        IsReached: Fn(&Traffic) -> bool,
    {
        wait_until(event, || is_reached(&self.traffic())).await;
    }

    /// Counts a datagram and sends it with `send` unless the link is cut.
    fn pass<Choose, Send>(&self, direction: Choose, send: Send)
    where
        Choose: Fn(&mut Traffic) -> &mut Datagrams,
        Send: FnOnce() -> io::Result<usize>,
    {
        let mut state = self.state.lock();
        if state.is_cut {
            direction(&mut state.traffic).withheld += 1;
        } else if send().is_ok() {
            direction(&mut state.traffic).passed += 1;
        }
    }

    /// Connects the gateway at `linked` with `peers` until `stop` is cancelled.
    pub(crate) async fn run(
        self: Arc<Self>,
        linked: IpAddr,
        peers: Vec<IpAddr>,
        stop: CancellationToken,
    ) {
        let mut tasks = JoinSet::new();
        let outer = Arc::new(bind_datagrams(linked, PEER_PORTS.1).await);
        let mut inner = Vec::new();
        for peer in &peers {
            let socket = Arc::new(bind_datagrams(*peer, LINKED_PORTS.1).await);
            inner.push((*peer, Arc::clone(&socket)));
            let to = SocketAddr::new(*peer, PEER_PORTS.1);
            tasks.spawn(Arc::clone(&self).pass_outward(socket, Arc::clone(&outer), to));
            let listener = bind_listener(*peer, LINKED_PORTS.0).await;
            let to = SocketAddr::new(*peer, PEER_PORTS.0);
            tasks.spawn(Arc::clone(&self).pass_connections(listener, to));
        }
        let to = SocketAddr::new(linked, LINKED_PORTS.1);
        tasks.spawn(Arc::clone(&self).pass_inward(outer, inner, to));
        let listener = bind_listener(linked, PEER_PORTS.0).await;
        let to = SocketAddr::new(linked, LINKED_PORTS.0);
        tasks.spawn(Arc::clone(&self).pass_connections(listener, to));
        stop.cancelled().await;
        tasks.shutdown().await;
    }

    async fn pass_outward(
        self: Arc<Self>,
        from: Arc<UdpSocket>,
        outer: Arc<UdpSocket>,
        to: SocketAddr,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((bytes, _)) = from.recv_from(&mut buffer).await else { continue };
            self.pass(|t| &mut t.outward, || outer.try_send_to(&buffer[..bytes], to));
        }
    }

    async fn pass_inward(
        self: Arc<Self>,
        outer: Arc<UdpSocket>,
        inner: Vec<(IpAddr, Arc<UdpSocket>)>,
        to: SocketAddr,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((bytes, from)) = outer.recv_from(&mut buffer).await else { continue };
            let socket = inner.iter().find(|(peer, _)| *peer == from.ip());
            if let Some((_, socket)) = socket {
                self.pass(|t| &mut t.inward, || socket.try_send_to(&buffer[..bytes], to));
            }
        }
    }

    async fn pass_connections(self: Arc<Self>, listener: TcpListener, to: SocketAddr) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, from)) = accepted {
                    connections.spawn(Arc::clone(&self).pass_connection(stream, from.ip(), to));
                }
            }
        }
    }

    async fn pass_connection(self: Arc<Self>, mut near: TcpStream, from: IpAddr, to: SocketAddr) {
        let changed = self.changed.notified();
        let Some(_open) = OpenConnection::new(&self) else { return };
        let pass = async {
            let mut far = connect_from(from, to).await?;
            copy_bidirectional(&mut near, &mut far).await
        };
        tokio::select! {
            _ = pass => {}
            () = changed => {}
        }
    }
}

/// A connection that is passed on. It counts as open until it is dropped.
struct OpenConnection<'a>(&'a PeerLink);

impl<'a> OpenConnection<'a> {
    /// Returns `None` if the link is cut.
    fn new(link: &'a PeerLink) -> Option<Self> {
        let mut state = link.state.lock();
        if state.is_cut {
            return None;
        }
        state.open += 1;
        state.traffic.connections += 1;
        Some(Self(link))
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.state.lock().open -= 1;
    }
}

/// Waits until `is_reached`, for [`EVENT_TIME`] at most.
async fn wait_until<IsReached>(event: &str, is_reached: IsReached)
where
    IsReached: Fn() -> bool,
{
    let end = Instant::now() + EVENT_TIME;
    while !is_reached() {
        assert!(Instant::now() < end, "not within {EVENT_TIME:?}: {event}");
        sleep(LOOK_INTERVAL).await;
    }
}

/// Connects to `to` from the address `from`.
pub(crate) async fn connect_from(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

async fn bind_datagrams(address: IpAddr, port: u16) -> UdpSocket {
    UdpSocket::bind((address, port)).await.expect("a free address")
}

async fn bind_listener(address: IpAddr, port: u16) -> TcpListener {
    TcpListener::bind((address, port)).await.expect("a free address")
}
