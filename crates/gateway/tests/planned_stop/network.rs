//! Loopback addresses that are exclusive to one test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// First of the networks `127.A.0.0/16` that are used.
const FIRST_NETWORK: u32 = 90;
/// Number of networks that are used.
const NETWORKS: u32 = 10;
/// Number of subnetworks of each network.
const SUBNETWORKS: u32 = 250;
/// A subnetwork is reserved by listening on this port of its host 1.
const LOCK_PORT: u16 = 5_000;

/// Number of subnetworks that this process has tried to reserve.
static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// The addresses `127.A.B.0` to `127.A.B.255`, reserved until dropped.
#[derive(Debug)]
pub(crate) struct Network {
    prefix: [u8; 3],
    _lock: TcpListener,
}

impl Network {
    /// Reserves a free subnetwork.
    pub(crate) fn reserve() -> Self {
        loop {
            let n = process::id().wrapping_mul(97) + ATTEMPTS.fetch_add(1, Ordering::SeqCst);
            let high = FIRST_NETWORK + n / SUBNETWORKS % NETWORKS;
            let prefix = [127, high as u8, 1 + (n % SUBNETWORKS) as u8];
            let lock_address = Ipv4Addr::new(prefix[0], prefix[1], prefix[2], 1);
            if let Ok(listener) = TcpListener::bind((lock_address, LOCK_PORT)) {
                return Self { prefix, _lock: listener };
            }
        }
    }

    /// Returns the address of host `number` with `port`.
    pub(crate) fn address(&self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::from((Ipv4Addr::new(a, b, c, number), port))
    }
}
