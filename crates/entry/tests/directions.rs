//! Tests of the directions that callers receive.

#![allow(clippy::unwrap_used)]

use azuretally_entry::{
    control::directions,
    view::{ClusterView, EntryView, ServiceView},
};
use azuretally_policy::dispatch::{PeerSlots, ServiceConfig};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use std::sync::Arc;

const SETTINGS: &str = r#"
deployment = "test"
entries = 16
preset = "ordinary"
[measuring]
target_ms_per_s = 5.0
probe_cost_ms = 6.0
[services.till]
path = "/till"
slots = 2
connections = 240
entry_set = 4
[services.till.operations.sale]
method = "POST"
path = "/sale"
idempotent = false
worth = 5.0
[presets.ordinary]
classes = [{ name = "urgent", operations = ["till.sale"], timeout_ms = 100 }]
"#;

fn host_name(n: usize) -> Arc<str> {
    Arc::from(format!("entry-{n}"))
}

/// A view of 8 entries in 3 failure domains. The first 5 form the entry set, and the entry with the
/// number `unusable` is not usable.
fn view(unusable: Option<usize>) -> ClusterView {
    let published = PublishedSettings::parse("settings", SETTINGS).unwrap();
    let config = Arc::new(ServiceConfig::new(&published, 1, "till", "entry-0").unwrap());
    let entry = |n: usize| EntryView {
        failure_domain: Arc::from(format!("domain-{}", n % 3)),
        call_address: ([127, 0, 0, 1], 8_000 + n as u16).into(),
        token: format!("token-{n}"),
        usable: Some(n) != unusable,
    };
    let entries = (0..8).map(|n| (host_name(n), entry(n))).collect();
    let entry_set = (0..5).map(|n| PeerSlots { host: host_name(n), free: 0 }).collect();
    let mut order: Vec<usize> = (0..7).collect();
    order.sort_by_key(|n| Some(*n) == unusable);
    let directions = order.into_iter().map(host_name).collect();
    let service = ServiceView { config, targets: IndexMap::new(), entry_set, directions };
    let services = IndexMap::from([(Arc::from("till"), Arc::new(service))]);
    ClusterView { services, entries, ..ClusterView::default() }
}

/// Counts how often each entry comes first in the directions for the rotations below `rotations`.
fn first_counts(view: &ClusterView, rotations: u64) -> IndexMap<String, u64> {
    let mut counts = IndexMap::new();
    for rotation in 0..rotations {
        let response = directions(view, "till", rotation).unwrap();
        *counts.entry(response.entries[0].host.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn entry_set_members_come_first_in_equal_shares() {
    let counts = first_counts(&view(None), 1_003);
    assert_eq!(counts.len(), 5);
    let (most, least) = (counts.values().max().unwrap(), counts.values().min().unwrap());
    assert!(most - least <= 1, "{counts:?}");
}

#[test]
fn unusable_member_comes_last_and_its_share_is_spread_evenly() {
    let counts = first_counts(&view(Some(2)), 1_000);
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|n| *n == 250), "{counts:?}");
    let response = directions(&view(Some(2)), "till", 7).unwrap();
    assert_eq!(response.entries.last().unwrap().host, "entry-2");
}

#[test]
fn second_entry_is_in_another_failure_domain_and_differs_among_callers() {
    let view = view(None);
    let mut second_counts = IndexMap::<_, IndexMap<_, u64>>::new();
    for rotation in 0..1_000 {
        let response = directions(&view, "till", rotation).unwrap();
        let [first, second] = [&response.entries[0], &response.entries[1]];
        assert_ne!(first.failure_domain, second.failure_domain);
        let second_counts = second_counts.entry(first.host.clone()).or_default();
        *second_counts.entry(second.host.clone()).or_default() += 1;
    }
    assert!(second_counts.values().all(|s| s.len() >= 2), "{second_counts:?}");
}

#[test]
fn unknown_service_has_no_directions() {
    assert!(directions(&view(None), "none", 0).is_none());
}
