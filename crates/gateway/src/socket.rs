//! TCP connections: socket options, and the orderly end of connections of callers.
//!
//! The kernel resets a connection that is closed with unread bytes or that receives bytes after it
//! was closed, and discards what it has not delivered to the peer. Callers may send at any time, so
//! a connection of a caller is closed in stages (RFC 9112, section 9.6): only the sending side
//! first, and the rest once the caller has received everything.
//!
//! How long a caller may hold a connection is decided by the bytes that it has acknowledged. The
//! kernel's own limit (`TCP_USER_TIMEOUT`) is no measure of that: it counts the time since the window
//! first closed, or since the first retransmission, also while bytes are acknowledged.

use parking_lot::Mutex;
use rustix::{
    io::ioctl_fionread,
    ioctl::{self, Getter, Opcode},
    net::sockopt::set_tcp_user_timeout,
};
use socket2::SockRef;
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
    sync::Notify,
    time::{Instant, Sleep, sleep},
};

/// Bytes that the kernel holds for a caller beyond what the caller has room for. A whole buffered answer fits.
/// Otherwise the kernel would take some MB of answers for each caller that does not read.
const MAX_UNSENT_BYTES: u32 = 128 * 1_024;
/// Interval at which the delivery of bytes is checked while some are undelivered.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Period over which the rate of delivery is measured while bytes are undelivered.
const RATE_PERIOD: Duration = Duration::from_secs(30);
/// Number of bytes that a caller must acknowledge in that period.
const MIN_PERIOD_BYTES: u64 = 30 * 1_024;
/// Maximum time for which the receiving side of a connection stays open after everything was
/// delivered and the sending side closed.
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

/// Sets `TCP_NODELAY` and a `TCP_USER_TIMEOUT` of `timeout` on `stream`, a connection to a server.
///
/// Small writes are sent without delay, and the kernel closes a connection whose peer has
/// acknowledged nothing for `timeout`, or does not read fast enough.
///
/// # Errors
///
/// Returns an error if the connection is already closed.
pub fn configure(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_user_timeout(stream, timeout)
}

fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, timeout_ms)?)
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
    /// Bytes read and written so far.
    read_bytes: AtomicU64,
    written_bytes: AtomicU64,
    /// Whether the last write could not be done, because the caller does not read.
    write_blocked: AtomicBool,
    write_unblocked: Notify,
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

    /// Returns the number of bytes read from the caller so far.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes passed to the kernel for the caller so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    /// Waits until the kernel takes what is to be written. Returns at once unless the last write could not be
    /// done.
    pub async fn writable(&self) {
        loop {
            let unblocked = self.write_unblocked.notified();
            if !self.write_blocked.load(Ordering::Relaxed) {
                return;
            }
            unblocked.await;
        }
    }

    /// Records whether a write could be done.
    fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self.write_blocked.swap(is_blocked, Ordering::Relaxed);
        if was_blocked && !is_blocked {
            self.write_unblocked.notify_waiters();
        }
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
    delivery: Delivery,
    /// Limit of the last stage, `None` while the sending side is open.
    close_timer: Option<Pin<Box<Sleep>>>,
    /// Time of the next check while there are unread bytes.
    unread_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes discarded so far.
    discarded_bytes: usize,
}

impl CallerStream {
    /// Wraps an accepted connection and sets `TCP_NODELAY`. It fails with `TimedOut` once the caller
    /// has acknowledged nothing for `stall_timeout` although bytes are undelivered, or too little for
    /// too long.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is already closed.
    pub fn new(stream: TcpStream, stall_timeout: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        if unacknowledged_bytes(&stream).is_err() {
            // Without the progress, the kernel's limit is the only bound.
            set_user_timeout(&stream, stall_timeout)?;
        }
        Ok(Self {
            stream,
            state: Arc::default(),
            delivery: Delivery::new(stall_timeout),
            close_timer: None,
            unread_timer: None,
            discarded_bytes: 0,
        })
    }

    /// Returns the state of the connection, which outlives the stream.
    pub fn state(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }

    /// Returns the bytes that the caller has not acknowledged, without the end of the stream.
    fn undelivered_bytes(&self) -> u64 {
        let end = u64::from(self.close_timer.is_some());
        unacknowledged_bytes(&self.stream).unwrap_or(0).saturating_sub(end)
    }

