//! Periodic work of an entry: pings, quorum checks, requests and lifecycle.

use super::{
    lifecycle::{Lifecycle, LifecycleEvent},
    member::PeerState,
    message::{Accusation, Body},
    monitor::MAX_MISSED_PINGS,
    node::{Action, Fleet},
    quorum::QUORUM_SAMPLE,
    rings,
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use std::{ops::Range, sync::Arc, time::Duration};

/// Mean time between pings of a monitored peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without contact to the platform or any peer after which an entry is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(3);

/// Range of the random factor on [`HEARTBEAT_INTERVAL`].
const HEARTBEAT_JITTER: Range<f64> = 0.9..1.1;
/// Heartbeats between pings of a peer that shares an entry set but is not monitored.
const SET_PING_HEARTBEATS: u64 = 4;
/// Heartbeats between pings of gone entries.
const GONE_PING_HEARTBEATS: u64 = 2;
/// Maximum number of gone entries pinged by the heartbeat after one of them has answered.
const MAX_GONE_PINGS: usize = 16;
/// Minimum time between notices to superseded processes.
const NOTIFY_INTERVAL: Duration = Duration::from_secs(1);
/// Missed pings of a peer from one accusation to the next.
const ACCUSATION_PINGS: u32 = 2;

/// Timing of periodic and rate-limited messages.
#[derive(Clone, Debug)]
pub(super) struct Heartbeat {
    next_at: Timestamp,
    count: u64,
    gone_answered: bool,
    refuted: Option<Timestamp>,
    notified: Option<Timestamp>,
    summarized: Option<Timestamp>,
    /// Consecutive messages whose digest differed from that of this entry, by peer.
    pub(super) mismatches: IndexMap<Arc<str>, u32>,
}

impl Heartbeat {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            next_at: now,
            count: 0,
            gone_answered: false,
            refuted: None,
            notified: None,
            summarized: None,
            mismatches: IndexMap::new(),
        }
    }

    /// Makes the next heartbeat due at `at`.
    pub(super) fn schedule(&mut self, at: Timestamp) {
        self.next_at = at;
    }

    /// Makes the next heartbeat ping several gone entries, since one of them has answered.
    pub(super) fn gone_peer_answered(&mut self) {
        self.gone_answered = true;
    }

    pub(super) fn may_refute(&mut self, now: Timestamp, interval: Duration) -> bool {
        is_due(&mut self.refuted, now, interval)
    }

    pub(super) fn may_notify(&mut self, now: Timestamp) -> bool {
        is_due(&mut self.notified, now, NOTIFY_INTERVAL)
    }

    pub(super) fn may_summarize(&mut self, now: Timestamp, interval: Duration) -> bool {
        is_due(&mut self.summarized, now, interval)
    }
}

/// Returns whether `interval` has passed since `last`, and sets `last` to `now` if so.
fn is_due(last: &mut Option<Timestamp>, now: Timestamp, interval: Duration) -> bool {
    if last.is_some_and(|at| now.since(at) < interval) {
        return false;
    }
    *last = Some(now);
    true
}

