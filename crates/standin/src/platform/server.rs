//! HTTP interface of the platform.

use super::state::{Copied, Document, Faults, Platform, Versioned, WriteError};
use crate::http::{self as web, ConnectionAborted, ResponseBody};
use ::http::{HeaderValue, Method, Request, Response, StatusCode};
use azuretally_api::{
    headers::PLATFORM_ERA,
    platform::{HOSTS_PATH, HostList, REVISION, REVISION_ERA, SETTINGS_PATH},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{sync::Arc, time::Duration};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

/// Header with the revision that a write of settings must replace.
const EXPECTED_REVISION: &str = "x-expected-revision";
/// Path that returns the counters of read requests.
const COUNTS_PATH: &str = "/v1/counts";
/// Path that sets the faults of the platform.
const FAULTS_PATH: &str = "/v1/faults";

/// Path that restores the platform from a copy.
const RESTORE_PATH: &str = "/v1/restore";

/// Serves readers, operators and fault injection until `stop` is cancelled.
pub async fn serve(platform: Arc<Platform>, listener: TcpListener, stop: CancellationToken) {
    let handler = move |request| {
        let platform = Arc::clone(&platform);
        async move {
            let mut response = handle(&platform, request).await?;
            response.headers_mut().insert(PLATFORM_ERA, HeaderValue::from(platform.era()));
            Ok(response)
        }
    };
    web::serve(listener, stop, handler).await;
}

async fn handle(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, SETTINGS_PATH) => {
            read_document(platform, Document::Settings, &request).await
        }
        (&Method::GET, HOSTS_PATH) => read_document(platform, Document::Hosts, &request).await,
        (&Method::PUT, SETTINGS_PATH) => put_settings(platform, request).await,
        (&Method::PUT, HOSTS_PATH) => put_hosts(platform, request).await,
        (&Method::GET, COUNTS_PATH) => Ok(web::json_response(&platform.counts.report())),
        (&Method::POST, FAULTS_PATH) => set_faults(platform, request).await,
        (&Method::POST, RESTORE_PATH) => restore(platform, request).await,
        _ => Ok(web::text_response(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn read_document(
    platform: &Platform,
    document: Document,
    request: &Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    platform.counts.record_call(request.uri().path());
    let parse_param = |name| web::query_param(request, name).and_then(|v| v.parse::<u64>().ok());
    let after = parse_param("after");
    let after_era = parse_param("era");
    let wait = Duration::from_millis(parse_param("wait_ms").unwrap_or(0));
    let deadline = time::Instant::now() + wait;
    let mut changed = platform.subscribe();
    let _waiting = (!wait.is_zero()).then(|| platform.counts.start_poll());
    loop {
        let faults = platform.faults();
        if faults.down {
            return Err(ConnectionAborted);
        }
        if faults.hang {
            let _ = changed.changed().await;
            continue;
        }
        let visible = platform.visible(document);
        let is_newer = |v: &Versioned| match (after_era, after) {
            (_, None) => true,
            (None, Some(revision)) => v.revision > revision,
            (Some(era), Some(revision)) => (v.era, v.revision) > (era, revision),
        };
        let newer = visible.filter(|v| faults.ignore_after || is_newer(v));
        if let Some(version) = newer {
            time::sleep(platform.delay()).await;
            return Ok(document_response(&version));
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = time::sleep_until(deadline) => {
                return Ok(web::text_response(StatusCode::NOT_MODIFIED, ""));
            }
        }
    }
}

fn document_response(version: &Versioned) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(version.text.as_bytes().to_vec()));
    response.headers_mut().insert(REVISION, HeaderValue::from(version.revision));
    response.headers_mut().insert(REVISION_ERA, HeaderValue::from(version.era));
    response
}

async fn put_settings(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    if platform.faults().down {
        return Err(ConnectionAborted);
    }
    let expected = request.headers().get(EXPECTED_REVISION);
    let expected = expected.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let body = read_body(request).await?;
    let Ok(text) = std::str::from_utf8(&body) else {
        return Ok(web::text_response(StatusCode::BAD_REQUEST, "not UTF-8"));
    };
    match platform.write_settings(text, expected) {
        Ok(revision) => Ok(revision_response(StatusCode::OK, revision)),
        Err(WriteError::Conflict { current }) => {
            Ok(revision_response(StatusCode::CONFLICT, current))
        }
    }
}

async fn put_hosts(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    if platform.faults().down {
        return Err(ConnectionAborted);
    }
    match serde_json::from_slice::<HostList>(&read_body(request).await?) {
        Ok(list) => Ok(revision_response(StatusCode::OK, platform.write_hosts(list))),
        Err(e) => Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}

async fn set_faults(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    match serde_json::from_slice::<Faults>(&read_body(request).await?) {
        Ok(faults) => {
            log::info!("platform: faults {faults:?}");
            platform.set_faults(faults);
            Ok(web::json_response(&faults))
        }
        Err(e) => Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}

async fn restore(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    match serde_json::from_slice::<Copied>(&read_body(request).await?) {
        Ok(copied) => {
            log::info!("platform: restored from {copied:?}");
            platform.restore(copied);
            Ok(web::json_response(&copied))
        }
        Err(e) => Ok(web::text_response(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}

fn revision_response(code: StatusCode, revision: u64) -> Response<ResponseBody> {
    let mut response = web::text_response(code, &format!("revision {revision}\n"));
    response.headers_mut().insert(REVISION, HeaderValue::from(revision));
    response
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionAborted> {
    request.into_body().collect().await.map(|b| b.to_bytes()).map_err(|_| ConnectionAborted)
}
