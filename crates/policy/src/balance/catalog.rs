//! Catalog of settings and targets as this gateway knows them.
//!
//! Data comes from the platform, or from a peer with a later platform revision. It is ordered by
//! that revision and never reverts to an earlier one, whichever source delivers it. Targets that
//! disappear right after an outage of the platform are kept for a grace period: their records may
//! have expired only because the targets could not renew them.
//!
//! The first data of a later era is that of a copy, which lacks the latest changes until they are
//! written again. Settings are ordered by their own version in all eras. Targets that the copy lacks
//! are kept for the grace period, and records of the copy that are known to be outdated are not used
//! ([`RestoredRecords`]).

mod cold;

use super::{
    evacuation::{EvacuationNotice, Evacuations},
    records::{CatalogUpdate, Change, Snapshot, TargetRecord},
    restore::RestoredRecords,
    revision::Revision,
    routes::{CallerLimits, PublishedSettings},
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, mem, sync::Arc, time::Duration};

/// Time without an answer from the platform after which missing records may have expired wrongly.
/// It covers two heartbeats of a target, which are sent every 1.5 s.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(3);
/// Removed targets that are remembered for peers that lag behind.
const MAX_REMOVED: usize = 4_096;
/// Time that targets have to reappear after an outage: two seconds and the duration of a read.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);

/// Target with the time and revision at which its record was read.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    /// Record of the target.
    pub record: Arc<TargetRecord>,
    /// When this gateway read the record.
    pub read: Timestamp,
    /// Platform revision at which the record was read.
    pub revision: Revision,
    /// Set while the record is missing but kept for the grace period.
    pub missing_since: Option<Timestamp>,
}

/// Source of catalog data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read from the platform.
    Platform,
    /// Received from a peer that last confirmed it with the platform this long ago.
    Peer(Duration),
}

/// Target that the platform no longer lists.
#[derive(Clone, Debug)]
struct RemovedTarget {
    /// Revision of the removal.
    revision: Revision,
    name: Arc<str>,
    /// Start time of its last process, if that was known.
    started: Option<u64>,
}

/// Settings and targets as one gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: Revision,
    /// Revision of the last change other than a target heartbeat.
    content_revision: Revision,
    /// Number of changes other than target heartbeats.
    content_changes: u64,
    published: Option<Arc<PublishedSettings>>,
    /// Platform revision at which the settings were read.
    settings_revision: Revision,
    /// Version of the settings whose rates of cold targets are known.
    rates_version: u64,
    /// Version of the last older settings that were reported as ignored.
    ignored_version: u64,
    targets: IndexMap<Arc<str>, ListedTarget>,
    /// Removed targets, the latest at the end.
    removed: VecDeque<RemovedTarget>,
    /// Revision since which removed targets are remembered for peers.
    removed_since: Revision,
    /// When the platform last confirmed the data.
    confirmed: Option<Timestamp>,
    /// End of the grace period for missing records.
    grace_until: Timestamp,
    /// Records that a restored platform lists although they are known to be outdated.
    outdated: RestoredRecords,
    evacuations: Evacuations,
    log_lines: Vec<String>,
}

impl Catalog {
    /// Returns the platform revision up to which the data is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change other than a target heartbeat.
    pub fn content_revision(&self) -> Revision {
        self.content_revision
    }

    /// Returns the current settings.
    pub fn published(&self) -> Option<&Arc<PublishedSettings>> {
        self.published.as_ref()
    }

    /// Returns the version of the current settings, 0 if there are none.
    pub fn settings_version(&self) -> u64 {
        self.published.as_ref().map_or(0, |p| p.version)
    }

    /// Returns all known targets, including those that are leaving.
    pub fn targets(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values()
    }

    /// Returns whether the record of the target has been written since the latest list, so that its
    /// process has lived since then. What a list contains may be the record of one that has ended.
    pub fn is_written(&self, listed: &ListedTarget) -> bool {
        listed.revision > self.removed_since
    }

