//! Distribution of the published values: settings and host list, from the platform or from peers.

use super::{
    leaving::ListedTarget,
    lifecycle::Lifecycle,
    member::PeerState,
    message::{Addresses, Availability, Body, Delta, EntryRecord, Revisions, Topic, Version},
    node::Fleet,
    revision_store::{RevisionStore, Verdict},
};
use crate::Timestamp;
use azuretally_api::platform::{HostList, HostRecord, HostState, Role};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use rand::RngExt;
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Entries in each failure domain that watch the platform; the others get updates from peers.
pub const WATCHERS_PER_DOMAIN: usize = 3;

/// Time after which a value is requested again, from any peer that has it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without contact to a peer after which an entry watches the platform, and time after its
/// start for which an entry waits for the settings revisions of its peers.
const PEER_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Published values, and the contact to their sources.
#[derive(Clone, Debug)]
pub(super) struct PublishedValues {
    pub(super) settings: RevisionStore<PublishedSettings>,
    pub(super) hosts: RevisionStore<HostList>,
    /// When the settings in force were accepted.
    pub(super) settings_since: Timestamp,
    pub(super) started: Timestamp,
    /// When a peer last acknowledged a ping.
    pub(super) heard_peer: Option<Timestamp>,
    /// When the platform last answered.
    pub(super) heard_platform: Option<Timestamp>,
    /// Time of the pending request, by topic.
    requested: IndexMap<Topic, Timestamp>,
}

impl PublishedValues {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            settings: RevisionStore::new(Topic::Settings, check_settings),
            hosts: RevisionStore::new(Topic::Hosts, check_hosts),
            settings_since: now,
            started: now,
            heard_peer: None,
            heard_platform: None,
            requested: IndexMap::new(),
        }
    }

    /// Discards contact times and pending requests, after a pause of the process.
    pub(super) fn clear_contact(&mut self) {
        self.heard_peer = None;
        self.heard_platform = None;
        self.requested.clear();
    }
}

fn check_settings(text: &str) -> Result<PublishedSettings, String> {
    PublishedSettings::parse("settings", text).map_err(|e| e.to_string())
}

fn check_hosts(text: &str) -> Result<HostList, String> {
    HostList::parse(text).map_err(|e| e.to_string())
}

impl Fleet {
    /// Applies a revision of a value received from the platform, given as the code of a
    /// [`PublishedRevision`](super::PublishedRevision).
    pub fn apply_platform_document(
        &mut self,
        now: Timestamp,
        topic: Topic,
        revision: u64,
        text: &str,
    ) -> Verdict {
        self.record_platform_contact(now);
        self.offer(now, topic, revision, text)
    }

    /// Records that the platform answered, without a new revision.
    pub fn record_platform_contact(&mut self, now: Timestamp) {
        self.values.heard_platform = Some(now);
    }

