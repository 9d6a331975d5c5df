//! Bodies of requests to targets and peers and of replies to callers.

use super::{call_guard::CallGuard, pool::Connection};
use azuretally_api::record::Outcome;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full, Limited};
use hyper::body::Incoming;
use std::{
    error::Error,
    fmt,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::time::{Sleep, sleep};

/// Body of a request to a target or peer.
pub(super) type RequestBody = Either<Full<Bytes>, Limited<TrackedBody>>;

/// Body of a reply to a caller.
pub(super) type ReplyBody = Either<Full<Bytes>, StreamedBody>;

/// Body of a request that is forwarded while it is received.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: Incoming,
    is_complete: Arc<AtomicBool>,
}

impl TrackedBody {
    /// Wraps `body`. `is_complete` is set once all of it has been read.
    pub(super) fn new(body: Incoming, is_complete: Arc<AtomicBool>) -> Self {
        Self { body, is_complete }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.is_complete.store(true, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The upstream response ended early. The reply to the caller is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream response ended before its body was complete")
    }
}

impl Error for TruncatedBody {}

/// An upstream body that is forwarded while it is received. The call ends with the body, or when that
/// must end: a body without end would keep its slot at the target.
#[derive(Debug)]
pub(super) struct StreamedBody {
    body: Incoming,
    guard: Option<CallGuard>,
    connection: Option<Connection>,
    outcome: Outcome,
    deadline: Pin<Box<Sleep>>,
}

impl StreamedBody {
    /// Forwards `body` and ends the call with `outcome` once the body is complete.
    pub(super) fn new(
        body: Incoming,
        guard: CallGuard,
        connection: Connection,
        outcome: Outcome,
    ) -> Self {
        let deadline = Box::pin(sleep(guard.body_time_left()));
        Self { body, guard: Some(guard), connection: Some(connection), outcome, deadline }
    }

    /// Ends the call without the rest of the body.
    fn break_off(&mut self, reason: &str) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        self.connection = None;
        if let Some(mut guard) = self.guard.take() {
            guard.end(Outcome::Unknown, Some(reason));
        }
        Poll::Ready(Some(Err(TruncatedBody)))
    }

    fn complete(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            if let Some(connection) = self.connection.take() {
                guard.release(connection);
            }
            guard.end(self.outcome, None);
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        if self.guard.is_some() && self.deadline.as_mut().poll(cx).is_ready() {
            return self.break_off("time-limit");
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => self.break_off("cut-short"),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
