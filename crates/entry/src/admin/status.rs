//! Collects the state of the entry for the administration API.

use crate::{context::Context, view::ClusterView};
use azuretally_api::admin::{ClassStatus, EntryStatus};

/// Returns the current state of this entry.
pub(super) fn status(context: &Context) -> EntryStatus {
    let view = context.view();
    let age = context.clock.now().since(view.settings_since);
    EntryStatus {
        host: context.local.host.to_string(),
        failure_domain: context.local.failure_domain.to_string(),
        incarnation: context.incarnation.to_string(),
        state: view.state.as_str().to_owned(),
        revision: view.revision.number(),
        preset: view.settings.as_ref().map_or_else(String::new, |p| p.preset.to_string()),
        in_force_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        refused: view.refused_revision.clone(),
        calls: context.counts.snapshot(),
        oldest_waiting_ms: context.counts.oldest_waiting_ms(),
        probe_ms: context.counts.probe_ms(),
        peers: view
            .entries
            .iter()
            .filter(|(h, e)| e.usable && **h != context.local.host)
            .map(|(h, _)| h.to_string())
            .collect(),
        classes: classes(&view),
        record: context.journal.status(),
    }
}

fn classes(view: &ClusterView) -> Vec<ClassStatus> {
    let preset = view.settings.as_ref().and_then(|p| p.active_preset());
    let classes = preset.map(|p| p.classes.as_slice()).unwrap_or_default();
    classes
        .iter()
        .map(|c| ClassStatus {
            name: c.name.to_string(),
            timeout_ms: c.timeout_ms,
            operations: c.operations.iter().map(|o| o.to_string()).collect(),
        })
        .collect()
}
