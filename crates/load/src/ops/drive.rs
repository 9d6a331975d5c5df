//! Open-loop driver.
//!
//! A thread of its own hands out each call when it is due, because the timer of the runtime works
//! in steps of a millisecond. Latency counts from the moment at which the call was due, so a delay
//! of this tool counts against the result, never for it.

use crate::core::{
    LoadError,
    sample::{Sample, Verdict},
    schedule::Due,
    score::Outcomes,
};
use error_stack::{Report, ResultExt};
use parking_lot::Mutex;
use std::{
    future::Future,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

/// Head start of the pacing thread before the first call is due.
pub const HEAD_START: Duration = Duration::from_millis(20);

/// A way of getting calls run.
pub trait Sender: Send + Sync + 'static {
    /// Sends one call and waits for its end.
    fn send(&self, call: &Due) -> impl Future<Output = Verdict> + Send;
}

/// Sends every call of `calls` through `sender` when it is due and waits for all of them.
///
/// # Errors
///
/// [`LoadError::Runtime`] when the pacing thread cannot be started.
pub async fn drive<S>(sender: Arc<S>, calls: Vec<Due>) -> Result<Outcomes, Report<LoadError>>
where
    S: Sender,
{
    let samples = Arc::new(Mutex::new(Vec::with_capacity(calls.len())));
    let sent = calls.len() as u64;
    let tracker = TaskTracker::new();
    let pacer = Pacer {
        sender,
        handle: Handle::current(),
        tracker: tracker.clone(),
        samples: Arc::clone(&samples),
    };
    let thread = thread::Builder::new()
        .name("pacer".to_owned())
        .spawn(move || pacer.run(calls))
        .change_context(LoadError::Runtime)?;
    let joined = tokio::task::spawn_blocking(move || thread.join()).await;
    joined.change_context(LoadError::Runtime)?.map_err(|_| Report::new(LoadError::Runtime))?;
    tracker.close();
    tracker.wait().await;
    let samples = std::mem::take(&mut *samples.lock());
    Ok(Outcomes { sent, samples })
}

struct Pacer<S> {
    sender: Arc<S>,
    handle: Handle,
    tracker: TaskTracker,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl<S> Pacer<S>
where
    S: Sender,
{
    fn run(self, calls: Vec<Due>) {
        let start = Instant::now() + HEAD_START;
        for call in calls {
            let due = start + call.at;
            let left = due.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::sleep(left);
            }
            self.begin(call, due);
        }
    }

    fn begin(&self, call: Due, due: Instant) {
        let sender = Arc::clone(&self.sender);
        let samples = Arc::clone(&self.samples);
        let task = async move {
            let verdict = sender.send(&call).await;
            let sample = Sample {
                number: call.number,
                at: call.at,
                latency: due.elapsed(),
                operation: call.operation,
                caller: call.caller,
                verdict,
            };
            samples.lock().push(sample);
        };
        self.tracker.spawn_on(task, &self.handle);
    }
}
