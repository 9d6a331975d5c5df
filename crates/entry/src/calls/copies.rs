//! Receives copies of a peer's record lines.

use super::{app::App, body::ReplyBody};
use azuretally_api::headers;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of one request with copies, in bytes.
const MAX_COPIES_BYTES: usize = 256 * 1024;
/// Timeout for reading the request body.
const COPIES_TIMEOUT: Duration = Duration::from_secs(2);

/// Stores the copies in the request body. Responds with 204 if they were accepted.
pub(super) async fn receive(app: &App, request: Request<Incoming>) -> Response<ReplyBody> {
    let (head, body) = request.into_parts();
    let body = timeout(COPIES_TIMEOUT, Limited::new(body, MAX_COPIES_BYTES).collect()).await;
    let status = match body {
        Ok(Ok(body)) => store(app, &head.headers, &body.to_bytes()),
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

fn store(app: &App, header_map: &HeaderMap, body: &Bytes) -> StatusCode {
    let mac = header_map.get(headers::COPIES_MAC).and_then(|v| v.to_str().ok());
    match app.context.copies.store(&app.context.peer_key, mac, body) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(e) => {
            log::warn!("record: copies from a peer were rejected: {e}");
            StatusCode::FORBIDDEN
        }
    }
}
