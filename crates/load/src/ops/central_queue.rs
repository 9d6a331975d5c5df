//! Ideal reference for the entries: one central queue with perfect knowledge.
//!
//! It sends the same calls to the same stand-in targets over the same loopback as the entries, so
//! that both measurements contain the noise of the same machine. A simulation in virtual time would
//! contain no noise, and the ratio of a real run to it would include the effect of the machine.
//!
//! The queue knows how many slots of each target are free, because no one else uses them. It knows
//! the speed of each target at any time, because it replays the seeded history of the noisy
//! neighbour and gets the slowdowns of the experiment in advance.

use super::{
    direct::{RequestTemplate, classify_answer},
    open_loop::CallSender,
};
use crate::{
    core::{sample::CallResult, schedule::ScheduledCall},
    util::client::{Pool, SendError},
};
use azuretally_api::record::Outcome;
use azuretally_standin::target::NoisyNeighbour;
use parking_lot::Mutex;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};
use tokio::sync::oneshot;

/// Largest number of attempts of one call. A target can refuse a call only while connections to it
/// are being established, since each new connection uses a slot for a short time.
const MAX_ATTEMPTS: usize = 20;

/// Target with its free slots.
#[derive(Debug)]
struct QueuedTarget {
    address: SocketAddr,
    free_slots: u32,
    pool: Arc<Pool>,
}

/// Call that waits for a slot.
#[derive(Debug)]
struct Waiter {
    deadline: Instant,
    /// Receives the index of the target whose slot is assigned to the call.
    target: oneshot::Sender<usize>,
}

/// Mutable state of the queue.
#[derive(Debug)]
struct QueueState {
    targets: Vec<QueuedTarget>,
    /// Waiting calls by rank of their class; first in, first out within a class.
    waiting: BTreeMap<usize, VecDeque<Waiter>>,
    speed: SpeedModel,
}

/// Speed of every target at any time.
#[derive(Debug)]
pub struct SpeedModel {
    /// History of the noisy neighbour, if there is one.
    pub noisy_neighbour: Option<NoisyNeighbour>,
    /// Time at which the targets started.
    pub start: Instant,
    /// Temporary slowdowns that the experiment causes.
    pub slowdowns: Vec<Slowdown>,
}

/// Temporary slowdown of one target.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Index of the target.
    pub target: usize,
    /// Start of the slowdown.
    pub from: Instant,
    /// End of the slowdown.
    pub until: Instant,
    /// Factor by which service times are multiplied.
    pub factor: f64,
}

impl SpeedModel {
    /// Returns the current factor of the service times of `target`.
    fn factor(&mut self, target: usize) -> f64 {
        let now = Instant::now();
        let at = now.saturating_duration_since(self.start);
        let neighbour_factor = self.noisy_neighbour.as_mut().map_or(1.0, |n| n.factor(at, target));
        let slowdowns = self.slowdowns.iter().filter(|s| s.target == target);
        let slowdowns = slowdowns.filter(|s| s.from <= now && now < s.until).map(|s| s.factor);
        neighbour_factor * slowdowns.product::<f64>()
    }
}

/// Central queue for the targets of one service.
#[derive(Debug)]
pub struct CentralQueue {
    template: RequestTemplate,
    /// Rank of the class of each operation.
    class_ranks: Vec<usize>,
    state: Mutex<QueueState>,
}

impl CentralQueue {
    /// Creates a queue for the targets at `addresses` with `slots` slots each. `class_ranks` is the
    /// rank of the class of each operation; lower ranks are served first.
    pub fn new(
        template: RequestTemplate,
        class_ranks: Vec<usize>,
        addresses: &[SocketAddr],
        slots: u32,
        speed: SpeedModel,
    ) -> Self {
        let target = |&address| QueuedTarget {
            address,
            free_slots: slots,
            pool: Arc::new(Pool::new(address)),
        };
        let targets = addresses.iter().map(target).collect();
        let state = Mutex::new(QueueState { targets, waiting: BTreeMap::new(), speed });
        Self { template, class_ranks, state }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        let pools: Vec<_> = self.state.lock().targets.iter().map(|t| Arc::clone(&t.pool)).collect();
        for pool in pools {
            pool.close().await;
        }
    }

    /// Waits for a slot and returns the index of its target, or `None` if the call is discarded
    /// because its deadline has passed.
    async fn acquire_slot(&self, call: &ScheduledCall, deadline: Instant) -> Option<usize> {
        let receiver = {
            let mut state = self.state.lock();
            if let Some(i) = state.take_fastest_slot() {
                return Some(i);
            }
            let (target, receiver) = oneshot::channel();
            let rank = self.class_ranks[call.operation];
            state.waiting.entry(rank).or_default().push_back(Waiter { deadline, target });
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the address and the connection pool of target `i`.
    fn target(&self, i: usize) -> (SocketAddr, Arc<Pool>) {
        let state = self.state.lock();
        (state.targets[i].address, Arc::clone(&state.targets[i].pool))
    }
}

impl QueueState {
    /// Takes a slot of the fastest target that has a free one.
    fn take_fastest_slot(&mut self) -> Option<usize> {
        let Self { targets, speed, .. } = self;
        let free = targets.iter().enumerate().filter(|(_, t)| t.free_slots > 0);
        let rated = free.map(|(i, t)| (i, speed.factor(i), t.free_slots));
        // Among equally fast targets, the one with more free slots is preferred.
        let best = rated.min_by(|a, b| a.1.total_cmp(&b.1).then(b.2.cmp(&a.2)))?.0;
        targets[best].free_slots -= 1;
        Some(best)
    }

    /// Frees a slot of target `i` and assigns it to the first waiting call whose deadline has not
    /// passed.
    fn release_slot(&mut self, i: usize) {
        self.targets[i].free_slots += 1;
        let now = Instant::now();
        for queue in self.waiting.values_mut() {
            while let Some(waiter) = queue.pop_front() {
                // Dropping the sender tells the call that it will not be executed.
                if waiter.deadline < now {
                    continue;
                }
                if waiter.target.send(i).is_ok() {
                    self.targets[i].free_slots -= 1;
                    return;
                }
            }
        }
    }
}

impl CallSender for CentralQueue {
    async fn send(&self, call: &ScheduledCall) -> CallResult {
        let operation = &self.template.mix.operations[call.operation];
        let deadline = Instant::now() + operation.timeout;
        for _ in 0..MAX_ATTEMPTS {
            let Some(i) = self.acquire_slot(call, deadline).await else {
                return CallResult::not_run("deadline");
            };
            let (address, pool) = self.target(i);
            let Ok(request) = self.template.request(call, address) else {
                return CallResult::not_run("bad-request");
            };
            let sent = pool.send(request).await;
            self.state.lock().release_slot(i);
            match sent.as_ref().map(classify_answer) {
                Ok(result) if result.outcome != Outcome::NotRun => return result,
                Ok(_) | Err(SendError::NotSent) => {}
                Err(SendError::Interrupted) => return CallResult::unknown("broken"),
            }
        }
        CallResult::not_run("exhausted")
    }
}
