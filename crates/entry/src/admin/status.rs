//! The state of this entry, gathered from its parts.

use crate::context::Context;
use azuretally_api::admin::EntryStatus;

/// State of this entry now.
pub(super) fn status(context: &Context) -> EntryStatus {
    let view = context.view();
    let age = context.clock.now().since(view.since);
    EntryStatus {
        host: context.local.host.to_string(),
        failure_domain: context.local.failure_domain.to_string(),
        incarnation: context.incarnation.to_string(),
        state: view.state.as_str().to_owned(),
        revision: view.revision,
        preset: view.published.as_ref().map_or_else(String::new, |p| p.preset.to_string()),
        in_force_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        refused: view.refused.clone(),
        calls: context.counts.snapshot(),
        probe_ms: context.counts.probe_ms(),
        peers: view
            .entries
            .keys()
            .filter(|h| **h != context.local.host)
            .map(|h| h.to_string())
            .collect(),
        ..EntryStatus::default()
    }
}
