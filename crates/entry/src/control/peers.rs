//! Sockets for messages between entries.
//!
//! Each entry has one pull socket for incoming messages and one push socket for each peer. Sending
//! never blocks: a message that cannot be queued for a peer is dropped, since the state machine
//! sends its content again.

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

/// Capacity of the queue of received messages.
const INBOX_CAPACITY: usize = 1_024;
/// Number of messages that each socket buffers.
const SOCKET_BUFFER_MESSAGES: i32 = 16;
/// Maximum number of peers with an open socket.
const MAX_OPEN_SOCKETS: usize = 128;
/// First delay before a lost connection is established again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Limit of the delay, which grows with each failed attempt.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_000);

/// The sockets of one entry.
#[derive(Debug)]
pub(super) struct PeerSockets {
    listener: Socket,
    aio: Aio,
    /// Push sockets by address, least recently used first.
    open: IndexMap<SocketAddr, Socket>,
}

/// Messages from peers, in order of arrival.
pub(super) type Inbox = mpsc::Receiver<Vec<u8>>;

impl PeerSockets {
    /// Listens for messages on `address`.
    pub(super) fn listen(address: SocketAddr) -> Result<(Self, Inbox), PeerError> {
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let listener = Socket::new(Protocol::Pull0)?;
        listener.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        listener.set_opt::<RecvBufferSize>(SOCKET_BUFFER_MESSAGES)?;
        let socket = listener.clone();
        let aio = Aio::new(move |aio, result| match result {
            AioResult::Recv(Ok(message)) => {
                // If the inbox is full, the message is dropped, as on a lossy network.
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

    /// Queues a message for the peer that listens on `address`, or drops it if that is not
    /// possible.
    pub(super) fn send(&mut self, address: SocketAddr, bytes: &[u8], counters: &ControlCounters) {
        let sent = match self.push_socket(address) {
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

    /// Closes the connection to `address`. The next message opens a new one.
    pub(super) fn disconnect(&mut self, address: SocketAddr) {
        if let Some(socket) = self.open.shift_remove(&address) {
            socket.close();
        }
    }

    /// Closes all sockets and waits for a receive callback that may still be running.
    pub(super) fn close(self) {
        for socket in self.open.values() {
            socket.close();
        }
        self.aio.cancel();
        self.listener.close();
        self.aio.wait();
    }

    fn push_socket(&mut self, address: SocketAddr) -> Result<&Socket, PeerError> {
        if let Some(index) = self.open.get_index_of(&address) {
            // Moves the socket to the end, which keeps the least recently used one first.
            self.open.move_index(index, self.open.len() - 1);
            return Ok(&self.open[self.open.len() - 1]);
        }
        if self.open.len() >= MAX_OPEN_SOCKETS
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
    socket.set_opt::<SendBufferSize>(SOCKET_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
    socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
