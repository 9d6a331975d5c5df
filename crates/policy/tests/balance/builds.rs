//! What a gateway tells of the builds of its peers.

use crate::fixture::{first_heartbeat, ms};
use azuretally_policy::balance::{
    Build, Heartbeat, KnownData, Membership, MembershipBuilder, Message, Phase, Revision,
};
use indexmap::IndexMap;
use std::{net::IpAddr, sync::Arc, time::Duration};

fn heartbeat(number: u8, generation: u32, sequence: u64) -> Heartbeat {
    let ip = IpAddr::from([10, 0, 0, number]);
    Heartbeat {
        incarnation: u64::from(generation),
        sequence,
        build: Build { generation, version: Arc::from(format!("0.{generation}")) },
        ..first_heartbeat(usize::from(number), Arc::from("a"), ip)
    }
}

fn member() -> Membership {
    MembershipBuilder::new(heartbeat(1, 1, 0)).build(ms(0))
}

/// Lets the member hear a heartbeat and returns the lines on generations.
fn hear(member: &mut Membership, at: u64, heartbeat: Heartbeat) -> Vec<String> {
    let from = heartbeat.call_address.ip();
    member.receive(ms(at), from, Message::Heartbeat(heartbeat));
    tick(member, at)
}

fn tick(member: &mut Membership, at: u64) -> Vec<String> {
    member.tick(ms(at));
    let mut lines = member.take_log_lines();
    lines.retain(|line| line.contains("generation="));
    lines
}

#[test]
fn peers_of_other_generations_are_told_when_they_appear_and_leave() {
    let mut member = member();
    assert!(hear(&mut member, 0, heartbeat(2, 1, 1)).is_empty());
    let lines = hear(&mut member, 100, heartbeat(3, 0, 1));
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("generation=0") && lines[0].contains("appeared"), "{lines:?}");
    assert!(hear(&mut member, 200, heartbeat(3, 0, 2)).is_empty());
    assert_eq!(member.alive_by_generation(), IndexMap::from([(1, 2), (0, 1)]));
    // Replaced by the build of this gateway.
    let lines = hear(&mut member, 300, heartbeat(3, 1, 1));
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("generation=0") && lines[0].contains("left"), "{lines:?}");
    assert_eq!(member.alive_by_generation(), IndexMap::from([(1, 3)]));
    // From one other generation to another one.
    hear(&mut member, 400, heartbeat(2, 2, 1));
    assert_eq!(hear(&mut member, 500, heartbeat(2, 3, 1)).len(), 2);
    // Silent for long.
    assert_eq!(tick(&mut member, 10_000).len(), 1);
    assert_eq!(member.alive_by_generation(), IndexMap::from([(1, 1)]));
}

#[test]
fn fleet_of_two_generations_is_warned_of_after_ten_minutes() {
    let mut member = member();
    let mut warned = Vec::new();
    for step in 0..=25 * 60 {
        let at = step * 1_000;
        hear(&mut member, at, heartbeat(2, 0, step + 1));
        warned.extend(member.take_warnings().into_iter().map(|warning| (step, warning)));
    }
    let times: Vec<u64> = warned.iter().map(|(step, _)| *step).collect();
    assert_eq!(times, [10 * 60, 20 * 60], "{warned:?}");
    hear(&mut member, 25 * 60_000 + 500, heartbeat(2, 1, 1));
    tick(&mut member, 31 * 60_000);
    assert!(member.take_warnings().is_empty());
}

#[test]
fn version_of_a_peer_cannot_break_a_line() {
    let mut member = member();
    let build = Build { generation: 9, version: Arc::from("1\nWARN at=1") };
    let lines = hear(&mut member, 0, Heartbeat { build, ..heartbeat(2, 9, 1) });
    assert!(!lines.is_empty() && lines.iter().all(|line| !line.contains('\n')), "{lines:?}");
}

/// Settings confirmed after a restore were never in force at a gateway that got its first data from peers
/// of an earlier build: these ignore the restored platform, and it left the platform to them.
#[test]
fn gateway_with_data_of_an_earlier_build_alone_reads_the_platform_itself() {
    let is_reader = |generation, known: Revision| {
        let mut member = member();
        for number in [2, 3] {
            let peer = heartbeat(number, generation, 1);
            hear(
                &mut member,
                0,
                Heartbeat { settled: true, age_ms: Some(10), revision: 90, ..peer },
            );
        }
        let data = KnownData { revision: known, settings: 5 };
        let age = Some(Duration::from_millis(10));
        member.update_status(Phase::Ready, data, age, false);
        member.is_reader(ms(100), age)
    };
    assert!(is_reader(0, Revision::new(0, 90)), "no peer can tell the era");
    assert!(is_reader(0, Revision::new(2, 90)));
    assert!(is_reader(4, Revision::new(0, 90)), "it delivers no evacuations");
    assert!(!is_reader(5, Revision::new(0, 90)), "a platform without eras");
}

/// A gateway in touch with the platform was as stale as peers of an earlier build, while the one that reads
/// for both was not in touch: these peers confirmed its data, so it did not take over.
#[test]
fn peers_of_an_earlier_build_confirm_no_data_without_an_era() {
    let confirmed = |generation, known: Revision| {
        let mut member = member();
        let peer = heartbeat(2, generation, 1);
        hear(&mut member, 0, Heartbeat { age_ms: Some(10), revision: known.number, ..peer });
        let data = KnownData { revision: known, settings: 5 };
        member.update_status(Phase::Ready, data, Some(Duration::ZERO), false);
        member.confirmed_age(ms(0), known)
    };
    assert_eq!(confirmed(0, Revision::new(0, 90)), None);
    assert_eq!(confirmed(4, Revision::new(0, 90)), None, "it knows no evacuations");
    assert_eq!(confirmed(5, Revision::new(0, 90)), Some(Duration::from_millis(10)));
}

/// Guards against relays to gateways that lack what this build promises, such as to follow a restored
/// platform, while there are others.
#[test]
fn calls_are_relayed_to_gateways_of_an_earlier_build_only_without_others() {
    let mut member = member();
    let address = |number| heartbeat(number, 0, 1).call_address;
    let mut hear_ready = |number, generation| {
        let ready = Heartbeat { phase: Phase::Ready, ..heartbeat(number, generation, 1) };
        let settled = generation == 0;
        hear(&mut member, 0, Heartbeat { settled, ..ready });
        member.relay_peers()
    };
    assert_eq!(hear_ready(2, 0), [address(2)]);
    // Earlier ones rank before it.
    assert_eq!(hear_ready(3, 1), [address(3)]);
    assert_eq!(hear_ready(4, 0), [address(3)]);
    let later = hear_ready(5, 2);
    assert!(later == [address(3)] || later == [address(5)], "{later:?}");
}
