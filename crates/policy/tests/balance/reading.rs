//! How long changes of the platform take to reach all gateways of a failure domain whose first
//! gateways cannot read it.

use crate::{
    fixture::{first_heartbeat, ms},
    platform::published,
};
use azuretally_policy::{
    Timestamp,
    balance::{
        Catalog, Change, Heartbeat, KnownData, Membership, MembershipBuilder, Phase, Revision,
        Source,
    },
};
use indexmap::IndexMap;
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

/// Time in which confirmed settings have to be in force at a gateway that can read the platform.
const IN_FORCE_MS: u64 = 2_000;
/// The same in a deployment with a hundred gateways in a failure domain, less the time that small gateways
/// take to fetch and apply an update.
const LARGE_IN_FORCE_MS: u64 = 3_000 - 600;
/// Simulated time between two steps.
const STEP_MS: u64 = 25;
/// Pause of a gateway after a successful read, after a failed one, and between checks whether it has
/// to read.
const READ_INTERVAL_MS: u64 = 1_000;
const RETRY_MS: u64 = 1_200;
const CHECK_MS: u64 = 150;

fn ip(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

/// A gateway without sockets.
struct Gateway {
    membership: Membership,
    catalog: Catalog,
    /// When it next reads the platform, or checks whether it has to.
    next_read: u64,
    reaches_platform: bool,
    /// Whether its host is dark.
    is_dark: bool,
    reads: u32,
    failures: u32,
}

impl Gateway {
    /// Creates gateway `number` of `domain` whose process starts at `start`.
    fn new(number: u16, domain: &str, start: u64) -> Self {
        let first = first_heartbeat(usize::from(number), Arc::from(domain), ip(number));
        let own = Heartbeat { incarnation: start, ..first };
        let seeds = vec![ip(1), ip(2)];
        Self {
            membership: MembershipBuilder::new(own).seeds(seeds).build(ms(start)),
            catalog: Catalog::default(),
            next_read: 0,
            reaches_platform: true,
            is_dark: false,
            reads: 0,
            failures: 0,
        }
    }

    fn known(&self) -> KnownData {
        KnownData { revision: self.catalog.revision(), settings: self.catalog.settings_version() }
    }

    fn refresh(&mut self, now: Timestamp) {
        let age = self.catalog.age(now);
        let reader = self.membership.is_reader(now, age);
        let known = KnownData { revision: self.catalog.content_revision(), ..self.known() };
        let phase = match self.catalog.published() {
            Some(_) => Phase::Ready,
            None => Phase::Starting,
        };
        self.membership.update_status(phase, known, age, reader);
    }

    fn read(&mut self, at: u64, version: u64) {
        let now = ms(at);
        if at < self.next_read {
            return;
        }
        if !self.membership.is_reader(now, self.catalog.age(now)) {
            self.next_read = at + CHECK_MS;
            return;
        }
        self.reads += 1;
        if !self.reaches_platform {
            self.failures += 1;
            self.membership.record_reads(self.failures);
            self.next_read = at + RETRY_MS;
            return;
        }
        self.next_read = at + READ_INTERVAL_MS;
        let changes = vec![Change::Published(published(version))];
        let revision = Revision::new(1, version);
        match self.catalog.revision().is_unknown() {
            true => self.catalog.relist(now, revision, changes, Source::Platform),
            false => self.catalog.apply(now, revision, changes, Source::Platform),
        };
        self.failures = 0;
        self.membership.record_reads(0);
        self.refresh(now);
    }
}

/// Gateways of one failure domain, and the version that the platform has confirmed.
struct Domain {
    gateways: IndexMap<IpAddr, Gateway>,
    now: u64,
    /// When each version was confirmed, the first of them 1.
    confirmed: Vec<u64>,
}

impl Domain {
    fn new(size: u16) -> Self {
        let gateways = (1..=size).map(|number| (ip(number), Gateway::new(number, "a", 0)));
        Self { gateways: gateways.collect(), now: 0, confirmed: vec![0] }
    }

    fn publish(&mut self) {
        self.confirmed.push(self.now);
    }

    fn version(&self) -> u64 {
        self.confirmed.len() as u64
    }

    /// Advances the time by one step.
    fn step(&mut self) {
        self.now += STEP_MS;
        let (at, now, version) = (self.now, ms(self.now), self.version());
        let mut in_flight = Vec::new();
        for (from, gateway) in self.gateways.iter_mut().filter(|(_, g)| !g.is_dark) {
            gateway.read(at, version);
            gateway.refresh(now);
            in_flight.extend(gateway.membership.tick(now).into_iter().map(|o| (*from, o)));
        }
        while let Some((from, outgoing)) = in_flight.pop() {
            let receiver = self.gateways.get_mut(&outgoing.to).filter(|g| !g.is_dark);
            let Some(receiver) = receiver else { continue };
            let replies = receiver.membership.receive(now, from, outgoing.message);
            in_flight.extend(replies.into_iter().map(|o| (outgoing.to, o)));
        }
        for index in 0..self.gateways.len() {
            self.exchange(index);
        }
    }

    /// Lets a gateway fetch from a peer that has later data, or confirm its age.
    fn exchange(&mut self, index: usize) {
        let now = ms(self.now);
        let gateway = &self.gateways[index];
        let known = gateway.known();
        let age = gateway.catalog.age(now);
        let confirmed = gateway.membership.confirmed_age(now, known.revision);
        let peer = gateway.membership.newer_peer(now, known, age);
        let peer = peer.filter(|(_, ip)| !self.gateways[ip].is_dark);
        let update = peer.and_then(|(_, ip)| {
            let catalog = &self.gateways[&ip].catalog;
            let update = catalog.update_since(known.revision, Some(known.settings));
            Some((catalog.revision().era, update, catalog.age(now)?))
        });
        let gateway = &mut self.gateways[index];
        if let Some(age) = confirmed
            && !known.revision.is_unknown()
        {
            gateway.catalog.apply(now, known.revision, Vec::new(), Source::Peer(age));
        }
        if let Some((era, update, age)) = update {
            gateway.catalog.apply_update(now, era, update, Source::Peer(age));
            gateway.refresh(now);
        }
    }

    /// Lets the `count` gateways that read the platform first lose it. Returns the others.
    fn cut_first(&mut self, count: usize) {
        for age in (1_500..).step_by(250).take(count) {
            let now = ms(self.now);
            let sound = self.gateways.values_mut().filter(|g| g.reaches_platform);
            let old = Some(Duration::from_millis(age));
            let mut first: Vec<&mut Gateway> =
                sound.filter(|g| g.membership.is_reader(now, old)).collect();
            assert_eq!(first.len(), 1, "one gateway ranks first");
            first[0].reaches_platform = false;
        }
    }

    /// Returns how long it takes until the latest version is in force at all gateways that reach the
    /// platform.
    fn time_to_last_version(&mut self) -> u64 {
        let start = self.now;
        let version = self.version();
        let is_late = |g: &Gateway| g.reaches_platform && g.catalog.settings_version() < version;
        while self.gateways.values().any(is_late) {
            self.step();
        }
        self.now - start
    }

    /// Publishes settings at various times and returns the longest time until a version was in force at
    /// all gateways that reach the platform.
    fn latest(&mut self, duration: u64) -> u64 {
        let end = self.now + duration;
        let mut latest = 0;
        let mut next = self.now;
        let mut gap = 475;
        while self.now < end {
            if self.now >= next {
                self.publish();
                gap = (gap + 175) % 1_400 + 50;
                next = self.now + gap;
            }
            self.step();
            let sound = self.gateways.values().filter(|g| g.reaches_platform);
            let oldest = sound.map(|g| g.catalog.settings_version()).min().unwrap_or(0);
            if let Some(at) = self.confirmed.get(oldest as usize) {
                latest = latest.max(self.now - at);
            }
        }
        latest
    }
}

fn latest_without_first(size: u16, count: usize) -> u64 {
    let mut domain = Domain::new(size);
    while domain.now < 6_000 {
        domain.step();
    }
    domain.cut_first(count);
    domain.latest(60_000)
}

/// Settings confirmed for longer than the bound were not in force: while the first gateway of the domain
/// could not read the platform, the next one read only when its data had grown old, and told the others
/// with its next heartbeat.
#[test]
fn settings_are_in_force_in_time_while_the_first_gateway_cannot_read_the_platform() {
    for (size, count) in [(3, 1), (5, 1), (32, 1), (5, 2), (32, 3)] {
        let latest = latest_without_first(size, count);
        assert!(latest <= IN_FORCE_MS, "gateways={size} cut={count} latest={latest} ms");
    }
}

#[test]
fn settings_are_in_force_in_time_while_all_gateways_read_the_platform() {
    for size in [1, 5, 32] {
        let latest = latest_without_first(size, 0);
        assert!(latest <= IN_FORCE_MS, "gateways={size} latest={latest} ms");
    }
}

/// Guards against a list of all targets for every gateway, which would be more than the platform can
/// answer, when it is back after it has answered nobody.
#[test]
fn few_gateways_read_a_platform_that_answers_again() {
    for size in [5, 32] {
        let mut domain = Domain::new(size);
        while domain.now < 6_000 {
            domain.step();
        }
        for gateway in domain.gateways.values_mut() {
            gateway.reaches_platform = false;
        }
        while domain.now < 20_000 {
            domain.step();
        }
        for gateway in domain.gateways.values_mut() {
            gateway.reaches_platform = true;
            gateway.reads = 0;
        }
        while domain.now < 25_000 {
            domain.step();
        }
        let reads: Vec<u32> = domain.gateways.values().map(|g| g.reads).collect();
        let readers = reads.iter().filter(|count| **count > 0).count();
        assert!(readers <= usize::from(size / 4 + 2), "gateways={size} reads={reads:?}");
    }
}

/// Returns the longest time until settings that are confirmed while the first `count` of `size` gateways go
/// dark are in force at all others, for `phases` moments within a second.
fn latest_while_first_go_dark(size: u16, count: usize, phases: u64) -> u64 {
    let latest = (0..phases).map(|phase| {
        let mut domain = Domain::new(size);
        while domain.now < 6_000 + phase * READ_INTERVAL_MS / phases {
            domain.step();
        }
        domain.cut_first(count);
        for gateway in domain.gateways.values_mut() {
            gateway.is_dark = !gateway.reaches_platform;
        }
        domain.publish();
        domain.time_to_last_version()
    });
    latest.max().unwrap_or(0)
}

/// Settings confirmed for longer than the bound were not in force in a large failure domain several of
/// whose gateways had gone dark at once: the others waited for each of them.
#[test]
fn settings_are_in_force_in_time_although_the_first_gateways_go_dark() {
    for (size, count) in [(5, 2), (16, 4), (32, 2), (32, 4), (32, 8)] {
        let latest = latest_while_first_go_dark(size, count, 40);
        assert!(latest <= IN_FORCE_MS, "gateways={size} dark={count} latest={latest} ms");
    }
}

/// More than half of the hosts of a failure domain with a hundred gateways lost power, the first eight by rank
/// among them. Heartbeats are rare there, so the others took them for alive, and waited for each.
#[test]
fn settings_are_in_force_in_time_although_the_first_gateways_of_a_hundred_go_dark() {
    for count in [1, 4, 8] {
        let latest = latest_while_first_go_dark(100, count, 8);
        assert!(latest <= LARGE_IN_FORCE_MS, "dark={count} latest={latest} ms");
    }
}

/// Returns how many of `size` gateways that start at once read the platform in their first 300 ms, and after
/// how many ms all have its data. Of the seeds, those before `first_alive` are dark.
fn cold_start(size: u16, first_alive: u16) -> (u32, u64) {
    let mut domain = Domain::new(size);
    for number in 1..first_alive {
        domain.gateways[&ip(number)].is_dark = true;
    }
    let mut early_reads = 0;
    while domain.gateways.values().any(|g| !g.is_dark && g.catalog.published().is_none()) {
        domain.step();
        if domain.now <= 300 {
            early_reads = domain.gateways.values().map(|g| g.reads).sum();
        }
        assert!(domain.now < 10_000, "some have no data");
    }
    (early_reads, domain.now)
}

/// Hundreds of gateways start at once, after a loss of power or for the first time. Each knew no other yet, took
/// itself for the first and read the platform.
#[test]
fn few_gateways_read_the_platform_when_all_start_at_once() {
    for size in [3, 16, 100] {
        let (reads, time) = cold_start(size, 1);
        assert!(reads <= 4, "gateways={size} reads={reads}");
        assert!(time <= 300, "gateways={size} all have data after {time} ms");
    }
}

/// The seeds may be down when the others start.
#[test]
fn gateways_that_start_without_their_seeds_read_the_platform_soon() {
    let (_, time) = cold_start(16, 3);
    assert!(time <= 300, "all have data after {time} ms");
}

/// More than half of the gateways of a failure domain lose power, the reader among them, and are back half a second
/// later. The seeds are in another domain and know few of this one. The reader has forgotten the others, which heard
/// of later settings when it had heard each of them: after a heartbeat interval of a large domain.
#[test]
fn settings_are_in_force_in_time_at_those_that_a_returned_reader_has_forgotten() {
    let old = Some(Duration::from_millis(1_500));
    for size in [32, 100] {
        for phase in 0..4 {
            let mut domain = Domain::new(size);
            for seed in [1, 2] {
                domain.gateways[&ip(seed)] = Gateway::new(seed, "b", 0);
            }
            while domain.now < 12_000 + phase * READ_INTERVAL_MS / 4 {
                domain.step();
            }
            let now = ms(domain.now);
            let is_reader =
                |number: u16| domain.gateways[&ip(number)].membership.is_reader(now, old);
            let is_lost = |number: &u16| is_reader(*number) || number % 9 < 5;
            let lost: Vec<u16> = (3..=size).filter(is_lost).collect();
            for number in &lost {
                domain.gateways[&ip(*number)].is_dark = true;
            }
            domain.publish();
            let confirmed = domain.now;
            while domain.now < confirmed + 500 {
                domain.step();
            }
            for number in &lost {
                domain.gateways[&ip(*number)] = Gateway::new(*number, "a", domain.now);
            }
            domain.time_to_last_version();
            let latest = domain.now - confirmed;
            assert!(
                latest <= LARGE_IN_FORCE_MS,
                "gateways={size} phase={phase} latest={latest} ms"
            );
        }
    }
}