    /// Records the result of a write.
    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        self.state.set_write_blocked(result.is_pending());
        let Poll::Ready(result) = result else { return };
        self.state.record(result);
        if let Ok(written) = result {
            self.state.written_bytes.fetch_add(*written as u64, Ordering::Relaxed);
            self.delivery.record_write(*written);
        }
    }

    /// Returns the pending error of the socket. No read reports a reset after the caller's close.
    fn take_error(&self) -> io::Result<()> {
        let result = self.stream.take_error()?.map_or(Ok(()), Err);
        self.state.record(&result);
        result
    }

    /// Checks the delivery of what was written, at intervals.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or one of the kind `TimedOut` if the caller is given up. What
    /// the caller has not received is discarded together with the stream.
    fn check_delivery(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while self.delivery.poll_check(cx).is_ready() {
            self.take_error()?;
            let result = self.delivery.check(self.undelivered_bytes());
            if result.is_err() {
                self.state.record(&result);
                let _ = self.stream.set_zero_linger();
                return result;
            }
        }
        Ok(())
    }

    /// Completes once the caller has closed its side and has received everything, or the connection
    /// has failed.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.poll_peer_close(cx));
        let is_failed = self.take_error().is_err() || self.state.failure().is_some();
        let is_excessive = self.discarded_bytes > MAX_DISCARDED_BYTES;
        match is_failed || is_excessive || self.undelivered_bytes() == 0 {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
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
        let read = buf.filled().len() - filled;
        self.state.read_bytes.fetch_add(read as u64, Ordering::Relaxed);
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
        self.check_delivery(cx)?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_delivery(cx)?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_delivery(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.close_timer.is_none() {
            this.take_error()?;
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.close_timer = Some(Box::pin(sleep(CLOSE_TIMEOUT)));
        }
        loop {
            this.check_delivery(cx)?;
            if this.poll_end(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let Some(timer) = &mut this.close_timer else { return Poll::Ready(Ok(())) };
            ready!(timer.as_mut().poll(cx));
            if this.undelivered_bytes() == 0 {
                return Poll::Ready(Ok(()));
            }
            this.close_timer = Some(Box::pin(sleep(CLOSE_TIMEOUT)));
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let unread = ioctl_fionread(&self.stream).unwrap_or(0);
        self.state.unread_bytes.store(unread, Ordering::Relaxed);
        let undelivered = self.undelivered_bytes();
        self.state.undelivered_bytes.store(undelivered, Ordering::Relaxed);
        if undelivered > 0 {
            // The kernel goes on delivering a connection that was not reset.
            let _ = set_user_timeout(&self.stream, self.delivery.stall_timeout);
        }
    }
}

/// Progress of the delivery of what was written to a caller.
#[derive(Debug)]
struct Delivery {
    stall_timeout: Duration,
    /// Timer of the next check, `None` while everything is delivered.
    check_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes written so far.
    written: u64,
    /// Bytes that were acknowledged at the last check.
    acknowledged: u64,
    progress_at: Instant,
    /// Beginning of the period over which the rate is measured, and the bytes acknowledged then.
    period_start: (Instant, u64),
}

impl Delivery {
    fn new(stall_timeout: Duration) -> Self {
        let now = Instant::now();
        Self {
            stall_timeout,
            check_timer: None,
            written: 0,
            acknowledged: 0,
            progress_at: now,
            period_start: (now, 0),
        }
    }

    /// Records that bytes were handed to the kernel, which begins the checks.
    fn record_write(&mut self, bytes: usize) {
        if self.check_timer.is_none() {
            let now = Instant::now();
            self.acknowledged = self.written;
            self.progress_at = now;
            self.period_start = (now, self.written);
            self.check_timer = Some(Box::pin(sleep(DELIVERY_CHECK_INTERVAL)));
        }
        self.written += bytes as u64;
    }

    /// Completes when a check is due.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.check_timer {
            Some(timer) => timer.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }

    /// Checks the progress with `undelivered` bytes in the send queue.
    fn check(&mut self, undelivered: u64) -> io::Result<()> {
        if undelivered == 0 {
            self.check_timer = None;
            return Ok(());
        }
        let now = Instant::now();
        let acknowledged = self.written.saturating_sub(undelivered);
        if acknowledged > self.acknowledged {
            self.acknowledged = acknowledged;
            self.progress_at = now;
        }
        // The next check would be too late.
        let stall = now - self.progress_at + DELIVERY_CHECK_INTERVAL;
        let (period_start, bytes) = self.period_start;
        let is_period_over = now - period_start >= RATE_PERIOD;
        let is_slow = is_period_over && acknowledged.saturating_sub(bytes) < MIN_PERIOD_BYTES;
        if stall > self.stall_timeout || is_slow {
            return Err(ErrorKind::TimedOut.into());
        }
        if is_period_over {
            self.period_start = (now, acknowledged);
        }
        if let Some(timer) = &mut self.check_timer {
            timer.as_mut().reset(now + DELIVERY_CHECK_INTERVAL);
        }
        Ok(())
    }
}
