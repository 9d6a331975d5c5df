//! Client of the platform's configuration service.
//!
//! Each request uses a new connection, so that one that has stopped responding is never reused.

use super::error::PlatformError;
use azuretally_api::platform::{REVISION, REVISION_ERA};
use azuretally_policy::fleet::PublishedRevision;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a response may take beyond the wait time of its request.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 2 << 20;

/// A document that the platform published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Document {
    /// Revision of the document.
    pub(super) revision: PublishedRevision,
    /// Content of the document.
    pub(super) text: String,
}

/// Client that moves on to the next address after each failed request.
#[derive(Debug)]
pub(super) struct PlatformClient {
    addresses: Vec<SocketAddr>,
    next_address: usize,
}

impl PlatformClient {
    /// Creates a client that starts with the first address.
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, next_address: 0 }
    }

    /// Waits for at most `wait` until the document at `path` has a later revision than `after`, and
    /// returns it. Returns `None` if there is no later revision by then.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the request fails. The next request goes to the next address.
    pub(super) async fn watch(
        &mut self,
        path: &str,
        after: PublishedRevision,
        wait: Duration,
    ) -> Result<Option<Document>, PlatformError> {
        let address = self.addresses[self.next_address % self.addresses.len()];
        let path_and_query = format!(
            "{path}?after={}&era={}&wait_ms={}",
            after.number(),
            after.era(),
            wait.as_millis()
        );
        let result = match timeout(wait + RESPONSE_MARGIN, get(address, &path_and_query)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Timeout),
        };
        if result.is_err() {
            self.next_address = self.next_address.wrapping_add(1);
        }
        result
    }
}

async fn get(address: SocketAddr, path_and_query: &str) -> Result<Option<Document>, PlatformError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        _ => return Err(PlatformError::Connect),
    };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| PlatformError::Transport)?;
    let request = Request::get(path_and_query)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| PlatformError::Malformed)?;
    let exchange = async move {
        let response = sender.send_request(request).await.map_err(|_| PlatformError::Transport)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(PlatformError::Status(status.as_u16())),
        }
        let revision = revision(response.headers()).ok_or(PlatformError::Malformed)?;
        let body = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES).collect().await;
        let body = body.map_err(|_| PlatformError::Transport)?.to_bytes();
        let text = String::from_utf8(body.into()).map_err(|_| PlatformError::Malformed)?;
        Ok(Some(Document { revision, text }))
    };
    let (result, _) = tokio::join!(exchange, connection);
    result
}

/// Returns the revision of a document, or `None` if a field is missing or not a number.
fn revision(fields: &HeaderMap) -> Option<PublishedRevision> {
    let number = |name| fields.get(name).map(|v| v.to_str().ok()?.parse::<u64>().ok());
    let era = match number(REVISION_ERA) {
        Some(era) => Some(era?),
        None => None,
    };
    PublishedRevision::new(era, number(REVISION)??)
}
