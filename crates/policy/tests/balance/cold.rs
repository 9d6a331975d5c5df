//! Cold targets: the sum of the requests that all gateways send to one stays within its bound, and its rate is used.

use crate::fixture::{
    Fixture, LOCAL, expect_start, first_heartbeat, known, ms, probe_of, record, route, settings,
};
use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use azuretally_policy::balance::{
    AttemptOutcome, Balancer, BalancerSettings, Call, CallDigests, CallerLimits, Catalog,
    CatalogUpdate, Change, ColdBound, ColdRates, ColdShare, Decision, GiveUpReason, Membership,
    MembershipBuilder, Message, Phase, Probe, ProcessId, PublishedSettings, RequestRate, Revision,
    ServiceSettings, Source, TargetRecord,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
/// Requests per second that a cold target can handle.
const RATE: f64 = 3.5;
/// Time for which a target is cold after its start, in ms.
const COLD_MS: u64 = 3_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap_or_else(|| panic!("{per_second}"))
}

/// Returns the most requests that a cold target may get in one second.
fn bound() -> usize {
    settings().cold_bound.requests(rate(RATE)) as usize
}

fn published(version: u64, cold_rate: Option<f64>) -> PublishedSettings {
    let service = ServiceSettings {
        connections: 10,
        probe_path: Arc::from("/load"),
        cold_rate: cold_rate.map(rate),
    };
    PublishedSettings {
        version,
        routes: Vec::new(),
        services: IndexMap::from([(Arc::from("service"), service)]),
        limits: CallerLimits::DEFAULT,
    }
}

fn cold(record: TargetRecord, warmup_ms: u64) -> TargetRecord {
    TargetRecord { warmup: Duration::from_millis(warmup_ms), ..record }
}

/// Returns a balancer with `targets` warm targets whose service has a rate, in a domain without other gateways.
fn alone(targets: u8) -> Fixture {
    let mut fixture = Fixture::new(targets, 0);
    fixture.apply_changes(ms(0), vec![Change::Published(published(1, Some(RATE)))]);
    fixture.balancer.assign_cold_targets(ms(0), membership(0, &[0]).cold_assignment());
    fixture
}

/// Returns the membership of a gateway that starts at 0.
fn membership(number: usize, seeds: &[usize]) -> Membership {
    let own = first_heartbeat(number, Arc::from(LOCAL), host_ip(number));
    let seeds = seeds.iter().map(|seed| host_ip(*seed)).collect();
    let mut membership = MembershipBuilder::new(own).seeds(seeds).build(ms(0));
    membership.update_status(Phase::Ready, known(1), Some(Duration::ZERO), false);
    membership.tick(ms(0));
    membership
}

fn host_ip(number: usize) -> IpAddr {
    let [.., high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 2, high, low))
}

impl Fixture {
    /// Submits a call every 10 ms in `times` and answers what starts at once. Returns when calls were sent to
    /// `target`.
    fn burst(&mut self, times: std::ops::Range<u64>, target: &str) -> Vec<u64> {
        let mut sent = Vec::new();
        for now in times.step_by(10) {
            let mut decisions = self.balancer.dispatch_waiting(ms(now));
            decisions.push(self.submit(ms(now), &route("check", true)));
            for (id, decision) in decisions {
                if let Decision::Start(start) = decision {
                    if &*start.target == target {
                        sent.push(now);
                    }
                    self.end_attempt(ms(now), id, &start.target, ANSWERED, None);
                    self.balancer.forget(id);
                }
            }
        }
        sent
    }
}

/// Returns the most times in any second.
fn most_in_a_second(times: &[u64]) -> usize {
    let count = |at: &u64| times.iter().filter(|t| (*at..*at + 1_000).contains(*t)).count();
    times.iter().map(count).max().unwrap_or(0)
}

