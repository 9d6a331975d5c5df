//! Limits of targets: which gateway uses them.

use super::{
    super::{
        heartbeat::{Heartbeat, Phase},
        limits::LimitShare,
    },
    Membership, Peer,
};
use std::{hash::Hasher, net::SocketAddr, sync::Arc};
use xxhash_rust::xxh3::Xxh3Default;

/// Which limits this gateway may use, by the view that it has of the others.
///
/// One of the gateways that callers are directed to uses the limit of a target: one of the target's
/// failure domain, or a primary of another domain if that one has no ready gateway.
#[derive(Clone, Debug, Default)]
pub struct LimitAssignment {
    own: Option<SocketAddr>,
    domain: Arc<str>,
    /// Gateways of the own domain that callers are directed to.
    local: Vec<SocketAddr>,
    /// The same as if the gateways that have fallen silent were alive.
    local_with_silent: Vec<SocketAddr>,
    /// The primary of the own domain and those of the others.
    primaries: Vec<SocketAddr>,
    /// Other domains that have a ready gateway.
    served_domains: Vec<Arc<str>>,
    /// Whether any gateway has fallen silent.
    has_silent: bool,
}

impl LimitAssignment {
    /// Returns the part of the limit of target `target` in failure domain `domain` that this gateway
    /// may use.
    pub fn share(&self, domain: &str, target: &str) -> LimitShare {
        let is_own = |candidates: &[SocketAddr]| {
            let first = candidates.iter().max_by_key(|address| rank_for(target, **address));
            self.own.is_some() && first == self.own.as_ref()
        };
        let is_local = domain == &*self.domain;
        if !is_local && self.served_domains.iter().any(|served| &**served == domain) {
            return LimitShare::None;
        }
        if !is_own(if is_local { &self.local } else { &self.primaries }) {
            return LimitShare::None;
        }
        // A silent gateway may be alive behind a broken link and use the limit as before.
        let is_contested = match is_local {
            true => !is_own(&self.local_with_silent),
            false => self.has_silent,
        };
        if is_contested { LimitShare::Half } else { LimitShare::Full }
    }
}

impl Membership {
    /// Returns which limits of targets this gateway may use now.
    pub fn limit_assignment(&self) -> LimitAssignment {
        if self.own.phase != Phase::Ready {
            return LimitAssignment::default();
        }
        let addresses = |gateways: Vec<&Heartbeat>| -> Vec<SocketAddr> {
            gateways.into_iter().map(|h| h.call_address).collect()
        };
        let local = addresses(self.directed(&self.own.domain));
        let with_silent = self.directed_of(self.ranked_with_silent(&self.own.domain));
        let remote = self.remote_primaries();
        let remote_addresses = remote.iter().map(|(_, address)| *address);
        LimitAssignment {
            own: Some(self.own.call_address),
            domain: Arc::clone(&self.own.domain),
            primaries: local.iter().copied().take(1).chain(remote_addresses).collect(),
            local,
            local_with_silent: addresses(with_silent),
            served_domains: remote.into_iter().map(|(domain, _)| domain).collect(),
            has_silent: self.peers.values().any(Peer::is_silent),
        }
    }
}

/// Returns the rank of a gateway for a target: rendezvous hashing, so that few targets move when a
/// gateway comes or goes.
pub(super) fn rank_for(target: &str, gateway: SocketAddr) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.write(target.as_bytes());
    hash.write(gateway.to_string().as_bytes());
    hash.finish()
}
