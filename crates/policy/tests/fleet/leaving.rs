//! Spread and expiry of reports of leaving targets.

use crate::{
    cases,
    cluster::{Cluster, hosts},
};
use azuretally_policy::{
    Timestamp,
    fleet::{LeavingReport, LeavingTargets, ListedTarget},
};
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

/// Guards against a draining target that gets calls again because its record lapsed or was marked as
/// leaving, and then returned without an incarnation.
#[test]
fn host_list_without_incarnations_does_not_clear_a_report() {
    for between in [host_list(&listed(None, true)), IndexMap::new()] {
        let mut leaving = LeavingTargets::default();
        assert!(leaving.add_report(&report("a")));
        let live = listed(None, false);
        for list in [host_list(&live), between, host_list(&live)] {
            leaving.apply_host_list(&list);
            assert!(leaving.is_leaving(&live), "{list:?} cleared the report");
        }
        let next = listed(Some("b"), false);
        leaving.apply_host_list(&host_list(&next));
        assert!(!leaving.is_leaving(&next));
        assert!(!leaving.add_report(&report("a")), "a cleared report was accepted again");
        assert!(!leaving.is_leaving(&live));
    }
}

/// Guards against entries that only heard that a target drains and send it calls once its record has
/// lapsed and returned without an incarnation.
#[test]
fn heard_report_outlives_the_lapse_of_the_record() {
    const ENTRIES: [usize; 4] = [0, 1, 2, 3];
    let mut cluster = Cluster::new(ENTRIES.len(), SEED);
    cluster.hosts = (1, hosts(1, &ENTRIES, &[("till-0", None, false)]));
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.with(2, |fleet, _| fleet.report_leaving(report("a")));
    let leaving = |c: &Cluster| c.up().iter().all(|n| c.fleet(*n).is_target_leaving("till-0"));
    cluster.run_until(2_000, leaving).expect("an entry has not heard the report");
    cluster.hosts = (2, hosts(2, &ENTRIES, &[]));
    cluster.run_ms(3_000);
    cluster.hosts = (3, hosts(3, &ENTRIES, &[("till-0", None, false)]));
    cluster.run_ms(3_000);
    let mut using = cluster.up();
    using.retain(|n| !cluster.fleet(*n).is_target_leaving("till-0"));
    assert!(using.is_empty(), "entries that use the target: {using:?}");
}

/// Guards against reports that are kept for good, of targets that the host list has lost.
#[test]
fn report_ends_some_time_after_the_host_list_has_lost_the_target() {
    let live = host_list(&listed(None, false));
    let at = Timestamp::from_millis;
    let mut leaving = LeavingTargets::default();
    leaving.add_report(&report("a"));
    leaving.expire(at(1_000), &live);
    leaving.expire(at(900_000), &IndexMap::new());
    leaving.expire(at(1_499_999), &IndexMap::new());
    leaving.expire(at(1_500_000), &live);
    assert!(leaving.is_leaving(&listed(None, false)), "ended before the record returned");
    leaving.expire(at(2_000_000), &IndexMap::new());
    leaving.expire(at(2_600_000), &IndexMap::new());
    assert!(!leaving.is_leaving(&listed(None, false)));
    assert_eq!(leaving.reports().count(), 0);
    assert!(!leaving.add_report(&report("a")), "an entry that lags revived the report");
}

/// Guards against a new process of a target that gets no calls for good, where the host list has no
/// incarnations, and against a process that ends its own report.
#[test]
fn probe_that_finds_another_process_clears_a_report() {
    for (reported, answers, is_cleared) in [
        ("a", Some("b"), true),
        ("a", Some("a"), false),
        ("a", None, false),
        ("", Some("b"), true),
        ("", None, true),
    ] {
        let mut leaving = LeavingTargets::default();
        leaving.add_report(&report(reported));
        assert_eq!(leaving.record_serving("till-0", answers), is_cleared, "{reported} {answers:?}");
        assert_eq!(!leaving.is_leaving(&listed(None, false)), is_cleared);
    }
}

/// Guards against a report without an incarnation that a new process of the target does not clear,
/// although the host list named both.
#[test]
fn report_without_an_incarnation_takes_that_of_the_host_list() {
    let mut cluster = Cluster::new(3, SEED);
    cluster.hosts = (1, hosts(1, &[0, 1, 2], &[("till-0", Some("a"), false)]));
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.with(1, |fleet, _| fleet.report_leaving(report("")));
    let leaving = |c: &Cluster| c.up().iter().all(|n| c.fleet(*n).is_target_leaving("till-0"));
    cluster.run_until(2_000, leaving).expect("an entry has not heard the report");
    cluster.hosts = (2, hosts(2, &[0, 1, 2], &[("till-0", Some("b"), false)]));
    let used = |c: &Cluster| c.up().iter().all(|n| !c.fleet(*n).is_target_leaving("till-0"));
    cluster.run_until(2_000, used).expect("the next incarnation of the target is not used");
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
