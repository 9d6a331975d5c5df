//! Cold targets: the rates of their services, and how long they stay cold.

use super::{
    super::{
        cold::{ColdRates, END_TOLERANCE},
        records::{CatalogUpdate, Change, TargetRecord},
        routes::{PublishedSettings, ServiceSettings},
    },
    Catalog, ListedTarget, Source,
};
use crate::Timestamp;
use std::sync::Arc;

impl ListedTarget {
    /// Returns whether `record`, read at `now`, says nothing new: it describes the same process in the same state,
    /// which is not cold for longer than known.
    pub(super) fn is_unchanged(&self, now: Timestamp, record: &TargetRecord) -> bool {
        let is_same = self.record.is_equivalent(record) && self.missing_since.is_none();
        is_same && !self.is_cold_for_longer(now, record)
    }

    /// Returns whether `record` of the same process, read at `now`, says that the target is cold for longer than
    /// known.
    fn is_cold_for_longer(&self, now: Timestamp, record: &TargetRecord) -> bool {
        now + record.warmup > self.read + self.record.warmup + END_TOLERANCE
            && !record.warmup.is_zero()
    }
}

impl Catalog {
    /// Returns the rates of cold targets, `None` if those of the present settings are not known.
    pub fn cold_rates(&self) -> Option<ColdRates> {
        let published = self.published.as_ref().filter(|_| !self.lacks_cold_rates())?;
        let rate = |(name, service): (&Arc<str>, &ServiceSettings)| {
            Some((Arc::clone(name), service.cold_rate?))
        };
        let rates = published.services.iter().filter_map(rate).collect();
        Some(ColdRates { settings: published.version, rates })
    }

    /// Returns whether the rates of the present settings are not known: a gateway of an earlier build sent them.
    /// Those of the settings before apply meanwhile.
    pub fn lacks_cold_rates(&self) -> bool {
        self.rates_version < self.settings_version()
    }

    /// Applies the rates that another gateway knows, if they are later than the known ones and not later than the
    /// settings. Returns whether they were.
    pub fn apply_cold_rates(&mut self, rates: &ColdRates) -> bool {
        let Some(published) = &mut self.published else { return false };
        if rates.settings <= self.rates_version || rates.settings > published.version {
            return false;
        }
        let published = Arc::make_mut(published);
        for (name, service) in &mut published.services {
            let known = rates.rates.iter().find(|(service, _)| service == name);
            service.cold_rate = known.map(|(_, rate)| *rate);
        }
        self.rates_version = rates.settings;
        self.log_lines
            .push(format!("rates of cold targets of settings version={} known", rates.settings));
        true
    }

    /// Sets how long the targets in `update` are still cold, counted from `now`.
    pub fn update_warmups(&self, now: Timestamp, update: &mut CatalogUpdate) {
        let set = |record: &mut TargetRecord| {
            if let Some(listed) = self.targets.get(&record.name) {
                record.warmup = (listed.read + record.warmup).since(now);
            }
        };
        match update {
            CatalogUpdate::Full(snapshot) => snapshot.targets.iter_mut().for_each(set),
            CatalogUpdate::Changes { changes, .. } => {
                let records = changes.iter_mut().filter_map(|change| match change {
                    Change::Target(record) => Some(record),
                    Change::Published(_) | Change::Gone(_) | Change::Evacuation { .. } => None,
                });
                records.for_each(set);
            }
        }
    }

    /// Keeps the rates of the settings before in `published` if they come from another gateway, which sends them
    /// beside.
    pub(super) fn keep_cold_rates(&mut self, published: &mut PublishedSettings, source: Source) {
        if source == Source::Platform {
            self.rates_version = published.version;
            return;
        }
        let before = self.published.as_deref();
        for (name, service) in &mut published.services {
            let known = before.and_then(|before| before.services.get(name));
            service.cold_rate = known.and_then(|known| known.cold_rate);
        }
    }
}
