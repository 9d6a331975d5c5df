//! Slots of a target and the bounded queue for them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Execution slots with a bounded queue.
#[derive(Debug)]
pub(super) struct Slots {
    semaphore: Arc<Semaphore>,
    capacity: usize,
    backlog: usize,
    waiting: AtomicUsize,
}

/// Counts a call as waiting until dropped.
struct QueuePosition<'a>(&'a AtomicUsize);

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Slots {
    pub(super) fn new(capacity: usize, backlog: usize) -> Self {
        let semaphore = Arc::new(Semaphore::new(capacity));
        Self { semaphore, capacity, backlog, waiting: AtomicUsize::new(0) }
    }

    /// Acquires a slot and waits in the queue if none is free. Returns `None` if the queue is full.
    pub(super) async fn acquire_or_queue(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.backlog {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let _position = QueuePosition(&self.waiting);
        Arc::clone(&self.semaphore).acquire_owned().await.ok()
    }

    /// Acquires a slot without a limit on waiting, as probes and new connections do. Such waiting
    /// is not counted by [`busy`](Self::busy).
    pub(super) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.semaphore).acquire_owned().await.ok()
    }

    /// Returns the number of slots in use plus the number of calls in the queue.
    pub(super) fn busy(&self) -> usize {
        self.capacity - self.semaphore.available_permits() + self.waiting.load(Ordering::SeqCst)
    }
}
