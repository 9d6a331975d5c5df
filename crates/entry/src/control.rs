//! Control work: platform, peers and the view.

use crate::context::Context;
use std::sync::Arc;

/// Runs until the end of the process.
pub async fn run(context: &Arc<Context>) {
    context.end.cancelled().await;
}
