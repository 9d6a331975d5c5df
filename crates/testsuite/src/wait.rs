//! Waiting for a condition with a deadline.

use std::time::{Duration, Instant};
use tokio::time;

/// Guards the harness where the users state no bound.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

const PERIOD: Duration = Duration::from_millis(10);

/// Polls `probe` until it gives a value, and returns the value.
///
/// # Panics
///
/// When `limit` has passed.
pub async fn eventually<T, Probe>(what: &str, limit: Duration, mut probe: Probe) -> T
where
    Probe: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        time::sleep(PERIOD).await;
    }
}
