//! The bound to be close to: one central queue with perfect knowledge.
//!
//! It drives the same stand-in targets over the same loopback with the same calls as the entries
//! do, so that both carry the noise of the same machine. It knows every slot exactly, because it
//! alone uses them, and the speed of every target at every moment, because it follows the same
//! seeded history of the slow neighbour. A reference in virtual time would carry no noise, and its
//! ratio to a real run would then measure the machine too.

use super::{
    direct::{Shape, judge},
    drive::Sender,
};
use crate::{
    core::{sample::Verdict, schedule::Due},
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

/// Tries of one call after refusals, which only connections being made can bring about.
const ATTEMPTS: usize = 20;

/// One target of the central queue.
#[derive(Debug)]
struct Server {
    address: SocketAddr,
    free: u32,
    pool: Arc<Pool>,
}

/// A call that waits until it is given a target.
#[derive(Debug)]
struct Waiter {
    deadline: Instant,
    target: oneshot::Sender<usize>,
}

#[derive(Debug)]
struct State {
    servers: Vec<Server>,
    /// By rank of the class, first come first served within a class.
    waiting: BTreeMap<usize, VecDeque<Waiter>>,
    speed: Speed,
}

/// Speed of every target at every moment.
#[derive(Debug)]
pub struct Speed {
    /// History of the slow neighbour, when there is one.
    pub shift: Option<NoisyNeighbour>,
    /// Start of the targets.
    pub start: Instant,
    /// Targets that the experiment slows for a while.
    pub slowed: Vec<Slowed>,
}

/// A target that is slowed for a while.
#[derive(Clone, Copy, Debug)]
pub struct Slowed {
    /// Index of the target.
    pub target: usize,
    /// Begin.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Service times are multiplied by this.
    pub factor: f64,
}

impl Speed {
    fn factor(&mut self, target: usize) -> f64 {
        let now = Instant::now();
        let at = now.saturating_duration_since(self.start);
        let shift = self.shift.as_mut().map_or(1.0, |s| s.factor(at, target));
        let slowed = self.slowed.iter().filter(|s| s.target == target);
        let slowed = slowed.filter(|s| s.from <= now && now < s.until).map(|s| s.factor);
        shift * slowed.product::<f64>()
    }
}

/// One central queue for the targets of one service.
#[derive(Debug)]
pub struct Ideal {
    shape: Shape,
    ranks: Vec<usize>,
    state: Mutex<State>,
}

impl Ideal {
    /// A central queue for targets of `slots` slots at `addresses`. `ranks` gives the rank of the
    /// class of each operation, the lowest served first.
    pub fn new(
        shape: Shape,
        ranks: Vec<usize>,
        addresses: &[SocketAddr],
        slots: u32,
        speed: Speed,
    ) -> Self {
        let server = |&address| Server { address, free: slots, pool: Arc::new(Pool::new(address)) };
        let servers = addresses.iter().map(server).collect();
        let state = Mutex::new(State { servers, waiting: BTreeMap::new(), speed });
        Self { shape, ranks, state }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        let pools: Vec<_> = self.state.lock().servers.iter().map(|s| Arc::clone(&s.pool)).collect();
        for pool in pools {
            pool.close().await;
        }
    }

    /// Waits for a slot; none when the deadline passes first.
    async fn slot(&self, call: &Due, deadline: Instant) -> Option<usize> {
        let receiver = {
            let mut state = self.state.lock();
            if let Some(i) = state.take_fastest() {
                return Some(i);
            }
            let (target, receiver) = oneshot::channel();
            let rank = self.ranks[call.operation];
            state.waiting.entry(rank).or_default().push_back(Waiter { deadline, target });
            receiver
        };
        receiver.await.ok()
    }

    fn server(&self, i: usize) -> (SocketAddr, Arc<Pool>) {
        let state = self.state.lock();
        (state.servers[i].address, Arc::clone(&state.servers[i].pool))
    }
}

impl State {
    fn take_fastest(&mut self) -> Option<usize> {
        let Self { servers, speed, .. } = self;
        let free = servers.iter().enumerate().filter(|(_, s)| s.free > 0);
        let rated = free.map(|(i, s)| (i, speed.factor(i), s.free));
        // Among equally fast targets the one with more free slots.
        let best = rated.min_by(|a, b| a.1.total_cmp(&b.1).then(b.2.cmp(&a.2)))?.0;
        servers[best].free -= 1;
        Some(best)
    }

    /// Gives the freed slot of target `i` to the first call that can still be in time.
    fn release(&mut self, i: usize) {
        self.servers[i].free += 1;
        let now = Instant::now();
        for queue in self.waiting.values_mut() {
            while let Some(waiter) = queue.pop_front() {
                // A dropped sender tells its call that it will not be run.
                if waiter.deadline < now {
                    continue;
                }
                if waiter.target.send(i).is_ok() {
                    self.servers[i].free -= 1;
                    return;
                }
            }
        }
    }
}

impl Sender for Ideal {
    async fn send(&self, call: &Due) -> Verdict {
        let operation = &self.shape.mix.operations[call.operation];
        let deadline = Instant::now() + operation.timeout;
        for _ in 0..ATTEMPTS {
            let Some(i) = self.slot(call, deadline).await else {
                return Verdict::not_run("deadline");
            };
            let (address, pool) = self.server(i);
            let Ok(request) = self.shape.request(call, address) else {
                return Verdict::not_run("bad-request");
            };
            let sent = pool.send(request).await;
            self.state.lock().release(i);
            match sent.as_ref().map(judge) {
                Ok(verdict) if verdict.outcome != Outcome::NotRun => return verdict,
                Ok(_) | Err(SendError::NotSent) => {}
                Err(SendError::Broken) => return Verdict::unknown("broken"),
            }
        }
        Verdict::not_run("exhausted")
    }
}
