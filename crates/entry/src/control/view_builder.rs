//! Builds the view from the state of the fleet state machine.

use crate::{
    context::Context,
    view::{ClusterView, EntryView, ServiceView, TargetView},
};
use azuretally_api::{
    admin::RefusedRevision,
    platform::{HostList, HostState, Role},
};
use azuretally_policy::{
    Timestamp,
    dispatch::{PeerSlots, ServiceConfig, TargetInfo},
    fleet::{Fleet, Lifecycle, PublishedRevision},
};
use azuretally_settings::PublishedSettings;
use indexmap::{IndexMap, IndexSet};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Maximum number of other entries listed after the usable members of the entry set, for callers
/// that can reach none of these members.
const FALLBACK_ENTRIES: usize = 2;

type Entries = IndexMap<Arc<str>, EntryView>;
type Targets = IndexMap<Arc<str>, TargetView>;

/// Builds views and caches the service configurations of the active settings.
#[derive(Debug, Default)]
pub(super) struct ViewBuilder {
    revision: PublishedRevision,
    configs: IndexMap<Arc<str>, Arc<ServiceConfig>>,
}

impl ViewBuilder {
    /// Builds the current view.
    pub(super) fn build(
        &mut self,
        context: &Context,
        fleet: &Fleet,
        now: Timestamp,
    ) -> ClusterView {
        let entries = entries(context, fleet);
        let accepted = fleet.settings().accepted();
        let settings = accepted.map(|a| Arc::clone(&a.value));
        if let Some(accepted) = accepted.filter(|a| a.revision != self.revision.code()) {
            self.revision = PublishedRevision::from_code(accepted.revision);
            self.configs = service_configs(&accepted.value, accepted.revision, &context.local.host);
        }
        let services = match &settings {
            Some(settings) => self.services(settings, fleet, &entries, now),
            None => IndexMap::new(),
        };
        ClusterView {
            state: fleet.state(),
            revision: self.revision,
            settings_since: fleet.settings_since(),
            settings,
            refused_revision: fleet.settings().refused().map(|r| RefusedRevision {
                revision: PublishedRevision::from_code(r.revision).number(),
                reason: r.reason.clone(),
            }),
            services,
            entries,
        }
    }

    fn services(
        &self,
        published: &PublishedSettings,
        fleet: &Fleet,
        entries: &Entries,
        now: Timestamp,
    ) -> IndexMap<Arc<str>, Arc<ServiceView>> {
        let mut targets = targets_by_service(published, fleet);
        let usable: Vec<&Arc<str>> =
            entries.iter().filter(|(_, e)| e.usable).map(|(host, _)| host).collect();
        let mut services = IndexMap::with_capacity(self.configs.len());
        for (name, config) in &self.configs {
            let entry_set = entry_set(fleet, name, now);
            let service = ServiceView {
                config: Arc::clone(config),
                targets: targets.swap_remove(name).unwrap_or_default(),
                directions: directions(fleet, name, &entry_set, &usable, entries),
                entry_set,
            };
            services.insert(Arc::clone(name), Arc::new(service));
        }
        services
    }
}

/// Returns a copy of `view` with the latest free slots of the entry sets of `services`.
pub(super) fn with_free_slots(
    view: &ClusterView,
    fleet: &Fleet,
    services: &IndexSet<Arc<str>>,
    now: Timestamp,
) -> ClusterView {
    let mut view = view.clone();
    for name in services {
        if let Some(service) = view.services.get_mut(name) {
            Arc::make_mut(service).entry_set = entry_set(fleet, name, now);
        }
    }
    view
}

/// Returns the members of the entry set of `service` with their free slots.
fn entry_set(fleet: &Fleet, service: &Arc<str>, now: Timestamp) -> Vec<PeerSlots> {
    let members = fleet.entry_sets().services.get(service);
    let members = members.into_iter().flatten();
    members
        .map(|host| PeerSlots {
            host: Arc::clone(host),
            free: fleet.free_slots(now, host, service),
        })
        .collect()
}

fn service_configs(
    published: &PublishedSettings,
    revision: u64,
    host: &str,
) -> IndexMap<Arc<str>, Arc<ServiceConfig>> {
    let names = published.services.keys();
    names
        .filter_map(|name| {
            let config = ServiceConfig::new(published, revision, name, host)?;
            Some((Arc::clone(name), Arc::new(config)))
        })
        .collect()
}

fn entries(context: &Context, fleet: &Fleet) -> Entries {
    let mut entries: Entries = fleet
        .members()
        .iter()
        .map(|(host, member)| {
            let entry = EntryView {
                failure_domain: Arc::clone(&member.record.failure_domain),
                call_address: member.addresses().calls,
                token: member.record.token.clone(),
                usable: member.is_usable() && member.is_reachable(),
            };
            (Arc::clone(host), entry)
        })
        .collect();
    let own_entry = EntryView {
        failure_domain: Arc::clone(&context.local.failure_domain),
        call_address: context.local.listen.calls,
        token: context.mint_token(),
        usable: fleet.state() == Lifecycle::Serving,
    };
    entries.insert(Arc::clone(&context.local.host), own_entry);
    entries.sort_unstable_keys();
    entries
}

/// Returns the order in which callers should use the entries: the usable members of the set, then a
/// few other usable entries, then the unusable members. This entry is left out while it does not
/// serve, unless it knows no other.
fn directions(
    fleet: &Fleet,
    service: &str,
    entry_set: &[PeerSlots],
    usable: &[&Arc<str>],
    entries: &Entries,
) -> Vec<Arc<str>> {
    let is_usable = |host: &Arc<str>| entries.get(host).is_some_and(|e| e.usable);
    let (mut order, unusable): (Vec<Arc<str>>, Vec<Arc<str>>) =
        entry_set.iter().map(|m| Arc::clone(&m.host)).partition(is_usable);
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    let offset = hasher.finish() as usize % usable.len().max(1);
    let others = usable[offset..].iter().chain(&usable[..offset]);
    let others = others.filter(|host| !entry_set.iter().any(|m| m.host == ***host));
    order.extend(others.take(FALLBACK_ENTRIES).map(|host| Arc::clone(host)));
    order.extend(unusable);
    if fleet.state() != Lifecycle::Serving && order.len() > 1 {
        order.retain(|host| *host != fleet.own_record().host);
    }
    order
}

fn targets_by_service(published: &PublishedSettings, fleet: &Fleet) -> IndexMap<Arc<str>, Targets> {
    let mut targets: IndexMap<Arc<str>, Targets> = IndexMap::new();
    let Some(list) = fleet.hosts().accepted() else { return targets };
    let list: &HostList = &list.value;
    for record in &list.hosts {
        let Role::Target { service, address } = &record.role else { continue };
        let Some((name, settings)) = published.services.get_key_value(&**service) else { continue };
        let info = TargetInfo {
            name: Arc::from(&*record.host),
            failure_domain: Arc::from(&*record.failure_domain),
            slots: settings.slots,
            incarnation: record.incarnation.as_deref().map(Arc::from),
            leaving: record.state == HostState::Leaving,
            reported: fleet.is_target_reported(&record.host),
        };
        let target = TargetView { info, address: *address };
        targets.entry(Arc::clone(name)).or_default().insert(Arc::clone(&target.info.name), target);
    }
    targets
}
