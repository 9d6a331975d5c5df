//! Control port of a group of targets.

use super::{faults::Faults, group::TargetGroup};
use crate::http::{self as web, ConnectionAborted, ResponseBody};
use ::http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves the control port until `stop` is cancelled: `POST /faults[?target=NAME]` sets faults,
/// `GET /runs` returns all counters and `GET /stats` the counters without those by key.
pub(super) async fn serve(group: Arc<TargetGroup>, listener: TcpListener, stop: CancellationToken) {
    let handler = move |request| {
        let group = Arc::clone(&group);
        async move { handle(&group, request).await }
    };
    web::serve(listener, stop, handler).await;
}

async fn handle(
    group: &TargetGroup,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => Ok(web::json_response(&group.report(true))),
        (&Method::GET, "/stats") => Ok(web::json_response(&group.report(false))),
        (&Method::POST, "/faults") => set_faults(group, request).await,
        _ => Ok(web::text_response(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn set_faults(
    group: &TargetGroup,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    let target = web::query_param(&request, "target").map(str::to_owned);
    let body = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    let faults = match serde_json::from_slice::<Faults>(&body) {
        Ok(faults) => faults,
        Err(e) => return Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    log::info!("target: faults of {target:?}: {faults:?}");
    if group.set_faults(target.as_deref(), faults) {
        Ok(web::json_response(&faults))
    } else {
        Ok(web::text_response(StatusCode::NOT_FOUND, "no such target"))
    }
}
