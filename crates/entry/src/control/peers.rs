//! Connections for messages between entries.
//!
//! Each entry accepts connections for incoming messages and keeps one for outgoing messages to each peer.
//! Sending never blocks: a message that cannot be queued for a peer is dropped, since the state machine
//! sends its content again.
//!
//! The messages are framed as the scalability protocols are over TCP, push to pull: entries of earlier
//! builds do the same with the library nng.

use super::handle::ControlCounters;
use crate::socket::configure;
use azuretally_policy::fleet::MAX_MESSAGE_BYTES;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    task::AbortOnDropHandle,
};

/// Capacity of the queue of received messages.
const INBOX_CAPACITY: usize = 1_024;
/// Number of messages that are queued for each peer.
const QUEUE_CAPACITY: usize = 16;
/// Maximum number of connections to peers.
const MAX_OPEN_CONNECTIONS: usize = 128;
/// Maximum number of connections from peers; further ones are closed at once.
const MAX_ACCEPTED_CONNECTIONS: usize = 2_048;
/// First delay before a lost connection is established again, also after a failure to accept one.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Limit of the delay, which doubles with each failed attempt.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_000);
/// Time within which a connection is established and both sides have named their protocols.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a connection from a peer that sends nothing is closed, since the peer may be gone without
/// a sign. Peers in touch send several messages a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after which the kernel ends a connection whose bytes are not acknowledged. The state machine ends
/// the connections to silent peers much earlier.
const TCP_TIMEOUT: Duration = Duration::from_secs(30);

/// First bytes on a connection of the side that sends messages: `SP`, version 0, protocol push, reserved.
const PUSH_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
/// The same of the side that receives them: protocol pull.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// The connections of one entry. They end when this is dropped.
#[derive(Debug)]
pub(super) struct PeerConnections {
    _listener: AbortOnDropHandle<()>,
    /// Connections to peers by address, least recently used first.
    open: IndexMap<SocketAddr, PeerConnection>,
}

/// Messages from peers, in order of arrival.
pub(super) type Inbox = mpsc::Receiver<BytesMut>;

/// A connection to a peer, which is established again when it is lost.
#[derive(Debug)]
struct PeerConnection {
    queue: mpsc::Sender<Bytes>,
    _task: AbortOnDropHandle<()>,
}

impl PeerConnections {
    /// Listens for messages on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(super) async fn listen(address: SocketAddr) -> io::Result<(Self, Inbox)> {
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(accept_all(listener, sender));
        let listener = AbortOnDropHandle::new(task);
        Ok((Self { _listener: listener, open: IndexMap::new() }, inbox))
    }

    /// Queues a message for the peer that listens on `address`, or drops it if that is not
    /// possible.
    pub(super) fn send(&mut self, address: SocketAddr, bytes: Vec<u8>, counters: &ControlCounters) {
        let length = bytes.len();
        match self.connection(address).queue.try_send(bytes.into()) {
            Ok(()) => {
                ControlCounters::add(&counters.sent_messages, 1);
                ControlCounters::add(&counters.sent_bytes, length);
            }
            Err(_) => ControlCounters::add(&counters.unsent_messages, 1),
        }
    }

    /// Closes the connection to `address`. The next message opens a new one.
    pub(super) fn disconnect(&mut self, address: SocketAddr) {
        self.open.shift_remove(&address);
    }

    fn connection(&mut self, address: SocketAddr) -> &PeerConnection {
        match self.open.get_index_of(&address) {
            // Moves the connection to the end, which keeps the least recently used one first.
            Some(index) => self.open.move_index(index, self.open.len() - 1),
            None if self.open.len() >= MAX_OPEN_CONNECTIONS => _ = self.open.shift_remove_index(0),
            None => {}
        }
        self.open.entry(address).or_insert_with(|| PeerConnection::open(address))
    }
}

impl PeerConnection {
    fn open(address: SocketAddr) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let task = AbortOnDropHandle::new(tokio::spawn(send_all(address, messages)));
        Self { queue, _task: task }
    }
}

/// Accepts connections and passes on their messages. Never returns.
async fn accept_all(listener: TcpListener, inbox: mpsc::Sender<BytesMut>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_ACCEPTED_CONNECTIONS => {
                    connections.spawn(receive_all(stream, inbox.clone()));
                }
                Ok((_, from)) => log::warn!("control: too many peers, connection of {from} closed"),
                Err(e) => {
                    log::warn!("control: no connection of a peer can be accepted: {e}");
                    sleep(MIN_RECONNECT_DELAY).await;
                }
            }
        }
    }
}

/// Passes on the messages of a connection until it ends.
async fn receive_all(mut stream: TcpStream, inbox: mpsc::Sender<BytesMut>) {
    let greeting = greet(&mut stream, PULL_GREETING, PUSH_GREETING);
    if !matches!(timeout(GREETING_TIMEOUT, greeting).await, Ok(Ok(()))) {
        return;
    }
    let mut messages = framed(stream);
    while let Ok(Some(Ok(message))) = timeout(IDLE_TIMEOUT, messages.next()).await {
        // If the inbox is full, the message is dropped, as on a lossy network.
        let _ = inbox.try_send(message);
    }
}

/// Sends messages to the peer that listens on `address` until `messages` is closed.
async fn send_all(address: SocketAddr, mut messages: mpsc::Receiver<Bytes>) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        if let Ok(Ok(stream)) = timeout(GREETING_TIMEOUT, connect(address)).await {
            delay = MIN_RECONNECT_DELAY;
            if forward(stream, &mut messages).await.is_ok() {
                return;
            }
        }
        sleep(delay).await;
        delay = (2 * delay).min(MAX_RECONNECT_DELAY);
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    greet(&mut stream, PUSH_GREETING, PULL_GREETING).await?;
    Ok(stream)
}

/// Writes messages until `messages` is closed.
///
/// # Errors
///
/// Returns an error if the connection ends before.
async fn forward(stream: TcpStream, messages: &mut mpsc::Receiver<Bytes>) -> io::Result<()> {
    let mut framed = framed(stream);
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => framed.send(message).await?,
                None => return Ok(()),
            },
            // The peer sends nothing but its end.
            _ = framed.next() => return Err(ErrorKind::UnexpectedEof.into()),
        }
    }
}

/// Names the own protocol, and checks that of the peer.
async fn greet(stream: &mut TcpStream, own: [u8; 8], expected: [u8; 8]) -> io::Result<()> {
    configure(stream, TCP_TIMEOUT)?;
    stream.write_all(&own).await?;
    let mut greeting = [0; 8];
    stream.read_exact(&mut greeting).await?;
    if greeting == expected { Ok(()) } else { Err(ErrorKind::InvalidData.into()) }
}

/// Returns `stream` as messages, each after its length in 8 bytes.
fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .length_field_type::<u64>()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream)
}
