//! What this gateway believes of settings and targets, and how sure that is.
//!
//! Belief comes from the platform or from a peer that read it later. It is ordered by the
//! platform's revision, so it never goes back, whoever brings it. Records that vanish right after
//! the platform was out of reach are kept for a while: they may have lapsed only because their
//! targets could not renew them.

use super::routes::PublishedSettings;
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, mem, net::SocketAddr, sync::Arc, time::Duration};

/// Silence of the platform after which records that are missing may have lapsed without reason.
/// Two signs of life of a target, which come every 1.5 s.
const OUTAGE: Duration = Duration::from_secs(3);
/// Vanished targets that are remembered for peers that lag behind.
const VANISHED: usize = 4_096;
/// Time that targets have to appear again after such a silence: two seconds and the time of a read.
const RETURN: Duration = Duration::from_millis(2_300);

/// One target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target, which it may keep over a restart.
    pub name: Arc<str>,
    /// When the process started, in ms of its own clock; tells processes of one name apart.
    pub started: Option<u64>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How long it stays slow after its start, counted from when it said so.
    pub warmup: Duration,
}

impl TargetRecord {
    /// Whether `other` tells of the same process in the same condition, warm-up aside.
    fn is_same(&self, other: &Self) -> bool {
        Self { warmup: other.warmup, ..self.clone() } == *other
    }
}

/// A target with the time at which its record came.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    /// The record.
    pub record: Arc<TargetRecord>,
    /// When it was read here.
    pub read: Timestamp,
    /// Revision with which it came.
    pub revision: u64,
    /// Set while the record is missing and may come back.
    pub missing_since: Option<Timestamp>,
}

/// One change that the platform reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Settings were published.
    Published(PublishedSettings),
    /// A target wrote its record.
    Target(TargetRecord),
    /// The record of a target was removed, or is not of its form.
    Gone(Arc<str>),
}

/// All that is known, to be passed on to a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the platform up to which it holds.
    pub revision: u64,
    /// Settings in force.
    pub published: Option<PublishedSettings>,
    /// Targets that are listed.
    pub targets: Vec<TargetRecord>,
}

/// What one gateway tells another one that knows everything up to some revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatalogUpdate {
    /// All that is known.
    Full(Snapshot),
    /// What changed since.
    Changes {
        /// Revision of the platform up to which it holds.
        revision: u64,
        /// The changes.
        changes: Vec<Change>,
    },
}

/// Where a belief came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read from the platform.
    Platform,
    /// Told by a peer that read it this long ago.
    Peer(Duration),
}

/// Belief of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: u64,
    /// Revision of the last change that matters to others, signs of life aside.
    content_revision: u64,
    published: Option<Arc<PublishedSettings>>,
    /// Revision with which the settings came.
    published_at: u64,
    targets: IndexMap<Arc<str>, ListedTarget>,
    /// Targets that vanished, with the revision of the news, the last one at the end.
    vanished: VecDeque<(u64, Arc<str>)>,
    /// Revision up to which vanished targets are not remembered.
    forgotten: u64,
    /// When the belief was true, by the last answer of the platform.
    fresh: Option<Timestamp>,
    /// Until when missing records are kept.
    lenient_until: Timestamp,
    log_lines: Vec<String>,
}

impl Catalog {
    /// Revision of the platform up to which the belief holds.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the last change beyond signs of life.
    pub fn content_revision(&self) -> u64 {
        self.content_revision
    }

    /// Settings in force.
    pub fn published(&self) -> Option<&Arc<PublishedSettings>> {
        self.published.as_ref()
    }

    /// Targets that calls may still be sent to, those that are leaving included.
    pub fn targets(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values()
    }

