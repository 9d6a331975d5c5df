//! A platform that keeps its changes, for tests in which gateways read it.

use azuretally_policy::balance::{CallerLimits, Change, PublishedSettings, Revision, TargetRecord};
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

pub(crate) fn published(version: u64) -> PublishedSettings {
    PublishedSettings {
        version,
        routes: Vec::new(),
        services: IndexMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// What a platform holds, with all changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) revision: Revision,
    settings: u64,
    targets: IndexMap<Arc<str>, TargetRecord>,
    evacuated: IndexSet<Arc<str>>,
    history: Vec<(u64, Change)>,
}

impl Store {
    /// Creates a store at `revision` without settings and targets.
    pub(crate) fn new(revision: Revision) -> Self {
        Self { revision, ..Self::default() }
    }

    /// Returns the store after it was restored from `copy`, in the next era.
    pub(crate) fn restored_from(&self, copy: &Self) -> Self {
        let revision = Revision::new(self.revision.era + 1, copy.revision.number);
        Self { revision, ..copy.clone() }
    }

    pub(crate) fn write(&mut self, change: Change) {
        self.revision.number += 1;
        match &change {
            Change::Published(published) => self.settings = published.version,
            Change::Target(record) => {
                self.targets.insert(Arc::clone(&record.name), record.clone());
            }
            Change::Gone(name) => {
                self.targets.swap_remove(name);
            }
            Change::Evacuation { domain, active: true } => {
                self.evacuated.insert(Arc::clone(domain));
            }
            Change::Evacuation { domain, .. } => {
                self.evacuated.swap_remove(domain);
            }
        }
        self.history.push((self.revision.number, change));
    }

    pub(crate) fn list(&self) -> Vec<Change> {
        let targets = self.targets.values().cloned().map(Change::Target);
        let evacuation = |domain| Change::Evacuation { domain, active: true };
        let evacuations = self.evacuated.iter().cloned().map(evacuation);
        let settings = Change::Published(published(self.settings));
        targets.chain(evacuations).chain([settings]).collect()
    }

    pub(crate) fn changes_after(&self, number: u64) -> Vec<Change> {
        let later = self.history.iter().filter(|(at, _)| *at > number);
        later.map(|(_, change)| change.clone()).collect()
    }
}
