//! Gossip between entries.
//!
//! New state is flooded along the rings at once; each entry forwards it once. Anti-entropy repairs
//! losses: digests on pings and acknowledgements reveal differences, which summaries then resolve.

use super::{
    envelope::{MessageError, open},
    member::{Member, PeerState},
    message::{Accusation, Body, EntryRecord, Gossip, Header, LeavingReport, Topic, Version},
    monitor::MAX_MISSED_PINGS,
    node::{Action, Fleet},
    rings,
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 64;
/// Consecutive messages of a peer with another digest after which a summary is sent.
const MAX_DIGEST_MISMATCHES: u32 = 2;
/// Minimum time between refutations by this entry.
const REFUTE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between summaries that this entry sends because of different digests.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes per second that an entry may spend on summaries.
const SUMMARY_BYTES_PER_S: u64 = 1_000;
/// Estimated bytes of a summary for each member.
const SUMMARY_BYTES_PER_MEMBER: u64 = 24;

impl Fleet {
    /// Handles a message from a peer.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the message was dropped.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), MessageError> {
        let (header, body) = open(&self.mac_key, bytes)?;
        let addressed_here = header.to.is_empty() || header.to == self.own.host;
        if !addressed_here || header.from == self.own.host {
            return Err(MessageError::Misdirected);
        }
        if let Err(e) = self.replay_guard.admit(&header) {
            if e == MessageError::Superseded {
                self.notify_superseded(now, &header);
            }
            return Err(e);
        }
        self.handle_message(now, &header.from, body);
        self.apply_state_changes();
        Ok(())
    }

    /// Dispatches an authenticated message.
    fn handle_message(&mut self, now: Timestamp, from: &Arc<str>, body: Body) {
        match body {
            Body::Ping { number, missed, gossip } => {
                let digest = gossip.digest;
                self.apply_gossip(now, from, gossip);
                self.redial_if_unheard(from, missed);
                self.acknowledge(from, number, digest);
                self.compare_digest(now, from, digest);
            }
            Body::Ack { number, gossip } => {
                let digest = gossip.digest;
                self.apply_gossip(now, from, gossip);
                if self.monitor.acknowledge(from, number) {
                    self.record_peer_contact(now, from);
                }
                self.compare_digest(now, from, digest);
            }
            Body::Gossip(gossip) => self.apply_gossip(now, from, gossip),
            Body::Request { topic, base, revision } => self.send_delta(from, topic, base, revision),
            Body::Delta(delta) => self.receive_delta(now, from, &delta),
            Body::Summary { versions, gone, leaving_reports, reply } => {
                self.apply_gone(now, from, &gone);
                self.answer_summary(from, versions.into_iter().chain(gone), &leaving_reports);
                if reply {
                    self.send_summary(from, false);
                }
            }
            Body::FreeSlots(slots) => {
                self.slot_updates.extend(slots.iter().map(|(service, _)| Arc::clone(service)));
                self.free_slots.receive(now, from, slots);
            }
        }
    }

    /// Applies the state in `gossip` and forwards what is new.
    fn apply_gossip(&mut self, now: Timestamp, from: &Arc<str>, gossip: Gossip) {
        let mut records = Vec::new();
        let mut sets_affected = false;
        for record in gossip.records {
            if record.host == self.own.host {
                self.handle_own_record(&record);
                continue;
            }
            let before = self.members.get(&record.host).map(Member::placement_inputs);
            if self.members.apply_record(now, &record) {
                sets_affected |=
                    before != self.members.get(&record.host).map(Member::placement_inputs);
                records.push(record);
            }
        }
        let mut accusations = Vec::new();
        for accusation in gossip.accusations {
            if accusation.host == self.own.host {
                self.refute(now, accusation.version);
            } else if self.members.add_accusation(now, &accusation) {
                accusations.push(accusation);
            }
        }
        let mut leaving_reports = gossip.leaving_reports;
        leaving_reports.retain(|r| self.leaving_targets.add_report(r));
        self.view_changed |= !records.is_empty() || !leaving_reports.is_empty();
        if sets_affected {
            self.update_entry_sets();
        }
        if let Some(member) = self.members.get_mut(from) {
            member.settings = gossip.settings;
            member.hosts = gossip.hosts;
        }
        if !(records.is_empty() && accusations.is_empty() && leaving_reports.is_empty()) {
            let gossip = self.gossip_with(records, accusations, leaving_reports);
            self.flood(Some(from), gossip);
        }
        self.request_missing(now);
    }

    /// Records that this entry and `from` reach each other.
    fn record_peer_contact(&mut self, now: Timestamp, from: &Arc<str>) {
        if self.values.heard_peer.is_none() {
            self.send_summary(from, true);
        }
        self.values.heard_peer = Some(now);
        self.joined = true;
        self.quorum_check.record_answer(from);
        self.members.clear_accusation(from);
        if self.members.get(from).is_some_and(|m| m.state == PeerState::Gone) {
            self.heartbeat.gone_peer_answered();
        }
    }

    /// Redials a peer that misses acknowledgements: it is heard here, but the connection to it may
    /// be dead.
    fn redial_if_unheard(&mut self, from: &Arc<str>, missed: u32) {
        if missed == 0 || !missed.is_multiple_of(MAX_MISSED_PINGS) {
            return;
        }
        if let Some(member) = self.members.get(from) {
            self.actions.push(Action::Redial(member.addresses().peers));
        }
    }

    fn acknowledge(&mut self, to: &Arc<str>, number: u64, digest: u64) {
        let records = if digest == self.digest() { Vec::new() } else { vec![self.own.clone()] };
        let accusations = self.pending_accusation(to).into_iter().collect();
        let gossip = self.gossip_with(records, accusations, Vec::new());
        self.send(to, &Body::Ack { number, gossip });
    }

    /// Returns the accusation that `host` must refute to be alive again for this entry.
    pub(super) fn pending_accusation(&self, host: &Arc<str>) -> Option<Accusation> {
        let member = self.members.get(host)?;
        if !matches!(member.state, PeerState::Suspect | PeerState::Gone) {
            return None;
        }
        let (host, accuser) = (Arc::clone(host), Arc::clone(&self.own.host));
        Some(Accusation { host, version: member.record.version, accuser })
    }

    /// Handles a received record of this host.
    ///
    /// A later generation before the first contact to a peer means that the clock was set back
    /// between two processes: this process continues with a higher generation. After that contact
    /// it means that a later process runs on the host. Within one generation, the version of this
    /// entry is raised above the received one.
    fn handle_own_record(&mut self, record: &EntryRecord) {
        let version = record.version;
        if version.generation > self.own.version.generation {
            if !self.joined {
                self.own.version = Version { generation: version.generation + 1, counter: 1 };
                self.publish_own_record();
            } else if !self.superseded {
                self.superseded = true;
                self.transition(super::lifecycle::LifecycleEvent::Superseded);
            }
        } else if version > self.own.version {
            self.own.version.counter = version.counter;
            self.publish_own_record();
        }
    }

    /// Refutes an accusation with a later version of this entry's record.
    fn refute(&mut self, now: Timestamp, accused: Version) {
        let earlier_process = accused.generation < self.own.version.generation;
        if earlier_process
            || accused < self.own.version
            || !self.heartbeat.may_refute(now, REFUTE_INTERVAL)
        {
            return;
        }
        self.own.version.counter = self.own.version.counter.max(accused.counter);
        self.publish_own_record();
    }

    /// Notifies an earlier process of a host that a later one is known.
    fn notify_superseded(&mut self, now: Timestamp, header: &Header) {
        let Some(member) = self.members.get(&header.from) else { return };
        let record = member.record.clone();
        if record.version.generation <= header.generation || !self.heartbeat.may_notify(now) {
            return;
        }
        let gossip = self.gossip_with(vec![record], Vec::new(), Vec::new());
        self.send(&header.from, &Body::Gossip(gossip));
    }

    /// Sends a summary to a peer whose digest differs repeatedly, within the rate limit.
    fn compare_digest(&mut self, now: Timestamp, from: &Arc<str>, digest: u64) {
        if digest == self.digest() {
            self.heartbeat.mismatches.swap_remove(from);
            return;
        }
        let count = self.heartbeat.mismatches.entry(Arc::clone(from)).or_default();
        *count += 1;
        if *count < MAX_DIGEST_MISMATCHES {
            return;
        }
        let members = self.members.iter().count() as u64;
        let interval = MIN_SUMMARY_INTERVAL.max(Duration::from_millis(
            members * SUMMARY_BYTES_PER_MEMBER * 1_000 / SUMMARY_BYTES_PER_S,
        ));
        if self.heartbeat.may_summarize(now, interval) {
            self.heartbeat.mismatches.swap_remove(from);
            self.send_summary(from, true);
        }
    }

    fn send_summary(&mut self, to: &Arc<str>, reply: bool) {
        let mut versions = vec![(Arc::clone(&self.own.host), self.own.version)];
        let mut gone = Vec::new();
        for (host, member) in self.members.iter().filter(|(_, m)| m.has_announced()) {
            let version = (Arc::clone(host), member.record.version);
            if member.state == PeerState::Gone {
                gone.push(version)
            } else {
                versions.push(version)
            }
        }
        let leaving_reports = self.leaving_targets.reports().collect();
        self.send(to, &Body::Summary { versions, gone, leaving_reports, reply });
    }

    /// Applies the entries that are gone for a peer as accusations, which live entries can refute.
    fn apply_gone(&mut self, now: Timestamp, from: &Arc<str>, gone: &[(Arc<str>, Version)]) {
        let mut added = Vec::new();
        for (host, version) in gone {
            let (host, accuser) = (Arc::clone(host), Arc::clone(from));
            let accusation = Accusation { host, version: *version, accuser };
            if accusation.host == self.own.host {
                self.refute(now, *version);
            } else if self.members.apply_gone_report(now, &accusation) {
                added.push(accusation);
            }
        }
        if !added.is_empty() {
            let gossip = self.gossip_with(Vec::new(), added, Vec::new());
            self.flood(Some(from), gossip);
        }
    }

    /// Answers a summary with the records and leaving reports that the peer lacks.
    fn answer_summary<Versions>(
        &mut self,
        from: &Arc<str>,
        versions: Versions,
        peer_reports: &[LeavingReport],
    ) where
        Versions: Iterator<Item = (Arc<str>, Version)>,
    {
        let versions: IndexMap<_, _> = versions.collect();
        let newer = |r: &&EntryRecord| versions.get(&r.host).is_none_or(|v| *v < r.version);
        let live =
            self.members.iter().filter(|(_, m)| m.state != PeerState::Gone && m.has_announced());
        let records: Vec<EntryRecord> =
            live.map(|(_, m)| &m.record).chain([&self.own]).filter(newer).cloned().collect();
        let peer_reports: IndexSet<_> = peer_reports.iter().collect();
        let leaving_reports: Vec<_> =
            self.leaving_targets.reports().filter(|r| !peer_reports.contains(r)).collect();
        let added: Vec<_> = peer_reports
            .into_iter()
            .filter(|r| self.leaving_targets.add_report(r))
            .cloned()
            .collect();
        if !added.is_empty() {
            self.view_changed = true;
            let gossip = self.gossip_with(Vec::new(), Vec::new(), added);
            self.flood(Some(from), gossip);
        }
        let mut chunks = records.chunks(MAX_MESSAGE_RECORDS);
        let first = chunks.next().unwrap_or_default().to_vec();
        if !first.is_empty() || !leaving_reports.is_empty() {
            let gossip = self.gossip_with(first, Vec::new(), leaving_reports);
            self.send(from, &Body::Gossip(gossip));
        }
        for chunk in chunks {
            let gossip = self.gossip_with(chunk.to_vec(), Vec::new(), Vec::new());
            self.send(from, &Body::Gossip(gossip));
        }
    }

    /// Returns gossip with revisions and digest only.
    pub(super) fn gossip(&self) -> Gossip {
        self.gossip_with(Vec::new(), Vec::new(), Vec::new())
    }

    pub(super) fn gossip_with(
        &self,
        records: Vec<EntryRecord>,
        accusations: Vec<Accusation>,
        leaving_reports: Vec<LeavingReport>,
    ) -> Gossip {
        let settings = self.local_revisions(Topic::Settings);
        let hosts = self.local_revisions(Topic::Hosts);
        Gossip { settings, hosts, digest: self.digest(), records, accusations, leaving_reports }
    }

    /// Sends gossip to the ring successors of this entry, other than `except`.
    pub(super) fn flood(&mut self, except: Option<&Arc<str>>, gossip: Gossip) {
        let successors = rings::successors(&self.own.host, &self.members.ring());
        self.send_gossip(successors, except, gossip);
    }

    /// Sends gossip to the ring predecessors of this entry.
    pub(super) fn send_to_predecessors(&mut self, gossip: Gossip) {
        let predecessors = rings::predecessors(&self.own.host, &self.members.ring());
        self.send_gossip(predecessors, None, gossip);
    }

    fn send_gossip(&mut self, to: Vec<Arc<str>>, except: Option<&Arc<str>>, gossip: Gossip) {
        let body = Body::Gossip(gossip);
        for host in to.iter().filter(|h| Some(*h) != except) {
            self.send(host, &body);
        }
    }
}
