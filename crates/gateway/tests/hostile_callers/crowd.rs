//! Crowds of hostile callers.

use super::{deployment::Deployment, ordinary};
use bytes::Bytes;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time for which a crowd keeps its connections before an ordinary request is sent beside it.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time for which a caller stays after it has sent what it sends, beyond the end of a test.
const STAY_TIME: Duration = Duration::from_secs(60);
/// Pause between pieces.
const PIECE_DELAY: Duration = Duration::from_millis(1);
/// Pause between the bytes of a slow caller.
const SLOW_DELAY: Duration = Duration::from_millis(100);
/// Pause before a caller whose connection was closed connects again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Times that a caller connects.
const TRIES: usize = 4;
/// Size of the receive buffer of a caller that does not read, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// How the callers of a crowd behave once they have sent the beginning of what they send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Sends no further byte and reads nothing.
    Stop,
    /// Sends one byte at a time.
    SendSlowly,
    /// Reads one byte at a time.
    ReadSlowly,
}

/// A number of equal callers.
#[derive(Clone, Debug)]
pub(crate) struct Crowd {
    pub(crate) callers: usize,
    pub(crate) address: SocketAddr,
    /// What each caller sends.
    pub(crate) bytes: Bytes,
    /// Size of the pieces in which it sends them.
    pub(crate) piece: usize,
    pub(crate) manner: Manner,
}

impl Crowd {
    /// Creates a crowd that sends `bytes` in one piece and stops.
    pub(crate) fn new(callers: usize, address: SocketAddr, bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self { callers, address, piece: bytes.len().max(1), bytes, manner: Manner::Stop }
    }

    pub(crate) fn in_pieces(self, piece: usize) -> Self {
        Self { piece, ..self }
    }

    pub(crate) fn manner(self, manner: Manner) -> Self {
        Self { manner, ..self }
    }

    /// Checks that ordinary requests are answered beside the crowd and after it.
    pub(crate) async fn meet(self, deployment: &Deployment) {
        Self::meet_all(vec![self], deployment).await;
    }

    /// Checks that ordinary requests are answered after the crowd.
    pub(crate) async fn meet_alone(self, deployment: &Deployment) {
        let mut callers = JoinSet::new();
        for _ in 0..self.callers {
            callers.spawn(self.clone().stay());
        }
        sleep(HOLD_TIME).await;
        callers.shutdown().await;
        ordinary::assert_served(deployment).await;
    }

    /// Like [`meet`](Self::meet) with several crowds at the same time.
    pub(crate) async fn meet_all(crowds: Vec<Self>, deployment: &Deployment) {
        let mut callers = JoinSet::new();
        for crowd in crowds {
            for _ in 0..crowd.callers {
                callers.spawn(crowd.clone().stay());
            }
        }
        sleep(HOLD_TIME).await;
        ordinary::assert_served(deployment).await;
        callers.shutdown().await;
        ordinary::assert_served(deployment).await;
    }

    async fn stay(self) {
        for _ in 0..TRIES {
            // A caller that is refused or cut off comes back.
            let _ = timeout(STAY_TIME, self.call()).await;
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call(&self) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
        let mut stream = socket.connect(self.address).await?;
        for piece in self.bytes.chunks(self.piece) {
            stream.write_all(piece).await?;
            if piece.len() < self.bytes.len() {
                sleep(PIECE_DELAY).await;
            }
        }
        self.linger(&mut stream).await
    }

    /// Keeps the connection until the gateway closes it.
    async fn linger(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut byte = [b'x'];
        loop {
            match self.manner {
                // An error shows that the connection was reset; the end of the stream is not read.
                Manner::Stop => {
                    sleep(SLOW_DELAY).await;
                    if let Some(e) = stream.take_error()? {
                        return Err(e);
                    }
                }
                Manner::SendSlowly => {
                    sleep(SLOW_DELAY).await;
                    stream.write_all(&byte).await?;
                }
                Manner::ReadSlowly => {
                    sleep(SLOW_DELAY).await;
                    if stream.read(&mut byte).await? == 0 {
                        return Ok(());
                    }
                }
            }
        }
    }
}
