//! Queue of the steps that a dispatcher has decided for one call.

use azuretally_policy::dispatch::{RefusalReason, UnknownReason};
use futures_util::task::AtomicWaker;
use parking_lot::Mutex;
use std::{collections::VecDeque, future::poll_fn, sync::Arc, task::Poll, time::Duration};

/// Next step in the execution of a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Send the call to a target.
    Dispatch { target: Arc<str>, attempt: u32 },
    /// Relay the call to a peer.
    Relay { peer: Arc<str> },
    /// Reply that the call was not run.
    Refuse { reason: RefusalReason, retry_after: Duration },
    /// Reply that the outcome is unknown.
    Unknown { reason: UnknownReason },
    /// Cancel the attempt at a target.
    Cancel { target: Arc<str> },
}

/// Queue of steps with a single reader.
#[derive(Debug, Default)]
pub(super) struct Mailbox {
    steps: Mutex<VecDeque<Step>>,
    waker: AtomicWaker,
}

impl Mailbox {
    /// Adds a step and wakes the reader.
    pub(super) fn post(&self, step: Step) {
        self.steps.lock().push_back(step);
        self.waker.wake();
    }

    /// Waits for the next step.
    pub(super) async fn next(&self) -> Step {
        poll_fn(|cx| {
            if let Some(step) = self.steps.lock().pop_front() {
                return Poll::Ready(step);
            }
            self.waker.register(cx.waker());
            match self.steps.lock().pop_front() {
                Some(step) => Poll::Ready(step),
                None => Poll::Pending,
            }
        })
        .await
    }
}
