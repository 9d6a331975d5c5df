//! Spread and expiry of reports of leaving targets.

use crate::{
    cases,
    cluster::{Cluster, hosts},
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

fn host_list(l: &ListedTarget) -> IndexMap<Arc<str>, ListedTarget> {
    IndexMap::from([(Arc::clone(&l.target), l.clone())])
}

#[test]
fn leaving_report_reaches_every_entry_without_the_platform() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.platform_up = false;
    cluster.with(9, |fleet, _| fleet.report_leaving(report("a")));
    let leaving = |c: &Cluster| c.up().iter().all(|n| c.fleet(*n).is_target_leaving("till-0"));
    cluster.run_until(2_000, leaving).expect("an entry still uses the leaving target");
    cluster.platform_up = true;
    cluster.hosts = (2, hosts(2, &(0..16).collect::<Vec<_>>(), &[("till-0", Some("a"), false)]));
    cluster.run_ms(3_000);
    assert!(leaving(&cluster), "a stale host list cleared the report");
    cluster.kill(3);
    cluster.start(3, 2);
    cluster.run_until(2_000, Cluster::has_converged).unwrap();
    cluster.run_until(2_000, leaving).expect("a restarted entry uses the leaving target");
    cluster.hosts = (3, hosts(3, &(0..16).collect::<Vec<_>>(), &[("till-0", Some("b"), false)]));
    let used = |c: &Cluster| c.up().iter().all(|n| !c.fleet(*n).is_target_leaving("till-0"));
    cluster.run_until(2_000, used).expect("the next incarnation of the target is not used");
}

#[test]
fn host_list_without_incarnations_clears_a_report_after_confirming_it() {
    let mut leaving = LeavingTargets::default();
    assert!(leaving.add_report(&report("a")));
    let live = listed(None, false);
    leaving.apply_host_list(&host_list(&live));
    assert!(leaving.is_leaving(&live), "a stale host list cleared the report");
    leaving.apply_host_list(&host_list(&listed(None, true)));
    assert!(leaving.is_leaving(&live));
    leaving.apply_host_list(&host_list(&live));
    assert!(!leaving.is_leaving(&live));
    assert!(!leaving.add_report(&report("a")), "a cleared report was accepted again");
    assert!(!leaving.is_leaving(&live));
}

#[test]
fn late_report_of_an_earlier_incarnation_does_not_affect_a_later_one() {
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