/// A target that returned got all the calls of a burst while it could handle 3.5 a second, and crashed.
#[test]
fn returning_target_gets_calls_at_its_rate_as_soon_as_it_is_known() {
    let mut fixture = alone(1);
    let new = TargetRecord { started: Some(2), ..cold(record(0, LOCAL), COLD_MS) };
    fixture.apply_changes(ms(10_000), vec![Change::Target(new)]);
    let sent = fixture.burst(10_000..13_000, "target-0");
    assert_eq!(sent.first(), Some(&10_000));
    assert!(most_in_a_second(&sent) <= 5, "{sent:?}");
    assert!(sent.len() >= 10, "the rate has to be used: {sent:?}");
    let warm = fixture.burst(13_110..13_210, "target-0");
    assert!(warm.len() >= 10, "{warm:?}");
}

/// The rate of a service must not slow down services that have none.
#[test]
fn service_without_a_rate_is_served_as_before() {
    let mut fixture = alone(1);
    fixture.apply_changes(ms(10), vec![Change::Published(published(2, None))]);
    let new = TargetRecord { started: Some(2), ..cold(record(0, LOCAL), COLD_MS) };
    fixture.apply_changes(ms(10_000), vec![Change::Target(new.clone())]);
    let probe = probe_of(new);
    fixture.balancer.record_probe_warmup(ms(10_000), &probe, Duration::from_secs(9));
    assert_eq!(fixture.burst(10_000..10_100, "target-0").len(), 10);
    assert_eq!(fixture.balancer.cold_targets(ms(10_000)).count(), 0);
}

/// Records of a process that has become cold again were taken for heartbeats, and all gateways sent at will.
#[test]
fn target_that_is_cold_again_in_the_same_process_is_held_to_its_rate() {
    let mut fixture = alone(1);
    assert_eq!(fixture.burst(10_000..10_100, "target-0").len(), 10);
    let again = cold(record(0, LOCAL), COLD_MS);
    fixture.apply_changes(ms(10_100), vec![Change::Target(again)]);
    let lines = fixture.balancer.take_log_lines();
    assert_eq!(lines, ["target target-0 is cold again ms=3100 source=record"]);
    let sent = fixture.burst(10_100..13_100, "target-0");
    assert!((9..=11).contains(&sent.len()), "{sent:?}");
    assert!(most_in_a_second(&sent) <= 4, "{sent:?}");
    // The heartbeats of its cold time are no news.
    let content = fixture.catalog.content_revision();
    fixture.apply_changes(ms(11_600), vec![Change::Target(cold(record(0, LOCAL), 1_500))]);
    assert_eq!(fixture.catalog.content_revision(), content);
}

/// The same, if the answer to a probe tells it before the store does.
#[test]
fn answer_to_a_probe_tells_that_a_target_is_cold_again() {
    let mut fixture = alone(1);
    let probe = probe_of(record(0, LOCAL));
    fixture.balancer.record_probe_warmup(ms(10_000), &probe, Duration::from_millis(COLD_MS));
    let lines = fixture.balancer.take_log_lines();
    assert_eq!(lines, ["target target-0 is cold again ms=3100 source=probe"]);
    let counts: Vec<usize> = fixture.balancer.cold_targets(ms(10_000)).map(|(_, n)| n).collect();
    assert_eq!(counts, [1]);
    // A record that is read again does not end it.
    fixture.apply_changes(ms(10_000), vec![Change::Target(record(0, LOCAL))]);
    assert!(fixture.burst(10_000..13_000, "target-0").len() <= 11);
    // What another process says does not count.
    let other = ProcessId::new(&Arc::from("target-0"), Some(9));
    let probe = Probe { process: other, ..probe };
    fixture.balancer.record_probe_warmup(ms(14_000), &probe, Duration::from_millis(COLD_MS));
    assert_eq!(fixture.burst(14_000..14_100, "target-0").len(), 10);
}

/// An attempt that was decided while its target was warm must not reach it at will once it is cold.
#[test]
fn attempt_decided_before_a_target_became_cold_needs_a_token() {
    let mut fixture = alone(1);
    let target = Arc::from("target-0");
    let (first, decision) = fixture.submit(ms(10_000), &route("check", true));
    expect_start(decision);
    let (second, decision) = fixture.submit(ms(10_000), &route("check", true));
    expect_start(decision);
    let again = cold(record(0, LOCAL), COLD_MS);
    fixture.apply_changes(ms(10_010), vec![Change::Target(again)]);
    assert!(!fixture.begin_request(ms(10_020), first, &target));
    assert!(fixture.begin_request(ms(10_300), first, &target));
    assert!(fixture.begin_request(ms(10_301), first, &target), "sent again on another connection");
    assert!(!fixture.begin_request(ms(10_302), second, &target));
}

