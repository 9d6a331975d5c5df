//! Reader of the platform's configuration service.
//!
//! Each call has a connection of its own, so that a connection which went silent is never used
//! again.

use super::error::PlatformError;
use azuretally_api::platform::REVISION;
use azuretally_settings::Revision;
use bytes::Bytes;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
const MAX_VALUE_BYTES: usize = 2 << 20;

/// A value that the platform published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// Revision of the value.
    pub(super) revision: Revision,
    /// The value.
    pub(super) text: String,
}

/// Reads one value at a time, from one address after the other.
#[derive(Debug)]
pub(super) struct Platform {
    addresses: Vec<SocketAddr>,
    next: usize,
}

impl Platform {
    /// A reader that begins with the first address.
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, next: 0 }
    }

    /// Waits until the revision of the value at `path` exceeds `after`, at most for `wait`. Nothing
    /// when it did not.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the call failed; the next one goes to the next address.
    pub(super) async fn watch(
        &mut self,
        path: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Answer>, PlatformError> {
        let address = self.addresses[self.next % self.addresses.len()];
        let query = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
        let result = match timeout(wait + ANSWER_MARGIN, get(address, &query)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Timeout),
        };
        if result.is_err() {
            self.next = self.next.wrapping_add(1);
        }
        result
    }
}

async fn get(address: SocketAddr, query: &str) -> Result<Option<Answer>, PlatformError> {
    let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        _ => return Err(PlatformError::Connect),
    };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| PlatformError::Transport)?;
    let request = Request::get(query)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| PlatformError::Malformed)?;
    let exchange = async move {
        let answer = sender.send_request(request).await.map_err(|_| PlatformError::Transport)?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(PlatformError::Status(status.as_u16())),
        }
        let revision = answer
            .headers()
            .get(REVISION)
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .ok_or(PlatformError::Malformed)?;
        let body = Limited::new(answer.into_body(), MAX_VALUE_BYTES).collect().await;
        let body = body.map_err(|_| PlatformError::Transport)?.to_bytes();
        let text = String::from_utf8(body.into()).map_err(|_| PlatformError::Malformed)?;
        Ok(Some(Answer { revision, text }))
    };
    let (result, _) = tokio::join!(exchange, connection);
    result
}
