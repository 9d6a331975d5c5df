//! Loopback networks that are exclusive to one test.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// A network is reserved by listening on this port of its host 1.
const LOCK_PORT: u16 = 5_000;

/// Number of networks that this process has tried to reserve.
static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// The addresses `127.A.B.0` to `127.A.B.255`, reserved until dropped.
#[derive(Debug)]
pub struct Network {
    prefix: [u8; 3],
    _lock: TcpListener,
}

impl Network {
    /// Reserves a free network. The search starts at a prefix derived from the process id and the
    /// number of networks that the process tried before.
    pub fn reserve() -> Self {
        loop {
            let n = process::id().wrapping_mul(97) + ATTEMPTS.fetch_add(1, Ordering::SeqCst);
            let prefix = [127, 1 + (n / 250 % 250) as u8, 1 + (n % 250) as u8];
            let lock_address = Ipv4Addr::new(prefix[0], prefix[1], prefix[2], 1);
            if let Ok(listener) = TcpListener::bind((lock_address, LOCK_PORT)) {
                return Self { prefix, _lock: listener };
            }
        }
    }

    /// Returns the address of host `number` with `port`.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, number)), port)
    }
}
