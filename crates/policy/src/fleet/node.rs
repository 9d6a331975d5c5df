//! State machine of one entry: its public interface, its lifecycle and its record.

use super::{
    entry_sets::EntrySets,
    envelope::{ReplayGuard, seal},
    heartbeat::Heartbeat,
    leaving::{LeavingTargets, ListedTarget},
    lifecycle::{ENTRY_CHART, Lifecycle, LifecycleEvent},
    member::{PEER_CHART, PeerState},
    membership::{Membership, PeerStateChange, version_hash},
    message::{
        Addresses, Availability, Body, EntryRecord, Header, LeavingReport, Revisions, Topic,
        Version,
    },
    monitor::Monitor,
    placement::Candidate,
    quorum::QuorumCheck,
    revision_store::RevisionStore,
    sizer::{ServiceLoad, SetSizer},
    slots::FreeSlots,
    values::PublishedValues,
};
use crate::{
    Timestamp,
    chart::{Chart, ChartError},
};
use azuretally_api::platform::HostList;
use azuretally_settings::PublishedSettings;
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{net::SocketAddr, sync::Arc};

/// Action that the caller of the state machine must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer. It may be dropped if the peer cannot be reached.
    Send {
        /// Address on which the peer listens for messages.
        address: SocketAddr,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Close and redial the connection to the address, whose peer was silent for too long.
    Redial(SocketAddr),
}

/// Builder of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    host: Arc<str>,
    failure_domain: Arc<str>,
    addresses: Addresses,
    key: Vec<u8>,
    generation: u64,
    seeds: Vec<SocketAddr>,
    seed: u64,
}

impl FleetBuilder {
    /// Starts with the host name, failure domain and addresses of this entry.
    pub fn new(host: Arc<str>, failure_domain: Arc<str>, addresses: Addresses) -> Self {
        let (key, seeds) = (Vec::new(), Vec::new());
        Self { host, failure_domain, addresses, key, generation: 1, seeds, seed: 0 }
    }

    /// Sets the key that authenticates messages between entries.
    pub fn key(mut self, key: &[u8]) -> Self {
        self.key = key.to_vec();
        self
    }

    /// Sets the generation of the process, which must exceed that of earlier ones on the host.
    pub fn generation(mut self, generation: u64) -> Self {
        self.generation = generation.max(1);
        self
    }

    /// Sets the addresses of peers to contact while no peer is known.
    pub fn seeds(mut self, seeds: &[SocketAddr]) -> Self {
        self.seeds = seeds.to_vec();
        self
    }

    /// Sets the seed of random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the state machine, started at `now`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if a state chart does not match its enums.
    pub fn build(self, now: Timestamp) -> Result<Fleet, ChartError> {
        let chart = Chart::parse(ENTRY_CHART)?;
        let peers = Chart::parse(PEER_CHART)?;
        let own = EntryRecord {
            host: Arc::clone(&self.host),
            failure_domain: self.failure_domain,
            addresses: self.addresses,
            version: Version { generation: self.generation, counter: 1 },
            availability: Availability::Unready,
            token: String::new(),
            requested_sizes: Vec::new(),
        };
        Ok(Fleet {
            state: chart.initial(),
            chart,
            own,
            mac_key: self.key,
            seeds: self.seeds,
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(self.seed),
            members: Membership::new(self.host, peers),
            monitor: Monitor::default(),
            replay_guard: ReplayGuard::default(),
            values: PublishedValues::new(now),
            leaving_targets: LeavingTargets::default(),
            listed_targets: IndexMap::new(),
            free_slots: FreeSlots::new(now),
            sizer: SetSizer::default(),
            entry_sets: EntrySets::default(),
            heartbeat: Heartbeat::new(now),
            quorum_check: QuorumCheck::new(),
            joined: false,
            superseded: false,
            view_changed: true,
            slot_updates: IndexSet::new(),
            state_changes: Vec::new(),
            actions: Vec::new(),
        })
    }
}

