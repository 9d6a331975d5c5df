//! Settings that reach every entry and never revert.

use crate::{
    cases,
    world::{World, settings},
};
use azuretally_policy::fleet::{Lifecycle, RevisionStore, Topic, Verdict};
use std::collections::BTreeSet;

const SEED: u64 = 0x0a5e_0003;

fn everywhere(revision: u64) -> impl Fn(&World) -> bool {
    move |w| w.up().iter().all(|n| w.fleet(*n).settings().revisions().accepted == revision)
}

#[test]
fn accepted_revision_is_everywhere_in_time() {
    for n in [1, 4, 16, 64] {
        let mut world = World::new(n, SEED);
        world.run_until(5_000, World::is_whole).unwrap();
        world.settings = (2, settings("ordinary", 200));
        world.run_until(2_000, everywhere(2)).expect("revision 2 is not everywhere");
    }
}

#[test]
fn one_entry_that_reaches_the_platform_is_enough() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.platform_cut = (1..16).collect();
    world.run_ms(2_000);
    world.settings = (2, settings("ordinary", 200));
    if !world.fleet(0).is_watcher(world.time(0)) {
        let text = world.settings.1.clone();
        world.with(0, |f, now| f.apply_platform_document(now, Topic::Settings, 2, &text));
    }
    world.run_until(2_000, everywhere(2)).expect("revision 2 is not everywhere");
}

#[test]
fn refused_revision_shows_with_one_reason_everywhere() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.settings = (2, settings("no-such-preset", 200));
    let refused = |w: &World| {
        w.up().iter().all(|n| w.fleet(*n).settings().refused().is_some_and(|r| r.revision == 2))
    };
    world.run_until(2_000, refused).expect("revision 2 is not shown as refused");
    let reasons: BTreeSet<_> = world
        .up()
        .iter()
        .map(|n| world.fleet(*n).settings().refused().unwrap().reason.clone())
        .collect();
    assert_eq!(reasons.len(), 1);
    assert!(everywhere(1)(&world));
    world.settings = (3, settings("ordinary", 300));
    world.run_until(2_000, everywhere(3)).expect("revision 3 is not everywhere");
    assert!(world.up().iter().all(|n| world.fleet(*n).settings().refused().is_none()));
}

#[test]
fn older_platform_answer_changes_nothing() {
    let mut world = World::new(4, SEED);
    world.settings = (7, settings("ordinary", 700));
    world.run_until(3_000, World::is_whole).unwrap();
    world.settings = (3, settings("ordinary", 300));
    world.run_ms(3_000);
    assert!(everywhere(7)(&world));
}

#[test]
fn fresh_entry_does_not_serve_under_settings_older_than_its_peers() {
    let mut world = World::new(8, SEED);
    world.settings = (7, settings("ordinary", 700));
    world.run_until(3_000, World::is_whole).unwrap();
    world.kill(3);
    world.settings = (3, settings("ordinary", 300));
    world.run_ms(4_000);
    world.start(3, 2);
    for _ in 0..100 {
        world.step();
        if world.fleet(3).state() == Lifecycle::Serving {
            assert_eq!(world.fleet(3).settings().revisions().accepted, 7);
        }
    }
    assert!(world.is_whole());
}

#[test]
fn fresh_entry_starts_from_its_seeds_without_the_platform() {
    let mut world = World::new(8, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.platform_up = false;
    world.kill(5);
    world.run_ms(5_000);
    world.start(5, 2);
    world.run_until(2_000, World::is_whole).expect("entry-5 does not serve");
}

#[test]
fn fleet_keeps_serving_while_the_platform_is_down() {
    let mut world = World::new(8, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.platform_up = false;
    world.run_ms(60_000);
    assert!(world.is_whole());
}

#[test]
fn change_of_a_large_document_travels_as_a_change() {
    let check = |text: &str| Ok::<_, String>(text.len());
    cases::check(0xa5e00034, 200, 0x4000, |u| {
        let mut there = RevisionStore::new(Topic::Settings, check);
        let mut here = RevisionStore::new(Topic::Settings, check);
        let old: String = u.arbitrary()?;
        let new: String = u.arbitrary()?;
        let new = if u.arbitrary()? { format!("{old}{new}{old}") } else { new };
        there.offer(1, &old);
        here.offer(1, &old);
        there.offer(2, &new);
        let delta = there.delta(2, 1).unwrap();
        assert_eq!(here.apply_delta(&delta).unwrap(), new);
        let whole = there.delta(2, 99).unwrap();
        assert_eq!(RevisionStore::new(Topic::Settings, check).apply_delta(&whole).unwrap(), new);
        Ok(())
    });
    let mut store = RevisionStore::new(Topic::Settings, check);
    let text = "x".repeat(200_000);
    store.offer(1, &format!("{text}a{text}"));
    store.offer(2, &format!("{text}b{text}"));
    assert_eq!(store.delta(2, 1).unwrap().replacement, "b");
}

#[test]
fn shelf_never_goes_back() {
    cases::check(0xa5e00044, 200, 0x4000, |u| {
        let check = |text: &str| if text == "bad" { Err("bad".to_owned()) } else { Ok(()) };
        let mut store = RevisionStore::new(Topic::Settings, check);
        let mut highest = 0;
        for _ in 0..u.int_in_range(0..=60)? {
            let revision = u.int_in_range(0..=20)?;
            let text = if revision % 3 == 2 { "bad" } else { "good" };
            let before = store.revisions();
            let verdict = store.offer(revision, text);
            if text == "good" {
                highest = highest.max(revision);
            }
            assert_eq!(store.revisions().accepted, highest);
            assert!(store.revisions().seen >= before.seen);
            if verdict == Verdict::Refused {
                assert_eq!(store.refused().unwrap().revision, revision);
            }
        }
        Ok(())
    });
}