/// Probes and checks use up the rate like calls.
#[test]
fn cold_target_is_not_probed_or_checked() {
    let mut fixture = Fixture::before_first_answer(1, 0);
    fixture.apply_changes(ms(0), vec![Change::Published(published(1, Some(RATE)))]);
    let again = cold(record(0, LOCAL), COLD_MS);
    fixture.apply_changes(ms(10), vec![Change::Target(again)]);
    for now in (10..3_000).step_by(20) {
        fixture.submit(ms(now), &route("check", true));
        fixture.balancer.dispatch_waiting(ms(now));
        assert_eq!(fixture.balancer.take_probes(), []);
    }
    assert_eq!(fixture.balancer.start_reach_check(ms(3_100)), []);
    assert_eq!(fixture.balancer.start_reach_check(ms(3_120)).len(), 1);
}

/// Calls that only cold targets could serve were held until their deadlines.
#[test]
fn calls_that_cold_targets_cannot_serve_in_time_are_refused_at_once() {
    let mut fixture = alone(1);
    fixture.apply_changes(ms(10_000), vec![Change::Target(cold(record(0, LOCAL), COLD_MS))]);
    let mut refused = 0;
    for now in (10_000..10_100).step_by(10) {
        let (id, decision) = fixture.submit(ms(now), &route("check", true));
        if let Decision::GiveUp { reason, not_run, retry_after } = decision {
            assert_eq!((reason, not_run), (GiveUpReason::Cold, true));
            assert!(retry_after >= Duration::from_millis(100), "{retry_after:?}");
            refused += 1;
            fixture.balancer.forget(id);
        }
    }
    assert!(refused >= 5, "only {refused} of 10");
    let misses: Vec<u64> = fixture.balancer.cold_misses().map(|(_, n)| n).collect();
    assert_eq!(misses, [10]);
    // Shortly before it is warm, calls wait for that.
    let (_, decision) = fixture.submit(ms(12_900), &route("check", true));
    assert!(!matches!(decision, Decision::GiveUp { .. }), "{decision:?}");
}

/// A burst must not follow the targets of a domain that returns as a whole: other domains serve it.
#[test]
fn returning_domain_gets_its_rate_and_the_others_serve_the_burst() {
    let mut fixture = Fixture::new(6, 12);
    fixture.apply_changes(ms(0), vec![Change::Published(published(1, Some(RATE)))]);
    fixture.balancer.assign_cold_targets(ms(0), membership(0, &[0]).cold_assignment());
    let back = |n| TargetRecord { started: Some(2), ..cold(record(n, LOCAL), COLD_MS) };
    fixture.apply_changes(ms(10_000), (0..6).map(|n| Change::Target(back(n))).collect());
    let mut sent: IndexMap<Arc<str>, Vec<u64>> = IndexMap::new();
    let mut running = Vec::new();
    let mut served = 0;
    for now in (10_000..12_990).step_by(10) {
        running.retain(|(end, id, target)| {
            if *end > now {
                return true;
            }
            fixture.end_attempt(ms(now), *id, target, ANSWERED, None);
            fixture.balancer.forget(*id);
            false
        });
        let mut decisions = fixture.balancer.dispatch_waiting(ms(now));
        decisions.push(fixture.submit(ms(now), &route("check", true)));
        for (id, decision) in decisions {
            if let Decision::Start(start) = decision {
                served += 1;
                sent.entry(Arc::clone(&start.target)).or_default().push(now);
                running.push((now + 100, id, start.target));
            }
        }
    }
    assert!(served >= 290, "{served} of 299 calls");
    for number in 0..6 {
        let times = sent.get(&*format!("target-{number}")).cloned().unwrap_or_default();
        assert!(most_in_a_second(&times) <= 5, "target-{number}: {times:?}");
    }
}

