//! TCP connections: socket options, and how connections of callers end.

use rustix::{io::ioctl_fionread, net::sockopt::set_tcp_user_timeout};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Sets `TCP_NODELAY` and a `TCP_USER_TIMEOUT` of `timeout` on `stream`.
///
/// Small writes are sent without delay, and the kernel closes a connection whose peer has
/// acknowledged nothing for `timeout`: the peer has lost the connection or does not read.
///
/// # Errors
///
/// Returns an error if the connection is already closed.
pub fn configure(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(stream, timeout_ms)?;
    Ok(())
}

/// State of a [`CallerStream`], shared with the task that serves the connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    peer_closed: AtomicBool,
    unread_bytes: AtomicU64,
}

impl ConnectionState {
    /// Returns whether the caller closed its side of the connection or reset it.
    pub fn is_closed_by_peer(&self) -> bool {
        self.peer_closed.load(Ordering::Relaxed)
    }

    /// Returns the bytes from the caller that were unread when the socket was closed.
    ///
    /// The kernel resets such a connection, which discards what it has not delivered to the caller
    /// yet.
    pub fn unread_bytes(&self) -> u64 {
        self.unread_bytes.load(Ordering::Relaxed)
    }
}

/// Connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, state: Arc::default() }
    }

    /// Returns the state of the connection, which outlives the stream.
    pub fn state(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if result.is_err() || (buf.filled().len() == filled && buf.remaining() > 0) {
            self.state.peer_closed.store(true, Ordering::Relaxed);
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let unread = ioctl_fionread(&self.stream).unwrap_or(0);
        self.state.unread_bytes.store(unread, Ordering::Relaxed);
    }
}
