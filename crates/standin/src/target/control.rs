//! Control port of a group of targets.

use super::{faults::Faults, fleet::TargetGroup};
use crate::http::{self as web, ConnectionAborted, ResponseBody};
use ::http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves `POST /faults[?target=NAME]`, `GET /runs` and `GET /stats` (sums alone) until `stop`.
pub(super) async fn serve(fleet: Arc<TargetGroup>, listener: TcpListener, stop: CancellationToken) {
    let handler = move |request| {
        let fleet = Arc::clone(&fleet);
        async move { answer(&fleet, request).await }
    };
    web::serve(listener, stop, handler).await;
}

async fn answer(
    fleet: &TargetGroup,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => Ok(web::json_response(&fleet.report(true))),
        (&Method::GET, "/stats") => Ok(web::json_response(&fleet.report(false))),
        (&Method::POST, "/faults") => set_faults(fleet, request).await,
        _ => Ok(web::text_response(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn set_faults(
    fleet: &TargetGroup,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    let target = web::query_param(&request, "target").map(str::to_owned);
    let body = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    let faults = match serde_json::from_slice::<Faults>(&body) {
        Ok(faults) => faults,
        Err(e) => return Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    log::info!("target: faults of {target:?}: {faults:?}");
    if fleet.set_faults(target.as_deref(), faults) {
        Ok(web::json_response(&faults))
    } else {
        Ok(web::text_response(StatusCode::NOT_FOUND, "no such target"))
    }
}
