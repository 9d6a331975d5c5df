//! How late the event loop runs while something is awaited.

use std::time::Duration;
use tokio::{
    pin, select,
    time::{Instant, sleep_until},
};

/// Interval between two looks at how late a timer comes.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Lateness from which an answer that did not arrive in time proves nothing: an exchange takes a few turns
/// of the event loop.
const MAX_LATENESS: Duration = Duration::from_millis(50);

/// Waits for `work`. Returns its output, and whether the event loop was on time all the while, so that a
/// timeout of `work` was not its own fault.
pub(super) async fn was_on_time<Work>(work: Work) -> (Work::Output, bool)
where
    Work: Future,
{
    pin!(work);
    let mut greatest = Duration::ZERO;
    loop {
        let due = Instant::now() + LOOK_INTERVAL;
        let output = select! {
            biased;
            output = &mut work => Some(output),
            () = sleep_until(due) => None,
        };
        greatest = greatest.max(due.elapsed());
        if let Some(output) = output {
            return (output, greatest < MAX_LATENESS);
        }
    }
}
