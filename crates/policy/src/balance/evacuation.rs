//! Failure domains that the operator has evacuated, as one gateway knows them.
//!
//! The whole set is ordered by the platform revision of its last change. Two further revisions are needed:
//! what peers of earlier builds deliver moves the catalog on without the changes of the set, so the set has
//! its own revision up to which it is complete; and the first data of an era is that of a copy, whose set
//! is not used for some time unless nothing else is known. In that time only what is written counts.

use super::revision::Revision;
use crate::Timestamp;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Time after which the set that a restored platform lists is used as it is.
const RESTORE_WINDOW: Duration = Duration::from_secs(6);

/// Evacuated failure domains, as one gateway tells them to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// Platform revision of the last change of the set.
    pub changed: Revision,
    /// Platform revision up to which the set is complete.
    pub complete: Revision,
    /// Whether the set is only that of a list which may be that of a copy.
    pub from_copy: bool,
    /// Domains whose keys were written or removed since a restore that is not long ago.
    pub written: Vec<Arc<str>>,
    /// Domains that are as before such a restore, although the platform lists them otherwise.
    pub kept: Vec<Arc<str>>,
    /// Evacuated domains.
    pub domains: Vec<Arc<str>>,
}

impl EvacuationNotice {
    /// Returns what the platform lists, as far as the sender knows.
    fn listed(&self) -> IndexSet<Arc<str>> {
        let mut listed: IndexSet<Arc<str>> = self.domains.iter().cloned().collect();
        for domain in &self.kept {
            let is_listed = listed.contains(domain);
            set_member(&mut listed, domain, !is_listed);
        }
        listed
    }
}

/// Time after the first data of an era in which a list may be that of a copy.
#[derive(Clone, Debug)]
struct RestoreWindow {
    /// What the platform lists, `None` if this gateway does not know that.
    listed: Option<IndexSet<Arc<str>>>,
    /// Domains whose keys were written or removed in the era.
    written: IndexSet<Arc<str>>,
    due: Timestamp,
}

/// Evacuated failure domains with what their order depends on.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    domains: IndexSet<Arc<str>>,
    changed: Revision,
    /// Revision up to which the set is complete; unknown while nothing is known of the set.
    complete: Revision,
    from_copy: bool,
    /// Revision of the set whose kept domains were taken over last.
    kept_from: Revision,
    window: Option<RestoreWindow>,
    log_lines: Vec<String>,
}

impl Evacuations {
    /// Returns the evacuated failure domains.
    pub(super) fn domains(&self) -> &IndexSet<Arc<str>> {
        &self.domains
    }

    /// Returns the platform revision up to which the set is complete, unknown if nothing is known of it.
    pub(super) fn complete(&self) -> Revision {
        self.complete
    }

    /// Returns and forgets the log lines on evacuations that began or ended.
    pub(super) fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Records that the first data of an era arrives, which may be that of a copy.
    pub(super) fn begin_era(&mut self, now: Timestamp) {
        let (listed, written) = (None, IndexSet::new());
        self.window = Some(RestoreWindow { listed, written, due: now + RESTORE_WINDOW });
        self.from_copy = false;
        self.kept_from = Revision::default();
    }

    /// Records that the key of `domain` was written, or removed if not `active`, in the changes up to
    /// `revision`. Returns whether that is later than what is known.
    pub(super) fn write(&mut self, revision: Revision, domain: &Arc<str>, active: bool) -> bool {
        if revision <= self.complete {
            return false;
        }
        if let Some(window) = &mut self.window {
            window.written.insert(Arc::clone(domain));
            if let Some(listed) = &mut window.listed {
                set_member(listed, domain, active);
            }
        }
        self.changed = revision;
        self.set(domain, active);
        true
    }

    /// Records that changes up to `revision` are known.
    pub(super) fn complete_until(&mut self, revision: Revision) {
        self.complete = self.complete.max(revision);
    }

    /// Records the set that the platform lists at `revision`. Returns whether something has changed.
    pub(super) fn list(&mut self, revision: Revision, listed: IndexSet<Arc<str>>) -> bool {
        if revision < self.complete {
            return false;
        }
        let is_known = !self.complete.is_unknown();
        self.complete = revision;
        let Some(window) = &mut self.window else {
            return self.replace(revision, listed);
        };
        let before = window.listed.replace(listed.clone());
        if !is_known {
            self.from_copy = true;
            return self.replace(revision, listed);
        }
        // What two lists of one era show differently was written between them.
        let Some(before) = before else { return false };
        let written: Vec<_> = before.symmetric_difference(&listed).cloned().collect();
        window.written.extend(written.iter().cloned());
        for domain in &written {
            self.changed = revision;
            self.set(domain, listed.contains(domain));
        }
        !written.is_empty()
    }

