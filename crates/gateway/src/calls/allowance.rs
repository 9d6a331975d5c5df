//! Limit on the bytes that a target may send without any progress of its answer.
//!
//! Some bytes are skipped while an answer is parsed, such as interim responses and the leading zeros of
//! a chunk size. They take no memory, but a target could send them without end.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may be read for the head of a response, for one part of its body, or for the answer to a
/// probe; more than any part that hyper reads at a time.
const ALLOWANCE_BYTES: usize = 64 * 1_024;

/// Bytes that may still be read from a connection, shared by its stream and its user.
#[derive(Clone, Debug)]
pub(super) struct ReadAllowance(Rc<Cell<usize>>);

impl ReadAllowance {
    /// Creates a full allowance.
    pub(super) fn new() -> Self {
        Self(Rc::new(Cell::new(ALLOWANCE_BYTES)))
    }

    /// Renews the allowance, because a request is sent or an answer has made progress.
    pub(super) fn renew(&self) {
        self.0.set(ALLOWANCE_BYTES);
    }
}

/// Connection to a target that fails once its allowance is used up.
#[derive(Debug)]
pub(super) struct AllowedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl AllowedStream {
    pub(super) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for AllowedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.allowance.0.get();
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - filled;
        if read > left {
            return Poll::Ready(Err(io::Error::other("too many bytes without an answer")));
        }
        self.allowance.0.set(left - read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AllowedStream {
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
        slices: &[io::IoSlice<'_>],
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
