//! Loopback addresses that no other test uses at the same time.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

const LOCK_PORT: u16 = 5_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// The addresses `127.A.B.0` to `127.A.B.255`, held until dropped.
#[derive(Debug)]
pub struct Network {
    prefix: [u8; 3],
    _lock: TcpListener,
}

impl Network {
    /// Takes a network that is free. Starts at one derived from process and test.
    pub fn reserve() -> Self {
        loop {
            let n = process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::SeqCst);
            let prefix = [127, 1 + (n / 250 % 250) as u8, 1 + (n % 250) as u8];
            let lock = Ipv4Addr::new(prefix[0], prefix[1], prefix[2], 1);
            if let Ok(lock) = TcpListener::bind((lock, LOCK_PORT)) {
                return Self { prefix, _lock: lock };
            }
        }
    }

    /// The address of host `number` with `port`.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, number)), port)
    }
}
