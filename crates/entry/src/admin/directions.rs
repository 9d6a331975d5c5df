//! Answers callers that ask which entry to use.

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

/// The interface for callers that ask which entry to use.
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

/// Entries to use for a service, the best first
#[endpoint { method = GET, path = "/directions" }]
async fn get_directions(
    request: RequestContext<Arc<App>>,
    query: Query<DirectionsQuery>,
) -> Result<HttpResponseOk<Directions>, HttpError> {
    let view = request.context().context.view();
    let service = query.into_inner().service;
    if view.state == Lifecycle::Starting {
        return Err(starting());
    }
    answer(&request.context().context, &view, &service).map(HttpResponseOk).ok_or_else(|| {
        let message = format!("no service named `{service}`");
        HttpError::for_not_found(Some("no-service".to_owned()), message)
    })
}

/// The caller may ask another entry at once, or this one after a moment.
fn starting() -> HttpError {
    let message = "no settings are in force here yet".to_owned();
    let mut error = HttpError::for_unavail(Some("starting".to_owned()), message.clone());
    error.external_message = message;
    // A constant without control characters is a sound header value.
    let _ = error.add_header(http::header::RETRY_AFTER, "1");
    error
}

/// Directions that begin with another member of the set for each request.
fn answer(context: &Context, view: &ClusterView, service: &str) -> Option<Directions> {
    let mut answer = control::directions(view, service, context.control.next_rotation(service))?;
    let own = answer.entries.iter_mut().filter(|e| *e.host == *context.local.host);
    own.for_each(|e| e.token = context.mint_token());
    Some(answer)
}
