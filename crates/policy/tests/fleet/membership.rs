//! Membership and failure detection.

use crate::cluster::{Cluster, Faults, name};
use azuretally_policy::fleet::{Lifecycle, PeerState};
use std::collections::BTreeSet;

const SEED: u64 = 0x0a5e_0002;

#[test]
fn fleet_of_any_size_converges() {
    for n in [1, 2, 3, 16, 40] {
        let mut cluster = Cluster::new(n, SEED);
        let ms = cluster.run_until(3_000, Cluster::has_converged);
        assert!(ms.is_some(), "{n} entries do not converge");
    }
}

#[test]
fn killed_entry_is_gone_everywhere_and_rejoins_after_a_restart() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.run_ms(2_000);
    cluster.kill(5);
    let gone = |c: &Cluster| c.up().iter().all(|n| c.peer_state(*n, 5) == Some(PeerState::Gone));
    cluster.run_until(5_000, gone).expect("entry-5 is not gone");
    cluster.start(5, 2);
    cluster.run_until(3_000, Cluster::has_converged).expect("entry-5 does not rejoin");
}

#[test]
fn cut_link_between_two_entries_removes_nobody() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    for (a, b) in [(0, 1), (1, 0), (3, 7), (9, 2)] {
        cluster.cut.insert((a, b));
    }
    for _ in 0..600 {
        cluster.step();
        for a in 0..16 {
            for b in (0..16).filter(|b| *b != a) {
                assert_ne!(
                    cluster.peer_state(a, b),
                    Some(PeerState::Gone),
                    "entry-{b} at entry-{a}"
                );
            }
        }
    }
}

#[test]
fn minority_side_of_a_partition_keeps_all_members() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    let side: BTreeSet<usize> = [0, 3, 6, 9].into();
    cluster.partition(&side);
    cluster.run_ms(60_000);
    for node in &side {
        let fleet = cluster.fleet(*node);
        let usable = fleet.members().iter().filter(|(_, m)| m.is_usable()).count();
        assert_eq!(usable, 15, "entry-{node} dropped entries that it cannot reach");
        assert_eq!(fleet.entry_sets().services["till"].len(), 4);
    }
    for node in (0..16).filter(|n| !side.contains(n)) {
        let lost = side.iter().filter(|s| cluster.peer_state(node, **s) == Some(PeerState::Gone));
        assert_eq!(lost.count(), 4, "entry-{node} keeps entries that it cannot reach");
    }
    cluster.cut.clear();
    cluster.run_until(8_000, Cluster::has_converged).expect("the partition does not heal");
}

#[test]
fn isolated_entry_does_not_remove_the_others() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.partition(&[4].into());
    cluster.platform_cut.insert(4);
    cluster.run_ms(4_000);
    assert_eq!(cluster.fleet(4).state(), Lifecycle::Stale);
    assert_eq!(cluster.fleet(4).members().iter().filter(|(_, m)| m.is_usable()).count(), 15);
    cluster.cut.clear();
    cluster.run_until(8_000, Cluster::has_converged).expect("entry-4 does not rejoin");
}

#[test]
fn paused_entry_is_stale_until_it_regains_contact() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.pause(7);
    cluster.run_ms(10_000);
    assert_eq!(cluster.peer_state(0, 7), Some(PeerState::Gone));
    cluster.partition(&[7].into());
    cluster.platform_cut.insert(7);
    cluster.resume(7);
    assert_eq!(cluster.fleet(7).state(), Lifecycle::Stale);
    cluster.run_ms(5_000);
    assert_eq!(cluster.fleet(7).state(), Lifecycle::Stale);
    cluster.cut.clear();
    cluster.platform_cut.clear();
    cluster.run_until(3_000, Cluster::has_converged).expect("entry-7 does not rejoin");
}

#[test]
fn leaving_entry_is_removed_from_every_set_at_once() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    let member = cluster.fleet(0).entry_sets().services["till"][0].clone();
    let node = (0..16).find(|n| name(*n) == member).unwrap();
    cluster.with(node, |fleet, _| fleet.leave());
    let out = |c: &Cluster| {
        c.up().iter().all(|n| !c.fleet(*n).entry_sets().services["till"].contains(&member))
    };
    let ms = cluster.run_until(1_000, out).expect("an entry set keeps the leaving entry");
    assert!(ms <= 100, "removal took {ms} ms");
    let stale = cluster.hosts.1.clone();
    cluster.hosts = (2, stale);
    cluster.run_ms(3_000);
    assert!(out(&cluster), "a stale host list brought the leaving entry back");
    cluster.kill(node);
    cluster.run_ms(5_000);
    cluster.start(node, 2);
    cluster
        .run_until(3_000, Cluster::has_converged)
        .expect("the next process of the host does not rejoin");
}

/// A clock that is set back between two processes of a host gives the later process a generation
/// that is not higher than that of the earlier one. Peers must still accept it.
#[test]
fn restarted_process_with_the_same_generation_rejoins() {
    let mut cluster = Cluster::new(4, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.kill(2);
    cluster.run_ms(500);
    cluster.start(2, 0);
    cluster.run_until(10_000, Cluster::has_converged).expect("entry-2 does not rejoin");
}

#[test]
fn later_process_of_a_host_supersedes_a_paused_one() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.pause(3);
    let paused = cluster.nodes[3].take();
    cluster.run_ms(6_000);
    cluster.start(3, 2);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    let later = std::mem::replace(&mut cluster.nodes[3], paused);
    cluster.resume(3);
    cluster.platform_cut.insert(3);
    cluster.run_ms(5_000);
    assert_eq!(cluster.fleet(3).state(), Lifecycle::Stale);
    cluster.nodes[3] = later;
    cluster.platform_cut.clear();
    cluster.run_until(8_000, Cluster::has_converged).expect("the later process does not rejoin");
}

#[test]
fn traffic_of_one_entry_does_not_grow_with_the_fleet() {
    let bytes_per_s = |n| {
        let mut cluster = Cluster::new(n, SEED);
        cluster.run_until(5_000, Cluster::has_converged).unwrap();
        cluster.run_ms(5_000);
        let sent = |c: &Cluster| c.nodes.iter().flatten().map(|n| n.sent_bytes).max().unwrap();
        let before = sent(&cluster);
        cluster.run_ms(20_000);
        (sent(&cluster) - before) / 20
    };
    let (small, large) = (bytes_per_s(8), bytes_per_s(64));
    assert!(large <= small * 3 / 2, "{large} B/s at 64 entries, {small} B/s at 8");
    assert!(large < 3_500, "{large} B/s");
}

#[test]
fn fleet_recovers_from_message_loss() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.faults = Faults { loss: 100, duplicate: 100, late: 100 };
    cluster.run_ms(120_000);
    cluster.faults = Faults::default();
    cluster.run_until(5_000, Cluster::has_converged).expect("the fleet does not converge");
}

#[test]
fn silent_connections_are_redialed() {
    for n in [4, 9, 16] {
        let mut cluster = Cluster::new(n, SEED);
        cluster.run_until(3_000, Cluster::has_converged).unwrap();
        cluster.platform_up = false;
        for a in 0..n {
            cluster.silent.extend((0..n).map(|b| (a, b)));
        }
        cluster.run_ms(1_000);
        cluster
            .run_until(10_000, Cluster::has_converged)
            .expect("silent connections are not redialed");
        cluster.run_ms(5_000);
        assert!(cluster.has_converged());
    }
}
