//! Bodies of calls and answers.

use super::pool::Connection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use std::{
    error::Error,
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Body of a call to a target.
pub(super) type Payload = Either<Full<Bytes>, Joined>;

/// Body of an answer to a caller.
pub(super) type Answer = Either<Full<Bytes>, Joined>;

/// Why a body ended early. The transfer is broken off, so that it cannot look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The sender broke off.
    CutShort,
    /// There is more of it than allowed.
    TooLarge,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutShort => f.write_str("the body was cut short"),
            Self::TooLarge => f.write_str("the body is too large"),
        }
    }
}

impl Error for BodyError {}

/// A body of which a part was read already.
#[derive(Debug)]
pub(super) struct Joined {
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that may still come.
    left: u64,
    /// Connection that the body comes from; it is closed when the body is dropped.
    _connection: Option<Connection>,
}

impl Joined {
    /// `first` and then `rest`, at most `limit` bytes together.
    pub(super) fn new(
        first: Bytes,
        rest: Incoming,
        limit: u64,
        connection: Option<Connection>,
    ) -> Self {
        let left = limit.saturating_sub(first.len() as u64);
        Self { first: Some(first), rest, left, _connection: connection }
    }
}

impl Body for Joined {
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
            None => return Poll::Ready(None),
            Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::CutShort))),
            Some(Ok(frame)) => frame,
        };
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        if bytes > self.left {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        self.left -= bytes;
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

/// A body as far as it was read.
#[derive(Debug)]
pub(super) enum Part {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a body that is larger than asked for.
    Begun(Bytes, Incoming),
}

/// Reads a body until its end, or until it is larger than `limit`.
///
/// # Errors
///
/// [`BodyError::CutShort`] when the sender broke off.
pub(super) async fn read(mut body: Incoming, limit: usize) -> Result<Part, BodyError> {
    if body.is_end_stream() {
        return Ok(Part::Whole(Bytes::new()));
    }
    if body.size_hint().exact().is_some_and(|size| size > limit as u64) {
        return Ok(Part::Begun(Bytes::new(), body));
    }
    let mut read: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutShort)?;
        let Ok(data) = frame.into_data() else { continue };
        // Most bodies are one frame, which needs no copy.
        if read.is_empty() && body.is_end_stream() {
            return Ok(Part::Whole(data));
        }
        read.extend_from_slice(&data);
        if read.len() > limit {
            return Ok(Part::Begun(read.into(), body));
        }
    }
    Ok(Part::Whole(read.into()))
}
