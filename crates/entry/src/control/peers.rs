//! Sockets between entries.
//!
//! Each entry pulls messages on one socket and pushes to each peer on a socket of its own. Nothing
//! here waits: a message that a peer does not take is dropped, the state machine tells again.

use super::{error::PeerError, handle::ControlCounters};
use azuretally_policy::fleet::MAX_MESSAGE_BYTES;
use indexmap::IndexMap;
use nng::{
    Aio, AioResult, Protocol, Socket,
    options::{
        Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
    },
};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::mpsc;

/// Messages that may wait for control.
const INBOX_MESSAGES: usize = 1_024;
/// Messages that may wait for a peer.
const OUTBOX_MESSAGES: i32 = 16;
/// Peers to which connections are kept.
const OPEN_PEERS: usize = 128;
const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_millis(1_000);

/// All sockets of one entry.
#[derive(Debug)]
pub(super) struct Peers {
    listener: Socket,
    aio: Aio,
    open: IndexMap<SocketAddr, Socket>,
}

/// Messages from peers, in the order in which they came.
pub(super) type Inbox = mpsc::Receiver<Vec<u8>>;

impl Peers {
    /// Listens on `address`.
    pub(super) fn listen(address: SocketAddr) -> Result<(Self, Inbox), PeerError> {
        let (sender, inbox) = mpsc::channel(INBOX_MESSAGES);
        let listener = Socket::new(Protocol::Pull0)?;
        listener.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        listener.set_opt::<RecvBufferSize>(OUTBOX_MESSAGES)?;
        let socket = listener.clone();
        let aio = Aio::new(move |aio, result| match result {
            AioResult::Recv(Ok(message)) => {
                // A full inbox drops the message, like the network would.
                let _ = sender.try_send(message.as_slice().to_vec());
                let _ = socket.recv_async(&aio);
            }
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
            AioResult::Recv(Err(_)) => _ = socket.recv_async(&aio),
            AioResult::Send(_) | AioResult::Sleep(_) => {}
        })?;
        listener.recv_async(&aio)?;
        listener.listen(&url(address))?;
        Ok((Self { listener, aio, open: IndexMap::new() }, inbox))
    }

    /// Sends to the peer that listens on `address`, or drops the message.
    pub(super) fn send(&mut self, address: SocketAddr, bytes: &[u8], counters: &ControlCounters) {
        let sent = match self.socket(address) {
            Ok(socket) => socket.try_send(bytes).is_ok(),
            Err(_) => false,
        };
        if sent {
            ControlCounters::add(&counters.sent_messages, 1);
            ControlCounters::add(&counters.sent_bytes, bytes.len());
        } else {
            ControlCounters::add(&counters.unsent_messages, 1);
        }
    }

    /// Gives up the connection to `address`; the next message makes a new one.
    pub(super) fn redial(&mut self, address: SocketAddr) {
        if let Some(socket) = self.open.shift_remove(&address) {
            socket.close();
        }
    }

    /// Closes every socket and waits for the one callback that may be running.
    pub(super) fn close(self) {
        for socket in self.open.values() {
            socket.close();
        }
        self.aio.cancel();
        self.listener.close();
        self.aio.wait();
    }

    fn socket(&mut self, address: SocketAddr) -> Result<&Socket, PeerError> {
        if let Some(at) = self.open.get_index_of(&address) {
            // The least recently used socket stays first.
            self.open.move_index(at, self.open.len() - 1);
            return Ok(&self.open[self.open.len() - 1]);
        }
        if self.open.len() >= OPEN_PEERS
            && let Some((_, socket)) = self.open.shift_remove_index(0)
        {
            socket.close();
        }
        let socket = dial(address)?;
        Ok(self.open.entry(address).or_insert(socket))
    }
}

fn dial(address: SocketAddr) -> Result<Socket, PeerError> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(OUTBOX_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
