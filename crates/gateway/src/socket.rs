//! TCP connections: socket options, and the orderly end of connections of callers.
//!
//! The kernel resets a connection that is closed with unread bytes or that receives bytes after it
//! was closed, and discards what it has not delivered to the peer. Callers may send at any time, so
//! a connection of a caller is closed in stages (RFC 9112, section 9.6): only the sending side
//! first, and the rest once the caller has received everything.

use parking_lot::Mutex;
use rustix::{
    io::ioctl_fionread,
    ioctl::{self, Getter, Opcode},
    net::sockopt::set_tcp_user_timeout,
};
use std::{
    ffi::c_int,
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::{self, SocketAddr},
    os::fd::AsFd,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Sleep, sleep},
};

/// Maximum time for which the receiving side of a connection stays open after the sending side was
/// closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a connection with unread bytes is checked for the caller's close, which the
/// kernel does not report separately.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes that are discarded after the last answer.
const MAX_DISCARDED_BYTES: usize = 64 * 1_024 * 1_024;
/// Size of the buffer into which bytes are read that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// Request for the number of bytes that the peer has not acknowledged (`SIOCOUTQ`).
const UNACKNOWLEDGED_BYTES: Opcode = 0x5411;

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

/// Accepts the connections in the backlog of `listener`, which closing it would reset.
///
/// The kernel is asked for them directly, since the runtime may not know of them yet. An error, for
/// example because no file descriptor is left, is logged and ends the search.
pub fn accept_backlog(listener: &TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    if let Err(e) = accept_into(listener, &mut accepted) {
        log::warn!("calls: cannot accept the connections in the backlog: {e}");
    }
    accepted
}

fn accept_into(
    listener: &TcpListener,
    accepted: &mut Vec<(TcpStream, SocketAddr)>,
) -> io::Result<()> {
    let listener = net::TcpListener::from(listener.as_fd().try_clone_to_owned()?);
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                stream.set_nonblocking(true)?;
                accepted.push((TcpStream::from_std(stream)?, from));
            }
            Err(e) => match e.kind() {
                ErrorKind::WouldBlock => return Ok(()),
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                _ => return Err(e),
            },
        }
    }
}

/// Returns the number of bytes in the send queue of `stream` that the peer has not acknowledged,
/// also after the connection has failed. The end of the stream counts as one byte.
fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<u64> {
    // SAFETY: for a TCP socket, the request writes an `int` to its argument and nothing else.
    let bytes = unsafe { ioctl::ioctl(stream, Getter::<UNACKNOWLEDGED_BYTES, c_int>::new()) }?;
    Ok(u64::try_from(bytes).unwrap_or(0))
}

/// State of a [`CallerStream`], shared with the task that serves the connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    close_announced: AtomicBool,
    peer_closed: AtomicBool,
    /// First error of the socket.
    failure: Mutex<Option<ErrorKind>>,
    unread_bytes: AtomicU64,
    undelivered_bytes: AtomicU64,
}

impl ConnectionState {
    /// Records that the answer to be written next is the last one and says so.
    ///
    /// Whatever the caller sends after it counts as not received, so the stream may discard it.
    pub fn announce_close(&self) {
        self.close_announced.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last answer announced the close.
    pub fn is_close_announced(&self) -> bool {
        self.close_announced.load(Ordering::Relaxed)
    }

    /// Returns whether the caller closed its side of the connection or reset it.
    pub fn is_closed_by_peer(&self) -> bool {
        self.peer_closed.load(Ordering::Relaxed)
    }

    /// Returns the kind of the first error of the socket, if there was one.
    ///
    /// `TimedOut` means that the caller was given up, since it acknowledged nothing in time, and
    /// `ConnectionReset` that it reset the connection.
    pub fn failure(&self) -> Option<ErrorKind> {
        *self.failure.lock()
    }

    /// Returns the bytes that had not reached the caller when the socket was closed.
    pub fn undelivered_bytes(&self) -> u64 {
        self.undelivered_bytes.load(Ordering::Relaxed)
    }

    /// Records the error of `result`, if it is the first one.
    fn record<T>(&self, result: &io::Result<T>) {
        if let Err(e) = result {
            self.failure.lock().get_or_insert(e.kind());
        }
    }

    /// Returns the bytes from the caller that were unread when the socket was closed.
    ///
    /// The kernel resets such a connection, which discards what it has not delivered to the caller
    /// yet.
    pub fn unread_bytes(&self) -> u64 {
        self.unread_bytes.load(Ordering::Relaxed)
    }
}

/// Connection of a caller, which is closed in stages.
///
/// Shutting down the stream closes the sending side at once. It completes when the caller has closed
/// its side too or a time limit has passed. Until then, bytes from the caller are discarded if the
/// last answer announced the close. Otherwise they may be the beginning of a call that the caller
/// sends again elsewhere if it was not read: such bytes are left unread.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    /// Limit of the last stage, `None` while the sending side is open.
    close_timer: Option<Pin<Box<Sleep>>>,
    /// Time of the next check while there are unread bytes.
    unread_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes discarded so far.
    discarded_bytes: usize,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            state: Arc::default(),
            close_timer: None,
            unread_timer: None,
            discarded_bytes: 0,
        }
    }

    /// Returns the state of the connection, which outlives the stream.
    pub fn state(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }

    /// Completes once the caller has closed its side.
    fn poll_peer_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.is_closed_by_peer() {
            return Poll::Ready(());
        }
        match self.state.is_close_announced() {
            true => self.poll_discard(cx),
            false => self.poll_unread(cx),
        }
    }

    /// Reads and discards bytes until the caller closes its side or has sent too many.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
        loop {
            let mut buf = ReadBuf::uninit(&mut bytes);
            let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            self.state.record(&result);
            self.discarded_bytes += buf.filled().len();
            let is_ended = result.is_err() || buf.filled().is_empty();
            if is_ended || self.discarded_bytes > MAX_DISCARDED_BYTES {
                return Poll::Ready(());
            }
        }
    }

    /// Waits until the caller closes its side, without reading.
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(timer) = &mut self.unread_timer {
                ready!(timer.as_mut().poll(cx));
            }
            let mut byte = [MaybeUninit::uninit(); 1];
            let result = ready!(self.stream.poll_peek(cx, &mut ReadBuf::uninit(&mut byte)));
            self.state.record(&result);
            match result {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) if self.is_read_closed(cx) => return Poll::Ready(()),
                Ok(_) => self.unread_timer = Some(Box::pin(sleep(UNREAD_CHECK_INTERVAL))),
            }
        }
    }

    /// Returns whether the caller has closed its side, even if there are unread bytes.
    fn is_read_closed(&self, cx: &mut Context<'_>) -> bool {
        let readiness = pin!(self.stream.ready(Interest::READABLE));
        matches!(readiness.poll(cx), Poll::Ready(Ok(ready)) if ready.is_read_closed())
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
        self.state.record(&result);
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
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        self.state.record(&result);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices));
        self.state.record(&result);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.close_timer.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.close_timer = Some(Box::pin(sleep(CLOSE_TIMEOUT)));
        }
        if this.poll_peer_close(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        match &mut this.close_timer {
            Some(timer) => timer.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let unread = ioctl_fionread(&self.stream).unwrap_or(0);
        self.state.unread_bytes.store(unread, Ordering::Relaxed);
        let is_shut = u64::from(self.close_timer.is_some());
        let undelivered = unacknowledged_bytes(&self.stream).unwrap_or(0).saturating_sub(is_shut);
        self.state.undelivered_bytes.store(undelivered, Ordering::Relaxed);
    }
}