/// The bound of one gateway is that of the settings, however low it is.
#[test]
fn settings_without_slack_are_kept_by_one_gateway() {
    for (over, slack, most) in [(1.0, 0.0, 3), (1.0, 1.0, 4), (0.1, 0.0, 0), (3.0, 100.0, 4)] {
        let mut fixture = alone(1);
        let cold_bound = ColdBound { over, slack };
        fixture.balancer.update_settings(BalancerSettings { cold_bound, ..settings() });
        fixture.apply_changes(ms(10_000), vec![Change::Target(cold(record(0, LOCAL), COLD_MS))]);
        let sent = fixture.burst(10_000..13_000, "target-0");
        assert!(most_in_a_second(&sent) <= most, "{over}, {slack}: {sent:?}");
    }
}

/// A gateway that started from the data of another one took each target for as cold as at its start.
#[test]
fn updates_for_peers_carry_the_remaining_cold_time() {
    let mut fixture = alone(1);
    fixture.apply_changes(ms(10_000), vec![Change::Target(cold(record(1, LOCAL), COLD_MS))]);
    for (now, left) in [(11_000, 2_000), (60_000, 0)] {
        for since in [0, 1] {
            let mut update = fixture.catalog.update_since(Revision::new(0, since), None);
            fixture.catalog.update_warmups(ms(now), &mut update);
            let records: Vec<TargetRecord> = match update {
                CatalogUpdate::Full(snapshot) => snapshot.targets,
                CatalogUpdate::Changes { changes, .. } => changes
                    .into_iter()
                    .filter_map(
                        |c| if let Change::Target(record) = c { Some(record) } else { None },
                    )
                    .collect(),
            };
            let found = records.iter().find(|r| &*r.name == "target-1").map(|r| r.warmup);
            assert_eq!(found, Some(Duration::from_millis(left)), "at {now} since {since}");
        }
    }
}

/// Settings from a gateway of an earlier build name no rates, which ended the bound until the next change.
#[test]
fn rates_outlast_settings_of_earlier_builds() {
    let rates = |catalog: &Catalog| {
        let published = catalog.published().map(|p| p.services["service"].cold_rate);
        published.flatten().map(RequestRate::per_second)
    };
    let peer = Source::Peer(Duration::ZERO);
    let mut catalog = Catalog::default();
    let settings = |version, rate| vec![Change::Published(published(version, rate))];
    assert!(!catalog.apply_cold_rates(&ColdRates { settings: 1, rates: Vec::new() }));
    catalog.apply(ms(0), Revision::new(0, 1), settings(1, Some(RATE)), Source::Platform);
    let first = catalog.cold_rates().unwrap_or_else(|| panic!("known"));
    assert_eq!(first, ColdRates { settings: 1, rates: vec![(Arc::from("service"), rate(RATE))] });
    catalog.apply(ms(1), Revision::new(0, 2), settings(2, None), peer);
    assert_eq!(rates(&catalog), Some(RATE));
    assert!(catalog.lacks_cold_rates());
    assert_eq!(catalog.cold_rates(), None, "what is not known is not told");
    assert!(!catalog.apply_cold_rates(&first), "no news");
    let later = ColdRates { settings: 3, rates: Vec::new() };
    assert!(!catalog.apply_cold_rates(&later), "of settings that are not known yet");
    let second = ColdRates { settings: 2, rates: vec![(Arc::from("service"), rate(7.0))] };
    assert!(catalog.apply_cold_rates(&second));
    assert!(!catalog.apply_cold_rates(&second));
    assert_eq!((rates(&catalog), catalog.cold_rates()), (Some(7.0), Some(second)));
    catalog.apply(ms(2), Revision::new(0, 3), settings(3, None), Source::Platform);
    assert_eq!((rates(&catalog), catalog.lacks_cold_rates()), (None, false));
}

/// Gateway with its view of the others and of the targets.
#[derive(Clone)]
struct Node {
    membership: Membership,
    balancer: Balancer,
    catalog: Catalog,
    revision: u64,
    is_up: bool,
    /// Part of a network that is cut into parts.
    part: usize,
    /// Records that it learns of, and when.
    pending: Vec<(u64, TargetRecord)>,
}

