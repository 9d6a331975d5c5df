//! Open-loop load generator.
//!
//! A separate thread starts each call at its scheduled time, because the timer of the async runtime
//! has a resolution of one millisecond. Latency is measured from the scheduled time, so a delay in
//! this tool can only increase the measured latency.

use crate::core::{
    LoadError,
    sample::{CallResult, Sample},
    schedule::ScheduledCall,
    stats::Outcomes,
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

/// Time between the start of the pacing thread and the start of the schedule.
pub const START_DELAY: Duration = Duration::from_millis(20);

/// Sends calls to be executed.
pub trait CallSender: Send + Sync + 'static {
    /// Sends one call and waits for its result.
    fn send(&self, call: &ScheduledCall) -> impl Future<Output = CallResult> + Send;
}

/// Sends every call of `calls` through `sender` at its scheduled time and waits for all results.
///
/// # Errors
///
/// [`LoadError::Runtime`] if the pacing thread cannot be started or panics.
pub async fn run<S>(
    sender: Arc<S>,
    calls: Vec<ScheduledCall>,
) -> Result<Outcomes, Report<LoadError>>
where
    S: CallSender,
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

/// State of the pacing thread.
struct Pacer<S> {
    sender: Arc<S>,
    handle: Handle,
    tracker: TaskTracker,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl<S> Pacer<S>
where
    S: CallSender,
{
    fn run(self, calls: Vec<ScheduledCall>) {
        let start = Instant::now() + START_DELAY;
        for call in calls {
            let due = start + call.at;
            let remaining = due.saturating_duration_since(Instant::now());
            if !remaining.is_zero() {
                thread::sleep(remaining);
            }
            self.spawn_call(call, due);
        }
    }

    fn spawn_call(&self, call: ScheduledCall, due: Instant) {
        let sender = Arc::clone(&self.sender);
        let samples = Arc::clone(&self.samples);
        let task = async move {
            let result = sender.send(&call).await;
            let sample = Sample {
                number: call.number,
                at: call.at,
                latency: due.elapsed(),
                operation: call.operation,
                caller: call.caller,
                result,
            };
            samples.lock().push(sample);
        };
        self.tracker.spawn_on(task, &self.handle);
    }
}
