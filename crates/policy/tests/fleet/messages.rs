//! Authentication and replay protection of messages.

use crate::{
    cases,
    cluster::{Cluster, KEY, address, domain, name},
};
use azuretally_policy::{
    Timestamp,
    fleet::{
        Action, Addresses, Body, Fleet, FleetBuilder, Gossip, Header, MessageError, ReplayGuard,
        open, seal,
    },
};
use std::{collections::BTreeSet, sync::Arc};

const SEED: u64 = 0x0a5e_0006;

fn header(sequence: u64) -> Header {
    Header { from: name(1), generation: 5, sequence, to: name(0) }
}

fn fleet() -> Fleet {
    let addresses = Addresses { calls: address(0), peers: address(0) };
    FleetBuilder::new(name(0), domain(0), addresses)
        .key(KEY)
        .build(Timestamp::from_micros(0))
        .unwrap()
}

#[test]
fn tampered_message_is_dropped() {
    let body = Body::Ping { number: 7, missed: 0, gossip: Gossip::default() };
    let bytes = seal(KEY, &header(1), &body).unwrap();
    assert_eq!(open(KEY, &bytes).unwrap(), (header(1), body));
    assert_eq!(open(b"other key", &bytes), Err(MessageError::Forged));
    cases::check(0xa5e00064, 200, 0x4000, |u| {
        let mut tampered = bytes.clone();
        let at = u.choose_index(tampered.len())?;
        tampered[at] ^= u.int_in_range(1..=255u8)?;
        assert_eq!(open(KEY, &tampered), Err(MessageError::Forged));
        let garbage: Vec<u8> = u.arbitrary()?;
        assert!(open(KEY, &garbage).is_err());
        Ok(())
    });
}

#[test]
fn message_is_accepted_once_and_only_by_its_receiver() {
    let mut fleet = fleet();
    let now = Timestamp::from_millis(1);
    let body = Body::Ping { number: 7, missed: 0, gossip: Gossip::default() };
    let bytes = seal(KEY, &header(1), &body).unwrap();
    assert_eq!(fleet.receive(now, &bytes), Ok(()));
    assert_eq!(fleet.receive(now, &bytes), Err(MessageError::Replayed));
    let other = Header { to: name(2), ..header(2) };
    let bytes = seal(KEY, &other, &body).unwrap();
    assert_eq!(fleet.receive(now, &bytes), Err(MessageError::Misdirected));
    let older = Header { generation: 4, ..header(3) };
    let bytes = seal(KEY, &older, &body).unwrap();
    assert_eq!(fleet.receive(now, &bytes), Err(MessageError::Superseded));
}

#[test]
fn each_sequence_number_is_admitted_once_in_any_order() {
    cases::check(0xa5e00068, 200, 0x8000, |u| {
        let mut guard = ReplayGuard::default();
        let mut earlier = BTreeSet::new();
        for _ in 0..u.int_in_range(0..=200)? {
            let sequence = u.int_in_range(1..=300)?;
            let admitted = guard.admit(&header(sequence)).is_ok();
            assert!(!(admitted && earlier.contains(&sequence)), "{sequence} was admitted twice");
            if admitted {
                earlier.insert(sequence);
            }
        }
        Ok(())
    });
}

#[test]
fn replayed_messages_do_not_keep_a_dead_entry_alive() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.run_ms(3_000);
    cluster.kill(5);
    let recorded = cluster.recorded.clone();
    for round in 0..100 {
        cluster.step();
        for (to, bytes) in recorded.iter().skip(round * 20).take(20).filter(|(to, _)| *to != 5) {
            let _ = cluster.with(*to, |fleet, now| fleet.receive(now, bytes));
        }
    }
    for node in cluster.up() {
        let state = cluster.peer_state(node, 5);
        assert_eq!(state, Some(azuretally_policy::fleet::PeerState::Gone), "at entry-{node}");
    }
}

#[test]
fn unknown_sender_gets_no_answer() {
    let mut fleet = fleet();
    let from = Arc::from("nobody");
    let header = Header { from, ..header(1) };
    let body = Body::Ping { number: 1, missed: 0, gossip: Gossip::default() };
    fleet.take_actions();
    fleet.receive(Timestamp::from_millis(1), &seal(KEY, &header, &body).unwrap()).unwrap();
    assert!(!fleet.take_actions().iter().any(|a| matches!(a, Action::Send { .. })));
}
