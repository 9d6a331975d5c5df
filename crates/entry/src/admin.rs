//! Administration API and directions.

use crate::context::Context;
use std::sync::Arc;

/// Runs until the end of the process.
pub async fn run(context: &Arc<Context>) {
    context.end.cancelled().await;
}
