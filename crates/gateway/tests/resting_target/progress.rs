//! Waits for a number of events, however fast the machine is.

use std::time::Duration;
use tokio::{
    task::block_in_place,
    time::{Instant, sleep},
};

/// Time after which a test no longer waits. Its own checks then fail.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Repeats something for a time, and on until there has been enough of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    start: Instant,
    time: Duration,
}

impl Progress {
    /// Starts now, to go on for at least `time`.
    pub(crate) fn start(time: Duration) -> Self {
        Self { start: Instant::now(), time }
    }

    /// Returns whether the time is over and `is_enough`, or will not become true.
    pub(crate) fn is_done<Enough>(&self, is_enough: Enough) -> bool
    where
        Enough: Fn() -> bool,
    {
        let elapsed = self.start.elapsed();
        elapsed >= MAX_WAIT || (elapsed >= self.time && block_in_place(is_enough))
    }
}

/// Waits for `time`, and on until `is_enough`.
pub(crate) async fn wait_until<Enough>(time: Duration, is_enough: Enough)
where
    Enough: Fn() -> bool,
{
    let progress = Progress::start(time);
    sleep(time).await;
    while !progress.is_done(&is_enough) {
        sleep(POLL_INTERVAL).await;
    }
}
