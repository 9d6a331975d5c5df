//! Takes copies of a peer's record lines.

use super::{app::App, body::Answer};
use azuretally_api::headers;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Bytes of one message.
const BODY_BYTES: usize = 256 * 1024;
/// Time for the whole message.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers 204 when the lines were taken.
pub(super) async fn take(app: &App, request: Request<Incoming>) -> Response<Answer> {
    let (head, body) = request.into_parts();
    let body = timeout(BODY_TIMEOUT, Limited::new(body, BODY_BYTES).collect()).await;
    let status = match body {
        Ok(Ok(body)) => keep(app, &head.headers, &body.to_bytes()),
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

fn keep(app: &App, fields: &HeaderMap, body: &Bytes) -> StatusCode {
    let mac = fields.get(headers::COPIES_MAC).and_then(|v| v.to_str().ok());
    match app.context.copies.store(&app.context.peer_key, mac, body) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(e) => {
            log::warn!("record: copies refused: {e}");
            StatusCode::FORBIDDEN
        }
    }
}
