//! Ranking of gateways, by which all agree on the primaries without coordination.

use super::{
    super::heartbeat::{Heartbeat, Phase},
    Membership, Peer,
};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum total capacity of the gateways that callers of one failure domain are directed to, if it
/// has enough gateways: 150 thousandths of a core, or 30 Mbit/s.
const MIN_CAPACITY: u32 = 150;
/// Concurrent calls of the domain's targets for which one gateway is enough.
const SLOTS_PER_GATEWAY: u32 = 300;

/// Ready primaries of the other failure domains, as the primary of the local one has reported them.
#[derive(Clone, Debug)]
pub(super) struct ReportedPrimaries {
    /// When the report arrived.
    pub(super) at: Timestamp,
    primaries: Vec<(Arc<str>, SocketAddr)>,
}

impl ReportedPrimaries {
    pub(super) fn new(now: Timestamp, heartbeat: &Heartbeat) -> Self {
        Self { at: now, primaries: heartbeat.remote_primaries.clone() }
    }
}

impl Membership {
    /// Returns to how many of the gateways in `ranked` callers are directed: the configured number,
    /// and more if their capacity is too low, the domain has many slots or its calls need more.
    fn directed_len(&self, ranked: &[&Heartbeat]) -> usize {
        let min_count = self.per_domain.max((self.slots / SLOTS_PER_GATEWAY) as usize);
        let mut capacity = 0_u32;
        let enough = ranked.iter().position(|heartbeat| {
            capacity = capacity.saturating_add(heartbeat.capacity);
            capacity >= MIN_CAPACITY
        });
        let count = enough.map_or(ranked.len(), |last| (last + 1).max(min_count)).min(ranked.len());
        self.count_for_demand(ranked, count)
    }

    /// Returns the gateways of `domain` that callers are directed to, by rank.
    pub(super) fn directed(&self, domain: &str) -> Vec<&Heartbeat> {
        self.directed_of(self.ranked(domain))
    }

