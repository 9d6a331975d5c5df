//! The state machine of one entry.

use super::{
    envelope::{ReplayGuard, seal},
    heartbeat::Beat,
    leaving::{Leaving, Listed},
    lifecycle::{ENTRY_CHART, Lifecycle, LifecycleEvent},
    member::{PEER_CHART, Standing},
    membership::{Change, Membership, hash},
    message::{Addresses, Body, Condition, Header, Heads, Record, Sighting, Topic, Version},
    monitor::Monitor,
    placement::Candidate,
    roll_call::RollCall,
    sets::Sets,
    shelf::Shelf,
    sizer::{ServiceLoad, Sizer},
    slots::Slots,
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
        let own = Record {
            host: Arc::clone(&self.host),
            failure_domain: self.failure_domain,
            addresses: self.addresses,
            version: Version { generation: self.generation, change: 1 },
            condition: Condition::Unready,
            token: String::new(),
            wanted: Vec::new(),
        };
        Ok(Fleet {
            state: chart.initial(),
            chart,
            own,
            key: self.key,
            seeds: self.seeds,
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(self.seed),
            members: Membership::new(self.host, peers),
            monitor: Monitor::default(),
            guard: ReplayGuard::default(),
            values: Values::new(now),
            leaving: Leaving::default(),
            listed: IndexMap::new(),
            slots: Slots::new(now),
            sizer: Sizer::default(),
            sets: Sets::default(),
            beat: Beat::new(now),
            roll_call: RollCall::new(),
            joined: false,
            superseded: false,
            changed: true,
            told: IndexSet::new(),
            journal: Vec::new(),
            out: Vec::new(),
        })
    }
}

/// The fleet as one entry sees it.
#[derive(Debug)]
pub struct Fleet {
    pub(super) chart: Chart<Lifecycle, LifecycleEvent>,
    pub(super) state: Lifecycle,
    pub(super) own: Record,
    pub(super) key: Vec<u8>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) sequence: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) members: Membership,
    pub(super) monitor: Monitor,
    pub(super) guard: ReplayGuard,
    pub(super) values: Values,
    pub(super) leaving: Leaving,
    pub(super) listed: IndexMap<Arc<str>, Listed>,
    pub(super) slots: Slots,
    pub(super) sizer: Sizer,
    pub(super) sets: Sets,
    pub(super) beat: Beat,
    pub(super) roll_call: RollCall,
    pub(super) joined: bool,
    pub(super) superseded: bool,
    pub(super) changed: bool,
    pub(super) told: IndexSet<Arc<str>>,
    journal: Vec<Change>,
    pub(super) out: Vec<Action>,
}

impl Fleet {
    /// What this entry says of itself.
    pub fn own(&self) -> &Record {
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
    pub fn sets(&self) -> &Sets {
        &self.sets
    }

    /// Revisions of the settings.
    pub fn settings(&self) -> &Shelf<PublishedSettings> {
        &self.values.settings
    }

    /// Revisions of the host list.
    pub fn hosts(&self) -> &Shelf<HostList> {
        &self.values.hosts
    }

    /// When the settings in force came into force here.
    pub fn since(&self) -> Timestamp {
        self.values.since
    }

    /// Free slots that `peer` last told for `service`.
    pub fn free_slots(&self, now: Timestamp, peer: &Arc<str>, service: &Arc<str>) -> u32 {
        self.slots.heard(now, peer, service)
    }

    /// Whether the target may get no new call.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.listed.get(target).is_some_and(|l| self.leaving.is_leaving(l))
    }

    /// Whether anything that the view shows has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Standings of peers that changed since the last call.
    pub fn take_journal(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.journal)
    }

    /// Revisions of `topic`.
    pub fn heads(&self, topic: Topic) -> Heads {
        self.shelf_heads(topic)
    }

    /// Services of which a peer told its free slots since the last call.
    pub fn take_told(&mut self) -> IndexSet<Arc<str>> {
        std::mem::take(&mut self.told)
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// A new token of this entry, for peers to hand out.
    pub fn set_token(&mut self, token: String) {
        self.own.token = token;
        self.renew();
    }

    /// The data path reports its load since the last report.
    pub fn report_load(&mut self, now: Timestamp, busy: f64, loads: &[ServiceLoad]) {
        if self.sizer.report(now, busy, loads) {
            self.own.wanted = self.sizer.wanted();
            self.renew();
            self.place();
        }
    }

    /// The data path reports its free slots of a service.
    pub fn set_free(&mut self, service: &Arc<str>, free: u32) {
        self.slots.set_own(service, free);
    }

    /// The data path saw that a target is leaving.
    pub fn sight(&mut self, sighting: Sighting) {
        if self.leaving.sight(&sighting) {
            self.changed = true;
            let news = self.news_with(Vec::new(), Vec::new(), vec![sighting]);
            self.flood(None, news);
        }
    }

    /// The process was paused: nothing known before may be relied upon.
    pub fn paused(&mut self, now: Timestamp) {
        self.monitor.forgive();
        self.roll_call.forgive();
        self.members.forgive(now);
        self.slots.retain(|_| false);
        self.values.forget_contact();
        self.beat.start(now);
        self.step(LifecycleEvent::Paused);
    }

    /// The planned stop begins: peers are told at once.
    pub fn leave(&mut self) {
        self.step(LifecycleEvent::Stop);
    }

    pub(super) fn step(&mut self, event: LifecycleEvent) {
        let state = self.chart.next(self.state, event);
        if state == self.state {
            return;
        }
        self.state = state;
        self.own.condition = match state {
            Lifecycle::Serving => Condition::Ready,
            Lifecycle::Stopping => Condition::Leaving,
            Lifecycle::Starting | Lifecycle::Stale => Condition::Unready,
        };
        self.renew();
        self.place();
    }

    /// Gives the own record a later version and tells it.
    pub(super) fn renew(&mut self) {
        self.own.version.change += 1;
        self.changed = true;
        let news = self.news_with(vec![self.own.clone()], Vec::new(), Vec::new());
        if self.own.condition == Condition::Leaving {
            self.tell_predecessors(news.clone());
        }
        self.flood(None, news);
    }

    /// Works out the entry sets anew.
    pub(super) fn place(&mut self) {
        self.changed = true;
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
            for (service, wanted) in &record.wanted {
                if let Some(size) = sizes.get_mut(service) {
                    *size = (*size).max(usize::from(*wanted));
                }
            }
        }
        self.sets = Sets::new(&self.own.host, &sizes, &candidates);
    }

    /// Takes in what changed in the membership.
    pub(super) fn settle(&mut self) {
        let changes = self.members.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if change.to == Standing::Gone {
                self.slots.retain(|peer| *peer != *change.host);
            }
        }
        self.journal.extend(changes);
        self.place();
    }

    pub(super) fn digest(&self) -> u64 {
        let sightings = self.leaving.sightings().fold(0, |sum, s| {
            let key = format!("{}/{}", s.target, s.incarnation);
            sum ^ xxhash_rust::xxh3::xxh3_64(key.as_bytes())
        });
        self.members.digest() ^ hash(&self.own.host, self.own.version) ^ sightings
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
        if let Ok(bytes) = seal(&self.key, &header, body) {
            self.out.push(Action::Send { address, bytes });
        }
    }

    pub(super) fn shelf_heads(&self, topic: Topic) -> Heads {
        match topic {
            Topic::Settings => self.values.settings.heads(),
            Topic::Hosts => self.values.hosts.heads(),
        }
    }
}
