//! Bodies of calls and responses.

use super::{allowance::ReadAllowance, pool::Connection, streams::StreamWatch};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use std::{
    cell::Cell,
    error::Error,
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio_util::task::AbortOnDropHandle;

/// Body of a request to a target.
pub(super) type RequestBody = Either<Full<Bytes>, PrefixedBody>;

/// Body of a response to a caller.
pub(super) type ResponseBody = Either<Full<Bytes>, PrefixedBody>;

/// Error that ended a body early.
///
/// The transfer is aborted, so that a truncated body cannot look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The sender closed or reset the connection before the end of the body.
    Truncated,
    /// The body exceeds the size limit.
    TooLarge,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the body is truncated"),
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
        }
    }
}

impl Error for BodyError {}

/// A body whose beginning has been read already.
#[derive(Debug)]
pub(super) struct PrefixedBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that may still follow within the limit.
    remaining: u64,
    /// Set once the end of the body has been read.
    complete: Rc<Cell<bool>>,
    /// Connection that the body is read from, and the timer that closes it. It is closed when the body
    /// is dropped.
    connection: Option<(Connection, AbortOnDropHandle<()>)>,
    /// Told how the body ends.
    watch: Option<Box<StreamWatch>>,
}

impl PrefixedBody {
    /// Creates the body of a call: `first` followed by `rest`, limited to `limit` bytes in total.
    pub(super) fn of_call(first: Bytes, rest: Incoming, limit: u64) -> Self {
        let remaining = limit.saturating_sub(first.len() as u64);
        let complete = Rc::default();
        Self { first: Some(first), rest, remaining, complete, connection: None, watch: None }
    }

    /// Creates the body of a response: `first` followed by `rest`, which is read from `connection`
    /// until `time_left` has passed. A body that is longer is truncated. `watch` is told how it ends.
    pub(super) fn of_response(
        first: Bytes,
        rest: Incoming,
        connection: Connection,
        time_left: Duration,
        watch: Option<Box<StreamWatch>>,
    ) -> Self {
        // The connection is closed also while the caller does not read, so that the target is free.
        let timer = connection.close_after(time_left);
        let body = Self::of_call(first, rest, u64::MAX);
        Self { connection: Some((connection, timer)), watch, ..body }
    }

    fn record_end(&mut self, is_complete: bool) {
        if let Some(watch) = &mut self.watch {
            watch.record_end(is_complete);
        }
    }

    /// Returns a flag that is set once the end of the body has been read.
    pub(super) fn complete_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.complete)
    }
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take().filter(|b| !b.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let frame = match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
            None => {
                self.complete.set(true);
                self.record_end(true);
                return Poll::Ready(None);
            }
            Some(Err(_)) => {
                self.record_end(false);
                return Poll::Ready(Some(Err(BodyError::Truncated)));
            }
            Some(Ok(frame)) => frame,
        };
        if let Some((connection, _)) = &self.connection {
            connection.allowance.renew();
        }
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        if bytes > self.remaining {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        self.remaining -= bytes;
        let is_complete = self.rest.is_end_stream();
        self.complete.set(is_complete);
        if is_complete {
            self.record_end(true);
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// Result of [`buffer_body`].
#[derive(Debug)]
pub(super) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning and the rest of a body that exceeds the buffer limit.
    Partial(Bytes, Incoming),
}

/// Sizes up to which a body is buffered, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct BufferLimits {
    /// Size of a body that is buffered completely.
    pub(super) complete: usize,
    /// Bytes that are buffered of a body whose announced length is greater.
    pub(super) partial: usize,
}

/// Reads a body until its end, or until it exceeds the limits. Renews the allowance of the connection
/// that it is read from, if it has one, with each part.
///
/// # Errors
///
/// Returns [`BodyError::Truncated`] if the connection ended before the body did.
pub(super) async fn buffer_body(
    mut body: Incoming,
    limits: BufferLimits,
    allowance: Option<&ReadAllowance>,
) -> Result<BufferedBody, BodyError> {
    if body.is_end_stream() {
        return Ok(BufferedBody::Complete(Bytes::new()));
    }
    let is_large = body.size_hint().exact().is_some_and(|size| size > limits.complete as u64);
    if is_large && limits.partial == 0 {
        return Ok(BufferedBody::Partial(Bytes::new(), body));
    }
    // A buffer that grows by doubling takes up to twice the size of an answer. Callers may announce more
    // than they send.
    let announced = allowance.and(body.size_hint().exact()).unwrap_or_default();
    let mut buffer = Vec::with_capacity(announced.min(limits.complete as u64) as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        if let Some(allowance) = allowance {
            allowance.renew();
        }
        let Ok(data) = frame.into_data() else { continue };
        // Most bodies are a single frame, which needs no copy.
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(BufferedBody::Complete(data));
        }
        buffer.extend_from_slice(&data);
        if buffer.len() > limits.complete || (is_large && buffer.len() >= limits.partial) {
            return Ok(BufferedBody::Partial(buffer.into(), body));
        }
    }
    Ok(BufferedBody::Complete(buffer.into()))
}