    /// Returns the time since the platform last confirmed the data, `None` before the first read.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns the log lines on changes since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        self.log_lines.append(&mut self.evacuations.take_log_lines());
        mem::take(&mut self.log_lines)
    }

    /// Applies changes up to `revision`. Returns whether anything other than target heartbeats
    /// changed. Changes of another era are ignored: what came before them is not known.
    pub fn apply(
        &mut self,
        now: Timestamp,
        revision: Revision,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        if revision.era != self.revision.era || revision < self.revision {
            return false;
        }
        self.confirm(now, source);
        let before = self.content_changes;
        let is_later = revision > self.revision;
        self.revision = revision;
        for change in changes {
            match change {
                Change::Published(published) => self.apply_settings(published, source),
                // Settings and evacuations have orders of their own; all else is known.
                Change::Evacuation { domain, active } if source == Source::Platform => {
                    if self.evacuations.write(revision, &domain, active) {
                        self.record_change();
                    }
                }
                _ if !is_later => {}
                Change::Target(record) => {
                    self.outdated.take(&record.name);
                    // Peers may know an earlier process from the copy, although this one is known here.
                    let is_first = self.outdated.confirm(now, &record.name);
                    self.apply_record(now, record, is_first);
                }
                Change::Gone(name) => self.remove_target(now, &name),
                Change::Evacuation { .. } => {}
            }
        }
        if source == Source::Platform {
            self.evacuations.complete_until(revision);
        }
        self.content_changes != before
    }

    /// Replaces the contents with everything that the platform lists at `revision`. Returns whether
    /// anything other than target heartbeats changed.
    pub fn relist(
        &mut self,
        now: Timestamp,
        revision: Revision,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        let mut snapshot =
            Snapshot { revision: revision.number, published: None, targets: Vec::new() };
        let mut evacuated = IndexSet::new();
        for change in changes {
            match change {
                Change::Published(published) => snapshot.published = Some(published),
                Change::Target(record) => snapshot.targets.push(record),
                Change::Evacuation { domain, active: true } => {
                    evacuated.insert(domain);
                }
                Change::Gone(_) | Change::Evacuation { .. } => {}
            }
        }
        let changed = self.apply_snapshot(now, revision.era, snapshot, source);
        // A list that is older than other data may be the latest on evacuations: peers of earlier builds
        // deliver the data without them.
        let is_new =
            revision.era == self.revision.era && self.evacuations.list(revision, evacuated);
        if is_new {
            self.record_change();
        }
        changed || is_new
    }

    /// Replaces the contents with a snapshot of `era`. Returns whether anything other than target
    /// heartbeats changed.
    pub fn apply_snapshot(
        &mut self,
        now: Timestamp,
        era: u64,
        snapshot: Snapshot,
        source: Source,
    ) -> bool {
        let revision = Revision::new(era, snapshot.revision);
        let before = self.content_changes;
        let is_older = revision < self.revision || !revision.may_follow(self.revision);
        if is_older || (revision.is_unknown() && !self.revision.is_unknown()) {
            // A gateway that read the copy may lack settings that others know from an earlier era.
            if let Some(published) = snapshot.published {
                self.apply_settings(published, source);
            }
            return self.content_changes != before;
        }
        self.confirm(now, source);
        let is_new_era = era > self.revision.era;
        // Of the targets that were removed up to this snapshot, only those known here are remembered.
        self.removed_since = revision;
        if is_new_era {
            self.begin_era(now, revision);
        } else if revision > self.revision && self.outdated.is_pending(now) {
            // The list may lack targets that peers know from the copy.
            self.record_change();
        }
        self.revision = revision;
        let listed: IndexSet<&Arc<str>> = snapshot.targets.iter().map(|r| &r.name).collect();
        let known = self.targets.keys().chain(self.outdated.names());
        let missing: Vec<Arc<str>> = known.filter(|name| !listed.contains(name)).cloned().collect();
        for name in missing {
            self.remove_target(now, &name);
        }
        // Until outdated records have expired, also a later list may be that of the copy.
        let may_be_outdated = self.outdated.is_pending(now);
        for record in snapshot.targets {
            if self.outdated.contains(&record) || (may_be_outdated && self.is_outdated(&record)) {
                self.outdated.insert(record);
            } else {
                self.outdated.take(&record.name);
                self.apply_record(now, record, false);
            }
        }
        if let Some(published) = snapshot.published {
            self.apply_settings(published, source);
        }
        self.content_changes != before
    }

    /// Drops missing targets whose grace period is over, and uses the records of a restored platform
    /// that were not removed in time. Returns whether there were any.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let before = self.content_changes;
        for record in self.outdated.take_due(now) {
            // The process that a known target has now is later than the one of the copy, or leaving.
            if !self.targets.contains_key(&record.name) {
                self.apply_record(now, record, false);
            }
        }
        if self.evacuations.settle(now) {
            self.record_change();
        }
        let released = self.content_changes != before;
        let until = self.grace_until;
        let count = self.targets.len();
        let log_lines = &mut self.log_lines;
        self.targets.retain(|name, listed| {
            let expired = listed.missing_since.is_some() && now >= until;
            if expired {
                log_lines.push(format!("target {name} did not reappear after an outage; removed"));
            }
            !expired
        });
        if self.targets.len() == count {
            return released;
        }
        self.record_change();
        true
    }

    /// Returns the complete contents, except targets that are missing.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision.number,
            published: self.published.as_deref().cloned(),
            targets: self
                .targets
                .values()
                .filter(|l| l.missing_since.is_none())
                .map(|l| TargetRecord::clone(&l.record))
                .collect(),
        }
    }

    /// Returns the update for a peer that knows everything up to `revision`, and has settings
    /// `version` if it says so.
    pub fn update_since(&self, revision: Revision, version: Option<u64>) -> CatalogUpdate {
        let is_other_era = revision.era != self.revision.era;
        if revision.is_unknown() || is_other_era || revision < self.removed_since {
            return CatalogUpdate::Full(self.snapshot());
        }
        let mut changes = Vec::new();
        let is_later = |published: &PublishedSettings| match version {
            Some(version) => published.version > version,
            None => self.settings_revision > revision,
        };
        if let Some(published) = self.published.as_ref().filter(|p| is_later(p)) {
            changes.push(Change::Published(published.as_ref().clone()));
        }
        let present =
            |name: &Arc<str>| self.targets.get(name).is_some_and(|l| l.missing_since.is_none());
        let removed = self.removed.iter().filter(|r| r.revision > revision);
        let names = removed.map(|r| &r.name).filter(|name| !present(name));
        changes.extend(names.map(|name| Change::Gone(Arc::clone(name))));
        let listed = self.targets.values().filter(|l| l.revision > revision);
        let listed = listed.filter(|l| l.missing_since.is_none());
        changes.extend(listed.map(|l| Change::Target(TargetRecord::clone(&l.record))));
        CatalogUpdate::Changes { revision: self.revision.number, changes }
    }

    /// Applies an update of `era` from a peer. Returns whether anything other than target heartbeats
    /// changed.
    pub fn apply_update(
        &mut self,
        now: Timestamp,
        era: u64,
        update: CatalogUpdate,
        source: Source,
    ) -> bool {
        match update {
            CatalogUpdate::Full(snapshot) => self.apply_snapshot(now, era, snapshot, source),
            CatalogUpdate::Changes { revision, changes } => {
                self.apply(now, Revision::new(era, revision), changes, source)
            }
        }
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> &IndexSet<Arc<str>> {
        self.evacuations.domains()
    }

    /// Returns whether anything is known of evacuations.
    pub fn knows_evacuations(&self) -> bool {
        !self.evacuations.complete().is_unknown()
    }

    /// Returns whether changes of the evacuated domains up to [`Self::revision`] may be missing.
    pub fn lacks_evacuations(&self) -> bool {
        self.evacuations.complete() < self.revision
    }

    /// Returns the platform revision up to which the evacuated domains are complete.
    pub fn evacuations_revision(&self) -> Revision {
        self.evacuations.complete()
    }

    /// Returns what peers have to know of evacuations, `None` if nothing is known of them.
    pub fn evacuation_notice(&self) -> Option<EvacuationNotice> {
        self.evacuations.notice()
    }

    /// Applies what a peer says of evacuations, whose data is of `era`. The update that came with it has to be
    /// applied before. Returns whether anything has changed.
    pub fn apply_evacuations(&mut self, era: u64, notice: &EvacuationNotice) -> bool {
        let is_usable = era == self.revision.era
            && notice.complete.era <= era
            && notice.changed <= notice.complete
            && !notice.complete.is_unknown();
        let changed = is_usable && self.evacuations.merge(notice);
        if changed {
            self.record_change();
        }
        changed
    }

    /// Begins the era of `revision`. If data of an earlier one is known, the records of targets that the
    /// first data lacks may only have to be written again.
    fn begin_era(&mut self, now: Timestamp, revision: Revision) {
        let before = mem::replace(&mut self.revision, revision);
        self.outdated.begin(now);
        self.evacuations.begin_era(now);
        if before.is_unknown() {
            return;
        }
        let what = match before.era {
            0 => "platform names an era",
            _ => "platform was restored from a copy",
        };
        self.log_lines.push(format!(
            "{what}, revision={revision} before={before}; missing targets are kept for a grace period"
        ));
        self.grace_until = now + RETURN_GRACE;
        self.record_change();
    }

    /// Returns whether `record` of a restored platform is known to be outdated: its process was
    /// removed, is leaving, or was replaced by a later one.
    fn is_outdated(&self, record: &TargetRecord) -> bool {
        match self.targets.get(&record.name) {
            Some(listed) => {
                let known = &listed.record;
                let same_process = known.started == record.started;
                (same_process && known.leaving && !record.leaving) || known.started > record.started
            }
            None => {
                // What was removed in the present era and is listed again has been written since.
                let mut removed =
                    self.removed.iter().filter(|r| r.revision.era < self.revision.era);
                removed.any(|r| r.name == record.name && r.started >= record.started)
            }
        }
    }

    fn record_change(&mut self) {
        self.content_revision = self.revision;
        self.content_changes += 1;
    }

    /// Remembers a removed target, also one that is not known here: peers that have read a copy may use
    /// its record.
    fn remember_removed(&mut self, name: &Arc<str>, started: Option<u64>) {
        let known = self.removed.iter().position(|r| r.name == *name);
        let before = known.and_then(|index| self.removed.remove(index));
        let started = started.max(before.and_then(|r| r.started));
        let name = Arc::clone(name);
        self.removed.push_back(RemovedTarget { revision: self.revision, name, started });
        if self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.pop_front();
            let forgotten = oldest.map_or(self.removed_since, |r| r.revision);
            self.removed_since = self.removed_since.max(forgotten);
        }
    }

    fn confirm(&mut self, now: Timestamp, source: Source) {
        let confirmed_at = match source {
            Source::Platform => now,
            Source::Peer(age) => now - age,
        };
        // The first read does not end an outage: no target is known that could be missing.
        if self.confirmed.is_some_and(|at| confirmed_at.since(at) > OUTAGE_THRESHOLD) {
            self.grace_until = now + RETURN_GRACE;
            self.log_lines.push(
                "platform is back after an outage; missing targets are kept for a grace period"
                    .to_owned(),
            );
        }
        self.confirmed = self.confirmed.max(Some(confirmed_at));
    }

    fn apply_settings(&mut self, mut published: PublishedSettings, source: Source) {
        let current = self.settings_version();
        if published.version <= current {
            if published.version < current && published.version != self.ignored_version {
                self.ignored_version = published.version;
                self.log_lines.push(format!(
                    "settings version={} are older than {current}; ignored",
                    published.version
                ));
            }
            return;
        }
        self.keep_cold_rates(&mut published, source);
        let published = self.completed(published);
        self.log_lines.push(format!(
            "settings version={} in force, before {current}, routes={}",
            published.version,
            published.routes.len()
        ));
        self.published = Some(Arc::new(published));
        self.settings_revision = self.revision;
        self.record_change();
    }

    /// Returns `published` with what could not be read, as in the settings before: the services of its
    /// routes, and the limits.
    fn completed(&mut self, mut published: PublishedSettings) -> PublishedSettings {
        let before = self.published.as_deref();
        let version = published.version;
        let shares = published.routes.iter().flat_map(|route| &route.shares);
        let names: IndexSet<Arc<str>> = shares.map(|share| Arc::clone(&share.service)).collect();
        for name in names {
            let known = before.and_then(|before| before.services.get(&name));
            if let (Some(known), false) = (known, published.services.contains_key(&name)) {
                self.log_lines.push(format!(
                    "settings version={version} lack service {name}; kept as before"
                ));
                published.services.insert(name, known.clone());
            }
        }
        let limits = before.map_or(CallerLimits::DEFAULT, |before| before.limits);
        let completed = published.limits.or(limits);
        if completed != published.limits {
            self.log_lines.push(format!(
                "settings version={version} lack limits for callers; in force {completed:?}"
            ));
            published.limits = completed;
        }
        published
    }

    /// Applies a record, also one that changes nothing if `is_news`.
    fn apply_record(&mut self, now: Timestamp, record: TargetRecord, is_news: bool) {
        let known = self.targets.get(&record.name);
        let same = known.is_some_and(|l| l.is_unchanged(now, &record));
        if same {
            if is_news && let Some(listed) = self.targets.get_mut(&record.name) {
                listed.revision = self.revision;
                self.record_change();
            }
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
        self.record_change();
    }

    fn remove_target(&mut self, now: Timestamp, name: &Arc<str>) {
        let outdated = self.outdated.take(name).and_then(|r| r.started);
        let listed = self.targets.get(name).and_then(|l| l.record.started);
        self.remember_removed(name, outdated.max(listed));
        let is_pending = self.outdated.is_pending(now);
        let Some(listed) = self.targets.get_mut(name) else {
            // Peers may have set its record aside, and have to learn of the removal.
            if is_pending {
                self.record_change();
            }
            return;
        };
        if now < self.grace_until && !listed.record.leaving {
            if listed.missing_since.is_none() {
                listed.missing_since = Some(now);
                self.log_lines.push(format!("target {name} is missing after an outage; kept"));
                // Peers that started since the outage keep nothing.
                self.record_change();
            }
            return;
        }
        self.targets.swap_remove(name);
        self.log_lines.push(format!("target {name} was removed"));
        self.record_change();
    }
}
