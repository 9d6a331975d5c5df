//! Belief of settings and targets: it never goes back, whoever brings it, and what vanished in an
//! outage may come back.

use crate::fixture::{World, ms, record, route, started};
use arbtest::arbtest;
use azuretally_policy::balance::{
    CallerLimits, Catalog, Change, Decision, PublishedSettings, Snapshot, Source, TargetRecord,
};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

fn published(version: u64) -> PublishedSettings {
    PublishedSettings {
        version,
        routes: Vec::new(),
        services: IndexMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn names(catalog: &Catalog) -> Vec<Arc<str>> {
    catalog.targets().map(|l| Arc::clone(&l.record.name)).collect()
}

#[test]
fn settings_never_go_back_whoever_brings_them() {
    arbtest(|u| {
        let mut catalog = Catalog::default();
        let mut highest = 0;
        for step in 0..40_u64 {
            let version = u.int_in_range(1..=20)?;
            let revision = u.int_in_range(1..=60)?;
            let now = ms(step * 300);
            if u.arbitrary()? {
                let changes = vec![Change::Published(published(version))];
                catalog.apply(now, revision, changes, Source::Platform);
            } else {
                let snapshot =
                    Snapshot { revision, published: Some(published(version)), targets: Vec::new() };
                let age = Duration::from_millis(u.int_in_range(0..=5_000)?);
                catalog.apply_snapshot(now, snapshot, Source::Peer(age));
            }
            let version = catalog.published().map_or(0, |p| p.version);
            assert!(version >= highest, "version {version} after {highest}");
            highest = version;
        }
        Ok(())
    });
}

#[test]
fn signs_of_life_alone_are_no_news() {
    let mut catalog = Catalog::default();
    assert!(catalog.apply(ms(0), 1, vec![Change::Target(record(1, "a"))], Source::Platform));
    assert!(!catalog.apply(ms(500), 2, vec![Change::Target(record(1, "a"))], Source::Platform));
    assert_eq!((catalog.revision(), catalog.content_revision()), (2, 1));
    let leaving = TargetRecord { leaving: true, ..record(1, "a") };
    assert!(catalog.apply(ms(900), 3, vec![Change::Target(leaving)], Source::Platform));
    assert_eq!(catalog.content_revision(), 3);
}

#[test]
fn target_that_vanishes_while_the_platform_is_sound_is_gone_at_once() {
    let mut catalog = Catalog::default();
    catalog.apply(ms(0), 1, vec![Change::Target(record(1, "a"))], Source::Platform);
    catalog.apply(ms(1_000), 2, vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert!(names(&catalog).is_empty());
}

#[test]
fn target_that_vanished_in_an_outage_is_kept_until_it_could_be_back() {
    let mut catalog = Catalog::default();
    catalog.apply(ms(0), 1, vec![Change::Target(record(1, "a"))], Source::Platform);
    catalog.apply(ms(5_000), 2, vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert_eq!(names(&catalog).len(), 1, "it may have lapsed only because of the outage");
    catalog.tick(ms(6_900));
    assert_eq!(names(&catalog).len(), 1);
    assert!(catalog.tick(ms(7_400)));
    assert!(names(&catalog).is_empty(), "it did not come back");
}

#[test]
fn target_that_was_leaving_before_an_outage_is_not_kept() {
    let mut catalog = Catalog::default();
    let leaving = TargetRecord { leaving: true, ..record(1, "a") };
    catalog.apply(ms(0), 1, vec![Change::Target(leaving)], Source::Platform);
    catalog.apply(ms(5_000), 2, vec![Change::Gone(record(1, "a").name)], Source::Platform);
    assert!(names(&catalog).is_empty());
}

#[test]
fn leaving_target_gets_no_call_from_the_moment_it_is_known() {
    let mut world = World::new(2, 0);
    let leaving = TargetRecord { leaving: true, ..record(0, "a") };
    world.list(ms(100), vec![Change::Target(leaving)]);
    for call in 0..2 {
        let (_, order) = world.arrive(ms(101 + call), &route("check", true));
        assert_eq!(&*started(order).target, "target-1");
    }
    let (_, order) = world.arrive(ms(110), &route("check", true));
    assert_eq!(order, Decision::Wait, "the leaving target is not used though it is free");
}

#[test]
fn new_process_of_a_name_starts_with_a_clean_record() {
    let mut world = World::new(1, 0);
    let (id, order) = world.arrive(ms(0), &route("sale", false));
    let start = started(order);
    let moved = azuretally_policy::balance::AttemptOutcome::Moved;
    world.end(ms(1), id, &start.target, moved, None);
    let (_, order) = world.arrive(ms(10), &route("sale", false));
    assert!(matches!(order, Decision::GiveUp { not_run: true, .. }), "the address changed hands");
    let reborn = TargetRecord { started: Some(2), ..record(0, "a") };
    world.list(ms(20), vec![Change::Target(reborn)]);
    let (_, order) = world.arrive(ms(30), &route("sale", false));
    started(order);
}

/// A gateway that follows a peer by changes believes the same as one that is told everything.
#[test]
fn changes_lead_to_the_same_belief_as_the_whole_picture() {
    arbtest(|u| {
        let mut reader = Catalog::default();
        let mut follower = Catalog::default();
        let mut told_at = 0;
        for step in 1..60_u64 {
            let now = ms(step * 200);
            let number = u.int_in_range(0..=6)?;
            let change = match u.int_in_range(0..=3)? {
                0 => Change::Gone(record(number, "a").name),
                1 => Change::Target(TargetRecord { leaving: true, ..record(number, "a") }),
                2 => Change::Published(published(step)),
                _ => Change::Target(record(number, "a")),
            };
            reader.apply(now, step * 10, vec![change], Source::Platform);
            if u.ratio(1, 3)? {
                let told = reader.update_since(told_at);
                follower.apply_update(now, told, Source::Peer(Duration::ZERO));
                told_at = follower.revision();
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

/// A gateway that started a moment ago does not know what vanished before its first read, and has to
/// tell everything to one that knows an earlier revision.
#[test]
fn gateway_that_started_later_does_not_hide_what_vanished_before() {
    let mut follower = Catalog::default();
    follower.apply(ms(0), 193, vec![Change::Target(record(1, "a"))], Source::Platform);
    let mut started = Catalog::default();
    started.relist(ms(0), 208, vec![Change::Target(record(2, "a"))], Source::Platform);
    follower.apply_update(ms(100), started.update_since(193), Source::Peer(Duration::ZERO));
    assert_eq!(names(&follower), [record(2, "a").name]);
}
