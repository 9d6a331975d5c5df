//! A burst in a failure domain with two large gateways and many small ones. One gateway that takes all
//! calls of the domain falls behind its callers while the others are idle.

use crate::fixture::{first_heartbeat, known, ms};
use azuretally_policy::balance::{
    GatewayLoad, Heartbeat, Membership, MembershipBuilder, Message, Phase,
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

const LARGE: u32 = 500;
const SMALL: u32 = 100;

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// A gateway that knows the others of its domain.
struct Observer {
    membership: Membership,
    capacities: Vec<u32>,
    sequence: u64,
    now: u64,
}

impl Observer {
    /// Creates gateway 0 of gateways with these capacities.
    fn new(capacities: &[u32]) -> Self {
        let own =
            Heartbeat { capacity: capacities[0], ..first_heartbeat(0, Arc::from("a"), ip(0)) };
        let mut membership = MembershipBuilder::new(own).build(ms(0));
        membership.update_status(Phase::Ready, known(1), Some(Duration::ZERO), false);
        Self { membership, capacities: capacities.to_vec(), sequence: 0, now: 10_000 }
    }

    /// Lets a second pass in which the gateways use `used` and the others nothing.
    fn observe(&mut self, used: &[(u8, u32)]) {
        self.now += 1_000;
        self.sequence += 1;
        self.membership.tick(ms(self.now));
        let used_by = |number: u8| used.iter().find(|(n, _)| *n == number).map(|(_, used)| *used);
        for (number, capacity) in (0..).zip(self.capacities.clone()).skip(1) {
            let heartbeat = Heartbeat {
                capacity,
                sequence: self.sequence,
                phase: Phase::Ready,
                settled: true,
                load: GatewayLoad { used: used_by(number).unwrap_or(0), interval_ms: 0 },
                ..first_heartbeat(usize::from(number), Arc::from("a"), ip(number))
            };
            self.membership.receive(ms(self.now), ip(number), Message::Heartbeat(heartbeat));
        }
        self.membership.tick(ms(self.now));
    }

    fn directed(&self) -> Vec<IpAddr> {
        self.membership.directions("a").addresses.iter().map(SocketAddr::ip).collect()
    }
}

/// Two large gateways, numbers 1 and 2, and twenty small ones.
fn mixed_domain() -> Observer {
    let mut capacities = vec![SMALL; 23];
    (capacities[1], capacities[2]) = (LARGE, LARGE);
    Observer::new(&capacities)
}

#[test]
fn one_gateway_is_enough_while_it_has_processor_time_left() {
    let mut domain = mixed_domain();
    domain.observe(&[]);
    let first = domain.directed();
    assert_eq!(first.len(), 1);
    domain.observe(&[(1, 280)]);
    assert_eq!(domain.directed(), first);
}

#[test]
fn second_large_gateway_comes_in_before_the_first_is_saturated() {
    let mut domain = mixed_domain();
    domain.observe(&[(1, 330)]);
    let mut directed = domain.directed();
    directed.sort();
    assert_eq!(directed, [ip(1), ip(2)]);
}

/// Callers choose evenly among the addresses, so a small gateway gets as many calls as a large one.
#[test]
fn small_gateways_come_in_only_when_the_large_ones_can_bear_no_more() {
    let mut domain = mixed_domain();
    domain.observe(&[(1, 430), (2, 430)]);
    assert_eq!(domain.directed().len(), 2);
    domain.observe(&[(1, 500), (2, 500)]);
    assert!(domain.directed().len() > 11, "{:?}", domain.directed());
}

/// All processes of many hosts end at once, the large gateways among them. Their callers come to those
/// that are left.
#[test]
fn load_of_gateways_that_have_ended_is_remembered() {
    let mut domain = mixed_domain();
    domain.observe(&[(1, 200), (2, 180)]);
    for host in ["gateway-1", "gateway-2"] {
        domain.membership.connection_lost(ms(domain.now), host);
    }
    let directed = domain.directed();
    assert!(directed.len() >= 6, "{directed:?}");
    assert!(directed.len() <= 8, "{directed:?}");
}

#[test]
fn directions_shrink_again_some_time_after_the_burst() {
    let mut domain = mixed_domain();
    domain.observe(&[(1, 450), (2, 200)]);
    domain.observe(&[(1, 60), (2, 60)]);
    assert_eq!(domain.directed().len(), 2, "a second burst may follow");
    for _ in 0..10 {
        domain.observe(&[(1, 60), (2, 60)]);
    }
    assert_eq!(domain.directed().len(), 1);
}

/// Guards against a gateway that keeps the callers of its domain, since these keep their connections, and falls
/// behind while the others that they are directed to are idle.
#[test]
fn gateway_that_is_busier_than_the_others_sheds_callers() {
    let mut domain = Observer::new(&[LARGE; 3]);
    domain.membership.set_load(450);
    domain.observe(&[(1, 150), (2, 150)]);
    assert!(domain.membership.sheds_callers());
    domain.observe(&[(1, 400), (2, 400)]);
    assert!(!domain.membership.sheds_callers(), "all are as busy");
    domain.membership.set_load(250);
    domain.observe(&[(1, 50), (2, 50)]);
    assert!(!domain.membership.sheds_callers(), "it has processor time left");
    let mut alone = Observer::new(&[LARGE]);
    alone.membership.set_load(500);
    alone.observe(&[]);
    assert!(!alone.membership.sheds_callers(), "there is no other");
}

/// All gateways have their part of the calls.
#[test]
fn evenly_loaded_gateways_remain_directed() {
    let mut domain = Observer::new(&[SMALL; 8]);
    domain.membership.set_load(55);
    let all: Vec<(u8, u32)> = (1..8).map(|number| (number, 55)).collect();
    for _ in 0..30 {
        domain.observe(&all);
    }
    assert_eq!(domain.directed().len(), 8);
}

/// No more gateways are named than callers accept, whatever the heartbeats say.
#[test]
fn directions_are_bounded() {
    let mut domain = Observer::new(&[SMALL; 120]);
    let all: Vec<(u8, u32)> = (1..120).map(|number| (number, u32::MAX)).collect();
    domain.observe(&all);
    assert_eq!(domain.directed().len(), 64);
}
