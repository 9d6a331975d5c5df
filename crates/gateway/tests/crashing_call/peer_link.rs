//! The link between one gateway and its peers, which can be cut while the processes run.
//!
//! The gateway uses other ports for its peers than these do, so that all that it exchanges with them
//! passes through sockets of the test. These keep the address of the sender, which identifies it.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    sync::Notify,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Ports for catalog updates (TCP) and heartbeats (UDP) of ordinary gateways.
pub(crate) const PEER_PORTS: (u16, u16) = (7_003, 7_004);
/// The same of the gateway behind the link.
pub(crate) const LINKED_PORTS: (u16, u16) = (7_103, 7_104);
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// A link that passes on datagrams and connections unless it is cut.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    is_cut: AtomicBool,
    changed: Notify,
}

impl PeerLink {
    /// Cuts or restores the link. A cut ends all connections.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
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
            if !self.is_cut() {
                let _ = outer.send_to(&buffer[..bytes], to).await;
            }
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
            if let Some((_, socket)) = socket.filter(|_| !self.is_cut()) {
                let _ = socket.send_to(&buffer[..bytes], to).await;
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
        if self.is_cut() {
            return;
        }
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