    /// Adopts what a peer says as far as it is later. Returns whether something has changed.
    pub(super) fn merge(&mut self, notice: &EvacuationNotice) -> bool {
        let is_known = !self.complete.is_unknown();
        let mut changed = false;
        if !is_known || notice.changed > self.changed {
            changed = match &self.window {
                Some(_) if is_known && notice.from_copy && self.knows_better_than_copy() => {
                    self.merge_written(notice)
                }
                _ => self.adopt(notice),
            };
        } else if self.takes_kept(notice) {
            self.kept_from = notice.changed;
            for domain in &notice.kept {
                let is_written = self.window.as_ref().is_some_and(|w| w.written.contains(domain));
                changed |= !is_written && self.set(domain, notice.domains.contains(domain));
            }
        }
        self.complete = self.complete.max(notice.complete);
        changed
    }

    /// Ends the time after a restore once it is over. Returns whether peers have to learn of it.
    pub(super) fn settle(&mut self, now: Timestamp) -> bool {
        let Some(window) = self.window.take_if(|window| now >= window.due) else { return false };
        self.from_copy = false;
        let Some(listed) = window.listed else { return false };
        // Also a set that stays as it was has to be later than those of the era before.
        let is_confirmed = self.changed.era == self.complete.era && self.domains == listed;
        if is_confirmed {
            return false;
        }
        self.replace(self.complete, listed);
        self.changed = self.complete;
        true
    }

    /// Returns what peers have to know, `None` if this gateway knows nothing of evacuations.
    pub(super) fn notice(&self) -> Option<EvacuationNotice> {
        if self.complete.is_unknown() {
            return None;
        }
        let window = self.window.as_ref();
        let listed = window.and_then(|w| w.listed.as_ref());
        let kept = listed.map(|listed| listed.symmetric_difference(&self.domains).cloned());
        Some(EvacuationNotice {
            changed: self.changed,
            complete: self.complete,
            from_copy: self.from_copy,
            written: window.into_iter().flat_map(|w| w.written.iter().cloned()).collect(),
            kept: kept.into_iter().flatten().collect(),
            domains: self.domains.iter().cloned().collect(),
        })
    }

    /// Returns whether the set contains what was known before the restore, of this gateway or of a peer.
    fn knows_better_than_copy(&self) -> bool {
        !self.from_copy || !self.kept_from.is_unknown()
    }

    /// Returns whether this gateway, which has read only the copy, has to take over what the sender of
    /// `notice` knows from before the restore.
    fn takes_kept(&self, notice: &EvacuationNotice) -> bool {
        self.from_copy
            && !notice.from_copy
            && notice.complete.era == self.complete.era
            && notice.changed > self.kept_from
    }

    /// Takes over what was written since the restore from a gateway that has read only the copy.
    fn merge_written(&mut self, notice: &EvacuationNotice) -> bool {
        let Some(window) = &mut self.window else { return false };
        if notice.complete >= self.complete || window.listed.is_none() {
            window.listed = Some(notice.listed());
        }
        window.written.extend(notice.written.iter().cloned());
        let mut changed = false;
        for domain in &notice.written {
            self.changed = notice.changed;
            changed |= self.set(domain, notice.domains.contains(domain));
        }
        changed
    }

    fn adopt(&mut self, notice: &EvacuationNotice) -> bool {
        let domains: IndexSet<Arc<str>> = notice.domains.iter().cloned().collect();
        self.from_copy = notice.from_copy && self.window.is_some();
        if let Some(window) = &mut self.window {
            window.written.extend(notice.written.iter().cloned());
            window.listed = Some(notice.listed());
        }
        let changed = self.replace(notice.changed, domains);
        self.changed = notice.changed;
        changed
    }

    /// Replaces the set by that of `revision`. Returns whether they differ.
    fn replace(&mut self, revision: Revision, domains: IndexSet<Arc<str>>) -> bool {
        let differing: Vec<_> = self.domains.symmetric_difference(&domains).cloned().collect();
        if !differing.is_empty() || self.changed.is_unknown() {
            self.changed = revision;
        }
        for domain in &differing {
            self.set(domain, domains.contains(domain));
        }
        !differing.is_empty()
    }

    /// Adds a domain to the set or removes it. Returns whether that changes the set.
    fn set(&mut self, domain: &Arc<str>, active: bool) -> bool {
        let changed = set_member(&mut self.domains, domain, active);
        if changed {
            let event = if active { "is evacuated" } else { "is no longer evacuated" };
            let revision = self.changed;
            self.log_lines.push(format!("failure domain {domain:?} {event}, revision={revision}"));
        }
        changed
    }
}

/// Adds `name` to the set or removes it. Returns whether that changes the set.
fn set_member(set: &mut IndexSet<Arc<str>>, name: &Arc<str>, present: bool) -> bool {
    if present { set.insert(Arc::clone(name)) } else { set.swap_remove(name) }
}
