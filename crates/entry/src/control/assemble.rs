//! Builds the view from what is known.

use crate::{
    context::Context,
    view::{EntryView, Lifecycle, ServiceView, TargetView, View},
};
use azuretally_api::{
    admin::RefusedRevision,
    platform::{HostList, HostRecord, HostState, Role},
};
use azuretally_policy::{
    Timestamp,
    dispatch::{PeerSlots, ServicePlan, TargetPlan},
    fleet::{Candidate, place},
};
use azuretally_settings::{Published, Revision, ServiceSettings};
use indexmap::IndexMap;
use std::sync::Arc;

/// Entries named after the set, for callers that cannot reach any of its members.
const FALLBACK_ENTRIES: usize = 2;

/// What the view is built from.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// Settings in force.
    pub published: Option<Arc<Published>>,
    /// Their revision.
    pub revision: Revision,
    /// When they came into force here.
    pub since: Timestamp,
    /// Last refused revision.
    pub refused: Option<RefusedRevision>,
    /// Host list with the highest revision seen.
    pub hosts: HostList,
}

/// Builds the view of this entry.
pub fn assemble(context: &Context, inputs: &Inputs) -> View {
    let entries = entries(context, &inputs.hosts);
    let services = services(context, inputs, &entries);
    let state = match inputs.published {
        Some(_) => Lifecycle::Serving,
        None => Lifecycle::Starting,
    };
    View {
        state,
        revision: inputs.revision,
        since: inputs.since,
        published: inputs.published.clone(),
        refused: inputs.refused.clone(),
        services,
        entries,
    }
}

fn entries(context: &Context, hosts: &HostList) -> IndexMap<Arc<str>, EntryView> {
    let local = &context.local;
    let mut entries: IndexMap<Arc<str>, EntryView> =
        hosts.hosts.iter().filter_map(|h| Some((Arc::from(&*h.host), entry(h)?))).collect();
    let own = EntryView {
        failure_domain: Arc::clone(&local.failure_domain),
        calls: local.listen.calls,
        token: String::new(),
        usable: true,
    };
    entries.entry(Arc::clone(&local.host)).or_insert(own);
    entries.sort_unstable_keys();
    entries
}

fn entry(record: &HostRecord) -> Option<EntryView> {
    let Role::Entry { calls, .. } = record.role else { return None };
    Some(EntryView {
        failure_domain: Arc::from(&*record.failure_domain),
        calls,
        token: String::new(),
        usable: record.state == HostState::Live,
    })
}

fn services(
    context: &Context,
    inputs: &Inputs,
    entries: &IndexMap<Arc<str>, EntryView>,
) -> IndexMap<Arc<str>, Arc<ServiceView>> {
    let Some(published) = &inputs.published else { return IndexMap::new() };
    let mut targets = targets(published, &inputs.hosts);
    let candidates: Vec<Candidate> = entries
        .iter()
        .filter(|(_, e)| e.usable)
        .map(|(host, e)| Candidate {
            host: Arc::clone(host),
            failure_domain: Arc::clone(&e.failure_domain),
        })
        .collect();
    let mut services = IndexMap::with_capacity(published.services.len());
    for (name, settings) in &published.services {
        let plan = ServicePlan::new(published, inputs.revision, name, &context.local.host);
        let Some(plan) = plan else { continue };
        let size = settings.entry_set.max(1) as usize;
        let mut directions = place(name, size + FALLBACK_ENTRIES, &candidates);
        let set = directions
            .iter()
            .take(size)
            .map(|host| PeerSlots { host: Arc::clone(host), free: 0 })
            .collect();
        directions.truncate(size + FALLBACK_ENTRIES);
        let targets = targets.swap_remove(name).unwrap_or_default();
        let service = ServiceView { plan: Arc::new(plan), targets, set, directions };
        services.insert(Arc::clone(name), Arc::new(service));
    }
    services
}

type Targets = IndexMap<Arc<str>, TargetView>;

fn targets(published: &Published, hosts: &HostList) -> IndexMap<Arc<str>, Targets> {
    let mut all: IndexMap<Arc<str>, Targets> = IndexMap::new();
    for record in &hosts.hosts {
        let Role::Target { service, address } = &record.role else { continue };
        let Some((name, settings)) = published.services.get_key_value(&**service) else { continue };
        let target = TargetView { plan: target_plan(record, settings), address: *address };
        all.entry(Arc::clone(name)).or_default().insert(Arc::clone(&target.plan.name), target);
    }
    all
}

fn target_plan(record: &HostRecord, settings: &ServiceSettings) -> TargetPlan {
    TargetPlan {
        name: Arc::from(&*record.host),
        failure_domain: Arc::from(&*record.failure_domain),
        slots: settings.slots,
        leaving: record.state == HostState::Leaving,
    }
}
