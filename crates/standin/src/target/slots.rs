//! The slots of a target and the short queue before them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots with a bounded queue.
#[derive(Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    slots: usize,
    backlog: usize,
    waiting: AtomicUsize,
}

/// One more call in the queue, until dropped.
struct Place<'a>(&'a AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Slots {
    pub(super) fn new(slots: usize, backlog: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, slots, backlog, waiting: AtomicUsize::new(0) }
    }

    /// A slot, after waiting in the queue; none when the queue is full.
    pub(super) async fn take(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.backlog {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let _place = Place(&self.waiting);
        Arc::clone(&self.free).acquire_owned().await.ok()
    }

    /// A slot for work that is never refused, such as probes and new connections.
    pub(super) async fn take_always(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.free).acquire_owned().await.ok()
    }

    /// Slots in use and calls in the queue.
    pub(super) fn busy(&self) -> usize {
        self.slots - self.free.available_permits() + self.waiting.load(Ordering::SeqCst)
    }
}
