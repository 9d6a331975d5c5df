//! Placement of services on entries.

use crate::cases;
use arbtest::arbitrary::{Result, Unstructured};
use azuretally_policy::fleet::{Candidate, place};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

fn fleet(entries: usize, domains: usize) -> Vec<Candidate> {
    (0..entries)
        .map(|i| Candidate {
            host: Arc::from(format!("entry-{i}")),
            failure_domain: Arc::from(format!("domain-{}", i % domains)),
        })
        .collect()
}

fn arbitrary_fleet(u: &mut Unstructured<'_>) -> Result<Vec<Candidate>> {
    let entries = u.int_in_range(1..=40)?;
    let domains = u.int_in_range(1..=5)?;
    Ok(fleet(entries, domains))
}

#[test]
fn places_are_distinct_and_spread_over_domains() {
    cases::check(0x0a5e_0001, 200, 0x400, |u| {
        let fleet = arbitrary_fleet(u)?;
        let size = u.int_in_range(1..=8)?;
        let places = place("till", size, &fleet);
        assert_eq!(places.len(), size.min(fleet.len()));
        assert_eq!(places.iter().collect::<IndexSet<_>>().len(), places.len());
        let mut members: IndexMap<&str, usize> = IndexMap::new();
        let mut chosen: IndexMap<&str, usize> = IndexMap::new();
        for c in &fleet {
            *members.entry(&c.failure_domain).or_default() += 1;
            chosen.entry(&c.failure_domain).or_default();
            if places.contains(&c.host) {
                *chosen.entry(&c.failure_domain).or_default() += 1;
            }
        }
        let most = chosen.values().max().copied().unwrap_or_default();
        for (domain, n) in &chosen {
            assert!(*n + 1 >= most || *n == members[domain], "{domain} has too few places");
        }
        Ok(())
    });
}

#[test]
fn placement_does_not_depend_on_the_order_of_candidates() {
    let mut fleet = fleet(16, 3);
    let places = place("till", 4, &fleet);
    fleet.reverse();
    assert_eq!(place("till", 4, &fleet), places);
}

#[test]
fn removal_of_one_entry_moves_at_most_one_and_a_half_places_on_average() {
    let fleet = fleet(16, 3);
    let mut moved = 0;
    let mut removed = 0;
    for service in 0..100 {
        let service = format!("service-{service}");
        let before = place(&service, 4, &fleet);
        for gone in &before {
            let rest: Vec<_> = fleet.iter().filter(|c| c.host != *gone).cloned().collect();
            let after = place(&service, 4, &rest);
            moved += before.iter().zip(&after).filter(|(b, a)| b != a).count();
            removed += 1;
        }
    }
    assert!(moved <= removed * 3 / 2, "{moved} places moved for {removed} removals");
}
