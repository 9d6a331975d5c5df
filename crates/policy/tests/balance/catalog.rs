//! Catalog of settings and targets: its contents never go back to an earlier version, whichever
//! source delivers them, and targets missing after an outage are kept for a grace period.

use crate::{
    fixture::{Fixture, expect_start, ms, record, route},
    platform::published,
};
use arbtest::arbtest;
use azuretally_policy::balance::{
    Catalog, Change, Decision, Revision, Snapshot, Source, TargetRecord,
};
use std::{sync::Arc, time::Duration};

/// Returns a revision of a platform that names no era.
fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn names(catalog: &Catalog) -> Vec<Arc<str>> {
    catalog.targets().map(|l| Arc::clone(&l.record.name)).collect()
}

#[test]
fn settings_never_go_back_to_an_earlier_version() {
    arbtest(|u| {
        let mut catalog = Catalog::default();
        let mut highest = 0;
        for step in 0..40_u64 {
            let version = u.int_in_range(1..=20)?;
            let revision = u.int_in_range(1..=60)?;
            let now = ms(step * 300);
            if u.arbitrary()? {
                let changes = vec![Change::Published(published(version))];
                catalog.apply(now, rev(revision), changes, Source::Platform);
            } else {
                let snapshot =
                    Snapshot { revision, published: Some(published(version)), targets: Vec::new() };
                let age = Duration::from_millis(u.int_in_range(0..=5_000)?);
                catalog.apply_snapshot(now, 0, snapshot, Source::Peer(age));
            }
            let version = catalog.published().map_or(0, |p| p.version);
            assert!(version >= highest, "version {version} after {highest}");
            highest = version;
        }
        Ok(())
    });
}

#[test]
fn target_heartbeats_alone_are_not_a_change() {
    let mut catalog = Catalog::default();
    assert!(catalog.apply(ms(0), rev(1), vec![Change::Target(record(1, "a"))], Source::Platform));
    assert!(!catalog.apply(
        ms(500),
        rev(2),
        vec![Change::Target(record(1, "a"))],
        Source::Platform
    ));
    assert_eq!((catalog.revision(), catalog.content_revision()), (rev(2), rev(1)));
    let leaving = TargetRecord { leaving: true, ..record(1, "a") };
    assert!(catalog.apply(ms(900), rev(3), vec![Change::Target(leaving)], Source::Platform));
    assert_eq!(catalog.content_revision(), rev(3));
}

#[test]
fn target_removed_without_an_outage_is_dropped_at_once() {
    let mut catalog = Catalog::default();
    catalog.apply(ms(0), rev(1), vec![Change::Target(record(1, "a"))], Source::Platform);
    catalog.apply(ms(1_000), rev(2), vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert!(names(&catalog).is_empty());
}

#[test]
fn target_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut catalog = Catalog::default();
    catalog.apply(ms(0), rev(1), vec![Change::Target(record(1, "a"))], Source::Platform);
    catalog.apply(ms(5_000), rev(2), vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert_eq!(names(&catalog).len(), 1, "the record may have expired only because of the outage");
    catalog.tick(ms(6_900));
    assert_eq!(names(&catalog).len(), 1);
    assert!(catalog.tick(ms(7_400)));
    assert!(names(&catalog).is_empty(), "it did not reappear");
}

#[test]
fn leaving_target_is_not_kept_after_an_outage() {
    let mut catalog = Catalog::default();
    let leaving = TargetRecord { leaving: true, ..record(1, "a") };
    catalog.apply(ms(0), rev(1), vec![Change::Target(leaving)], Source::Platform);
    catalog.apply(ms(5_000), rev(2), vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert!(names(&catalog).is_empty());
}

#[test]
fn leaving_target_gets_no_new_call() {
    let mut fixture = Fixture::new(2, 0);
    let leaving = TargetRecord { leaving: true, ..record(0, "a") };
    fixture.apply_changes(ms(100), vec![Change::Target(leaving)]);
    for call in 0..2 {
        let (_, decision) = fixture.submit(ms(101 + call), &route("check", true));
        assert_eq!(&*expect_start(decision).target, "target-1");
    }
    let (_, decision) = fixture.submit(ms(110), &route("check", true));
    assert_eq!(
        decision,
        Decision::Wait,
        "the leaving target is not used although it has a free slot"
    );
}

#[test]
fn new_process_of_the_same_name_starts_with_fresh_state() {
    let mut fixture = Fixture::new(1, 0);
    let (id, decision) = fixture.submit(ms(0), &route("sale", false));
    let start = expect_start(decision);
    let moved = azuretally_policy::balance::AttemptOutcome::Moved;
    fixture.end_attempt(ms(1), id, &start.target, moved, None);
    let (_, decision) = fixture.submit(ms(10), &route("sale", false));
    assert!(
        matches!(decision, Decision::GiveUp { not_run: true, .. }),
        "another process uses the address"
    );
    let restarted = TargetRecord { started: Some(2), ..record(0, "a") };
    fixture.apply_changes(ms(20), vec![Change::Target(restarted)]);
    let (_, decision) = fixture.submit(ms(30), &route("sale", false));
    expect_start(decision);
}

/// Guards against incremental updates that miss a change: a peer that applies them must end up with
/// the sender's catalog.
#[test]
fn incremental_updates_give_the_same_catalog_as_the_original() {
    arbtest(|u| {
        let mut reader = Catalog::default();
        let mut follower = Catalog::default();
        let mut sent_revision = rev(0);
        for step in 1..60_u64 {
            let now = ms(step * 200);
            let number = u.int_in_range(0..=6)?;
            let change = match u.int_in_range(0..=3)? {
                0 => Change::Gone(record(number, "a").name),
                1 => Change::Target(TargetRecord { leaving: true, ..record(number, "a") }),
                2 => Change::Published(published(step)),
                _ => Change::Target(record(number, "a")),
            };
            reader.apply(now, rev(step * 10), vec![change], Source::Platform);
            if u.ratio(1, 3)? {
                let update = reader.update_since(sent_revision, None);
                follower.apply_update(now, 0, update, Source::Peer(Duration::ZERO));
                sent_revision = follower.revision();
                let sorted = |catalog: &Catalog| {
                    let mut snapshot = catalog.snapshot();
                    snapshot.targets.sort_by(|a, b| a.name.cmp(&b.name));
                    snapshot
                };
                assert_eq!(sorted(&follower), sorted(&reader));
            }
        }
        Ok(())
    });
}

/// A gateway that has just started does not know which targets were removed before its first read,
/// so it must send a full update to a peer with an earlier revision. Otherwise the peer would keep
/// a removed target.
#[test]
fn gateway_that_started_later_sends_a_full_update_to_peers_with_earlier_data() {
    let mut follower = Catalog::default();
    follower.apply(ms(0), rev(193), vec![Change::Target(record(1, "a"))], Source::Platform);
    let mut restarted = Catalog::default();
    restarted.relist(ms(0), rev(208), vec![Change::Target(record(2, "a"))], Source::Platform);
    follower.apply_update(
        ms(100),
        0,
        restarted.update_since(rev(193), None),
        Source::Peer(Duration::ZERO),
    );
    assert_eq!(names(&follower), [record(2, "a").name]);
}