/// State machine of one entry, with its view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) chart: Chart<Lifecycle, LifecycleEvent>,
    pub(super) state: Lifecycle,
    pub(super) own: EntryRecord,
    pub(super) mac_key: Vec<u8>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) sequence: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) members: Membership,
    pub(super) monitor: Monitor,
    pub(super) replay_guard: ReplayGuard,
    pub(super) values: PublishedValues,
    pub(super) leaving_targets: LeavingTargets,
    pub(super) listed_targets: IndexMap<Arc<str>, ListedTarget>,
    pub(super) free_slots: FreeSlots,
    pub(super) sizer: SetSizer,
    pub(super) entry_sets: EntrySets,
    pub(super) heartbeat: Heartbeat,
    pub(super) quorum_check: QuorumCheck,
    /// Whether a peer has acknowledged a ping since the start.
    pub(super) joined: bool,
    /// Whether a later process of the host is known.
    pub(super) superseded: bool,
    pub(super) view_changed: bool,
    pub(super) slot_updates: IndexSet<Arc<str>>,
    state_changes: Vec<PeerStateChange>,
    pub(super) actions: Vec<Action>,
}

impl Fleet {
    /// Returns the record of this entry.
    pub fn own_record(&self) -> &EntryRecord {
        &self.own
    }

    /// Returns the lifecycle state of this entry.
    pub fn state(&self) -> Lifecycle {
        self.state
    }

    /// Returns all other entries.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns the entry sets of all services.
    pub fn entry_sets(&self) -> &EntrySets {
        &self.entry_sets
    }

    /// Returns the known revisions of the settings.
    pub fn settings(&self) -> &RevisionStore<PublishedSettings> {
        &self.values.settings
    }

    /// Returns the known revisions of the host list.
    pub fn hosts(&self) -> &RevisionStore<HostList> {
        &self.values.hosts
    }

    /// Returns when this entry accepted the settings in force.
    pub fn settings_since(&self) -> Timestamp {
        self.values.settings_since
    }

    /// Returns the free slots last received from `peer` for `service`, 0 if they have expired.
    pub fn free_slots(&self, now: Timestamp, peer: &Arc<str>, service: &Arc<str>) -> u32 {
        self.free_slots.peer_free(now, peer, service)
    }

    /// Returns whether the target must not get new calls.
    pub fn is_target_leaving(&self, target: &str) -> bool {
        self.listed_targets.get(target).is_some_and(|l| self.leaving_targets.is_leaving(l))
    }

    /// Returns whether any entry has reported that the target is leaving.
    pub fn is_target_reported(&self, target: &str) -> bool {
        self.listed_targets.get(target).is_some_and(|l| self.leaving_targets.is_reported(l))
    }

    /// Returns whether the published view has changed since the last call, and clears the flag.
    pub fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Returns and clears the state changes of peers since the last call.
    pub fn take_state_changes(&mut self) -> Vec<PeerStateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Returns the codes of the revisions of `topic` known to this entry.
    pub fn revisions(&self, topic: Topic) -> Revisions {
        self.local_revisions(topic)
    }

    /// Returns and clears the services whose free slots at peers changed since the last call.
    pub fn take_slot_updates(&mut self) -> IndexSet<Arc<str>> {
        std::mem::take(&mut self.slot_updates)
    }

    /// Returns and clears the actions to perform, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sets a new token of this entry, which peers hand out to callers.
    pub fn set_token(&mut self, token: String) {
        self.own.token = token;
        self.publish_own_record();
    }

    /// Handles the load of the data path since the last report, with the CPU utilization `busy`
    /// (0 to 1).
    pub fn report_load(&mut self, now: Timestamp, busy: f64, loads: &[ServiceLoad]) {
        if self.sizer.report(now, busy, loads) {
            self.own.requested_sizes = self.sizer.requested_sizes();
            self.publish_own_record();
            self.update_entry_sets();
        }
    }

    /// Sets the free slots of this entry for a service.
    pub fn set_free_slots(&mut self, service: &Arc<str>, free: u32) {
        self.free_slots.set_own(service, free);
    }

    /// Handles a report of the data path that a target is leaving. The incarnation in the host list
    /// stands in for one that the target did not name.
    pub fn report_leaving(&mut self, mut report: LeavingReport) {
        if report.incarnation.is_empty()
            && let Some(listed) = self.listed_targets.get(&report.target)
            && let Some(incarnation) = &listed.incarnation
        {
            report.incarnation = Arc::clone(incarnation);
        }
        if self.leaving_targets.add_report(&report) {
            self.view_changed = true;
            let gossip = self.gossip_with(Vec::new(), Vec::new(), vec![report]);
            self.flood(None, gossip);
        }
    }

    /// Handles a report of the data path that a target answered a probe without being leaving.
    pub fn report_serving(&mut self, target: &str, incarnation: Option<&str>) {
        self.view_changed |= self.leaving_targets.record_serving(target, incarnation);
    }

