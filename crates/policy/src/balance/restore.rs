//! Records of targets that a restored platform lists although they are known to be outdated.

use super::catalog::TargetRecord;
use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Time after which such a record is used if it is still listed. The record of a target that has ended
/// expires after three missed heartbeats, which are sent every 1.5 s.
const EXPIRY_TIME: Duration = Duration::from_secs(6);

/// Outdated records of a restored platform. Each is set aside until its target writes it again, or until
/// the platform would have removed it if the target had ended.
#[derive(Clone, Debug, Default)]
pub(super) struct RestoredRecords {
    records: IndexMap<Arc<str>, TargetRecord>,
    due: Timestamp,
}

impl RestoredRecords {
    /// Begins with no records after a restore at `now`.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.records.clear();
        self.due = now + EXPIRY_TIME;
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
        if now < self.due {
            return Vec::new();
        }
        std::mem::take(&mut self.records).into_values().collect()
    }
}
