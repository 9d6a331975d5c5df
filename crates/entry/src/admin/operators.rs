//! The administration API.

use super::status;
use crate::{StartError, context::Context};
use azuretally_api::admin::EntryStatus;
use dropshot::{ApiDescription, HttpError, HttpResponseOk, RequestContext, endpoint};
use error_stack::{Report, ResultExt};
use std::sync::Arc;

/// The interface for operators.
pub(super) fn api() -> Result<ApiDescription<Arc<Context>>, Report<StartError>> {
    let mut api = ApiDescription::new();
    api.register(get_status).change_context(StartError::Api)?;
    Ok(api)
}

/// State of this entry
#[endpoint { method = GET, path = "/status" }]
async fn get_status(
    request: RequestContext<Arc<Context>>,
) -> Result<HttpResponseOk<EntryStatus>, HttpError> {
    Ok(HttpResponseOk(status::status(request.context())))
}