    /// Returns the gateways that callers are directed to if there are only those in `ranked`.
    pub(super) fn directed_of<'a>(&self, mut ranked: Vec<&'a Heartbeat>) -> Vec<&'a Heartbeat> {
        ranked.truncate(self.directed_len(&ranked));
        ranked
    }

    /// Returns the ready gateways of `domain` by rank.
    pub(super) fn ranked(&self, domain: &str) -> Vec<&Heartbeat> {
        let peers = self.peers.values().filter(|p| p.alive).map(|p| &p.heartbeat);
        let all = peers.chain(std::iter::once(&self.own));
        rank(all.filter(|h| h.phase == Phase::Ready && &*h.domain == domain).collect())
    }

    /// Like [`Self::ranked`], with the gateways that have fallen silent without an end.
    pub(super) fn ranked_with_silent(&self, domain: &str) -> Vec<&Heartbeat> {
        let peers = self.peers.values().filter(|p| p.alive || p.is_silent()).map(|p| &p.heartbeat);
        let all = peers.chain(std::iter::once(&self.own));
        rank(all.filter(|h| h.phase == Phase::Ready && &*h.domain == domain).collect())
    }

    /// Returns the ready primaries of the other failure domains: as reported by the primary of the
    /// local one, or as observed if this gateway is that primary. One that has just become the primary has
    /// not heard of all yet and adopts those that the former one reported.
    pub(super) fn remote_primaries(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let local = self.local_peers().filter(|p| p.alive && p.heartbeat.phase != Phase::Leaving);
        match local.min_by_key(|p| rank_key(&p.heartbeat)) {
            Some(first) if !self.is_primary() => first.heartbeat.remote_primaries.clone(),
            _ => self.observed_primaries().into_iter().chain(self.inherited_primaries()).collect(),
        }
    }

    /// Returns the primaries of other failure domains that the former primary of the local one reported and
    /// this gateway, the primary now, has not heard of. Empty if it is not the primary.
    pub(super) fn inherited_primaries(
        &self,
    ) -> impl Iterator<Item = (Arc<str>, SocketAddr)> + use<> {
        let reported = self.reported_primaries.as_ref().filter(|_| self.is_primary());
        let observed = if reported.is_some() { self.observed_primaries() } else { Vec::new() };
        let is_unheard = |(domain, address): &(Arc<str>, SocketAddr)| {
            let is_refuted = |p: &Peer| {
                let is_present = p.alive || p.disconnected.is_some();
                is_present && p.heartbeat.call_address == *address
            };
            !observed.iter().any(|(d, _)| d == domain) && !self.peers.values().any(is_refuted)
        };
        let unheard =
            reported.map(|r| r.primaries.iter().filter(|p| is_unheard(p)).cloned().collect());
        let unheard: Vec<_> = unheard.unwrap_or_default();
        unheard.into_iter()
    }

    /// Returns the highest-ranked ready gateway of each other failure domain, with the name of the
    /// domain, from the heartbeats received by this gateway.
    pub(super) fn observed_primaries(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let remote =
            self.peers.values().map(|p| &p.heartbeat.domain).filter(|d| **d != self.own.domain);
        let mut domains: Vec<&Arc<str>> = remote.collect();
        domains.sort();
        domains.dedup();
        let first = |d: &Arc<str>| Some((Arc::clone(d), self.ranked(d).first()?.call_address));
        domains.into_iter().filter_map(first).collect()
    }

    /// Returns the gateway to contact in each other failure domain: its highest-ranked live one,
    /// ready or not, or a leaving or dead one if there is no other.
    pub(super) fn remote_contacts(&self) -> Vec<IpAddr> {
        let mut primaries: IndexMap<&Arc<str>, (bool, RankKey, IpAddr)> = IndexMap::new();
        for peer in self.peers.values().filter(|p| p.heartbeat.domain != self.own.domain) {
            let usable = peer.alive && peer.heartbeat.phase != Phase::Leaving;
            let candidate = (!usable, rank_key(&peer.heartbeat), peer.heartbeat.call_address.ip());
            let best = primaries.entry(&peer.heartbeat.domain).or_insert(candidate);
            if candidate < *best {
                *best = candidate;
            }
        }
        primaries.into_values().map(|(_, _, ip)| ip).collect()
    }

    /// Returns the primary of the local failure domain, `None` if it is this gateway.
    pub(super) fn other_primary(&self) -> Option<IpAddr> {
        let local = self.local_peers().filter(|p| p.alive && p.heartbeat.phase != Phase::Leaving);
        let first = local.min_by_key(|p| rank_key(&p.heartbeat))?;
        (!self.is_primary()).then(|| first.heartbeat.call_address.ip())
    }

    /// Returns whether this gateway is the primary of its failure domain.
    pub(super) fn is_primary(&self) -> bool {
        self.rank_in_domain(|_| true) == 0
    }

    /// Returns the number of live gateways of the local domain that satisfy `counts` and rank before
    /// this one, ready or not. Leaving gateways do not count, except that all others rank before a
    /// leaving one.
    pub(super) fn rank_in_domain<Counts>(&self, counts: Counts) -> usize
    where
        Counts: Fn(&Peer) -> bool,
    {
        let own = rank_key(&self.own);
        let leaving = self.own.phase == Phase::Leaving;
        let is_before = |h: &Heartbeat| h.phase != Phase::Leaving && rank_key(h) < own;
        let alive = self.local_peers().filter(|p| p.alive);
        alive.filter(|p| counts(p) && (leaving || is_before(&p.heartbeat))).count()
    }
}

/// Sorts gateways by rank.
pub(super) fn rank(mut gateways: Vec<&Heartbeat>) -> Vec<&Heartbeat> {
    gateways.sort_by_cached_key(|h| rank_key(h));
    gateways
}

/// Whether a gateway is cut off from all targets, whether it started recently, its capacity subtracted from the maximum, and a hash of its
/// host name.
type RankKey = (bool, bool, u32, u64);

/// Returns the sort key of a gateway: those that reach targets first, then settled ones, then by descending capacity, then by a
/// hash of the host name.
fn rank_key(heartbeat: &Heartbeat) -> RankKey {
    let detached = heartbeat.phase == Phase::Detached;
    let hash = xxh3_64(heartbeat.host.as_bytes());
    (detached, !heartbeat.settled, u32::MAX - heartbeat.capacity, hash)
}
