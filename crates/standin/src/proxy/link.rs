//! One link: a listening address whose connections go on to one target address.

use super::pump::{Conditions, pump};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Faults of a link. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Open connections are reset and new ones are closed at once.
    pub cut: bool,
    /// Bytes from the connecting side are taken and dropped; connections stay open.
    pub drop_forward: bool,
    /// Bytes towards the connecting side are taken and dropped; connections stay open.
    pub drop_backward: bool,
    /// Connections that are open when this is switched on go silent for good both ways, while new
    /// ones work.
    pub silence_open: bool,
    /// Added to each direction, in ms.
    pub delay_ms: u64,
    /// Bytes that pass in each direction per second, without limit at 0.
    pub drip_bytes_per_s: u64,
}

/// Connections that a link has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounts {
    /// Connections accepted since start.
    pub accepted: u64,
    /// Connections open now.
    pub open: u64,
}

/// A running link.
#[derive(Debug)]
pub struct Link {
    conditions: watch::Sender<Conditions>,
    accepted: AtomicU64,
    open: AtomicU64,
    target: Mutex<SocketAddr>,
}

impl Link {
    /// A link towards `target` without faults.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            conditions: watch::Sender::new(Conditions::default()),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            target: Mutex::new(target),
        }
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        let next = self.accepted.load(Ordering::SeqCst);
        self.conditions.send_modify(|c| {
            c.faults = faults;
            if faults.silence_open {
                c.silent_below = next;
            }
        });
    }

    /// The faults that are on.
    pub fn faults(&self) -> Faults {
        self.conditions.borrow().faults
    }

    /// Connections seen.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            accepted: self.accepted.load(Ordering::SeqCst),
            open: self.open.load(Ordering::SeqCst),
        }
    }

    /// Sends new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }

    /// Passes connections on until `stop`.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
                        connections.spawn(Arc::clone(&self).pass(stream, number));
                    }
                    Err(e) => log::warn!("proxy: accept failed: {e}"),
                },
            }
        }
        connections.shutdown().await;
    }

    async fn pass(self: Arc<Self>, mut near: TcpStream, number: u64) {
        if self.faults().cut {
            let _ = near.set_zero_linger();
            return;
        }
        let target = *self.target.lock();
        let Ok(mut far) = TcpStream::connect(target).await else {
            let _ = near.set_zero_linger();
            return;
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        let _open = OpenGuard(&self.open);
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let mut watch = self.conditions.subscribe();
        let cut = async {
            let _ = watch.wait_for(|c| c.faults.cut).await;
        };
        let reset = {
            let (near_in, near_out) = near.split();
            let (far_in, far_out) = far.split();
            let forward =
                pump(near_in, far_out, self.conditions.subscribe(), number, |f| f.drop_forward);
            let backward =
                pump(far_in, near_out, self.conditions.subscribe(), number, |f| f.drop_backward);
            tokio::select! {
                () = cut => true,
                _ = async { tokio::join!(forward, backward) } => false,
            }
        };
        if reset {
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }
}

struct OpenGuard<'a>(&'a AtomicU64);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
