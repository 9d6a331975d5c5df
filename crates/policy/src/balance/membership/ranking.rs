//! The order of gateways, by which all agree on the first ones without asking each other.

use super::{
    super::heartbeat::{Heartbeat, Phase},
    Membership, Peer,
};
use indexmap::IndexMap;
use std::{
    hash::Hasher,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use xxhash_rust::xxh3::Xxh3Default;

/// Power that the gateways which callers of one failure domain are directed to have together, where
/// there are enough of them: 150 thousandths of a core, or 30 Mbit/s.
const ENOUGH_POWER: u32 = 150;
/// Calls that run at a time for which one gateway is enough.
const SLOTS_EACH: u32 = 300;

impl Membership {
    /// How many of `ranked` callers are directed to: as many as are set, and more where these are
    /// weak.
    pub(super) fn needed(&self, ranked: &[&Heartbeat]) -> usize {
        let least = self.per_domain.max((self.slots / SLOTS_EACH) as usize);
        let mut power = 0;
        let enough = ranked.iter().position(|b| {
            power += b.capacity;
            power >= ENOUGH_POWER
        });
        enough.map_or(ranked.len(), |last| (last + 1).max(least)).min(ranked.len())
    }

    /// Gateways of `domain` that callers may use, the first choice first.
    pub(super) fn ranked(&self, domain: &str) -> Vec<&Heartbeat> {
        let peers = self.peers.values().filter(|p| p.alive).map(|p| &p.beat);
        let all = peers.chain(std::iter::once(&self.own));
        let mut usable: Vec<&Heartbeat> =
            all.filter(|b| b.phase == Phase::Ready && &*b.domain == domain).collect();
        usable.sort_by_key(|b| order(b));
        usable
    }

    /// First ready gateways of the other failure domains: as heard by the first gateway of the own
    /// one.
    pub(super) fn elsewhere(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let near = self.near().filter(|p| p.alive && p.beat.phase != Phase::Leaving);
        match near.min_by_key(|p| order(&p.beat)) {
            Some(first) if !self.is_first() => first.beat.remote_primaries.clone(),
            _ => self.heard_elsewhere(),
        }
    }

    pub(super) fn heard_elsewhere(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let far = self.peers.values().map(|p| &p.beat.domain).filter(|d| **d != self.own.domain);
        let mut domains: Vec<&Arc<str>> = far.collect();
        domains.sort();
        domains.dedup();
        let first = |d: &Arc<str>| Some((Arc::clone(d), self.ranked(d).first()?.call_address));
        domains.into_iter().filter_map(first).collect()
    }

    /// The first living gateway of each other failure domain, ready or not, and one dead one of
    /// each domain that has none.
    pub(super) fn first_of_others(&self) -> Vec<IpAddr> {
        let mut firsts: IndexMap<&Arc<str>, (bool, Decision, IpAddr)> = IndexMap::new();
        for peer in self.peers.values().filter(|p| p.beat.domain != self.own.domain) {
            let usable = peer.alive && peer.beat.phase != Phase::Leaving;
            let candidate = (!usable, order(&peer.beat), peer.beat.call_address.ip());
            let best = firsts.entry(&peer.beat.domain).or_insert(candidate);
            if candidate < *best {
                *best = candidate;
            }
        }
        firsts.into_values().map(|(_, _, ip)| ip).collect()
    }

    /// The first gateway of the own failure domain, nothing when it is this one.
    pub(super) fn first_near(&self) -> Option<IpAddr> {
        let near = self.near().filter(|p| p.alive && p.beat.phase != Phase::Leaving);
        let first = near.min_by_key(|p| order(&p.beat))?;
        (!self.is_first()).then(|| first.beat.call_address.ip())
    }

    pub(super) fn is_first(&self) -> bool {
        self.rank_in_domain() == 0
    }

    /// Number of living gateways of the own domain that come before this one, ready or not.
    pub(super) fn rank_in_domain(&self) -> usize {
        let own = order(&self.own);
        let before = |p: &&Peer| p.alive && p.beat.phase != Phase::Leaving && order(&p.beat) < own;
        let leaving = self.own.phase == Phase::Leaving;
        if leaving {
            self.near().filter(|p| p.alive).count()
        } else {
            self.near().filter(before).count()
        }
    }
}

/// Whether a gateway started a moment ago, its lack of power, and a hash of its name.
type Decision = (bool, u32, u64);

/// Order of gateways: settled ones first, then the strong ones, then by a hash of the name.
fn order(beat: &Heartbeat) -> Decision {
    let mut hash = Xxh3Default::new();
    hash.write(beat.host.as_bytes());
    (!beat.settled, u32::MAX - beat.capacity, hash.finish())
}