    /// Age of the belief, nothing before the first answer of the platform.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.fresh.map(|at| now.since(at))
    }

    /// Lines for the log on what changed since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        mem::take(&mut self.log_lines)
    }

    /// Takes in changes up to `revision`. Returns whether anything beyond signs of life changed.
    pub fn apply(
        &mut self,
        now: Timestamp,
        revision: u64,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        self.refresh(now, source);
        if revision <= self.revision {
            return false;
        }
        let before = self.content_revision;
        self.revision = revision;
        for change in changes {
            match change {
                Change::Published(published) => self.publish(published),
                Change::Target(record) => self.list(now, record),
                Change::Gone(name) => self.miss(now, &name),
            }
        }
        self.content_revision != before
    }

    /// Takes in everything that the platform lists at `revision`. Returns whether anything beyond
    /// signs of life changed.
    pub fn relist(
        &mut self,
        now: Timestamp,
        revision: u64,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        let mut snapshot = Snapshot { revision, published: None, targets: Vec::new() };
        for change in changes {
            match change {
                Change::Published(published) => snapshot.published = Some(published),
                Change::Target(record) => snapshot.targets.push(record),
                Change::Gone(_) => {}
            }
        }
        self.apply_snapshot(now, snapshot, source)
    }

    /// Takes in a whole picture. Returns whether anything beyond signs of life changed.
    pub fn apply_snapshot(&mut self, now: Timestamp, snapshot: Snapshot, source: Source) -> bool {
        self.refresh(now, source);
        if snapshot.revision < self.revision || (self.revision > 0 && snapshot.revision == 0) {
            return false;
        }
        let before = self.content_revision;
        if self.revision == 0 {
            // What vanished before the first picture is not known here.
            self.forgotten = snapshot.revision;
        }
        self.revision = snapshot.revision;
        let listed: IndexSet<&Arc<str>> = snapshot.targets.iter().map(|r| &r.name).collect();
        let missing: Vec<Arc<str>> =
            self.targets.keys().filter(|name| !listed.contains(name)).cloned().collect();
        for name in missing {
            self.miss(now, &name);
        }
        for record in snapshot.targets {
            self.list(now, record);
        }
        if let Some(published) = snapshot.published {
            self.publish(published);
        }
        self.content_revision != before
    }

    /// Drops records whose time to come back is over. Returns whether there were any.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let until = self.lenient_until;
        let count = self.targets.len();
        let log_lines = &mut self.log_lines;
        self.targets.retain(|name, listed| {
            let over = listed.missing_since.is_some() && now >= until;
            if over {
                log_lines.push(format!("target {name} did not come back; gone"));
            }
            !over
        });
        if self.targets.len() == count {
            return false;
        }
        self.content_revision = self.revision;
        true
    }

    /// All that is known.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            published: self.published.as_deref().cloned(),
            targets: self
                .targets
                .values()
                .filter(|l| l.missing_since.is_none())
                .map(|l| TargetRecord::clone(&l.record))
                .collect(),
        }
    }

    /// What a gateway has to be told that knows everything up to `revision`.
    pub fn update_since(&self, revision: u64) -> CatalogUpdate {
        if revision == 0 || revision < self.forgotten {
            return CatalogUpdate::Full(self.snapshot());
        }
        let mut changes = Vec::new();
        if let Some(published) = &self.published
            && self.published_at > revision
        {
            changes.push(Change::Published(published.as_ref().clone()));
        }
        let present =
            |name: &Arc<str>| self.targets.get(name).is_some_and(|l| l.missing_since.is_none());
        let vanished = self.vanished.iter().filter(|(at, name)| *at > revision && !present(name));
        changes.extend(vanished.map(|(_, name)| Change::Gone(Arc::clone(name))));
        let listed = self.targets.values().filter(|l| l.revision > revision);
        let listed = listed.filter(|l| l.missing_since.is_none());
        changes.extend(listed.map(|l| Change::Target(TargetRecord::clone(&l.record))));
        CatalogUpdate::Changes { revision: self.revision, changes }
    }

    /// Takes in what a peer told. Returns whether anything beyond signs of life changed.
    pub fn apply_update(&mut self, now: Timestamp, update: CatalogUpdate, source: Source) -> bool {
        match update {
            CatalogUpdate::Full(snapshot) => self.apply_snapshot(now, snapshot, source),
            CatalogUpdate::Changes { revision, changes } => {
                self.apply(now, revision, changes, source)
            }
        }
    }

    fn vanish(&mut self, name: &Arc<str>) {
        self.vanished.push_back((self.revision, Arc::clone(name)));
        if self.vanished.len() > VANISHED {
            let oldest = self.vanished.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |(at, _)| at);
        }
    }

    fn refresh(&mut self, now: Timestamp, source: Source) {
        let true_at = match source {
            Source::Platform => now,
            Source::Peer(age) => now - age,
        };
        // The first read is no return from an outage: nothing is known that could be missing.
        if self.fresh.is_some_and(|at| true_at.since(at) > OUTAGE) {
            self.lenient_until = now + RETURN;
            self.log_lines
                .push("platform is back; missing targets are kept for a while".to_owned());
        }
        self.fresh = self.fresh.max(Some(true_at));
    }

    fn publish(&mut self, published: PublishedSettings) {
        let current = self.published.as_ref().map_or(0, |p| p.version);
        if published.version <= current {
            if published.version < current {
                self.log_lines.push(format!(
                    "settings version={} are older than {current}; kept",
                    published.version
                ));
            }
            return;
        }
        self.log_lines.push(format!(
            "settings version={} in force, before {current}, routes={}",
            published.version,
            published.routes.len()
        ));
        self.published = Some(Arc::new(published));
        self.published_at = self.revision;
        self.content_revision = self.revision;
    }

    fn list(&mut self, now: Timestamp, record: TargetRecord) {
        let known = self.targets.get(&record.name);
        let same = known.is_some_and(|l| l.record.is_same(&record) && l.missing_since.is_none());
        if same {
            return;
        }
        self.log_lines.push(format!(
            "target {} service={} address={} domain={} version={} leaving={} warmup={:?} known={}",
            record.name,
            record.service,
            record.address,
            record.failure_domain,
            record.version,
            record.leaving,
            record.warmup,
            known.is_some(),
        ));
        let name = Arc::clone(&record.name);
        let listed = ListedTarget {
            record: Arc::new(record),
            read: now,
            revision: self.revision,
            missing_since: None,
        };
        self.targets.insert(name, listed);
        self.content_revision = self.revision;
    }

    fn miss(&mut self, now: Timestamp, name: &Arc<str>) {
        if !self.targets.contains_key(name) {
            return;
        }
        self.vanish(name);
        let Some(listed) = self.targets.get_mut(name) else { return };
        if now < self.lenient_until && !listed.record.leaving {
            if listed.missing_since.is_none() {
                listed.missing_since = Some(now);
                self.log_lines.push(format!("target {name} is missing after an outage; kept"));
            }
            return;
        }
        self.targets.swap_remove(name);
        self.log_lines.push(format!("target {name} is gone"));
        self.content_revision = self.revision;
    }
}
