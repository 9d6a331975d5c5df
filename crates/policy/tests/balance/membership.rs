//! Discovery of gateways, directions for callers, and the choice of platform readers.

use crate::fixture::{first_heartbeat, known, ms};
use arbtest::arbtest;
use azuretally_policy::{
    Timestamp,
    balance::{Heartbeat, Membership, MembershipBuilder, Message, Phase},
};
use indexmap::IndexMap;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

fn ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Gateways on a simulated network from which hosts can be cut off.
struct Fleet {
    members: IndexMap<IpAddr, Membership>,
    cut: Vec<IpAddr>,
    /// Simulated time, in ms.
    now: u64,
    /// Number of messages sent.
    sent: u64,
}

impl Fleet {
    fn new(size: u8, domains: u8) -> Self {
        let seeds = vec![ip(1), ip(2), ip(3)];
        let members = (1..=size).map(|number| (ip(number), membership(number, domains, &seeds, 1)));
        Self { members: members.collect(), cut: Vec::new(), now: 0, sent: 0 }
    }

    fn now(&self) -> Timestamp {
        ms(self.now)
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 25;
            let now = self.now();
            let mut in_flight = Vec::new();
            for (from, member) in &mut self.members {
                in_flight.extend(member.tick(now).into_iter().map(|o| (*from, o)));
            }
            while let Some((from, outgoing)) = in_flight.pop() {
                self.sent += 1;
                if self.cut.contains(&from) || self.cut.contains(&outgoing.to) {
                    continue;
                }
                let Some(receiver) = self.members.get_mut(&outgoing.to) else { continue };
                let replies = receiver.receive(now, from, outgoing.message);
                in_flight.extend(replies.into_iter().map(|o| (outgoing.to, o)));
            }
        }
    }

    fn directed(&self, at: u8, domain: &str) -> Vec<IpAddr> {
        let directions = self.members[&ip(at)].directions(domain);
        directions.addresses.iter().map(SocketAddr::ip).collect()
    }

    fn readers(&self) -> usize {
        let recent = Some(Duration::from_millis(900));
        self.members
            .iter()
            .filter(|(ip, m)| !self.cut.contains(ip) && m.is_reader(self.now(), recent))
            .count()
    }
}

fn membership(number: u8, domains: u8, seeds: &[IpAddr], incarnation: u64) -> Membership {
    membership_with_capacity(number, domains, seeds, incarnation, 200)
}

fn membership_with_capacity(
    number: u8,
    domains: u8,
    seeds: &[IpAddr],
    incarnation: u64,
    capacity: u32,
) -> Membership {
    let own = Heartbeat { incarnation, capacity, ..initial_heartbeat(number, domains) };
    let mut member = MembershipBuilder::new(own).seeds(seeds.to_vec()).build(ms(0));
    member.update_status(Phase::Ready, known(1), Some(Duration::ZERO), false);
    member
}

/// Returns the state that gateway `number` reports at its start.
fn initial_heartbeat(number: u8, domains: u8) -> Heartbeat {
    first_heartbeat(
        usize::from(number),
        Arc::from(format!("domain-{}", number % domains)),
        ip(number),
    )
}

#[test]
fn gateways_of_a_domain_discover_each_other_and_agree_on_directions() {
    let mut fleet = Fleet::new(16, 3);
    fleet.run(5_000);
    for domain in ["domain-0", "domain-1", "domain-2"] {
        let first = fleet.directed(1, domain);
        assert_eq!(first.len(), 1);
        let own: Vec<u8> = (1..=16).filter(|n| format!("domain-{}", n % 3) == domain).collect();
        for number in own {
            assert_eq!(fleet.directed(number, domain), first, "at gateway {number}");
        }
    }
    assert_eq!(fleet.readers(), 3, "one reader in each failure domain");
}

#[test]
fn fleet_forms_although_two_seeds_are_dead() {
    let mut fleet = Fleet::new(12, 3);
    fleet.cut = vec![ip(1), ip(2)];
    fleet.run(6_000);
    let first = fleet.directed(6, "domain-0");
    assert_eq!(fleet.directed(12, "domain-0"), first);
    assert_eq!(fleet.directed(9, "domain-0"), first);
}

#[test]
fn dead_gateway_is_replaced_in_directions_and_as_reader() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run(5_000);
    let first = fleet.directed(4, "domain-1")[0];
    fleet.cut = vec![first];
    fleet.run(2_500);
    let survivor =
        (1..=12).find(|n| n % 3 == 1 && ip(*n) != first).expect("the domain has other gateways");
    let second = fleet.directed(survivor, "domain-1");
    assert!(!second.is_empty() && second[0] != first, "{second:?} after {first}");
    assert_eq!(fleet.readers(), 3);
}

