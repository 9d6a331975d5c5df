//! A caller's connection whose bytes a test sends and reads itself.

use azuretally_api::headers;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

/// End of a request or response head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Opens a connection. With a `receive_buffer`, in bytes, the kernel accepts no more than about that
/// much before the test reads.
///
/// # Errors
///
/// Returns an error if the connection is refused.
pub async fn connect(
    address: SocketAddr,
    receive_buffer: Option<u32>,
) -> io::Result<(RawReader, RawWriter)> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes)?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = RawReader { half: read, unread: Vec::new(), pace: None };
    Ok((reader, RawWriter { half: write }))
}

/// A complete HTTP/1.1 response.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Status line and header fields, in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns whether a target answered the call.
    pub fn is_answered(&self) -> bool {
        self.header(headers::OUTCOME) == Some(headers::ANSWERED)
    }

    /// Returns whether the response announces that the connection is closed after it.
    pub fn announces_close(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// Receiving half of a connection.
#[derive(Debug)]
pub struct RawReader {
    half: OwnedReadHalf,
    unread: Vec<u8>,
    pace: Option<(usize, Duration)>,
}

impl RawReader {
    /// Reads at most `bytes` at a time from now on, with a `pause` before each read.
    pub fn set_pace(&mut self, bytes: usize, pause: Duration) {
        self.pace = Some((bytes, pause));
    }

    /// Reads the next response. Returns `None` if the stream ended in good order before its first
    /// byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset, or the stream ended within the response.
    pub async fn answer(&mut self) -> io::Result<Option<RawAnswer>> {
        let head_bytes = loop {
            if let Some(at) = self.unread.windows(HEAD_END.len()).position(|w| w == HEAD_END) {
                break at + HEAD_END.len();
            }
            if !self.read_more().await? {
                return match self.unread.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.unread.drain(..head_bytes).collect();
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let mut answer = RawAnswer { head, body: Vec::new() };
        let length = answer.header("content-length").and_then(|v| v.parse().ok());
        let length: usize = length.ok_or(io::ErrorKind::InvalidData)?;
        while self.unread.len() < length {
            if !self.read_more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        answer.body = self.unread.drain(..length).collect();
        Ok(Some(answer))
    }

    /// Returns whether there was more to read.
    async fn read_more(&mut self) -> io::Result<bool> {
        let (bytes, pause) = self.pace.unwrap_or((64 * 1024, Duration::ZERO));
        time::sleep(pause).await;
        let before = self.unread.len();
        self.unread.resize(before + bytes, 0);
        let read = self.half.read(&mut self.unread[before..]).await;
        self.unread.truncate(before + read.as_ref().map_or(0, |n| *n));
        Ok(read? > 0)
    }
}

/// Sending half of a connection.
#[derive(Debug)]
pub struct RawWriter {
    half: OwnedWriteHalf,
}

impl RawWriter {
    /// Sends a call of the repeatable operation `balance`. `query` is added to its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed.
    pub async fn balance(&mut self, id: &str, query: &str) -> io::Result<()> {
        let request = format!("GET /till/balance?id={id}{query} HTTP/1.1\r\nhost: till\r\n\r\n");
        self.send(request.as_bytes()).await
    }

    /// Sends `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half.write_all(bytes).await
    }
}
