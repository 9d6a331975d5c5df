//! Messages between entries.
//!
//! What is new goes at once along the rings, each entry passing it on once. Digests on pings and
//! acknowledgements show what was lost on the way, and summaries bring it.

use super::{
    envelope::{MessageError, open},
    member::{Member, Standing},
    message::{Accusation, Body, Header, News, Record, Sighting, Topic, Version},
    monitor::MISSES_ALLOWED,
    node::{Action, Fleet},
    rings,
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Records that one message carries at most.
const RECORDS_PER_MESSAGE: usize = 64;
/// Pings with another digest after which a summary is sent.
const MISMATCHES_ALLOWED: u32 = 2;
/// Time between refutations of one entry.
const REFUTE_PAUSE: Duration = Duration::from_millis(400);
/// Bytes per second that summaries may take.
const SUMMARY_BYTES_PER_S: u64 = 1_000;
const SUMMARY_BYTES_PER_MEMBER: u64 = 24;

impl Fleet {
    /// Takes in a message.
    ///
    /// # Errors
    ///
    /// [`MessageError`] when it was dropped.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), MessageError> {
        let (header, body) = open(&self.key, bytes)?;
        let mine = header.to.is_empty() || header.to == self.own.host;
        if !mine || header.from == self.own.host {
            return Err(MessageError::Misdirected);
        }
        if let Err(e) = self.guard.admit(&header) {
            if e == MessageError::Superseded {
                self.tell_superseded(now, &header);
            }
            return Err(e);
        }
        self.take(now, &header.from, body);
        self.settle();
        Ok(())
    }

    fn take(&mut self, now: Timestamp, from: &Arc<str>, body: Body) {
        match body {
            Body::Ping { probe, missed, news } => {
                let digest = news.digest;
                self.take_news(now, from, news);
                self.doubt(from, missed);
                self.acknowledge(from, probe, digest);
                self.compare(now, from, digest);
            }
            Body::Ack { probe, news } => {
                let digest = news.digest;
                self.take_news(now, from, news);
                if self.monitor.acknowledge(from, probe) {
                    self.heard(now, from);
                }
                self.compare(now, from, digest);
            }
            Body::Rumor(news) => self.take_news(now, from, news),
            Body::Want { topic, base, revision } => self.give(from, topic, base, revision),
            Body::Document(document) => self.take_document(now, from, &document),
            Body::Summary { versions, gone, sightings, reply } => {
                self.take_gone(now, from, &gone);
                self.take_summary(from, versions.into_iter().chain(gone), &sightings);
                if reply {
                    self.send_summary(from, false);
                }
            }
            Body::Slots(slots) => {
                self.told.extend(slots.iter().map(|(service, _)| Arc::clone(service)));
                self.slots.hear(now, from, slots);
            }
        }
    }

    fn take_news(&mut self, now: Timestamp, from: &Arc<str>, news: News) {
        let mut records = Vec::new();
        let mut moved = false;
        for record in news.records {
            if record.host == self.own.host {
                self.take_own(&record);
                continue;
            }
            let before = self.members.get(&record.host).map(Member::role);
            if self.members.record(now, &record) {
                moved |= before != self.members.get(&record.host).map(Member::role);
                records.push(record);
            }
        }
        let mut accusations = Vec::new();
        for accusation in news.accusations {
            if accusation.host == self.own.host {
                self.refute(now, accusation.version);
            } else if self.members.accuse(now, &accusation) {
                accusations.push(accusation);
            }
        }
        let mut sightings = news.sightings;
        sightings.retain(|s| self.leaving.sight(s));
        self.changed |= !records.is_empty() || !sightings.is_empty();
        if moved {
            self.place();
        }
        if let Some(member) = self.members.get_mut(from) {
            member.settings = news.settings;
            member.hosts = news.hosts;
        }
        if !(records.is_empty() && accusations.is_empty() && sightings.is_empty()) {
            let news = self.news_with(records, accusations, sightings);
            self.flood(Some(from), news);
        }
        self.want(now);
    }

    /// This entry and `from` reach each other.
    fn heard(&mut self, now: Timestamp, from: &Arc<str>) {
        if self.values.heard_peer.is_none() {
            self.send_summary(from, true);
        }
        self.values.heard_peer = Some(now);
        self.joined = true;
        self.roll_call.answer(from);
        self.members.acquit(from);
        if self.members.get(from).is_some_and(|m| m.standing == Standing::Gone) {
            self.beat.heal();
        }
    }

    /// The peer is heard, but does not hear: the connection to it may be silent.
    fn doubt(&mut self, from: &Arc<str>, missed: u32) {
        if missed == 0 || !missed.is_multiple_of(MISSES_ALLOWED) {
            return;
        }
        if let Some(member) = self.members.get(from) {
            self.out.push(Action::Redial(member.addresses().peers));
        }
    }

    fn acknowledge(&mut self, to: &Arc<str>, probe: u64, digest: u64) {
        let records = if digest == self.digest() { Vec::new() } else { vec![self.own.clone()] };
        let accusations = self.accusation(to).into_iter().collect();
        let news = self.news_with(records, accusations, Vec::new());
        self.send(to, &Body::Ack { probe, news });
    }

    /// The accusation that `host` has to refute to be alive again for this entry.
    pub(super) fn accusation(&self, host: &Arc<str>) -> Option<Accusation> {
        let member = self.members.get(host)?;
        if !matches!(member.standing, Standing::Suspect | Standing::Gone) {
            return None;
        }
        let (host, accuser) = (Arc::clone(host), Arc::clone(&self.own.host));
        Some(Accusation { host, version: member.record.version, accuser })
    }

    /// Another record of this host was heard.
    fn take_own(&mut self, record: &Record) {
        let version = record.version;
        if version.generation > self.own.version.generation {
            if !self.joined {
                self.own.version = Version { generation: version.generation + 1, change: 1 };
                self.renew();
            } else if !self.superseded {
                self.superseded = true;
                self.step(super::lifecycle::LifecycleEvent::Superseded);
            }
        } else if version > self.own.version {
            self.own.version.change = version.change;
            self.renew();
        }
    }

    fn refute(&mut self, now: Timestamp, accused: Version) {
        let old = accused.generation < self.own.version.generation;
        if old || accused < self.own.version || !self.beat.may_refute(now, REFUTE_PAUSE) {
            return;
        }
        self.own.version.change = self.own.version.change.max(accused.change);
        self.renew();
    }

    fn tell_superseded(&mut self, now: Timestamp, header: &Header) {
        let Some(member) = self.members.get(&header.from) else { return };
        let record = member.record.clone();
        if record.version.generation <= header.generation || !self.beat.may_tell(now) {
            return;
        }
        let news = self.news_with(vec![record], Vec::new(), Vec::new());
        self.send(&header.from, &Body::Rumor(news));
    }

    fn compare(&mut self, now: Timestamp, from: &Arc<str>, digest: u64) {
        if digest == self.digest() {
            self.beat.mismatches.swap_remove(from);
            return;
        }
        let count = self.beat.mismatches.entry(Arc::clone(from)).or_default();
        *count += 1;
        if *count < MISMATCHES_ALLOWED {
            return;
        }
        let members = self.members.iter().count() as u64;
        let pause = Duration::from_secs(1).max(Duration::from_millis(
            members * SUMMARY_BYTES_PER_MEMBER * 1_000 / SUMMARY_BYTES_PER_S,
        ));
        if self.beat.may_summarize(now, pause) {
            self.beat.mismatches.swap_remove(from);
            self.send_summary(from, true);
        }
    }

    fn send_summary(&mut self, to: &Arc<str>, reply: bool) {
        let mut versions = vec![(Arc::clone(&self.own.host), self.own.version)];
        let mut gone = Vec::new();
        for (host, member) in self.members.iter().filter(|(_, m)| m.is_heard()) {
            let version = (Arc::clone(host), member.record.version);
            if member.standing == Standing::Gone {
                gone.push(version)
            } else {
                versions.push(version)
            }
        }
        let sightings = self.leaving.sightings().collect();
        self.send(to, &Body::Summary { versions, gone, sightings, reply });
    }

    /// A peer tells whom it has given up. Those that live get a chance to refute.
    fn take_gone(&mut self, now: Timestamp, from: &Arc<str>, gone: &[(Arc<str>, Version)]) {
        let mut fresh = Vec::new();
        for (host, version) in gone {
            let (host, accuser) = (Arc::clone(host), Arc::clone(from));
            let accusation = Accusation { host, version: *version, accuser };
            if accusation.host == self.own.host {
                self.refute(now, *version);
            } else if self.members.give_up(now, &accusation) {
                fresh.push(accusation);
            }
        }
        if !fresh.is_empty() {
            let news = self.news_with(Vec::new(), fresh, Vec::new());
            self.flood(Some(from), news);
        }
    }

    /// A peer tells what it knows: it gets what it lacks.
    fn take_summary<Versions>(&mut self, from: &Arc<str>, versions: Versions, theirs: &[Sighting])
    where
        Versions: Iterator<Item = (Arc<str>, Version)>,
    {
        let versions: IndexMap<_, _> = versions.collect();
        let newer = |r: &&Record| versions.get(&r.host).is_none_or(|v| *v < r.version);
        let live =
            self.members.iter().filter(|(_, m)| m.standing != Standing::Gone && m.is_heard());
        let records: Vec<Record> =
            live.map(|(_, m)| &m.record).chain([&self.own]).filter(newer).cloned().collect();
        let theirs: IndexSet<_> = theirs.iter().collect();
        let sightings: Vec<_> = self.leaving.sightings().filter(|s| !theirs.contains(s)).collect();
        let fresh: Vec<_> = theirs.into_iter().filter(|s| self.leaving.sight(s)).cloned().collect();
        if !fresh.is_empty() {
            self.changed = true;
            let news = self.news_with(Vec::new(), Vec::new(), fresh);
            self.flood(Some(from), news);
        }
        let mut chunks = records.chunks(RECORDS_PER_MESSAGE);
        let first = chunks.next().unwrap_or_default().to_vec();
        if !first.is_empty() || !sightings.is_empty() {
            let news = self.news_with(first, Vec::new(), sightings);
            self.send(from, &Body::Rumor(news));
        }
        for chunk in chunks {
            let news = self.news_with(chunk.to_vec(), Vec::new(), Vec::new());
            self.send(from, &Body::Rumor(news));
        }
    }

    pub(super) fn news(&self) -> News {
        self.news_with(Vec::new(), Vec::new(), Vec::new())
    }

    pub(super) fn news_with(
        &self,
        records: Vec<Record>,
        accusations: Vec<Accusation>,
        sightings: Vec<Sighting>,
    ) -> News {
        let settings = self.shelf_heads(Topic::Settings);
        let hosts = self.shelf_heads(Topic::Hosts);
        News { settings, hosts, digest: self.digest(), records, accusations, sightings }
    }

    /// Tells the next members on the rings.
    pub(super) fn flood(&mut self, except: Option<&Arc<str>>, news: News) {
        let successors = rings::successors(&self.own.host, &self.members.ring());
        self.tell(successors, except, news);
    }

    /// Tells the previous members on the rings.
    pub(super) fn tell_predecessors(&mut self, news: News) {
        let predecessors = rings::predecessors(&self.own.host, &self.members.ring());
        self.tell(predecessors, None, news);
    }

    fn tell(&mut self, to: Vec<Arc<str>>, except: Option<&Arc<str>>, news: News) {
        let body = Body::Rumor(news);
        for host in to.iter().filter(|h| Some(*h) != except) {
            self.send(host, &body);
        }
    }
}
