//! The state machine of one entry.

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
    values::Values,
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

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message to the peer that listens on the address, or drop it.
    Send {
        /// Where the peer listens.
        address: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Give up the connection to the address: the peer behind it was silent for too long.
    Redial(SocketAddr),
}

/// What a [`Fleet`] is built from.
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
    /// An entry with its name, failure domain and addresses.
    pub fn new(host: Arc<str>, failure_domain: Arc<str>, addresses: Addresses) -> Self {
        let (key, seeds) = (Vec::new(), Vec::new());
        Self { host, failure_domain, addresses, key, generation: 1, seeds, seed: 0 }
    }

    /// Key with which the entries authenticate their messages.
    pub fn key(mut self, key: &[u8]) -> Self {
        self.key = key.to_vec();
        self
    }

    /// Number of the process, larger than that of earlier ones on the host.
    pub fn generation(mut self, generation: u64) -> Self {
        self.generation = generation.max(1);
        self
    }

    /// Peers asked while no host list is known.
    pub fn seeds(mut self, seeds: &[SocketAddr]) -> Self {
        self.seeds = seeds.to_vec();
        self
    }

    /// Seed of random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The state machine, which starts `now`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] when a state chart does not fit the code.
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
            values: Values::new(now),
            leaving: LeavingTargets::default(),
            listed_targets: IndexMap::new(),
            free_slots: FreeSlots::new(now),
            sizer: SetSizer::default(),
            entry_sets: EntrySets::default(),
            heartbeat: Heartbeat::new(now),
            quorum_check: QuorumCheck::new(),
            heard_peers: false,
            superseded: false,
            view_changed: true,
            slot_updates: IndexSet::new(),
            state_changes: Vec::new(),
            actions: Vec::new(),
        })
    }
}

/// The fleet as one entry sees it.
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
    pub(super) values: Values,
    pub(super) leaving: LeavingTargets,
    pub(super) listed_targets: IndexMap<Arc<str>, ListedTarget>,
    pub(super) free_slots: FreeSlots,
    pub(super) sizer: SetSizer,
    pub(super) entry_sets: EntrySets,
    pub(super) heartbeat: Heartbeat,
    pub(super) quorum_check: QuorumCheck,
    pub(super) heard_peers: bool,
    pub(super) superseded: bool,
    pub(super) view_changed: bool,
    pub(super) slot_updates: IndexSet<Arc<str>>,
    state_changes: Vec<PeerStateChange>,
    pub(super) actions: Vec<Action>,
}

impl Fleet {
    /// What this entry says of itself.
    pub fn own_record(&self) -> &EntryRecord {
        &self.own
    }

    /// Lifecycle of this entry.
    pub fn state(&self) -> Lifecycle {
        self.state
    }

    /// All other entries.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Entry sets.
    pub fn entry_sets(&self) -> &EntrySets {
        &self.entry_sets
    }

    /// Revisions of the settings.
    pub fn settings(&self) -> &RevisionStore<PublishedSettings> {
        &self.values.settings
    }

    /// Revisions of the host list.
    pub fn hosts(&self) -> &RevisionStore<HostList> {
        &self.values.hosts
    }

    /// When the settings in force came into force here.
    pub fn settings_since(&self) -> Timestamp {
        self.values.settings_since
    }

    /// Free slots that `peer` last told for `service`.
    pub fn free_slots(&self, now: Timestamp, peer: &Arc<str>, service: &Arc<str>) -> u32 {
        self.free_slots.peer_free(now, peer, service)
    }

    /// Whether the target may get no new call.
    pub fn is_target_leaving(&self, target: &str) -> bool {
        self.listed_targets.get(target).is_some_and(|l| self.leaving.is_leaving(l))
    }

    /// Whether anything that the view shows has changed since the last call.
    pub fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Standings of peers that changed since the last call.
    pub fn take_state_changes(&mut self) -> Vec<PeerStateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Revisions of `topic`.
    pub fn revisions(&self, topic: Topic) -> Revisions {
        self.local_revisions(topic)
    }

    /// Services of which a peer told its free slots since the last call.
    pub fn take_slot_updates(&mut self) -> IndexSet<Arc<str>> {
        std::mem::take(&mut self.slot_updates)
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A new token of this entry, for peers to hand out.
    pub fn set_token(&mut self, token: String) {
        self.own.token = token;
        self.publish_own_record();
    }

    /// The data path reports its load since the last report.
    pub fn report_load(&mut self, now: Timestamp, busy: f64, loads: &[ServiceLoad]) {
        if self.sizer.report(now, busy, loads) {
            self.own.requested_sizes = self.sizer.requested_sizes();
            self.publish_own_record();
            self.update_entry_sets();
        }
    }

    /// The data path reports its free slots of a service.
    pub fn set_free_slots(&mut self, service: &Arc<str>, free: u32) {
        self.free_slots.set_own(service, free);
    }

    /// The data path saw that a target is leaving.
    pub fn report_leaving(&mut self, report: LeavingReport) {
        if self.leaving.add_report(&report) {
            self.view_changed = true;
            let gossip = self.gossip_with(Vec::new(), Vec::new(), vec![report]);
            self.flood(None, gossip);
        }
    }

    /// The process was paused: nothing known before may be relied upon.
    pub fn handle_pause(&mut self, now: Timestamp) {
        self.monitor.clear();
        self.quorum_check.reset();
        self.members.clear_accusations(now);
        self.free_slots.retain(|_| false);
        self.values.clear_contact();
        self.heartbeat.send_at(now);
        self.transition(LifecycleEvent::Paused);
    }

    /// The planned stop begins: peers are told at once.
    pub fn leave(&mut self) {
        self.transition(LifecycleEvent::Stop);
    }

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

    /// Gives the own record a later version and tells it.
    pub(super) fn publish_own_record(&mut self) {
        self.own.version.counter += 1;
        self.view_changed = true;
        let gossip = self.gossip_with(vec![self.own.clone()], Vec::new(), Vec::new());
        if self.own.availability == Availability::Leaving {
            self.send_to_predecessors(gossip.clone());
        }
        self.flood(None, gossip);
    }

    /// Works out the entry sets anew.
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
            for (service, requested_sizes) in &record.requested_sizes {
                if let Some(size) = sizes.get_mut(service) {
                    *size = (*size).max(usize::from(*requested_sizes));
                }
            }
        }
        self.entry_sets = EntrySets::new(&self.own.host, &sizes, &candidates);
    }

    /// Takes in what changed in the membership.
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

    pub(super) fn digest(&self) -> u64 {
        let reports = self.leaving.reports().fold(0, |sum, s| {
            let key = format!("{}/{}", s.target, s.incarnation);
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
