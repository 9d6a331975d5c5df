//! Who is in the fleet.

use crate::world::{Faults, World, name};
use azuretally_policy::fleet::{Lifecycle, PeerState};
use std::collections::BTreeSet;

const SEED: u64 = 0x0a5e_0002;

#[test]
fn fleet_comes_together() {
    for n in [1, 2, 3, 16, 40] {
        let mut world = World::new(n, SEED);
        let ms = world.run_until(3_000, World::is_whole);
        assert!(ms.is_some(), "{n} entries do not come together");
    }
}

#[test]
fn killed_entry_is_gone_everywhere_and_comes_back() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.run_ms(2_000);
    world.kill(5);
    let gone = |w: &World| w.up().iter().all(|n| w.peer_state(*n, 5) == Some(PeerState::Gone));
    world.run_until(5_000, gone).expect("entry-5 is not gone");
    world.start(5, 2);
    world.run_until(3_000, World::is_whole).expect("entry-5 does not come back");
}

#[test]
fn cut_link_between_two_entries_removes_nobody() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    for (a, b) in [(0, 1), (1, 0), (3, 7), (9, 2)] {
        world.cut.insert((a, b));
    }
    for _ in 0..600 {
        world.step();
        for a in 0..16 {
            for b in (0..16).filter(|b| *b != a) {
                assert_ne!(world.peer_state(a, b), Some(PeerState::Gone), "entry-{b} at entry-{a}");
            }
        }
    }
}

#[test]
fn mass_loss_on_own_side_does_not_empty_the_view() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    let side: BTreeSet<usize> = [0, 3, 6, 9].into();
    world.partition(&side);
    world.run_ms(60_000);
    for node in &side {
        let fleet = world.fleet(*node);
        let usable = fleet.members().iter().filter(|(_, m)| m.is_usable()).count();
        assert_eq!(usable, 15, "entry-{node} dropped entries that it cannot reach");
        assert_eq!(fleet.entry_sets().services["till"].len(), 4);
    }
    for node in (0..16).filter(|n| !side.contains(n)) {
        let lost = side.iter().filter(|s| world.peer_state(node, **s) == Some(PeerState::Gone));
        assert_eq!(lost.count(), 4, "entry-{node} keeps entries that it cannot reach");
    }
    world.cut.clear();
    world.run_until(8_000, World::is_whole).expect("the partition does not heal");
}

#[test]
fn lone_entry_cannot_remove_the_others() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.partition(&[4].into());
    world.platform_cut.insert(4);
    world.run_ms(4_000);
    assert_eq!(world.fleet(4).state(), Lifecycle::Stale);
    assert_eq!(world.fleet(4).members().iter().filter(|(_, m)| m.is_usable()).count(), 15);
    world.cut.clear();
    world.run_until(8_000, World::is_whole).expect("entry-4 does not come back");
}

#[test]
fn paused_entry_is_stale_until_it_hears_somebody() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.pause(7);
    world.run_ms(10_000);
    assert_eq!(world.peer_state(0, 7), Some(PeerState::Gone));
    world.partition(&[7].into());
    world.platform_cut.insert(7);
    world.resume(7);
    assert_eq!(world.fleet(7).state(), Lifecycle::Stale);
    world.run_ms(5_000);
    assert_eq!(world.fleet(7).state(), Lifecycle::Stale);
    world.cut.clear();
    world.platform_cut.clear();
    world.run_until(3_000, World::is_whole).expect("entry-7 does not come back");
}

#[test]
fn leaving_entry_is_out_of_every_set_at_once() {
    let mut world = World::new(16, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    let member = world.fleet(0).entry_sets().services["till"][0].clone();
    let node = (0..16).find(|n| name(*n) == member).unwrap();
    world.with(node, |fleet, _| fleet.leave());
    let out = |w: &World| {
        w.up().iter().all(|n| !w.fleet(*n).entry_sets().services["till"].contains(&member))
    };
    let ms = world.run_until(1_000, out).expect("a set keeps the leaving entry");
    assert!(ms <= 100, "it took {ms} ms");
    let stale = world.hosts.1.clone();
    world.hosts = (2, stale);
    world.run_ms(3_000);
    assert!(out(&world), "a stale list brought the leaving entry back");
    world.kill(node);
    world.run_ms(5_000);
    world.start(node, 2);
    world.run_until(3_000, World::is_whole).expect("the next process does not come back");
}

#[test]
fn stepped_back_clock_of_a_restarted_host_is_overcome() {
    let mut world = World::new(4, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.kill(2);
    world.run_ms(500);
    world.start(2, 0);
    world.run_until(10_000, World::is_whole).expect("entry-2 does not come back");
}

#[test]
fn later_process_of_a_host_supersedes_a_frozen_one() {
    let mut world = World::new(8, SEED);
    world.run_until(3_000, World::is_whole).unwrap();
    world.pause(3);
    let frozen = world.nodes[3].take();
    world.run_ms(6_000);
    world.start(3, 2);
    world.run_until(3_000, World::is_whole).unwrap();
    let fresh = std::mem::replace(&mut world.nodes[3], frozen);
    world.resume(3);
    world.platform_cut.insert(3);
    world.run_ms(5_000);
    assert_eq!(world.fleet(3).state(), Lifecycle::Stale);
    world.nodes[3] = fresh;
    world.platform_cut.clear();
    world.run_until(8_000, World::is_whole).expect("the later process is not whole");
}

#[test]
fn cost_of_one_entry_does_not_grow_with_the_fleet() {
    let cost = |n| {
        let mut world = World::new(n, SEED);
        world.run_until(5_000, World::is_whole).unwrap();
        world.run_ms(5_000);
        let sent = |w: &World| w.nodes.iter().flatten().map(|n| n.sent_bytes).max().unwrap();
        let before = sent(&world);
        world.run_ms(20_000);
        (sent(&world) - before) / 20
    };
    let (small, large) = (cost(8), cost(64));
    assert!(large <= small * 3 / 2, "{large} B/s at 64 entries, {small} B/s at 8");
    assert!(large < 3_500, "{large} B/s");
}

#[test]
fn lost_messages_remove_nobody_for_good() {
    let mut world = World::new(16, SEED);
    world.faults = Faults { loss: 100, duplicate: 100, late: 100 };
    world.run_ms(120_000);
    world.faults = Faults::default();
    world.run_until(5_000, World::is_whole).expect("the fleet is not whole");
}

#[test]
fn silent_connections_are_made_anew() {
    for n in [4, 9, 16] {
        let mut world = World::new(n, SEED);
        world.run_until(3_000, World::is_whole).unwrap();
        world.platform_up = false;
        for a in 0..n {
            world.silent.extend((0..n).map(|b| (a, b)));
        }
        world.run_ms(1_000);
        world.run_until(10_000, World::is_whole).expect("connections stay silent");
        world.run_ms(5_000);
        assert!(world.is_whole());
    }
}
