//! Exchange of free slot counts within the entry set of a service.
//!
//! Free slots change with every call, and the byte budget of control traffic is too small to send
//! every change. Counts are sent to a peer when one of them moves to another band, limited by a
//! token bucket of bytes, and otherwise refreshed at an interval. A received count that is not
//! refreshed expires and reads as 0.

use super::message::Body;
use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Bytes per second that an entry may send in free slot messages.
pub const SLOT_BYTES_PER_S: f64 = 2_500.0;
/// Time after which a received count expires.
pub const FREE_SLOTS_TTL: Duration = Duration::from_secs(2);

/// Time after which counts are sent again if any of them is above 0.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Estimated bytes of a message without its counts.
const MESSAGE_OVERHEAD_BYTES: f64 = 130.0;
/// Estimated bytes of the count of one service.
const SERVICE_ENTRY_BYTES: f64 = 14.0;
/// Capacity of the token bucket.
const BURST_BYTES: f64 = 1_200.0;

/// Free slots of this entry, as sent to peers, and of its peers, as received.
#[derive(Clone, Debug)]
pub struct FreeSlots {
    own: IndexMap<Arc<str>, u32>,
    sent: IndexMap<Arc<str>, SentCounts>,
    /// Free slots and time of receipt, by peer and service.
    received: IndexMap<(Arc<str>, Arc<str>), (u32, Timestamp)>,
    budget_bytes: f64,
    refilled: Timestamp,
}

/// Counts last sent to a peer.
#[derive(Clone, Debug)]
struct SentCounts {
    at: Timestamp,
    counts: IndexMap<Arc<str>, u32>,
}

impl FreeSlots {
    /// Creates an empty state with an empty token bucket.
    pub fn new(now: Timestamp) -> Self {
        Self {
            own: IndexMap::new(),
            sent: IndexMap::new(),
            received: IndexMap::new(),
            budget_bytes: 0.0,
            refilled: now,
        }
    }

    /// Sets the free slots of this entry for `service`.
    pub fn set_own(&mut self, service: &Arc<str>, free: u32) {
        match self.own.get_mut(service) {
            Some(known) => *known = free,
            None => _ = self.own.insert(Arc::clone(service), free),
        }
    }

    /// Returns the messages to send now. `peers` gives, for each peer, the services whose entry set
    /// it shares with this entry. Peers that were sent counts least recently come first.
    pub fn due_messages<'a, Peers>(&mut self, now: Timestamp, peers: Peers) -> Vec<(Arc<str>, Body)>
    where
        Peers: Iterator<Item = (&'a Arc<str>, &'a [Arc<str>])>,
    {
        self.budget_bytes += now.since(self.refilled).as_secs_f64() * SLOT_BYTES_PER_S;
        self.budget_bytes = self.budget_bytes.min(BURST_BYTES);
        self.refilled = now;
        let mut due: Vec<_> = peers
            .filter(|(peer, services)| self.is_due(now, peer, services))
            .map(|(peer, services)| (self.sent.get(peer).map(|s| s.at), peer, services))
            .collect();
        due.sort_by_key(|(at, _, _)| *at);
        let mut messages = Vec::new();
        for (_, peer, services) in due {
            let cost = MESSAGE_OVERHEAD_BYTES + SERVICE_ENTRY_BYTES * services.len() as f64;
            if self.budget_bytes < cost {
                break;
            }
            self.budget_bytes -= cost;
            let counts: IndexMap<_, _> =
                services.iter().map(|s| (Arc::clone(s), self.free(s))).collect();
            messages.push((
                Arc::clone(peer),
                Body::FreeSlots(counts.iter().map(|(s, n)| (Arc::clone(s), *n)).collect()),
            ));
            self.sent.insert(Arc::clone(peer), SentCounts { at: now, counts });
        }
        messages
    }

    /// Records the free slots received from `peer`.
    pub fn receive(&mut self, now: Timestamp, peer: &Arc<str>, slots: Vec<(Arc<str>, u32)>) {
        for (service, free) in slots {
            self.received.insert((Arc::clone(peer), service), (free, now));
        }
    }

    /// Returns the free slots last received from `peer` for `service`, 0 if they have expired.
    pub fn peer_free(&self, now: Timestamp, peer: &Arc<str>, service: &Arc<str>) -> u32 {
        match self.received.get(&(Arc::clone(peer), Arc::clone(service))) {
            Some((free, at)) if now.since(*at) < FREE_SLOTS_TTL => *free,
            _ => 0,
        }
    }

    /// Removes expired counts and returns their services.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let expired = |at: Timestamp| now.since(at) >= FREE_SLOTS_TTL;
        let services: Vec<_> = self
            .received
            .iter()
            .filter(|(_, (_, at))| expired(*at))
            .map(|((_, service), _)| Arc::clone(service))
            .collect();
        self.received.retain(|_, (_, at)| !expired(*at));
        services
    }

    /// Removes counts sent to and received from peers for which `keep` returns false: peers that
    /// are gone, or all of them after a pause of the process.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.sent.retain(|peer, _| keep(peer));
        self.received.retain(|(peer, _), _| keep(peer));
    }

    fn free(&self, service: &str) -> u32 {
        self.own.get(service).copied().unwrap_or_default()
    }

    fn is_due(&self, now: Timestamp, peer: &Arc<str>, services: &[Arc<str>]) -> bool {
        let Some(sent) = self.sent.get(peer) else {
            return services.iter().any(|s| self.free(s) > 0);
        };
        if now.since(sent.at) >= REFRESH_INTERVAL && services.iter().any(|s| self.free(s) > 0) {
            return true;
        }
        services
            .iter()
            .any(|s| band(self.free(s)) != band(sent.counts.get(s).copied().unwrap_or_default()))
    }
}

/// Returns the band of a count. Peers are not notified of changes within a band.
fn band(free: u32) -> u32 {
    match free {
        0 => 0,
        1..=2 => 1,
        3..=5 => 2,
        _ => 3,
    }
}
