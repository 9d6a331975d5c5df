//! The administration API.

use super::{
    app::{Access, App},
    status,
};
use crate::{StartError, record::matches_call};
use azuretally_api::admin::{CopyPage, EntryStatus, RecordPage, StopAnswer};
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseAccepted, HttpResponseOk, Path, Query,
    RequestContext, endpoint,
};
use error_stack::{Report, ResultExt};
use http::{Response, header::CONTENT_TYPE};
use schemars::JsonSchema;
use serde::Deserialize;
use std::sync::Arc;

/// Lines in one page when the request names no limit.
const PAGE_LINES: usize = 100;
/// Content type of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The interface for operators.
pub(super) fn api() -> Result<ApiDescription<Arc<App>>, Report<StartError>> {
    let mut api = ApiDescription::new();
    api.register(get_status).change_context(StartError::Api)?;
    api.register(post_stop).change_context(StartError::Api)?;
    api.register(get_records).change_context(StartError::Api)?;
    api.register(get_record).change_context(StartError::Api)?;
    api.register(get_copies).change_context(StartError::Api)?;
    api.register(get_metrics).change_context(StartError::Api)?;
    Ok(api)
}

/// Where a page of the record begins.
#[derive(Debug, Deserialize, JsonSchema)]
struct PageQuery {
    /// Lines above this sequence number, or of copies from this place on, are given. From the
    /// first kept line without it.
    after: Option<u64>,
    /// Number of lines, 100 without it and at most 1000.
    limit: Option<usize>,
}

/// Which call is meant.
#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    /// Sequence number of its line, or its idempotency key, with or without the token.
    call: String,
}

/// State of this entry
#[endpoint { method = GET, path = "/status" }]
async fn get_status(
    request: RequestContext<Arc<App>>,
) -> Result<HttpResponseOk<EntryStatus>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Read)?;
    Ok(HttpResponseOk(status::status(&app.context)))
}

/// Begin the planned stop: no new calls, those in flight are finished
#[endpoint { method = POST, path = "/stop" }]
async fn post_stop(
    request: RequestContext<Arc<App>>,
) -> Result<HttpResponseAccepted<StopAnswer>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Change)?;
    let calls = app.context.counts.snapshot();
    let in_flight = calls.values().map(|c| c.in_flight).sum();
    log::info!("admin: planned stop asked for by {}", request.request.remote_addr());
    app.context.stop.cancel();
    Ok(HttpResponseAccepted(StopAnswer { host: app.context.local.host.to_string(), in_flight }))
}

/// Lines of the audit record that are kept here, page by page
#[endpoint { method = GET, path = "/records" }]
async fn get_records(
    request: RequestContext<Arc<App>>,
    query: Query<PageQuery>,
) -> Result<HttpResponseOk<RecordPage>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Read)?;
    let query = query.into_inner();
    let limit = query.limit.unwrap_or(PAGE_LINES);
    Ok(HttpResponseOk(app.context.journal.page(query.after.unwrap_or(0), limit)))
}

/// Copies of the lines of peers that are kept here, page by page
#[endpoint { method = GET, path = "/copies" }]
async fn get_copies(
    request: RequestContext<Arc<App>>,
    query: Query<PageQuery>,
) -> Result<HttpResponseOk<CopyPage>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Read)?;
    let query = query.into_inner();
    let limit = query.limit.unwrap_or(PAGE_LINES);
    Ok(HttpResponseOk(app.context.copies.page(query.after.unwrap_or(0), limit)))
}

/// Lines of one call, of this entry and copied from peers
#[endpoint { method = GET, path = "/records/{call}" }]
async fn get_record(
    request: RequestContext<Arc<App>>,
    path: Path<CallPath>,
) -> Result<HttpResponseOk<RecordPage>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Read)?;
    let call = path.into_inner().call;
    let mut page = app.context.journal.find(&call);
    page.lines.extend(app.context.copies.find(|line| matches_call(line, &call)));
    Ok(HttpResponseOk(page))
}

/// Metrics in the OpenMetrics text form
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<Arc<App>>) -> Result<Response<Body>, HttpError> {
    let app = request.context();
    app.check(&request, Access::Read)?;
    app.context.metrics.observe_control(&app.context.control.counters);
    let text = app.context.metrics.encode(&status::status(&app.context));
    let text = text.map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    let answer = Response::builder().header(CONTENT_TYPE, METRICS_TYPE).body(text.into());
    answer.map_err(|e| HttpError::for_internal_error(e.to_string()))
}