#[test]
fn broken_connection_removes_a_gateway_at_once_and_a_new_process_restores_it() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(5_000);
    let first = fleet.directed(1, "domain-0")[0];
    let number = (1..=6).find(|n| ip(*n) == first).expect("known");
    let other = if number == 1 { 2 } else { 1 };
    let now = fleet.now();
    let host = format!("gateway-{number}");
    fleet.cut = vec![first];
    fleet.members[&ip(other)].connection_lost(now, &host);
    assert_ne!(fleet.directed(other, "domain-0")[0], first);
    fleet.cut.clear();
    fleet.members.insert(first, membership(number, 1, &[ip(1), ip(2), ip(3)], 2));
    fleet.run(4_500);
    assert_eq!(fleet.directed(other, "domain-0"), [first], "it ranks as before");
}

#[test]
fn leaving_gateway_is_out_of_directions_after_its_first_heartbeat() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(5_000);
    let first = fleet.directed(1, "domain-0")[0];
    fleet.members[&first].update_status(Phase::Leaving, known(1), None, false);
    fleet.run(25);
    for number in 1..=6 {
        assert_ne!(fleet.directed(number, "domain-0")[0], first, "at gateway {number}");
    }
}

#[test]
fn callers_are_directed_to_several_gateways_if_capacity_is_low() {
    let mut fleet = Fleet::new(8, 1);
    let seeds = [ip(1), ip(2), ip(3)];
    for number in 1..=8 {
        let capacity = if number <= 2 { 500 } else { 50 };
        fleet.members.insert(ip(number), membership_with_capacity(number, 1, &seeds, 1, capacity));
    }
    fleet.run(5_000);
    let strong = fleet.directed(5, "domain-0");
    assert!(strong.len() == 1 && [ip(1), ip(2)].contains(&strong[0]), "{strong:?}");
    fleet.cut = vec![ip(1), ip(2)];
    fleet.run(2_500);
    assert_eq!(fleet.directed(5, "domain-0").len(), 3);
}

#[test]
fn callers_of_a_domain_without_gateways_are_directed_to_other_domains() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(5_000);
    fleet.cut = (1..=9).filter(|n| n % 3 == 0).map(ip).collect();
    fleet.run(8_000);
    let remote = fleet.directed(1, "domain-0");
    assert!(!remote.is_empty());
    assert!(remote.iter().all(|ip| !fleet.cut.contains(ip)), "{remote:?}");
}

#[test]
fn message_rate_per_gateway_is_bounded_in_a_large_fleet() {
    let cost = |size: u8| {
        let mut fleet = Fleet::new(size, 3);
        fleet.run(8_000);
        fleet.sent = 0;
        fleet.run(20_000);
        fleet.sent as f64 / f64::from(size) / 20.0
    };
    let (small, large) = (cost(16), cost(96));
    assert!(large < 41.0 && small < 41.0, "messages per second: {small} and {large}");
}

#[test]
fn fleet_converges_after_any_partition() {
    arbtest(|u| {
        let mut fleet = Fleet::new(9, 3);
        fleet.run(4_000);
        for _ in 0..4 {
            let count = u.int_in_range(0..=5)?;
            fleet.cut.clear();
            for _ in 0..count {
                fleet.cut.push(ip(u.int_in_range(1..=9)?));
            }
            fleet.run(u.int_in_range(200..=6_000)?);
        }
        fleet.cut.clear();
        fleet.run(8_000);
        for domain in ["domain-0", "domain-1", "domain-2"] {
            let first = fleet.directed(1, domain);
            for number in (1..=9).filter(|n| format!("domain-{}", n % 3) == domain) {
                assert_eq!(fleet.directed(number, domain), first);
            }
        }
        assert_eq!(fleet.readers(), 3);
        Ok(())
    })
    .budget_ms(1_500);
}

#[test]
fn callers_are_directed_to_more_gateways_in_a_domain_with_many_slots() {
    let mut fleet = Fleet::new(8, 1);
    fleet.run(5_000);
    assert_eq!(fleet.directed(5, "domain-0").len(), 1);
    fleet.members[&ip(5)].set_domain_slots(2_000);
    assert_eq!(fleet.directed(5, "domain-0").len(), 6);
}

/// If each gateway announced a new revision to all others, the number of messages would grow with
/// the square of the number of gateways.
#[test]
fn new_revision_is_announced_by_its_reader_alone() {
    let mut fleet = Fleet::new(32, 1);
    fleet.run(6_000);
    fleet.sent = 0;
    while fleet.sent < 31 * 32 {
        fleet.run(25);
    }
    // All gateways have just sent their heartbeats.
    fleet.sent = 0;
    for (number, member) in fleet.members.values_mut().enumerate() {
        member.update_status(Phase::Ready, known(2), Some(Duration::ZERO), number == 0);
    }
    fleet.run(50);
    assert!((1..=31).contains(&fleet.sent), "{} messages", fleet.sent);
}