impl Fleet {
    /// Does the work that is due. The caller runs it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        if now >= self.heartbeat.next_at {
            let interval = HEARTBEAT_INTERVAL.mul_f64(self.random.random_range(HEARTBEAT_JITTER));
            self.heartbeat.next_at = now + interval;
            self.heartbeat.count += 1;
            self.send_heartbeat(now);
        }
        self.run_quorum_check(now);
        self.members.tick(now, self.quorum_check.last_passed());
        self.apply_state_changes();
        self.leaving_targets.expire(now, &self.listed_targets);
        self.request_missing(now);
        self.send_free_slots(now);
        self.update_lifecycle(now);
    }

    fn send_heartbeat(&mut self, now: Timestamp) {
        let successors = rings::successors(&self.own.host, &self.members.ring());
        for host in &successors {
            self.ping(now, host, true);
        }
        let mut set_peers: IndexSet<Arc<str>> =
            self.entry_sets.shared_services.keys().cloned().collect();
        set_peers.retain(|host| !successors.contains(host));
        if self.heartbeat.count.is_multiple_of(SET_PING_HEARTBEATS) {
            for host in &set_peers {
                self.ping(now, host, false);
            }
        }
        self.ping_gone(now);
        if !self.members.iter().any(|(_, m)| m.has_announced()) {
            self.ping_seeds();
        }
        let (members, quorum_check) = (&self.members, &self.quorum_check);
        self.monitor.retain(|host| {
            quorum_check.is_pending(host)
                || successors.iter().any(|s| **s == *host)
                || set_peers.contains(host)
                || members.get(host).is_some_and(|m| m.state == PeerState::Gone)
        });
    }

    /// Pings `host`. If `monitored`, accuses it once too many pings were missed.
    fn ping(&mut self, now: Timestamp, host: &Arc<str>, monitored: bool) {
        let ping = self.monitor.ping(host, self.own.version.counter);
        let Some(member) = self.members.get(host) else { return };
        let (version, address) = (member.record.version, member.addresses().peers);
        if ping.missed >= MAX_MISSED_PINGS {
            let excess = ping.missed - MAX_MISSED_PINGS;
            if excess.is_multiple_of(MAX_MISSED_PINGS) {
                self.actions.push(Action::Redial(address));
            }
            if monitored && excess.is_multiple_of(ACCUSATION_PINGS) {
                let (host, accuser) = (Arc::clone(host), Arc::clone(&self.own.host));
                let accusation = Accusation { host, version, accuser };
                self.members.add_accusation(now, &accusation);
                let gossip = self.gossip_with(Vec::new(), vec![accusation], Vec::new());
                self.flood(None, gossip);
            }
        }
        let records = if ping.send_record { vec![self.own.clone()] } else { Vec::new() };
        let accusations = self.pending_accusation(host).into_iter().collect();
        let gossip = self.gossip_with(records, accusations, Vec::new());
        self.send(host, &Body::Ping { number: ping.number, missed: ping.missed, gossip });
    }

    /// Checks that this entry reaches half of the fleet, before suspect entries are declared gone.
    fn run_quorum_check(&mut self, now: Timestamp) {
        if let Some(unanswered) = self.quorum_check.finish(now) {
            for host in unanswered {
                if let Some(member) = self.members.get_mut(&host) {
                    member.unresponsive = true;
                    self.view_changed = true;
                }
            }
        }
        let Some(since) = self.members.last_suspicion() else {
            self.view_changed |= self.members.clear_unresponsive();
            return;
        };
        if !self.quorum_check.is_due(now, since) {
            return;
        }
        let mut candidates = self.members.quorum_candidates(now);
        while candidates.len() > QUORUM_SAMPLE {
            candidates.swap_remove(self.random.random_range(0..candidates.len()));
        }
        self.quorum_check.start(now, &candidates);
        for host in &candidates {
            self.ping(now, host, false);
        }
    }

    /// Pings some gone entries, which may be behind a partition that has healed.
    fn ping_gone(&mut self, now: Timestamp) {
        let gone = self.members.iter().filter(|(_, m)| m.state == PeerState::Gone);
        let mut hosts: Vec<_> = gone.map(|(host, _)| Arc::clone(host)).collect();
        let gone_answered = std::mem::take(&mut self.heartbeat.gone_answered);
        if hosts.is_empty()
            || !(gone_answered || self.heartbeat.count.is_multiple_of(GONE_PING_HEARTBEATS))
        {
            return;
        }
        let count = if gone_answered { MAX_GONE_PINGS } else { 1 };
        for _ in 0..count.min(hosts.len()) {
            let host = hosts.swap_remove(self.random.random_range(0..hosts.len()));
            self.ping(now, &host, false);
        }
    }

    /// Sends the record of this entry to the seed addresses.
    fn ping_seeds(&mut self) {
        let unknown = Arc::from("");
        for address in self.seeds.clone() {
            if address == self.own.addresses.peers {
                continue;
            }
            let gossip = self.gossip_with(vec![self.own.clone()], Vec::new(), Vec::new());
            self.send_to(address, &unknown, &Body::Ping { number: 0, missed: 0, gossip });
        }
    }

    /// Sends due free slot counts to live peers that share an entry set.
    fn send_free_slots(&mut self, now: Timestamp) {
        self.slot_updates.extend(self.free_slots.expire(now));
        let shared = &self.entry_sets.shared_services;
        let members = &self.members;
        let alive = shared
            .iter()
            .filter(|(host, _)| members.get(host).is_some_and(|m| m.state == PeerState::Alive));
        let due =
            self.free_slots.due_messages(now, alive.map(|(host, services)| (host, &services[..])));
        for (host, body) in due {
            self.send(&host, &body);
        }
    }

    /// Updates the lifecycle from the contact to platform and peers.
    fn update_lifecycle(&mut self, now: Timestamp) {
        let recent = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < STALE_AFTER);
        let contact = recent(self.values.heard_peer) || recent(self.values.heard_platform);
        let current = contact && !self.superseded && self.is_current(now);
        match self.state {
            Lifecycle::Starting if current => self.transition(LifecycleEvent::Ready),
            Lifecycle::Serving if !contact => self.transition(LifecycleEvent::CutOff),
            Lifecycle::Stale if current => self.transition(LifecycleEvent::Contact),
            _ => {}
        }
    }
}
