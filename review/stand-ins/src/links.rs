//! Links between gateways, for their datagrams. Each gateway sends from and to a port number of its own at
//! all others, where the link to the other one listens.

use crate::gateway::Gateway;
use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Largest datagram.
const MAX_BYTES: usize = 65_536;

#[derive(Default)]
pub struct Links {
    is_cut: AtomicBool,
}

impl Links {
    pub fn start(gateways: &[Gateway]) -> Arc<Self> {
        let links = Arc::new(Self::default());
        for from in gateways {
            for to in gateways.iter().filter(|to| to.name != from.name) {
                let inbox = UdpSocket::bind((to.ip, from.heartbeats)).expect("a free port");
                let outbox = UdpSocket::bind((from.ip, 0)).expect("a free port");
                let target = SocketAddr::new(to.ip, to.heartbeats);
                let is_between_zones = from.zone != to.zone;
                let links = Arc::clone(&links);
                thread::spawn(move || {
                    let mut buffer = vec![0; MAX_BYTES];
                    while let Ok((length, _)) = inbox.recv_from(&mut buffer) {
                        if !(is_between_zones && links.is_cut.load(Ordering::SeqCst)) {
                            let _ = outbox.send_to(&buffer[..length], target);
                        }
                    }
                });
            }
        }
        links
    }

    /// Cuts the links between the zones, or makes them whole.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}