/// After a restart of a large fleet, fetching the whole catalog from another failure domain at each
/// gateway would cost more traffic than all its calls.
#[test]
fn first_data_is_fetched_from_another_domain_only_after_a_delay() {
    let heartbeat = |number, revision| {
        Message::Heartbeat(Heartbeat {
            sequence: 1,
            phase: Phase::Ready,
            revision,
            ..initial_heartbeat(number, 2)
        })
    };
    let mut fresh = membership(2, 2, &[], 1);
    fresh.receive(ms(100), ip(1), heartbeat(1, 7));
    assert_eq!(fresh.newer_peer(ms(100), known(0), None), None);
    let (_, remote) =
        fresh.newer_peer(ms(1_300), known(0), None).expect("no local gateway delivered data");
    assert_eq!(remote, ip(1));
    fresh.receive(ms(100), ip(4), heartbeat(4, 5));
    let (_, local) = fresh.newer_peer(ms(100), known(0), None).expect("a local peer has data");
    assert_eq!(local, ip(4));
}

/// After a restart of a large fleet, a list of all targets for every gateway would be more than the
/// platform can answer.
#[test]
fn gateways_without_data_let_the_primary_of_their_domain_list_targets_first() {
    let mut fleet = Fleet::new(60, 3);
    fleet.run(300);
    let readers =
        |fleet: &Fleet| fleet.members.values().filter(|m| m.is_reader(fleet.now(), None)).count();
    assert_eq!(readers(&fleet), 3);
    fleet.run(2_500);
    assert_eq!(readers(&fleet), 60, "no gateway waits for long if the primaries deliver no data");
}

/// In a domain of a hundred gateways, each sends a heartbeat every 2.5 s. Changes of the platform and its
/// state came as late, and several gateways read the platform since the reader seemed to have stopped.
#[test]
fn leading_gateways_of_a_large_domain_are_heard_often() {
    let mut fleet = Fleet::new(100, 1);
    fleet.run(12_000);
    let reader = fleet.members.iter().find(|(_, m)| m.is_reader(fleet.now(), Some(Duration::ZERO)));
    let reader = *reader.expect("a reader").0;
    let mut oldest = Duration::ZERO;
    for _ in 0..100 {
        fleet.run(100);
        let now = fleet.now();
        fleet.members[&reader].update_status(Phase::Ready, known(1), Some(Duration::ZERO), true);
        let others = fleet.members.iter().filter(|(ip, _)| **ip != reader);
        let ages = others.filter_map(|(_, m)| m.confirmed_age(now, known(1).revision));
        oldest = oldest.max(ages.max().unwrap_or(Duration::MAX));
    }
    assert!(oldest < Duration::from_millis(900), "{oldest:?}");
}

/// A leading gateway of a large domain falls silent: its host has lost power.
#[test]
fn silent_leading_gateway_of_a_large_domain_is_replaced_soon() {
    let mut fleet = Fleet::new(100, 1);
    fleet.run(12_000);
    let first = fleet.directed(7, "domain-0")[0];
    let others: Vec<IpAddr> = (1..=100).map(ip).filter(|ip| *ip != first).collect();
    let naming = |fleet: &Fleet| {
        let names = |ip: &&IpAddr| {
            let directions = fleet.members[*ip].directions("domain-0");
            directions.addresses.iter().any(|address| address.ip() == first)
        };
        others.iter().filter(names).count()
    };
    assert_eq!(naming(&fleet), 99);
    fleet.cut = vec![first];
    fleet.run(2_500);
    assert_eq!(naming(&fleet), 0, "gateways that still name it");
}

/// A join message was answered with 48 gateways at most, and nothing else told of the others. In a domain of
/// a hundred, each gateway ranked those that it knew, so callers were directed to dozens of them.
#[test]
fn gateways_of_a_large_domain_know_all_others() {
    let mut fleet = Fleet::new(160, 1);
    fleet.run(30_000);
    let least = fleet.members.values().map(Membership::alive_count).min();
    assert_eq!(least, Some(160));
    let first = fleet.directed(1, "domain-0");
    for number in 2..=160 {
        assert_eq!(fleet.directed(number, "domain-0"), first, "at gateway {number}");
    }
}

/// Guards against gateways that tell all others of themselves whenever they have found one more: when half of a
/// domain started at once, each small gateway had thousands of messages to handle, and settings came late there.
#[test]
fn gateways_that_start_at_once_are_greeted_one_by_one() {
    let mut member = membership(1, 1, &[], 1);
    let mut sent = member.tick(ms(1_000)).len();
    for number in 2..=100 {
        let now = ms(1_000 + u64::from(number));
        let heartbeat = initial_heartbeat(number, 1);
        member.receive(now, ip(number), Message::Heartbeat(heartbeat));
        // A datagram that arrives wakes the gateway.
        let outgoing = member.tick(now);
        let greets = outgoing.iter().any(|o| {
            o.to == ip(number) && matches!(o.message, Message::Heartbeat(_) | Message::Peers(_))
        });
        assert!(greets, "gateway {number} learns of the others with their next heartbeat only");
        sent += outgoing.len();
    }
    assert!(sent <= 3 * 99, "{sent} messages for 99 gateways");
}
