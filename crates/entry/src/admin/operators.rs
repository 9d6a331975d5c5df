//! The administration API for operators.

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

/// Number of lines in a page if the request sets no limit.
const DEFAULT_PAGE_LINES: usize = 100;
/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the description of the administration API.
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

/// Position and size of a page.
#[derive(Debug, Deserialize, JsonSchema)]
struct PageQuery {
    /// Sequence number after which the page starts; for copies, the `next` of the previous page.
    /// By default, the page starts with the first line in memory.
    after: Option<u64>,
    /// Maximum number of lines, 100 by default and at most 1000.
    limit: Option<usize>,
}

/// Identifier of a call.
#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    /// Sequence number of the line of the call, or its idempotency key with or without the token.
    call: String,
}

/// Return the state of this entry
#[endpoint { method = GET, path = "/status" }]
async fn get_status(
    request: RequestContext<Arc<App>>,
) -> Result<HttpResponseOk<EntryStatus>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Read)?;
    Ok(HttpResponseOk(status::status(&app.context)))
}

/// Begin the planned stop: accept calls for 2 s more, abort those still running 30 s later
#[endpoint { method = POST, path = "/stop" }]
async fn post_stop(
    request: RequestContext<Arc<App>>,
) -> Result<HttpResponseAccepted<StopAnswer>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Change)?;
    let counts = app.context.counts.snapshot();
    let in_flight = counts.values().map(|c| c.in_flight).sum();
    log::info!("admin: planned stop requested by {}", request.request.remote_addr());
    app.context.stop.cancel();
    Ok(HttpResponseAccepted(StopAnswer { host: app.context.local.host.to_string(), in_flight }))
}

/// List the lines of the audit record in the memory of this entry, page by page
#[endpoint { method = GET, path = "/records" }]
async fn get_records(
    request: RequestContext<Arc<App>>,
    query: Query<PageQuery>,
) -> Result<HttpResponseOk<RecordPage>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Read)?;
    let query = query.into_inner();
    let limit = query.limit.unwrap_or(DEFAULT_PAGE_LINES);
    Ok(HttpResponseOk(app.context.journal.page(query.after.unwrap_or(0), limit)))
}

/// List the copies of the record lines of peers in the memory of this entry, page by page
#[endpoint { method = GET, path = "/copies" }]
async fn get_copies(
    request: RequestContext<Arc<App>>,
    query: Query<PageQuery>,
) -> Result<HttpResponseOk<CopyPage>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Read)?;
    let query = query.into_inner();
    let limit = query.limit.unwrap_or(DEFAULT_PAGE_LINES);
    Ok(HttpResponseOk(app.context.copies.page(query.after.unwrap_or(0), limit)))
}

/// List the lines of one call, from this entry and from the copies of its peers
#[endpoint { method = GET, path = "/records/{call}" }]
async fn get_record(
    request: RequestContext<Arc<App>>,
    path: Path<CallPath>,
) -> Result<HttpResponseOk<RecordPage>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Read)?;
    let call = path.into_inner().call;
    let mut page = app.context.journal.find(&call);
    page.lines.extend(app.context.copies.find(|line| matches_call(line, &call)));
    Ok(HttpResponseOk(page))
}

/// Return metrics in the OpenMetrics text format
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<Arc<App>>) -> Result<Response<Body>, HttpError> {
    let app = request.context();
    app.authorize(&request, Access::Read)?;
    app.context.metrics.observe_control(&app.context.control.counters);
    let text = app.context.metrics.encode(&status::status(&app.context));
    let text = text.map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    let response = Response::builder().header(CONTENT_TYPE, METRICS_CONTENT_TYPE).body(text.into());
    response.map_err(|e| HttpError::for_internal_error(e.to_string()))
}
