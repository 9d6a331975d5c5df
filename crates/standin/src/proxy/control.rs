//! Control port of the proxy, which sets the faults of links at run time.

use super::link::{Faults, Link};
use crate::http::{self as web, ConnectionAborted, ResponseBody};
use ::http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const LINK_PREFIX: &str = "/links/";

/// Serves the control port until `stop` is cancelled: `POST /links/NAME` with [`Faults`] as JSON
/// sets the faults of a link, `GET /links/NAME` returns its connection counters.
pub async fn serve(
    links: Arc<IndexMap<Arc<str>, Arc<Link>>>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let handler = move |request| {
        let links = Arc::clone(&links);
        async move { handle(&links, request).await }
    };
    web::serve(listener, stop, handler).await;
}

async fn handle(
    links: &IndexMap<Arc<str>, Arc<Link>>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    let name = request.uri().path().strip_prefix(LINK_PREFIX);
    let Some(link) = name.and_then(|n| links.get(n)) else {
        return Ok(web::text_response(StatusCode::NOT_FOUND, "no such link"));
    };
    if request.method() != Method::POST {
        return Ok(web::json_response(&link.counts()));
    }
    let body = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    match serde_json::from_slice::<Faults>(&body) {
        Ok(faults) => {
            link.set_faults(faults);
            Ok(web::json_response(&faults))
        }
        Err(e) => Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}