/// Whom gateways hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Network {
    Whole,
    /// Only gateways of the same part hear each other.
    Parts,
    /// All hear only the first ones of the domains, and these all.
    Star,
    /// Only some pairs hear each other: this many of 100 do not.
    Pairs(u64),
}

/// Fleet of gateways in one failure domain and two others, with one cold target in the first one.
struct Fleet {
    nodes: Vec<Node>,
    now: u64,
    network: Network,
    record: TargetRecord,
    /// When the present cold time began and ends.
    cold: (u64, u64),
    /// Requests to the target in its cold time.
    arrivals: Vec<u64>,
    starts: u64,
    calls: u64,
    random: Pcg64Mcg,
}

const SIZE: usize = 100;
const STEP_MS: u64 = 20;

fn domain_of(number: usize) -> Arc<str> {
    Arc::from(format!("domain-{}", number % 3))
}

impl Fleet {
    /// Starts all gateways at the same moment.
    fn new(seeds: usize, network: Network, parts: usize, seed: u64) -> Self {
        let target = TargetRecord { slots: 100, ..record(0, "domain-0") };
        let mut fleet = Self {
            nodes: Vec::new(),
            now: 0,
            network,
            record: target,
            cold: (0, 0),
            arrivals: Vec::new(),
            starts: 0,
            calls: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for number in 0..SIZE {
            let node = fleet.started(number, seeds, fleet.random.clone().random_range(0..parts));
            let part = fleet.random.random_range(0..parts);
            fleet.nodes.push(Node { part, ..node });
        }
        fleet
    }

    fn started(&mut self, number: usize, seeds: usize, part: usize) -> Node {
        self.starts += 1;
        let now = ms(self.now);
        let mut own = first_heartbeat(number, domain_of(number), host_ip(number));
        own.incarnation = 1 + self.starts;
        let seeds = (0..seeds).map(host_ip).collect();
        let mut membership = MembershipBuilder::new(own).seeds(seeds).build(now);
        membership.update_status(Phase::Ready, known(1), Some(Duration::ZERO), false);
        let mut catalog = Catalog::default();
        let left = self.cold.1.saturating_sub(self.now);
        // A target that is warm for others, so that calls need not wait for the cold one.
        let changes = vec![
            Change::Published(published(1, Some(RATE))),
            Change::Target(cold(self.record.clone(), left)),
        ];
        catalog.apply(now, Revision::new(0, 1), changes, Source::Platform);
        let mut balancer = Balancer::new(domain_of(number), settings(), self.starts);
        balancer.set_targets(now, &catalog);
        let pending = Vec::new();
        Node { membership, balancer, catalog, revision: 1, is_up: true, part, pending }
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let is_up = self.nodes[from].is_up && self.nodes[to].is_up;
        let (low, high) = (from.min(to) as u64, from.max(to) as u64);
        is_up
            && match self.network {
                Network::Whole => true,
                Network::Parts => self.nodes[from].part == self.nodes[to].part,
                Network::Star => low < 3,
                Network::Pairs(lost) => (low * 7_919 + high * 104_729) % 100 >= lost,
            }
    }

    /// Lets the target become cold. Gateways learn of it within `delay` ms, and take it for cold for as long from then
    /// on.
    fn cool(&mut self, is_new: bool, delay: u64) {
        if is_new {
            self.record.started = self.record.started.map(|at| at + 1);
        }
        // Requests of gateways that cannot know of it yet are not counted.
        let known_at = if is_new { self.now } else { self.now + delay };
        self.check();
        self.arrivals.clear();
        self.cold = (known_at, self.now + COLD_MS);
        for number in 0..self.nodes.len() {
            let at = self.now + self.random.random_range(0..=delay);
            let record = cold(self.record.clone(), COLD_MS);
            self.nodes[number].pending.push((at, record));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.learn();
            self.exchange_messages();
            for number in 0..self.nodes.len() {
                if self.nodes[number].is_up {
                    self.call(number);
                }
            }
        }
    }

    fn learn(&mut self) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.is_up) {
            let (due, pending) = std::mem::take(&mut node.pending)
                .into_iter()
                .partition::<Vec<_>, _>(|(at, _)| *at <= now);
            node.pending = pending;
            for (_, record) in due {
                node.revision += 1;
                let revision = Revision::new(0, node.revision);
                node.catalog.apply(
                    ms(now),
                    revision,
                    vec![Change::Target(record)],
                    Source::Platform,
                );
                node.balancer.set_targets(ms(now), &node.catalog);
            }
        }
    }

    fn exchange_messages(&mut self) {
        let now = ms(self.now);
        let mut in_flight = Vec::new();
        for (number, node) in self.nodes.iter_mut().enumerate().filter(|(_, node)| node.is_up) {
            in_flight.extend(node.membership.tick(now).into_iter().map(|o| (number, o)));
        }
        let numbers: IndexMap<IpAddr, usize> = (0..SIZE).map(|n| (host_ip(n), n)).collect();
        while let Some((from, outgoing)) = in_flight.pop() {
            let to = numbers[&outgoing.to];
            if self.hears(from, to) {
                let membership = &mut self.nodes[to].membership;
                let replies = membership.receive(now, host_ip(from), outgoing.message);
                in_flight.extend(replies.into_iter().map(|o| (to, o)));
            }
        }
        for node in self.nodes.iter_mut().filter(|node| node.is_up) {
            node.balancer.assign_cold_targets(now, node.membership.cold_assignment());
        }
    }

    /// Lets a call arrive at a gateway, whether callers are directed to it or not.
    fn call(&mut self, number: usize) {
        self.calls += 1;
        let route = route("check", true);
        let now = ms(self.now);
        let call = Call {
            id: self.calls,
            service: Arc::clone(&route.shares[0].service),
            objective: now + route.objective,
            deadline: now + route.timeout,
            caller: host_ip(1),
            replayable: true,
            relayed: false,
            digests: CallDigests::default(),
            route,
        };
        let process = ProcessId::new(&self.record.name, self.record.started);
        let balancer = &mut self.nodes[number].balancer;
        let mut decisions = balancer.dispatch_waiting(now);
        decisions.push((self.calls, balancer.submit(now, call)));
        let mut arrived = balancer.take_probes().iter().filter(|p| p.process == process).count();
        for (id, decision) in decisions {
            if let Decision::Start(start) = decision {
                arrived += usize::from(start.process == process);
                balancer.forget(id);
            }
        }
        if (self.cold.0..self.cold.1).contains(&self.now) {
            self.arrivals.extend(std::iter::repeat_n(self.now, arrived));
        }
    }

    fn check(&self) {
        let most = most_in_a_second(&self.arrivals);
        let network = self.network;
        assert!(most <= bound(), "{most} requests in one second at {} ms, {network:?}", self.now);
    }
}

