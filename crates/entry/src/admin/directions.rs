//! API that tells callers which entries to use.

use super::app::App;
use crate::{
    StartError,
    context::Context,
    control,
    view::{ClusterView, Lifecycle},
};
use azuretally_api::directions::Directions;
use dropshot::{ApiDescription, HttpError, HttpResponseOk, Query, RequestContext, endpoint};
use error_stack::{Report, ResultExt};
use schemars::JsonSchema;
use serde::Deserialize;
use std::sync::Arc;

/// Returns the description of the directions API.
pub(super) fn api() -> Result<ApiDescription<Arc<App>>, Report<StartError>> {
    let mut api = ApiDescription::new();
    api.register(get_directions).change_context(StartError::Api)?;
    Ok(api)
}

#[derive(Debug, Deserialize, JsonSchema)]
struct DirectionsQuery {
    /// Name of the service.
    service: String,
}

/// List the entries to use for a service, best first
#[endpoint { method = GET, path = "/directions" }]
async fn get_directions(
    request: RequestContext<Arc<App>>,
    query: Query<DirectionsQuery>,
) -> Result<HttpResponseOk<Directions>, HttpError> {
    let view = request.context().context.view();
    let service = query.into_inner().service;
    if view.state == Lifecycle::Starting {
        return Err(starting_error());
    }
    resolve(&request.context().context, &view, &service).map(HttpResponseOk).ok_or_else(|| {
        let message = format!("no service named `{service}`");
        HttpError::for_not_found(Some("no-service".to_owned()), message)
    })
}

/// The response while the entry has no settings. The caller may ask another entry at once, or this
/// one again after the time in `retry-after`.
fn starting_error() -> HttpError {
    let message = "no settings are in force here yet".to_owned();
    let mut error = HttpError::for_unavail(Some("starting".to_owned()), message.clone());
    error.external_message = message;
    // A constant without control characters is always a valid header value.
    let _ = error.add_header(http::header::RETRY_AFTER, "1");
    error
}

/// Returns the directions for one request, with a new token for this entry. Consecutive requests
/// start with different members of the entry set.
fn resolve(context: &Context, view: &ClusterView, service: &str) -> Option<Directions> {
    let mut directions =
        control::directions(view, service, context.control.next_rotation(service))?;
    let own_entry = directions.entries.iter_mut().filter(|e| *e.host == *context.local.host);
    own_entry.for_each(|e| e.token = context.mint_token());
    Some(directions)
}
