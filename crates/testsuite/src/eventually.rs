//! Polling for a condition with a time limit.

use std::time::{Duration, Instant};
use tokio::time;

/// Time limit of steps for which the requirements state no bound.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `probe` until it returns a value, and returns that value. `what` describes the condition.
///
/// # Panics
///
/// Panics if there is no value within `limit`.
pub async fn eventually<T, Probe>(what: &str, limit: Duration, mut probe: Probe) -> T
where
    Probe: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(start.elapsed() < limit, "condition not met within {limit:?}: {what}");
        time::sleep(POLL_INTERVAL).await;
    }
}
