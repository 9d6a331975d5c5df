//! Records of targets that a restored platform lists although they are known to be outdated.

use super::records::TargetRecord;
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Time after which such a record is used if it is still listed. The record of a target that has ended
/// expires after three missed heartbeats, which are sent every 1.5 s.
const EXPIRY_TIME: Duration = Duration::from_secs(6);

/// Outdated records of a restored platform. Each is set aside until its target writes it again, or until
/// the platform would have removed it if the target had ended.
///
/// A gateway may get the first data of an era from a peer and read a list later, so that all lists within
/// that time count as those of a copy.
#[derive(Clone, Debug, Default)]
pub(super) struct RestoredRecords {
    records: IndexMap<Arc<str>, TargetRecord>,
    /// Targets that have written their records since.
    confirmed: IndexSet<Arc<str>>,
    due: Timestamp,
}

impl RestoredRecords {
    /// Begins with no records at `now`, when the first data of an era arrives.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.records.clear();
        self.confirmed.clear();
        self.due = now + EXPIRY_TIME;
    }

    /// Returns whether a record that a gateway reads now may be one of the copy.
    pub(super) fn is_pending(&self, now: Timestamp) -> bool {
        now < self.due
    }

    /// Records that target `name` has written its record. Returns whether that is the first time while
    /// records may be those of the copy.
    pub(super) fn confirm(&mut self, now: Timestamp, name: &Arc<str>) -> bool {
        self.is_pending(now) && self.confirmed.insert(Arc::clone(name))
    }

    /// Returns whether the record of this process was set aside.
    pub(super) fn contains(&self, record: &TargetRecord) -> bool {
        self.records.get(&record.name).is_some_and(|known| known.started == record.started)
    }

    /// Sets a record aside.
    pub(super) fn insert(&mut self, record: TargetRecord) {
        self.records.insert(Arc::clone(&record.name), record);
    }

    /// Removes and returns the record of target `name`, which was written again or removed.
    pub(super) fn take(&mut self, name: &Arc<str>) -> Option<TargetRecord> {
        self.records.swap_remove(name)
    }

    /// Returns the names of the targets whose records were set aside.
    pub(super) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.records.keys()
    }

    /// Returns the records that have to be used now, since the platform still lists them.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<TargetRecord> {
        if self.is_pending(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.records).into_values().collect()
    }
}
