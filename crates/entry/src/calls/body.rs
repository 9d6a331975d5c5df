//! Bodies of requests and answers.

use super::{ending::Ending, pool::Connection};
use azuretally_api::record::Outcome;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full, Limited};
use hyper::body::Incoming;
use std::{
    error::Error,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

/// Body of a request to a target or peer.
pub(super) type Payload = Either<Full<Bytes>, Limited<Incoming>>;

/// Body of an answer to a caller.
pub(super) type Answer = Either<Full<Bytes>, Streamed>;

/// An upstream answer ended early; the caller's transfer is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CutShort;

impl fmt::Display for CutShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut short")
    }
}

impl Error for CutShort {}

/// An answer on its way through. The call ends when the body does.
#[derive(Debug)]
pub(super) struct Streamed {
    body: Incoming,
    ending: Option<Ending>,
    connection: Option<Connection>,
    outcome: Outcome,
}

impl Streamed {
    /// Passes `body` on; `outcome` becomes that of the call once the body is whole.
    pub(super) fn new(
        body: Incoming,
        ending: Ending,
        connection: Connection,
        outcome: Outcome,
    ) -> Self {
        Self { body, ending: Some(ending), connection: Some(connection), outcome }
    }

    fn complete(&mut self) {
        if let Some(mut ending) = self.ending.take() {
            if let Some(connection) = self.connection.take() {
                ending.keep(connection);
            }
            ending.end(self.outcome, None);
        }
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                if let Some(mut ending) = self.ending.take() {
                    ending.end(Outcome::Unknown, Some("cut-short"));
                }
                Poll::Ready(Some(Err(CutShort)))
            }
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
