//! Published values: settings and host list, from the platform or from peers.

use super::{
    leaving::Listed,
    lifecycle::Lifecycle,
    member::Standing,
    message::{Addresses, Body, Condition, Document, Heads, Record, Topic, Version},
    node::Fleet,
    shelf::{Shelf, Verdict},
};
use crate::Timestamp;
use azuretally_api::platform::{HostList, HostRecord, HostState, Role};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use rand::RngExt;
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Entries in each failure domain that watch the platform; the others hear from their peers.
pub const WATCHERS: usize = 3;

const WANT_LIMIT: Duration = Duration::from_millis(300);
const ALONE_AFTER: Duration = Duration::from_millis(1_500);

/// Published values and where they may come from.
#[derive(Clone, Debug)]
pub(super) struct Values {
    pub(super) settings: Shelf<PublishedSettings>,
    pub(super) hosts: Shelf<HostList>,
    pub(super) since: Timestamp,
    pub(super) started: Timestamp,
    pub(super) heard_peer: Option<Timestamp>,
    pub(super) heard_platform: Option<Timestamp>,
    wanted: IndexMap<Topic, Timestamp>,
}

impl Values {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            settings: Shelf::new(Topic::Settings, check_settings),
            hosts: Shelf::new(Topic::Hosts, check_hosts),
            since: now,
            started: now,
            heard_peer: None,
            heard_platform: None,
            wanted: IndexMap::new(),
        }
    }

    pub(super) fn forget_contact(&mut self) {
        self.heard_peer = None;
        self.heard_platform = None;
        self.wanted.clear();
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
    pub fn platform(&mut self, now: Timestamp, topic: Topic, revision: u64, text: &str) -> Verdict {
        self.platform_contact(now);
        self.offer(now, topic, revision, text)
    }

    /// The platform answered that there is nothing new.
    pub fn platform_contact(&mut self, now: Timestamp) {
        self.values.heard_platform = Some(now);
    }

    /// Whether this entry is to watch the platform: it is one of a few in its failure domain, it
    /// has nothing to serve by, or it does not hear its peers.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        let lonely = self.values.heard_peer.is_none_or(|heard| now.since(heard) > ALONE_AFTER);
        if lonely || matches!(self.state, Lifecycle::Starting | Lifecycle::Stale) {
            return true;
        }
        let weight = |host: &str| xxh3_64(host.as_bytes());
        let own = weight(&self.own.host);
        let before = self.members.iter().filter(|(host, m)| {
            m.record.failure_domain == self.own.failure_domain
                && m.standing == Standing::Alive
                && m.record.condition == Condition::Ready
                && weight(host) < own
        });
        before.count() < WATCHERS
    }

    /// Whether the settings in force are the latest that any live peer told of, and peers had
    /// their chance to tell.
    pub(super) fn is_current(&self, now: Timestamp) -> bool {
        let accepted = self.values.settings.heads().accepted;
        let asked =
            self.values.heard_peer.is_some() || now.since(self.values.started) >= ALONE_AFTER;
        let latest = self.live_heads(Topic::Settings).map(|(_, h)| h.accepted).max();
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
        self.changed = true;
        if verdict == Verdict::Accepted {
            match topic {
                Topic::Settings => self.values.since = now,
                Topic::Hosts => self.take_list(now),
            }
            self.place();
        }
        let news = self.news();
        self.tell_predecessors(news.clone());
        self.flood(None, news);
        verdict
    }

    fn take_list(&mut self, now: Timestamp) {
        let Some(list) = self.values.hosts.accepted() else { return };
        let list = Arc::clone(&list.value);
        let entries: IndexMap<_, _> = list.hosts.iter().filter_map(entry).collect();
        self.listed = list.hosts.iter().filter_map(target).collect();
        self.leaving.list(&self.listed);
        let alone = self.members.iter().next().is_none();
        self.members.list(now, &entries);
        if alone {
            self.beat.start(now);
        }
        self.settle();
    }

    /// Asks a peer for values that it has and this entry has not.
    pub(super) fn want(&mut self, now: Timestamp) {
        for topic in Topic::ALL {
            let asked = self.values.wanted.get(&topic);
            if asked.is_some_and(|at| now.since(*at) < WANT_LIMIT) {
                continue;
            }
            let own = self.shelf_heads(topic);
            let ahead: Vec<(Arc<str>, u64)> = self
                .live_heads(topic)
                .filter_map(|(host, heads)| Some((Arc::clone(host), missing(own, heads)?)))
                .collect();
            if ahead.is_empty() {
                continue;
            }
            let (host, revision) = &ahead[self.random.random_range(0..ahead.len())];
            let body = Body::Want { topic, base: own.accepted, revision: *revision };
            self.values.wanted.insert(topic, now);
            self.send(host, &body);
        }
    }

    pub(super) fn give(&mut self, to: &Arc<str>, topic: Topic, base: u64, revision: u64) {
        let document = match topic {
            Topic::Settings => self.values.settings.document(revision, base),
            Topic::Hosts => self.values.hosts.document(revision, base),
        };
        if let Some(document) = document {
            self.send(to, &Body::Document(document));
        }
    }

    pub(super) fn take_document(&mut self, now: Timestamp, from: &Arc<str>, document: &Document) {
        let topic = document.topic;
        let text = match topic {
            Topic::Settings => self.values.settings.restore(document),
            Topic::Hosts => self.values.hosts.restore(document),
        };
        self.values.wanted.shift_remove(&topic);
        match text {
            Some(text) => {
                self.offer(now, topic, document.revision, &text);
                self.want(now);
            }
            None if document.base != 0 => {
                let body = Body::Want { topic, base: 0, revision: document.revision };
                self.send(from, &body);
            }
            None => {}
        }
    }

    fn live_heads(&self, topic: Topic) -> impl Iterator<Item = (&Arc<str>, Heads)> {
        let live = self.members.iter().filter(|(_, m)| m.standing != Standing::Gone);
        live.map(move |(host, m)| match topic {
            Topic::Settings => (host, m.settings),
            Topic::Hosts => (host, m.hosts),
        })
    }
}

fn missing(own: Heads, theirs: Heads) -> Option<u64> {
    if theirs.accepted > own.accepted {
        return Some(theirs.accepted);
    }
    (theirs.seen > own.seen).then_some(theirs.seen)
}

fn entry(h: &HostRecord) -> Option<(Arc<str>, (Record, bool))> {
    let Role::Entry { calls, peers, .. } = h.role else { return None };
    let host: Arc<str> = Arc::from(&*h.host);
    let record = Record {
        host: Arc::clone(&host),
        failure_domain: Arc::from(&*h.failure_domain),
        addresses: Addresses { calls, peers },
        version: Version::default(),
        condition: Condition::Unready,
        token: String::new(),
        wanted: Vec::new(),
    };
    Some((host, (record, h.state == HostState::Leaving)))
}

fn target(h: &HostRecord) -> Option<(Arc<str>, Listed)> {
    let Role::Target { .. } = h.role else { return None };
    let target: Arc<str> = Arc::from(&*h.host);
    let listed = Listed {
        target: Arc::clone(&target),
        incarnation: h.incarnation.as_deref().map(Arc::from),
        leaving: h.state == HostState::Leaving,
    };
    Some((target, listed))
}
