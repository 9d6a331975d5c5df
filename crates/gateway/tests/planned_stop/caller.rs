//! Callers that write HTTP as raw bytes.

use super::call::{Answer, Call};
use std::{fmt, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Size of a receive buffer that holds only a small part of a long answer, in bytes.
pub(crate) const SMALL_BUFFER_BYTES: u32 = 4_096;
/// Interval at which a caller sends further calls.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// How a connection has ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The gateway has ended its stream in order.
    Orderly,
    /// A read has failed.
    Failed(io::Error),
    /// The connection was still open at the time limit.
    Open,
}

impl End {
    /// Returns whether the gateway has ended its stream in order.
    pub(crate) fn is_orderly(&self) -> bool {
        matches!(self, Self::Orderly)
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Orderly => f.write_str("end of stream"),
            Self::Failed(e) => write!(f, "{e}"),
            Self::Open => f.write_str("open"),
        }
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    /// All bytes received.
    pub(crate) received: Vec<u8>,
}

impl Caller {
    /// Connects to a gateway.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::from_stream(TcpStream::connect(address).await?)
    }

    /// Connects to a gateway with a receive buffer of [`SMALL_BUFFER_BYTES`].
    pub(crate) async fn connect_with_small_buffer(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
        Self::from_stream(socket.connect(address).await?)
    }

    fn from_stream(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, received: Vec::new() })
    }

    /// Sends a call without a body, or the head of one with a body.
    pub(crate) async fn send(&mut self, call: &Call) -> io::Result<()> {
        self.stream.write_all(call.head().as_bytes()).await
    }

    /// Reads until the connection ends, at most for `limit` without new bytes.
    pub(crate) async fn read_to_end(&mut self, limit: Duration) -> End {
        loop {
            match timeout(limit, self.stream.read_buf(&mut self.received)).await {
                Ok(Ok(0)) => return End::Orderly,
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return End::Failed(e),
                Err(_) => return End::Open,
            }
        }
    }

    /// Reads until an answer is complete or the connection ends, at most for `limit` without new
    /// bytes.
    pub(crate) async fn read_to_first_answer(&mut self, limit: Duration) -> End {
        loop {
            match timeout(limit, self.stream.read_buf(&mut self.received)).await {
                Ok(Ok(0)) => return End::Orderly,
                Ok(Ok(_)) if self.answers().iter().any(|a| a.is_complete) => return End::Open,
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return End::Failed(e),
                Err(_) => return End::Open,
            }
        }
    }

    /// Sends calls of `route` at intervals for `time`, without reading. Returns the error that ended
    /// the attempts, if any.
    pub(crate) async fn keep_sending(
        &mut self,
        route: &'static str,
        time: Duration,
    ) -> Option<io::Error> {
        let start = Instant::now();
        for number in 0.. {
            if start.elapsed() >= time {
                break;
            }
            if let Err(e) = self.send(&Call::new(&format!("further-{number}"), route)).await {
                return Some(e);
            }
            sleep(SEND_INTERVAL).await;
        }
        None
    }

    /// Returns the answers received so far.
    pub(crate) fn answers(&self) -> Vec<Answer> {
        Answer::parse_all(&self.received)
    }
}
