//! HTTP/1.1 of a caller on a plain TCP connection, with the close and reset behavior of the kernel.

use http::StatusCode;
use indexmap::IndexMap;
use std::{io, net::SocketAddr};
use tokio::net::{TcpSocket, TcpStream};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// A connection to a gateway.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that were read and belong to no answer yet.
    unparsed: Vec<u8>,
}

/// Writing side of a connection.
#[derive(Debug)]
pub(crate) struct Writer<'a>(&'a TcpStream);

/// Reading side of a connection.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    stream: &'a TcpStream,
    unparsed: &'a mut Vec<u8>,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Fields by name in lower case.
    fields: IndexMap<String, String>,
    pub(crate) body: Vec<u8>,
}

/// The connection ended, or its bytes are no HTTP, before an answer was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadError {
    /// Bytes of the answer that were received.
    pub(crate) received: usize,
}

/// The connection ended before a request was written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteError {
    /// Bytes that were written.
    pub(crate) written: usize,
}

impl Connection {
    /// Connects to `address`, with a receive buffer of the given size in bytes if there is one.
    pub(crate) async fn open(address: SocketAddr, buffer_bytes: Option<u32>) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = buffer_bytes {
            // The window offered to the peer depends on the size at the time of the connect.
            socket.set_recv_buffer_size(bytes)?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, unparsed: Vec::new() })
    }

    /// Returns whether the connection is open and nothing is left to read on it.
    pub(crate) fn is_idle(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        self.unparsed.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns both sides, which can be used concurrently.
    pub(crate) fn split(&mut self) -> (Writer<'_>, Reader<'_>) {
        let Self { stream, unparsed } = self;
        (Writer(stream), Reader { stream, unparsed })
    }
}

impl Writer<'_> {
    /// Writes all of `bytes`.
    pub(crate) async fn write(&self, bytes: &[u8]) -> Result<(), WriteError> {
        let mut written = 0;
        while written < bytes.len() {
            if self.0.writable().await.is_err() {
                return Err(WriteError { written });
            }
            match self.0.try_write(&bytes[written..]) {
                Ok(n) => written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(WriteError { written }),
            }
        }
        Ok(())
    }
}

impl Reader<'_> {
    /// Reads the next answer.
    pub(crate) async fn read_answer(&mut self) -> Result<Answer, ReadError> {
        loop {
            if let Some((answer, length)) = parse(self.unparsed)? {
                self.unparsed.drain(..length);
                return Ok(answer);
            }
            if !matches!(self.read_more().await, Ok(1..)) {
                return Err(ReadError { received: self.unparsed.len() });
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        loop {
            self.stream.readable().await?;
            match self.stream.try_read(&mut chunk) {
                Ok(n) => {
                    self.unparsed.extend_from_slice(&chunk[..n]);
                    return Ok(n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

impl Answer {
    /// Returns the value of a field by its name in lower case.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns whether the connection closes after this answer.
    pub(crate) fn is_last(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Parses an answer with `Content-Length` at the start of `bytes` and returns it with its length.
/// Returns `None` if it is not complete.
fn parse(bytes: &[u8]) -> Result<Option<(Answer, usize)>, ReadError> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let malformed = || ReadError { received: bytes.len() };
    let Some(end) = bytes.windows(HEAD_END.len()).position(|w| w == HEAD_END) else {
        return Ok(None);
    };
    let head = str::from_utf8(&bytes[..end]).map_err(|_| malformed())?;
    let mut lines = head.split("\r\n");
    let code = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|c| c.parse().ok());
    let status = code.ok_or_else(malformed)?;
    let fields: IndexMap<_, _> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: Option<usize> = fields.get("content-length").and_then(|l| l.parse().ok());
    let start = end + HEAD_END.len();
    let length = start + length.ok_or_else(malformed)?;
    let body = bytes.get(start..length).map(<[u8]>::to_vec);
    Ok(body.map(|body| (Answer { status, fields, body }, length)))
}
