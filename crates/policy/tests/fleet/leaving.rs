//! Leaving targets.

use crate::{
    cases,
    world::{World, hosts},
};
use azuretally_policy::fleet::{LeavingReport, LeavingTargets, ListedTarget};
use indexmap::IndexMap;
use std::sync::Arc;

const SEED: u64 = 0x0a5e_0005;

fn report(incarnation: &str) -> LeavingReport {
    LeavingReport { target: Arc::from("till-0"), incarnation: Arc::from(incarnation) }
}

fn listed(incarnation: Option<&str>, leaving: bool) -> ListedTarget {
    ListedTarget { target: Arc::from("till-0"), incarnation: incarnation.map(Arc::from), leaving }
}

fn list(l: &ListedTarget) -> IndexMap<Arc<str>, ListedTarget> {
    IndexMap::from([(Arc::clone(&l.target), l.clone())])
}

#[test]
fn sighting_is_everywhere_in_time_without_the_platform() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.platform_up = false;
    world.with(9, |fleet, _| fleet.report_leaving(report("a")));
    let leaving = |w: &World| w.up().iter().all(|n| w.fleet(*n).is_target_leaving("till-0"));
    world.run_until(2_000, leaving).expect("an entry still uses the target");
    world.platform_up = true;
    world.hosts = (2, hosts(2, &(0..16).collect::<Vec<_>>(), &[("till-0", Some("a"), false)]));
    world.run_ms(3_000);
    assert!(leaving(&world), "a stale list brought the target back");
    world.kill(3);
    world.start(3, 2);
    world.run_until(2_000, World::is_whole).unwrap();
    world.run_until(2_000, leaving).expect("a fresh entry uses the leaving target");
    world.hosts = (3, hosts(3, &(0..16).collect::<Vec<_>>(), &[("till-0", Some("b"), false)]));
    let used = |w: &World| w.up().iter().all(|n| !w.fleet(*n).is_target_leaving("till-0"));
    world.run_until(2_000, used).expect("the next incarnation is not used");
}

#[test]
fn list_without_incarnations_lifts_after_it_has_confirmed() {
    let mut leaving = LeavingTargets::default();
    assert!(leaving.add_report(&report("a")));
    let live = listed(None, false);
    leaving.apply_host_list(&list(&live));
    assert!(leaving.is_leaving(&live), "a list that lags lifted the report");
    leaving.apply_host_list(&list(&listed(None, true)));
    assert!(leaving.is_leaving(&live));
    leaving.apply_host_list(&list(&live));
    assert!(!leaving.is_leaving(&live));
    assert!(!leaving.add_report(&report("a")), "an entry that lags renewed the report");
    assert!(!leaving.is_leaving(&live));
}

#[test]
fn late_sighting_of_an_earlier_incarnation_does_not_hide_a_later_one() {
    cases::check(0xa5e00054, 200, 0x4000, |u| {
        let mut leaving = LeavingTargets::default();
        for _ in 0..u.int_in_range(1..=30)? {
            let incarnation = *u.choose(&["a", "b", "c"])?;
            leaving.add_report(&report(incarnation));
            assert!(leaving.is_leaving(&listed(Some(incarnation), false)));
            assert!(!leaving.is_leaving(&listed(Some("d"), false)));
        }
        Ok(())
    });
}
