//! The entry set of the service, as last reported to this entry.

use super::config::PeerSlots;
use crate::Timestamp;
use rand::{Rng, RngExt};
use std::{sync::Arc, time::Duration};

/// Time for which a peer gets no calls after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Another member of the entry set.
#[derive(Debug)]
struct Peer {
    slots: PeerSlots,
    /// Number of calls relayed to the peer that have not ended.
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
    /// Replaces the members and their free slots. Returns whether the members themselves changed.
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

    /// Returns the members as last reported, including this entry if it is one.
    pub(super) fn set(&self) -> &[PeerSlots] {
        &self.set
    }

    /// Returns whether this entry is a member.
    pub(super) fn is_member(&self) -> bool {
        self.is_member
    }

    /// Returns the peer with the most free slots, or `None` if no available peer has any.
    pub(super) fn most_free<R>(&self, now: Timestamp, random: &mut R) -> Option<Arc<str>>
    where
        R: Rng,
    {
        let free = self.peers.iter().filter(|p| p.slots.free > 0 && p.paused_until <= now);
        let best = free.max_by_key(|p| (p.slots.free, random.random::<u16>()))?;
        Some(Arc::clone(&best.slots.host))
    }

    /// Returns the available peer with the fewest relayed calls in excess of its free slots. Used
    /// by entries that are not members of the set.
    pub(super) fn least_loaded<R>(&self, now: Timestamp, random: &mut R) -> Option<Arc<str>>
    where
        R: Rng,
    {
        let available = self.peers.iter().filter(|p| p.paused_until <= now);
        let load = |p: &Peer| i64::from(p.relayed) - i64::from(p.slots.free);
        let best = available.min_by_key(|p| (load(p), random.random::<u16>()))?;
        Some(Arc::clone(&best.slots.host))
    }

    /// Records that a call was relayed to `host`.
    pub(super) fn record_relay(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = peer.slots.free.saturating_sub(1);
            peer.relayed += 1;
        }
    }

    /// Records that a relayed call ended at `host`.
    pub(super) fn record_relay_end(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.relayed = peer.relayed.saturating_sub(1);
        }
    }

    /// Records that `host` refused a call; it counts as full until its next report.
    pub(super) fn record_refusal(&mut self, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = 0;
        }
    }

    /// Records that `host` failed, and pauses it.
    pub(super) fn record_failure(&mut self, now: Timestamp, host: &str) {
        if let Some(peer) = self.find(host) {
            peer.slots.free = 0;
            peer.paused_until = now + FAILURE_PAUSE;
        }
    }

    /// Sets all free slots to zero. Used after the process was paused.
    pub(super) fn clear_free(&mut self) {
        for peer in &mut self.peers {
            peer.slots.free = 0;
        }
    }

    fn find(&mut self, host: &str) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|p| *p.slots.host == *host)
    }
}
