//! Gateways with what tests do to their processes.

use super::gateway::Gateway;
use parking_lot::Mutex;
use rustix::process::Signal;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Time after the end of a disturbance from which a gateway must keep to bounds again.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Time within which a process must have exited after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);

/// What callers and the verdict know of a gateway.
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) number: u8,
    pub(crate) calls: SocketAddr,
    /// Number of processes that have ended.
    process: AtomicU32,
    /// Beginnings and ends of disturbances.
    disturbances: Mutex<Vec<(Instant, Option<Instant>)>>,
}

impl NodeState {
    /// Returns the number of the running process.
    pub(crate) fn process(&self) -> u32 {
        self.process.load(Ordering::SeqCst)
    }

    /// Returns whether the gateway was undisturbed from [`CONTACT`] before `sent` until `received`.
    pub(crate) fn is_in_touch(&self, sent: Instant, received: Instant) -> bool {
        let disturbances = self.disturbances.lock();
        disturbances.iter().all(|(from, until)| {
            *from > received || until.is_some_and(|until| until + CONTACT < sent)
        })
    }

    fn begin_disturbance(&self) {
        self.disturbances.lock().push((Instant::now(), None));
    }

    fn end_disturbance(&self) {
        if let Some((_, until)) = self.disturbances.lock().last_mut() {
            *until = Some(Instant::now());
        }
    }
}

/// A gateway whose disturbances are recorded.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) gateway: Gateway,
    pub(crate) state: Arc<NodeState>,
}

impl Node {
    /// Takes over a gateway that was started just now.
    pub(crate) fn new(number: u8, gateway: Gateway) -> Self {
        let state = NodeState {
            number,
            calls: gateway.calls,
            process: AtomicU32::new(0),
            disturbances: Mutex::default(),
        };
        state.begin_disturbance();
        Self { gateway, state: Arc::new(state) }
    }

    /// Waits until the gateway is ready after its start.
    pub(crate) async fn wait_until_ready(&self) {
        self.gateway.wait_until_ready().await;
        self.state.end_disturbance();
    }

    /// Stops the process from running.
    pub(crate) fn freeze(&self) {
        self.state.begin_disturbance();
        self.gateway.signal(Signal::STOP);
    }

    /// Lets the process run again.
    pub(crate) fn thaw(&self) {
        self.gateway.signal(Signal::CONT);
        self.state.end_disturbance();
    }

    /// Ends the process by `signal`, starts another one and waits until it is ready.
    pub(crate) async fn replace(&mut self, signal: Signal) {
        self.state.begin_disturbance();
        self.gateway.signal(signal);
        self.gateway.wait_for_exit(EXIT_TIMEOUT).await;
        self.state.process.fetch_add(1, Ordering::SeqCst);
        self.gateway.restart();
        self.wait_until_ready().await;
    }
}
