//! The entry set of the service, as this entry last heard of it.

use super::config::PeerSlots;
use crate::Timestamp;
use rand::{Rng, RngExt};
use std::{sync::Arc, time::Duration};

/// Time for which a peer that failed gets no calls.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Peer {
    slots: PeerSlots,
    /// Calls relayed there that have not ended.
    relayed: u32,
    paused_until: Timestamp,
}

/// Members of the entry set.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: Vec<Peer>,
    set: Vec<PeerSlots>,
    is_member: bool,
}

impl Peers {
    /// Takes in what the members told. Returns whether the set itself changed.
    pub(super) fn update(&mut self, host: &str, members: Vec<PeerSlots>) -> bool {
        let unchanged = members.len() == self.set.len()
            && members.iter().zip(&self.set).all(|(new, old)| new.host == old.host);
        let mut old = std::mem::take(&mut self.peers);
        for slots in members.iter().filter(|p| *p.host != *host) {
            let known = old.iter().position(|p| p.slots.host == slots.host);
            let known = known.map(|index| old.swap_remove(index));
            let (relayed, paused_until) =
                known.map_or((0, Timestamp::default()), |p| (p.relayed, p.paused_until));
            self.peers.push(Peer { slots: slots.clone(), relayed, paused_until });
        }
        self.is_member = members.iter().any(|p| *p.host == *host);
        self.set = members;
        !unchanged
    }

    /// The set as last told.
    pub(super) fn set(&self) -> &[PeerSlots] {
        &self.set
    }

    /// Whether this entry is a member.
    pub(super) fn is_member(&self) -> bool {
        self.is_member
    }

    /// The peer with the most free slots, if any tells of one.
    pub(super) fn most_free<R>(&self, now: Timestamp, random: &mut R) -> Option<Arc<str>>
    where
        R: Rng,
    {
        let free = self.peers.iter().filter(|p| p.slots.free > 0 && p.paused_until <= now);
        let best = free.max_by_key(|p| (p.slots.free, random.random::<u16>()))?;
        Some(Arc::clone(&best.slots.host))
    }

    /// The peer for a call from outside the set: the fewest relayed calls beyond its free slots.
    pub(super) fn least_loaded<R>(&self, now: Timestamp, random: &mut R) -> Option<Arc<str>>
    where
        R: Rng,
    {
        let available = self.peers.iter().filter(|p| p.paused_until <= now);
        let load = |p: &Peer| i64::from(p.relayed) - i64::from(p.slots.free);
        let best = available.min_by_key(|p| (load(p), random.random::<u16>()))?;
        Some(Arc::clone(&best.slots.host))
    }

    /// A call goes to `host`.
    pub(super) fn record_relay(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = peer.slots.free.saturating_sub(1);
            peer.relayed += 1;
        }
    }

    /// A call is no longer at `host`.
    pub(super) fn record_relay_end(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.relayed = peer.relayed.saturating_sub(1);
        }
    }

    /// `host` had no room for a call.
    pub(super) fn record_refusal(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = 0;
        }
    }

    /// `host` could not be reached.
    pub(super) fn record_failure(&mut self, now: Timestamp, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = 0;
            peer.paused_until = now + FAILURE_PAUSE;
        }
    }

    /// Forgets all free slots, as after a gap in time.
    pub(super) fn clear_free(&mut self) {
        for peer in &mut self.peers {
            peer.slots.free = 0;
        }
    }

    fn find(&mut self, host: &str) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|p| *p.slots.host == *host)
    }
}