/// However the gateways start, stop, are cut off from each other, and learn of the cold time of a target, their sum
/// stays within the bound in each second.
fn check_bound(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let seeds: usize = *input.choose(&[1, 2, 3, 6, SIZE])?;
    let networks =
        [Network::Whole, Network::Parts, Network::Star, Network::Pairs(20), Network::Pairs(60)];
    let parts = *input.choose(&[2, 3, 10, SIZE])?;
    let mut fleet = Fleet::new(seeds, *input.choose(&networks)?, parts, input.arbitrary()?);
    for _ in 0..input.int_in_range(2..=7)? {
        match input.int_in_range(0..=7)? {
            0 | 1 => fleet.network = *input.choose(&networks)?,
            2 => {
                // Some end without a word, others in a planned stop.
                let share = input.int_in_range(1..=10)?;
                for number in 0..SIZE {
                    if fleet.random.random_range(0..10) < share {
                        fleet.nodes[number].is_up = false;
                    } else if fleet.random.random_bool(0.1) {
                        let membership = &mut fleet.nodes[number].membership;
                        membership.update_status(Phase::Leaving, known(1), None, false);
                    }
                }
            }
            3 => {
                for number in 0..SIZE {
                    let part = fleet.nodes[number].part;
                    if !fleet.nodes[number].is_up {
                        fleet.nodes[number] = fleet.started(number, seeds, part);
                    }
                }
            }
            4 => {
                // All are replaced in the same moment.
                for number in 0..SIZE {
                    let part = fleet.nodes[number].part;
                    fleet.nodes[number] = fleet.started(number, seeds, part);
                }
            }
            5 => fleet.cool(false, *input.choose(&[0, 200, 1_000])?),
            _ => fleet.cool(true, *input.choose(&[0, 200, 1_500])?),
        }
        fleet.run(*input.choose(&[200, 1_000, 2_500, 5_000])?);
        fleet.check();
    }
    Ok(())
}