    /// Returns whether this entry must watch the platform: it is among the [`WATCHERS_PER_DOMAIN`]
    /// of its failure domain, it is starting or stale, or it has no contact to peers.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        let no_contact =
            self.values.heard_peer.is_none_or(|heard| now.since(heard) > PEER_SILENCE_LIMIT);
        if no_contact || matches!(self.state, Lifecycle::Starting | Lifecycle::Stale) {
            return true;
        }
        let hash = |host: &str| xxh3_64(host.as_bytes());
        let own = hash(&self.own.host);
        let earlier = self.members.iter().filter(|(host, m)| {
            m.record.failure_domain == self.own.failure_domain
                && m.state == PeerState::Alive
                && m.record.availability == Availability::Ready
                && hash(host) < own
        });
        earlier.count() < WATCHERS_PER_DOMAIN
    }

    /// Returns whether settings are in force, no live peer is known to have later ones, and peers
    /// had enough time to announce theirs.
    pub(super) fn is_current(&self, now: Timestamp) -> bool {
        let accepted = self.values.settings.revisions().accepted;
        let waited = self.values.heard_peer.is_some()
            || now.since(self.values.started) >= PEER_SILENCE_LIMIT;
        let latest = self.peer_revisions(Topic::Settings).map(|(_, r)| r.accepted).max();
        accepted > 0 && waited && accepted >= latest.unwrap_or_default()
    }

    /// Offers a document to its store and announces a new revision to the ring neighbours.
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        topic: Topic,
        revision: u64,
        text: &str,
    ) -> Verdict {
        let verdict = match topic {
            Topic::Settings => self.values.settings.offer(revision, text),
            Topic::Hosts => self.values.hosts.offer(revision, text),
        };
        if verdict == Verdict::Old {
            return verdict;
        }
        self.view_changed = true;
        if verdict == Verdict::Accepted {
            match topic {
                Topic::Settings => self.values.settings_since = now,
                Topic::Hosts => self.apply_host_list(now),
            }
            self.update_entry_sets();
        }
        let gossip = self.gossip();
        self.send_to_predecessors(gossip.clone());
        self.flood(None, gossip);
        verdict
    }

    /// Applies the accepted host list to members and targets.
    fn apply_host_list(&mut self, now: Timestamp) {
        let Some(list) = self.values.hosts.accepted() else { return };
        let list = Arc::clone(&list.value);
        let entries: IndexMap<_, _> = list.hosts.iter().filter_map(listed_entry).collect();
        self.listed_targets = list.hosts.iter().filter_map(listed_target).collect();
        self.leaving_targets.apply_host_list(&self.listed_targets);
        let had_no_members = self.members.iter().next().is_none();
        self.members.apply_host_list(now, &entries);
        if had_no_members {
            self.heartbeat.schedule(now);
        }
        self.apply_state_changes();
    }

    /// Requests each value of which peers have a later revision, from one of these peers at random.
    pub(super) fn request_missing(&mut self, now: Timestamp) {
        for topic in Topic::ALL {
            let requested_at = self.values.requested.get(&topic);
            if requested_at.is_some_and(|at| now.since(*at) < REQUEST_TIMEOUT) {
                continue;
            }
            let own = self.local_revisions(topic);
            let ahead: Vec<(Arc<str>, u64)> = self
                .peer_revisions(topic)
                .filter_map(|(host, revisions)| {
                    Some((Arc::clone(host), missing_revision(own, revisions)?))
                })
                .collect();
            if ahead.is_empty() {
                continue;
            }
            let (host, revision) = &ahead[self.random.random_range(0..ahead.len())];
            let body = Body::Request { topic, base: own.accepted, revision: *revision };
            self.values.requested.insert(topic, now);
            self.send(host, &body);
        }
    }

    /// Answers a request of `to`, if `revision` is stored.
    pub(super) fn send_delta(&mut self, to: &Arc<str>, topic: Topic, base: u64, revision: u64) {
        let delta = match topic {
            Topic::Settings => self.values.settings.delta(revision, base),
            Topic::Hosts => self.values.hosts.delta(revision, base),
        };
        if let Some(delta) = delta {
            self.send(to, &Body::Delta(delta));
        }
    }

    /// Applies a delta, or requests the whole text if the delta does not apply to a stored base.
    pub(super) fn receive_delta(&mut self, now: Timestamp, from: &Arc<str>, delta: &Delta) {
        let topic = delta.topic;
        let text = match topic {
            Topic::Settings => self.values.settings.apply_delta(delta),
            Topic::Hosts => self.values.hosts.apply_delta(delta),
        };
        self.values.requested.shift_remove(&topic);
        match text {
            Some(text) => {
                self.offer(now, topic, delta.revision, &text);
                self.request_missing(now);
            }
            None if delta.base != 0 => {
                let body = Body::Request { topic, base: 0, revision: delta.revision };
                self.send(from, &body);
            }
            None => {}
        }
    }

    /// Iterates over the revisions last announced by members that are not gone.
    fn peer_revisions(&self, topic: Topic) -> impl Iterator<Item = (&Arc<str>, Revisions)> {
        let live = self.members.iter().filter(|(_, m)| m.state != PeerState::Gone);
        live.map(move |(host, m)| match topic {
            Topic::Settings => (host, m.settings),
            Topic::Hosts => (host, m.hosts),
        })
    }
}

/// Returns a revision to request from a peer: its accepted one, or else a later refused one.
fn missing_revision(own: Revisions, theirs: Revisions) -> Option<u64> {
    if theirs.accepted > own.accepted {
        return Some(theirs.accepted);
    }
    (theirs.seen > own.seen).then_some(theirs.seen)
}

/// Returns the host name of the entry in a record of the host list, the entry's record, and whether
/// it is marked as leaving. `None` if the host is not an entry.
fn listed_entry(host_record: &HostRecord) -> Option<(Arc<str>, (EntryRecord, bool))> {
    let Role::Entry { calls, peers, .. } = host_record.role else { return None };
    let host: Arc<str> = Arc::from(&*host_record.host);
    let record = EntryRecord {
        host: Arc::clone(&host),
        failure_domain: Arc::from(&*host_record.failure_domain),
        addresses: Addresses { calls, peers },
        version: Version::default(),
        availability: Availability::Unready,
        token: String::new(),
        requested_sizes: Vec::new(),
    };
    Some((host, (record, host_record.state == HostState::Leaving)))
}

/// Returns the target in a record of the host list, by host name. `None` if the host is not a
/// target.
fn listed_target(host_record: &HostRecord) -> Option<(Arc<str>, ListedTarget)> {
    let Role::Target { .. } = host_record.role else { return None };
    let target: Arc<str> = Arc::from(&*host_record.host);
    let listed = ListedTarget {
        target: Arc::clone(&target),
        incarnation: host_record.incarnation.as_deref().map(Arc::from),
        leaving: host_record.state == HostState::Leaving,
    };
    Some((target, listed))
}
