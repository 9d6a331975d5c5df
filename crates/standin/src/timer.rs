//! Timer with a resolution below one millisecond.
//!
//! The timer of the Tokio runtime has a resolution of one millisecond, which would round up every
//! service time of a few milliseconds.

use parking_lot::{Condvar, Mutex};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

#[derive(Debug)]
struct Sleeper {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    sleepers: BinaryHeap<Reverse<Sleeper>>,
    stopped: bool,
}

/// Timer thread that wakes sleeping tasks when they are due.
#[derive(Debug)]
pub(crate) struct Timer {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Timer {
    /// Starts the timer thread.
    pub(crate) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let worker = Arc::clone(&shared);
        let thread = thread::spawn(move || worker.run());
        Self { shared, thread: Some(thread) }
    }

    /// Sleeps for `time`; returns at once if it is zero.
    pub(crate) async fn sleep(&self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let (wake, wakeup) = oneshot::channel();
        let due = Instant::now() + time;
        self.shared.state.lock().sleepers.push(Reverse(Sleeper { due, wake }));
        self.shared.changed.notify_one();
        let _ = wakeup.await;
    }
}

impl Shared {
    fn run(&self) {
        let mut state = self.state.lock();
        while !state.stopped {
            let now = Instant::now();
            while state.sleepers.peek().is_some_and(|s| s.0.due <= now) {
                if let Some(Reverse(sleeper)) = state.sleepers.pop() {
                    let _ = sleeper.wake.send(());
                }
            }
            match state.sleepers.peek().map(|s| s.0.due) {
                Some(due) => {
                    let _ = self.changed.wait_until(&mut state, due);
                }
                None => self.changed.wait(&mut state),
            }
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.shared.state.lock().stopped = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