#[test]
fn fleet_keeps_the_bound_of_a_cold_target() {
    // The lower half of a seed is the size of the input, the upper half its contents.
    for seed in 1..=24_u64 {
        arbtest(check_bound).seed((seed * 0x9e37_79b9) << 32 | 64);
    }
}

/// All gateways were cut off from each other shortly before they had settled, took the others for unsettled, and each
/// itself for the only one that may use the rate.
#[test]
fn fleet_keeps_the_bound_if_it_is_cut_before_it_settles() {
    arbtest(check_bound).seed(0x34c9_62a1_0000_0040);
}

/// Ends of the cold time that differed by less than half a second were taken for equal, and gateways took the target
/// for warm too early.
#[test]
fn fleet_keeps_the_bound_when_a_target_is_cold_again_shortly_after_its_start() {
    arbtest(check_bound).seed(0x423b_46fb_0000_0028);
}

/// 100 gateways that start at the same moment, each of which hears no other, must not all take themselves for the only
/// one.
#[test]
fn gateways_that_hear_nobody_use_no_rate() {
    for seeds in [3, SIZE] {
        let mut fleet = Fleet::new(seeds, Network::Parts, SIZE, 1);
        for number in 0..SIZE {
            fleet.nodes[number].part = number;
        }
        for _ in 0..4 {
            fleet.cool(true, 0);
            fleet.run(COLD_MS);
            fleet.check();
        }
    }
}

/// The ordinary case: the rate of a target that returns is used at once, by one gateway.
#[test]
fn healthy_fleet_uses_the_rate() {
    for seeds in [3, SIZE] {
        let mut fleet = Fleet::new(seeds, Network::Whole, 1, 1);
        fleet.run(6_000);
        fleet.cool(true, 0);
        fleet.run(COLD_MS - STEP_MS);
        fleet.check();
        let shares = fleet.nodes.iter().map(|n| n.membership.cold_assignment());
        let shares: Vec<ColdShare> = shares.map(|a| a.share("domain-0", "target-0")).collect();
        assert_eq!(shares.iter().filter(|s| **s == ColdShare::Full).count(), 1);
        assert_eq!(shares.iter().filter(|s| **s == ColdShare::None).count(), SIZE - 1);
        let sent = fleet.arrivals.len();
        assert!(sent >= 10, "{sent} requests of {}", RATE * 3.0);
    }
}

/// The same after all gateways were replaced at once, as soon as they have settled.
#[test]
fn fleet_uses_the_rate_after_a_restart() {
    let mut fleet = Fleet::new(3, Network::Whole, 1, 1);
    fleet.run(3_500);
    fleet.cool(true, 0);
    fleet.run(COLD_MS - STEP_MS);
    assert!(fleet.arrivals.len() >= 9, "{}", fleet.arrivals.len());
}

/// One gateway in a domain, which knows those of other domains, uses the rates of its domain; it waits for the seeds
/// after its start.
#[test]
fn only_gateway_of_a_domain_uses_the_rate_once_it_knows_the_seeds() {
    let share = |membership: &Membership| membership.cold_assignment().share(LOCAL, "target-0");
    let mut member = membership(0, &[1, 2, 3]);
    for now in (0..20_000).step_by(100) {
        member.tick(ms(now));
        assert_eq!(share(&member), ColdShare::None);
    }
    let other = first_heartbeat(1, Arc::from("b"), host_ip(1));
    member.receive(ms(20_000), host_ip(1), Message::Heartbeat(other));
    member.tick(ms(20_000));
    assert_eq!(share(&member), ColdShare::Full);
    assert_eq!(member.cold_assignment().share("b", "target-0"), ColdShare::None);
}

