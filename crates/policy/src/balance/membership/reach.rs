//! Gateways that are cut off from all targets: who has to check its reach, and where calls are relayed.

use super::{
    super::heartbeat::{Heartbeat, Phase},
    Membership, Peer,
    ranking::rank,
};
use std::{iter, net::SocketAddr};

/// Ranks of the ready gateways that check their reach while others of their domain are cut off:
/// callers are directed to these next.
const CHECKED_RANKS: usize = 4;

impl Membership {
    /// Returns the gateways of `domain` that are cut off from all targets, by rank.
    pub(super) fn detached(&self, domain: &str) -> Vec<&Heartbeat> {
        let peers = self.peers.values().filter(|p| p.alive).map(|p| &p.heartbeat);
        let all = peers.chain(iter::once(&self.own));
        rank(all.filter(|h| h.phase == Phase::Detached && &*h.domain == domain).collect())
    }

    /// Returns whether gateways of this failure domain are cut off and this one is among the next
    /// that callers are directed to.
    pub fn needs_reach_check(&self) -> bool {
        let is_detached = |p: &Peer| p.alive && p.heartbeat.phase == Phase::Detached;
        self.local_peers().any(is_detached) && {
            let ranked = self.ranked(&self.own.domain);
            ranked.iter().take(CHECKED_RANKS).any(|h| h.host == self.own.host)
        }
    }

    /// Returns the addresses for calls of ready gateways to which calls can be relayed: those that
    /// callers of this failure domain are directed to, or the primaries of the others. Gateways of
    /// earlier builds, which promise less, are among the first only if there are no others.
    pub fn relay_peers(&self) -> Vec<SocketAddr> {
        let is_present = |h: &&Heartbeat| h.build.generation >= self.own.build.generation;
        let mut local = self.ranked(&self.own.domain);
        local.retain(|h| h.host != self.own.host);
        if local.iter().any(is_present) {
            local.retain(is_present);
        }
        let directed = self.directed_of(local);
        match directed.is_empty() {
            true => self.remote_primaries().into_iter().map(|(_, address)| address).collect(),
            false => directed.into_iter().map(|h| h.call_address).collect(),
        }
    }

    /// Returns the addresses for calls of all ready gateways of this failure domain, and of the primaries
    /// of the others: a call that one of [`relay_peers`](Self::relay_peers) refuses can be relayed to these.
    pub fn further_relay_peers(&self) -> Vec<SocketAddr> {
        let local = self.ranked(&self.own.domain).into_iter();
        let local = local.filter(|h| h.host != self.own.host).map(|h| h.call_address);
        local.chain(self.remote_primaries().into_iter().map(|(_, address)| address)).collect()
    }
}
