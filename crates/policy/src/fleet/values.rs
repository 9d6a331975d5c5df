//! Published values: settings and host list, from the platform or from peers.

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

/// Entries in each failure domain that watch the platform; the others hear from their peers.
pub const WATCHERS_PER_DOMAIN: usize = 3;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const PEER_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Published values and where they may come from.
#[derive(Clone, Debug)]
pub(super) struct Values {
    pub(super) settings: RevisionStore<PublishedSettings>,
    pub(super) hosts: RevisionStore<HostList>,
    pub(super) settings_since: Timestamp,
    pub(super) started: Timestamp,
    pub(super) heard_peer: Option<Timestamp>,
    pub(super) heard_platform: Option<Timestamp>,
    requested: IndexMap<Topic, Timestamp>,
}

impl Values {
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
    serde_json::from_str(text).map_err(|e| e.to_string())
}

impl Fleet {
    /// Takes in a value that the platform answered with.
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

    /// The platform answered that there is nothing new.
    pub fn record_platform_contact(&mut self, now: Timestamp) {
        self.values.heard_platform = Some(now);
    }

    /// Whether this entry is to watch the platform: it is one of a few in its failure domain, it
    /// has nothing to serve by, or it does not hear its peers.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        let no_peers =
            self.values.heard_peer.is_none_or(|heard| now.since(heard) > PEER_SILENCE_LIMIT);
        if no_peers || matches!(self.state, Lifecycle::Starting | Lifecycle::Stale) {
            return true;
        }
        let weight = |host: &str| xxh3_64(host.as_bytes());
        let own = weight(&self.own.host);
        let before = self.members.iter().filter(|(host, m)| {
            m.record.failure_domain == self.own.failure_domain
                && m.state == PeerState::Alive
                && m.record.availability == Availability::Ready
                && weight(host) < own
        });
        before.count() < WATCHERS_PER_DOMAIN
    }

    /// Whether the settings in force are the latest that any live peer told of, and peers had
    /// their chance to tell.
    pub(super) fn is_current(&self, now: Timestamp) -> bool {
        let accepted = self.values.settings.revisions().accepted;
        let asked = self.values.heard_peer.is_some()
            || now.since(self.values.started) >= PEER_SILENCE_LIMIT;
        let latest = self.peer_revisions(Topic::Settings).map(|(_, r)| r.accepted).max();
        accepted > 0 && asked && accepted >= latest.unwrap_or_default()
    }

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

    fn apply_host_list(&mut self, now: Timestamp) {
        let Some(list) = self.values.hosts.accepted() else { return };
        let list = Arc::clone(&list.value);
        let entries: IndexMap<_, _> = list.hosts.iter().filter_map(listed_entry).collect();
        self.listed_targets = list.hosts.iter().filter_map(listed_target).collect();
        self.leaving.apply_host_list(&self.listed_targets);
        let alone = self.members.iter().next().is_none();
        self.members.apply_host_list(now, &entries);
        if alone {
            self.heartbeat.send_at(now);
        }
        self.apply_state_changes();
    }

    /// Asks a peer for values that it has and this entry has not.
    pub(super) fn request_missing(&mut self, now: Timestamp) {
        for topic in Topic::ALL {
            let asked = self.values.requested.get(&topic);
            if asked.is_some_and(|at| now.since(*at) < REQUEST_TIMEOUT) {
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

    pub(super) fn send_delta(&mut self, to: &Arc<str>, topic: Topic, base: u64, revision: u64) {
        let delta = match topic {
            Topic::Settings => self.values.settings.delta(revision, base),
            Topic::Hosts => self.values.hosts.delta(revision, base),
        };
        if let Some(delta) = delta {
            self.send(to, &Body::Delta(delta));
        }
    }

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

    fn peer_revisions(&self, topic: Topic) -> impl Iterator<Item = (&Arc<str>, Revisions)> {
        let live = self.members.iter().filter(|(_, m)| m.state != PeerState::Gone);
        live.map(move |(host, m)| match topic {
            Topic::Settings => (host, m.settings),
            Topic::Hosts => (host, m.hosts),
        })
    }
}

fn missing_revision(own: Revisions, theirs: Revisions) -> Option<u64> {
    if theirs.accepted > own.accepted {
        return Some(theirs.accepted);
    }
    (theirs.seen > own.seen).then_some(theirs.seen)
}

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