/// Returns the shares that a gateway of a domain of four has of 40 targets, after `silent` others have fallen silent, or
/// `ended` ones have closed their connections, `later` ms before.
fn shares_without(silent: usize, ended: usize, later: u64) -> IndexMap<ColdShare, usize> {
    let mut member = membership(0, &[0, 1, 2, 3]);
    let gone = 1 + silent + ended;
    for now in (0..5_000 + later).step_by(200) {
        for number in 1..4 {
            let mut heartbeat = first_heartbeat(number, Arc::from(LOCAL), host_ip(number));
            (heartbeat.phase, heartbeat.settled) = (Phase::Ready, now >= 3_000);
            // The least capacity ranks last, so that callers are directed to all of them.
            heartbeat.capacity = 20;
            heartbeat.sequence = now + 1;
            if now < 5_000 || number >= gone {
                let message = Message::Heartbeat(heartbeat);
                member.receive(ms(now), host_ip(number), message);
            }
            if now == 5_000 && (1 + silent..gone).contains(&number) {
                member.connection_lost(ms(now), &format!("gateway-{number}"));
            }
        }
        member.tick(ms(now));
    }
    let assignment = member.cold_assignment();
    let mut counts = IndexMap::new();
    for target in 0..40 {
        let share = assignment.share(LOCAL, &format!("target-{target}"));
        *counts.entry(share).or_default() += 1;
    }
    counts
}

/// A gateway that misses the majority of its domain may be the one that is cut off, also after the time for which silent
/// ones are remembered for other purposes.
#[test]
fn gateway_that_misses_others_uses_less_or_nothing() {
    let has = |counts: &IndexMap<ColdShare, usize>, share| counts.contains_key(&share);
    for later in [3_000, 120_000] {
        assert!(has(&shares_without(0, 0, later), ColdShare::Full));
        assert!(has(&shares_without(0, 3, later), ColdShare::Full), "ended processes send nothing");
        let contested = shares_without(1, 0, later);
        assert!(has(&contested, ColdShare::Contested) && !has(&contested, ColdShare::Full));
        assert!(has(&shares_without(2, 0, later), ColdShare::Contested));
        let none = shares_without(3, 0, later);
        assert_eq!(none.keys().collect::<Vec<_>>(), [&ColdShare::None], "after {later} ms");
    }
    assert!(has(&shares_without(3, 0, 700_000), ColdShare::Full), "it is the only one left");
}

/// Each of several gateways that took over within a second would have added a request of its own.
#[test]
fn gateway_that_takes_over_begins_without_tokens() {
    let mut fixture = Fixture::new(1, 0);
    fixture.apply_changes(ms(0), vec![Change::Published(published(1, Some(RATE)))]);
    fixture.apply_changes(ms(10_000), vec![Change::Target(cold(record(0, LOCAL), COLD_MS))]);
    let sent = fixture.burst(10_000..10_500, "target-0");
    assert!(sent.is_empty(), "another one uses the rate: {sent:?}");
    fixture.balancer.assign_cold_targets(ms(10_500), membership(0, &[0]).cold_assignment());
    let sent = fixture.burst(10_500..11_500, "target-0");
    assert!(sent.first() >= Some(&10_780) && sent.len() == 3, "{sent:?}");
    // The same if the target becomes known only then.
    let mut fixture = Fixture::new(0, 0);
    fixture.apply_changes(ms(0), vec![Change::Published(published(1, Some(RATE)))]);
    fixture.balancer.assign_cold_targets(ms(10_000), membership(0, &[0]).cold_assignment());
    fixture.apply_changes(ms(10_100), vec![Change::Target(cold(record(0, LOCAL), COLD_MS))]);
    let sent = fixture.burst(10_100..11_000, "target-0");
    assert!(sent.first() >= Some(&10_280), "{sent:?}");
}