    /// Handles a pause of the process, after which the state known before may be out of date.
    pub fn handle_pause(&mut self, now: Timestamp) {
        self.monitor.clear();
        self.quorum_check.reset();
        self.members.clear_accusations(now);
        self.free_slots.retain(|_| false);
        self.values.clear_contact();
        self.heartbeat.schedule(now);
        self.transition(LifecycleEvent::Paused);
    }

    /// Begins the planned stop and announces it to peers at once.
    pub fn leave(&mut self) {
        self.transition(LifecycleEvent::Stop);
    }

    /// Applies a lifecycle event, and announces the new state if it differs.
    pub(super) fn transition(&mut self, event: LifecycleEvent) {
        let state = self.chart.next(self.state, event);
        if state == self.state {
            return;
        }
        self.state = state;
        self.own.availability = match state {
            Lifecycle::Serving => Availability::Ready,
            Lifecycle::Stopping => Availability::Leaving,
            Lifecycle::Starting | Lifecycle::Stale => Availability::Unready,
        };
        self.publish_own_record();
        self.update_entry_sets();
    }

    /// Gives the record of this entry a later version and floods it.
    pub(super) fn publish_own_record(&mut self) {
        self.own.version.counter += 1;
        self.view_changed = true;
        let gossip = self.gossip_with(vec![self.own.clone()], Vec::new(), Vec::new());
        if self.own.availability == Availability::Leaving {
            self.send_to_predecessors(gossip.clone());
        }
        self.flood(None, gossip);
    }

    /// Recomputes the entry sets from usable members, settings and requested sizes.
    pub(super) fn update_entry_sets(&mut self) {
        self.view_changed = true;
        let Some(settings) = self.values.settings.accepted() else { return };
        let mut sizes: IndexMap<Arc<str>, usize> = settings
            .value
            .services
            .iter()
            .map(|(name, s)| (Arc::clone(name), s.entry_set.max(1) as usize))
            .collect();
        let usable = self.members.iter().filter(|(_, m)| m.is_usable());
        let mut candidates: Vec<Candidate> = Vec::new();
        let records = usable.map(|(_, m)| &m.record);
        let own = matches!(self.state, Lifecycle::Serving | Lifecycle::Stale).then_some(&self.own);
        for record in records.chain(own) {
            candidates.push(Candidate {
                host: Arc::clone(&record.host),
                failure_domain: Arc::clone(&record.failure_domain),
            });
            for (service, requested) in &record.requested_sizes {
                if let Some(size) = sizes.get_mut(service) {
                    *size = (*size).max(usize::from(*requested));
                }
            }
        }
        self.entry_sets = EntrySets::new(&self.own.host, &sizes, &candidates);
    }

    /// Applies state changes of members to free slots and entry sets.
    pub(super) fn apply_state_changes(&mut self) {
        let changes = self.members.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if change.to == PeerState::Gone {
                self.free_slots.retain(|peer| *peer != *change.host);
            }
        }
        self.state_changes.extend(changes);
        self.update_entry_sets();
    }

    /// Returns the hash of the versions of all records and of the leaving reports in force, for
    /// comparison with peers.
    pub(super) fn digest(&self) -> u64 {
        let reports = self.leaving_targets.reports().fold(0, |sum, r| {
            let key = format!("{}/{}", r.target, r.incarnation);
            sum ^ xxhash_rust::xxh3::xxh3_64(key.as_bytes())
        });
        self.members.digest() ^ version_hash(&self.own.host, self.own.version) ^ reports
    }

    pub(super) fn send(&mut self, to: &Arc<str>, body: &Body) {
        let Some(member) = self.members.get(to) else { return };
        let address = member.addresses().peers;
        self.send_to(address, to, body);
    }

    pub(super) fn send_to(&mut self, address: SocketAddr, to: &Arc<str>, body: &Body) {
        self.sequence += 1;
        let header = Header {
            from: Arc::clone(&self.own.host),
            generation: self.own.version.generation,
            sequence: self.sequence,
            to: Arc::clone(to),
        };
        if let Ok(bytes) = seal(&self.mac_key, &header, body) {
            self.actions.push(Action::Send { address, bytes });
        }
    }

    pub(super) fn local_revisions(&self, topic: Topic) -> Revisions {
        match topic {
            Topic::Settings => self.values.settings.revisions(),
            Topic::Hosts => self.values.hosts.revisions(),
        }
    }
}
