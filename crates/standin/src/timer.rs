//! Sleeping with a precision well under the millisecond of the runtime's own timer.
//!
//! Service times of a few milliseconds would otherwise all be rounded up.

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
    ended: bool,
}

/// A thread that wakes sleepers when they are due.
#[derive(Debug)]
pub(crate) struct Timer {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Timer {
    /// Starts the thread.
    pub(crate) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        let thread = thread::spawn(move || own.run());
        Self { shared, thread: Some(thread) }
    }

    /// Sleeps for `time`.
    pub(crate) async fn sleep(&self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        let due = Instant::now() + time;
        self.shared.state.lock().sleepers.push(Reverse(Sleeper { due, wake }));
        self.shared.changed.notify_one();
        let _ = woken.await;
    }
}

impl Shared {
    fn run(&self) {
        let mut state = self.state.lock();
        while !state.ended {
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
        self.shared.state.lock().ended = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
