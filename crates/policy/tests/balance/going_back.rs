//! Counts of the platform, of gateways and of limits that go back, at gateways that know different things.

use crate::{
    fixture::{Fixture, LOCAL, expect_start, first_heartbeat, ms, probe_of, record, route},
    platform::{Store, published},
};
use arbtest::arbtest;
use azuretally_policy::{
    Timestamp,
    balance::{
        Attempt, AttemptOutcome, AttemptResult, Catalog, CatalogUpdate, Change, EvacuationNotice,
        Heartbeat, HeartbeatExtension, KnownData, LimitField, LimitNotice, LimitShare, Membership,
        MembershipBuilder, Message, RequestRate, Revision, Source, TargetRecord,
    },
};
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time after which a record of the copy that was set aside is used if it is still listed.
const EXPIRY_MS: u64 = 6_000;
/// Time for random cases of one test.
const BUDGET_MS: u64 = 2_000;

fn rev(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

fn settings_change(version: u64) -> Change {
    Change::Published(published(version))
}

fn target(number: u8) -> Change {
    Change::Target(record(number, "a"))
}

fn leaving(number: u8) -> Change {
    Change::Target(TargetRecord { leaving: true, ..record(number, "a") })
}

fn restarted(number: u8) -> Change {
    Change::Target(TargetRecord { started: Some(2), ..record(number, "a") })
}

fn gone(number: u8) -> Change {
    Change::Gone(record(number, "a").name)
}

/// Returns names and starts of the processes that new calls may use.
fn usable(catalog: &Catalog) -> Vec<(String, Option<u64>)> {
    let usable = catalog.targets().filter(|t| !t.record.leaving);
    usable.map(|t| (t.record.name.to_string(), t.record.started)).collect()
}

fn process(number: u8, started: u64) -> (String, Option<u64>) {
    (format!("target-{number}"), Some(started))
}

/// Catalog that has read a list and changes up to number 100 of era 1.
fn catalog(listed: Vec<Change>, changes: Vec<Change>) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.relist(ms(0), rev(1, 50), listed, Source::Platform);
    catalog.apply(ms(500), rev(1, 100), changes, Source::Platform);
    catalog
}

/// Catalog of a gateway that has all of its data from `reader`.
fn follower_of(reader: &Catalog, now: Timestamp) -> Catalog {
    let mut follower = Catalog::default();
    fetch(&mut follower, reader, now);
    follower
}

/// Fetches what `peer` knows, if its heartbeats say that it knows of a later change.
fn follow(catalog: &mut Catalog, peer: &Catalog, now: Timestamp) {
    if peer.content_revision() > catalog.revision() {
        fetch(catalog, peer, now);
    }
}

fn fetch(catalog: &mut Catalog, peer: &Catalog, now: Timestamp) {
    PeerAnswer::new(peer, catalog).apply(catalog, now);
}

/// Returns whether `catalog` has to fetch what `peer` knows.
fn is_behind(catalog: &Catalog, peer: &Catalog) -> bool {
    let known = catalog.revision().min(catalog.evacuations_revision());
    peer.content_revision() > known || peer.settings_version() > catalog.settings_version()
}

/// Answer of a peer on its way to a gateway.
#[derive(Clone, Debug)]
struct PeerAnswer {
    era: u64,
    update: CatalogUpdate,
    evacuations: Option<EvacuationNotice>,
}

impl PeerAnswer {
    fn new(peer: &Catalog, asking: &Catalog) -> Self {
        let update = peer.update_since(asking.revision(), Some(asking.settings_version()));
        Self { era: peer.revision().era, update, evacuations: peer.evacuation_notice() }
    }

    fn apply(self, catalog: &mut Catalog, now: Timestamp) {
        let source = Source::Peer(Duration::ZERO);
        catalog.apply_update(now, self.era, self.update, source);
        if let Some(notice) = &self.evacuations {
            catalog.apply_evacuations(self.era, notice);
        }
    }
}

/// Guards against calls to a process that has ended: its record of the copy, set aside at the restore,
/// replaced the live process 6 s later, although a list had shown that it was written again.
#[test]
fn process_that_a_second_list_shows_is_not_replaced_by_the_one_of_the_copy() {
    let mut catalog = catalog(vec![target(1)], vec![restarted(1)]);
    catalog.relist(ms(1_000), rev(2, 90), vec![target(1)], Source::Platform);
    assert_eq!(usable(&catalog), [process(1, 2)]);
    catalog.relist(ms(3_000), rev(2, 95), vec![restarted(1)], Source::Platform);
    catalog.tick(ms(1_000 + EXPIRY_MS));
    assert_eq!(usable(&catalog), [process(1, 2)]);
}

/// The same if another gateway reads the platform since: that gateway sees the live process write
/// nothing new, so that its peers don't hear of it.
#[test]
fn process_that_another_reader_sees_is_not_replaced_by_the_one_of_the_copy() {
    let mut first = catalog(vec![target(1)], vec![restarted(1)]);
    first.relist(ms(1_000), rev(2, 90), vec![target(1)], Source::Platform);
    let mut second = follower_of(&first, ms(1_100));
    second.apply(ms(2_000), rev(2, 91), vec![restarted(1)], Source::Platform);
    follow(&mut first, &second, ms(2_100));
    first.tick(ms(1_000 + EXPIRY_MS));
    assert_eq!(usable(&first), [process(1, 2)]);
}

/// Guards against calls to a target whose removal another reader was told of: the removal of a target
/// that it does not list is no change that its peers hear of.
#[test]
fn target_that_another_reader_sees_removed_is_not_used_after_its_expiry() {
    let mut first = catalog(vec![target(1), target(2)], vec![gone(2)]);
    first.relist(ms(1_000), rev(2, 90), vec![target(1), target(2)], Source::Platform);
    let mut second = follower_of(&first, ms(1_100));
    second.apply(ms(5_500), rev(2, 91), vec![gone(2)], Source::Platform);
    follow(&mut first, &second, ms(5_600));
    first.tick(ms(1_000 + EXPIRY_MS));
    assert_eq!(usable(&first), [process(1, 1)]);
}

/// Guards against calls to a target that is known to be leaving, and says so again to another reader.
#[test]
fn target_that_tells_another_reader_of_its_leaving_is_not_used_after_its_expiry() {
    let mut first = catalog(vec![target(1), target(2)], vec![leaving(2)]);
    first.relist(ms(1_000), rev(2, 90), vec![target(1), target(2)], Source::Platform);
    let mut second = follower_of(&first, ms(1_100));
    second.apply(ms(2_000), rev(2, 91), vec![leaving(2)], Source::Platform);
    follow(&mut first, &second, ms(2_100));
    first.tick(ms(1_000 + EXPIRY_MS));
    assert_eq!(usable(&first), [process(1, 1)]);
}

/// Guards against calls to targets that have left, at a gateway that begins to read the platform after the
/// restore: it has the data of the era from a peer, so it took the records of its first list for new ones.
#[test]
fn reader_that_takes_over_after_the_restore_uses_no_target_that_has_left() {
    let all = || vec![target(1), target(2), target(3), target(4)];
    let later = vec![leaving(2), gone(3), restarted(4)];
    let mut first = catalog(all(), later.clone());
    let mut second = catalog(all(), later);
    first.relist(ms(1_000), rev(2, 90), all(), Source::Platform);
    follow(&mut second, &first, ms(1_100));
    assert_eq!(usable(&second), [process(1, 1), process(4, 2)]);
    second.relist(ms(2_000), rev(2, 91), all(), Source::Platform);
    assert_eq!(usable(&second), [process(1, 1), process(4, 2)]);
}

/// The same for one that started in the drill, and knows of the leaving from a peer alone.
#[test]
fn reader_that_was_told_of_a_leaving_uses_no_target_of_the_copy_that_has_left() {
    let mut first = catalog(vec![target(1), target(2)], vec![leaving(2)]);
    first.relist(ms(1_000), rev(2, 90), vec![target(1), target(2)], Source::Platform);
    let mut second = follower_of(&first, ms(1_100));
    assert_eq!(usable(&second), [process(1, 1)]);
    second.relist(ms(2_000), rev(2, 91), vec![target(1), target(2)], Source::Platform);
    assert_eq!(usable(&second), [process(1, 1)]);
}

/// Guards against calls to targets that have left or were replaced, at a gateway that started on the copy and
/// then follows a reader that had known better: what that reader sees written again is no change to it.
#[test]
fn gateway_started_on_the_copy_learns_what_its_reader_had_known_before() {
    let all = || vec![target(1), target(2), target(3)];
    let later = || vec![leaving(2), restarted(3)];
    let mut reader = catalog(all(), later());
    reader.relist(ms(1_000), rev(2, 90), all(), Source::Platform);
    let mut started = Catalog::default();
    started.relist(ms(1_000), rev(2, 90), all(), Source::Platform);
    reader.apply(ms(2_000), rev(2, 92), later(), Source::Platform);
    // Any change that is announced lets the other one fetch.
    reader.apply(ms(2_100), rev(2, 93), vec![settings_change(1)], Source::Platform);
    follow(&mut started, &reader, ms(2_200));
    assert_eq!(usable(&started), [process(1, 1), process(3, 2)]);
}

/// Guards against lines that pile up: nothing takes them while nothing changes.
#[test]
fn settings_that_are_ignored_again_and_again_leave_one_line() {
    let mut catalog = catalog(vec![settings_change(6), target(1)], Vec::new());
    catalog.take_log_lines();
    for step in 0..100 {
        let listed = vec![settings_change(5), target(1)];
        assert!(!catalog.relist(ms(1_000 + step), rev(1, 90), listed, Source::Platform));
    }
    assert!(catalog.take_log_lines().len() <= 1);
}

/// Guards against a false alarm: the first data with an era is not that of a copy.
#[test]
fn first_named_era_is_not_reported_as_a_restore() {
    let mut catalog = Catalog::default();
    catalog.relist(ms(0), rev(0, 90), vec![settings_change(5), target(1)], Source::Platform);
    catalog.take_log_lines();
    catalog.relist(ms(1_000), rev(4, 91), vec![settings_change(5), target(1)], Source::Platform);
    let lines = catalog.take_log_lines();
    assert!(!lines.iter().any(|line| line.contains("restored from a copy")), "{lines:?}");
}

fn heartbeat(number: usize, domain: &str, revision: Revision, settings: u64) -> Heartbeat {
    let ip = IpAddr::from([10, 0, 0, 1 + number as u8]);
    Heartbeat {
        sequence: 1,
        revision: revision.number,
        age_ms: Some(0),
        settled: true,
        extension: HeartbeatExtension { era: revision.era, settings },
        ..first_heartbeat(number, Arc::from(domain), ip)
    }
}

/// Gateway in domain `a` that knows `data`, confirmed just now, and has heard `peer`.
fn member(data: KnownData, peer: Heartbeat) -> Membership {
    let own = heartbeat(0, "a", Revision::default(), 0);
    let mut member = MembershipBuilder::new(own).build(ms(0));
    member.update_status(Default::default(), data, Some(Duration::ZERO), false);
    member.receive(ms(100), peer.call_address.ip(), Message::Heartbeat(peer));
    member
}

/// Guards against older settings at a failure domain that starts on the copy: it reads the platform
/// itself, so its data is never old enough for it to ask other domains.
#[test]
fn gateway_started_on_the_copy_gets_later_settings_from_another_domain() {
    let data = KnownData { revision: rev(2, 90), settings: 5 };
    let member = member(data, heartbeat(1, "b", rev(2, 90), 6));
    assert!(member.newer_peer(ms(200), data, Some(Duration::ZERO)).is_some());
}

/// Guards against the restore being missed at gateways that follow a reader of an earlier build: that
/// one ignores the restored platform, but goes on saying that its data is new.
#[test]
fn later_era_in_another_domain_is_fetched_although_a_reader_of_an_earlier_build_is_near() {
    let data = KnownData { revision: rev(0, 100), settings: 5 };
    // It ranks before this gateway.
    let reader = Heartbeat { capacity: 400, ..heartbeat(1, "a", rev(0, 100), 0) };
    let mut member = member(data, reader);
    let remote = heartbeat(2, "b", rev(2, 95), 6);
    member.receive(ms(100), remote.call_address.ip(), Message::Heartbeat(remote));
    let age = member.confirmed_age(ms(200), data.revision);
    let is_followed = member.newer_peer(ms(200), data, age).is_some();
    assert!(is_followed || member.is_reader(ms(200), age));
}

/// Guards against settings that are not in force at a gateway that the platform turns away, and whose
/// peers are of an earlier build: these hand on settings, which have an order of their own.
#[test]
fn gateway_that_cannot_read_takes_settings_from_a_peer_of_an_earlier_build() {
    let data = KnownData { revision: rev(2, 90), settings: 5 };
    let member = member(data, heartbeat(1, "a", rev(0, 200), 0));
    assert!(member.newer_peer(ms(5_000), data, Some(Duration::from_secs(5))).is_some());
}

/// Guards against a process that is not recognized: a host whose clock stands before 1970 gives each
/// process the same incarnation, so the sequence numbers of a new process seem to go back.
#[test]
fn gateway_restarted_with_the_same_incarnation_is_heard() {
    let data = KnownData { revision: rev(1, 90), settings: 5 };
    let before = Heartbeat { sequence: 1_000, ..heartbeat(1, "a", rev(1, 90), 5) };
    let host = Arc::clone(&before.host);
    let mut member = member(data, before);
    member.connection_lost(ms(200), &host);
    for sequence in 1..=10 {
        let after = Heartbeat { sequence, ..heartbeat(1, "a", rev(1, 90), 5) };
        let now = ms(1_000 + 400 * sequence);
        member.receive(now, after.call_address.ip(), Message::Heartbeat(after));
    }
    assert_eq!(member.alive_count(), 2);
}

/// Guards against a datagram of the ended process, delayed on the way, that takes the place of the new
/// process of the same host.
#[test]
fn late_heartbeat_of_an_ended_process_does_not_replace_the_new_one() {
    let data = KnownData { revision: rev(1, 90), settings: 5 };
    let member_with = |incarnation, sequence, revision| Heartbeat {
        incarnation,
        sequence,
        ..heartbeat(1, "a", revision, 5)
    };
    let mut member = member(data, member_with(1, 50, rev(1, 80)));
    for late in [member_with(2, 1, rev(1, 90)), member_with(1, 51, rev(1, 200))] {
        member.receive(ms(300), late.call_address.ip(), Message::Heartbeat(late));
    }
    assert_eq!(member.newer_peer(ms(400), data, Some(Duration::ZERO)), None);
}

/// Lets the only target answer a call, which says `limit`.
fn call(fixture: &mut Fixture, now: Timestamp, limit: LimitField) {
    let (id, decision) = fixture.submit(now, &route("check", true));
    expect_start(decision);
    let attempt = Attempt { call: id, target: Arc::from("target-0") };
    let outcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
    let result = AttemptResult { attempt, outcome, report: None, limit };
    fixture.balancer.attempt_ended(now, &result);
    fixture.balancer.forget(id);
}

/// Guards against requests above a limit: a gateway that has started counts the changes of a limit anew, so
/// what it has just learned from the target looked older than the end of an earlier limit.
#[test]
fn limit_heard_by_a_gateway_that_started_is_not_ended_by_what_others_knew_before() {
    let rate = RequestRate::from_per_second(2.0).unwrap_or_else(|| panic!("a valid rate"));
    let mut old = Fixture::new(1, 0);
    call(&mut old, ms(0), LimitField::Named(rate));
    old.balancer.assign_limits(ms(0), |_, _| LimitShare::Full);
    call(&mut old, ms(5_000), LimitField::Absent);
    assert_eq!(old.balancer.limits(), [], "the limit has ended");
    let mut started = Fixture::new(1, 0);
    call(&mut started, ms(9_000), LimitField::Named(rate));
    let (_, later) = old.balancer.merge_limits(ms(9_010), &started.balancer.limits());
    started.balancer.merge_limits(ms(9_020), &later);
    let known = |fixture: &Fixture| fixture.balancer.limits().first().and_then(|n| n.rate);
    assert_eq!((known(&started), known(&old)), (Some(rate), Some(rate)));
}

/// The same for gateways whose timestamps begin at their own start.
#[test]
fn limits_of_a_gateway_are_later_than_what_is_known_from_before_its_start() {
    let rate = RequestRate::from_per_second(2.0).unwrap_or_else(|| panic!("a valid rate"));
    let mut old = Fixture::new(1, 0);
    old.balancer.set_epoch(1_000_000);
    old.balancer.assign_limits(ms(0), |_, _| LimitShare::Full);
    call(&mut old, ms(50_000), LimitField::Named(rate));
    old.balancer.assign_limits(ms(50_000), |_, _| LimitShare::Full);
    call(&mut old, ms(60_000), LimitField::Absent);
    let mut started = Fixture::new(1, 0);
    started.balancer.set_epoch(1_070_000);
    call(&mut started, ms(10), LimitField::Named(rate));
    let (adopted, later) = old.balancer.merge_limits(ms(71_000), &started.balancer.limits());
    assert_eq!((adopted.len(), later), (1, Vec::new()));
    assert_eq!(old.balancer.limits()[0].rate, Some(rate));
}

/// Versions of earlier builds begin with 1: changes of what such a gateway has named must count on from there,
/// and the other way round.
#[test]
fn limits_of_earlier_builds_are_changed_and_ended() {
    let rate =
        |value| RequestRate::from_per_second(value).unwrap_or_else(|| panic!("a valid rate"));
    let mut fixture = Fixture::new(1, 0);
    fixture.balancer.set_epoch(1_700_000_000_000);
    let earlier = LimitNotice {
        target: Arc::from("target-0"),
        started: Some(1),
        version: 2,
        rate: Some(rate(2.0)),
    };
    fixture.balancer.merge_limits(ms(0), std::slice::from_ref(&earlier));
    let probe = probe_of(record(0, LOCAL));
    fixture.balancer.record_probe_limit(ms(10), &probe, LimitField::Named(rate(1.0)));
    let changed = LimitNotice { version: 3, rate: Some(rate(1.0)), ..earlier };
    assert_eq!(fixture.balancer.take_limit_changes(), std::slice::from_ref(&changed));
    let ended = LimitNotice { version: 4, rate: None, ..changed };
    fixture.balancer.merge_limits(ms(20), &[ended]);
    assert_eq!(fixture.balancer.limits(), []);
}

/// Answer of the platform on its way to a gateway.
#[derive(Clone, Debug)]
struct PlatformAnswer {
    /// Revision after which was polled; `None` for a list.
    polled: Option<Revision>,
    revision: Revision,
    changes: Vec<Change>,
}

impl PlatformAnswer {
    fn list(store: &Store) -> Self {
        Self { polled: None, revision: store.revision, changes: store.list() }
    }

    /// Returns the answer to a poll, or `None` if the platform does not have the revision.
    fn poll(store: &Store, known: Revision) -> Option<Self> {
        let (revision, changes) = (store.revision, store.changes_after(known.number));
        let answer = Self { polled: Some(known), revision, changes };
        (known.number <= revision.number).then_some(answer)
    }
}

/// Gateway with the answers that are on their way to it.
#[derive(Clone, Debug, Default)]
struct Gateway {
    catalog: Catalog,
    lists_next: bool,
    from_platform: Option<PlatformAnswer>,
    from_peer: Option<PeerAnswer>,
}

impl Gateway {
    /// Sends a request to the platform, which answers it at once; the answer is on its way.
    fn ask(&mut self, store: &Store) {
        if self.from_platform.is_some() {
            return;
        }
        let known = self.catalog.revision();
        let is_complete = !known.is_unknown() && !self.catalog.lacks_evacuations();
        let polls = is_complete && !self.lists_next;
        let answer = if polls { PlatformAnswer::poll(store, known) } else { None };
        self.from_platform = answer.or_else(|| Some(PlatformAnswer::list(store)));
    }

    fn receive_from_platform(&mut self, now: Timestamp) {
        let Some(answer) = self.from_platform.take() else { return };
        let PlatformAnswer { polled, revision, changes } = answer;
        match polled {
            Some(known) if revision.era > known.era || revision < known => self.lists_next = true,
            Some(_) => {
                self.catalog.apply(now, revision, changes, Source::Platform);
            }
            None => {
                self.catalog.relist(now, revision, changes, Source::Platform);
                self.lists_next = false;
            }
        }
    }

    fn receive_from_peer(&mut self, now: Timestamp) {
        if let Some(answer) = self.from_peer.take() {
            answer.apply(&mut self.catalog, now);
        }
    }
}

const DOMAINS: [&str; 2] = ["a", "b"];

fn evacuation(domain: usize, active: bool) -> Change {
    Change::Evacuation { domain: Arc::from(DOMAINS[domain]), active }
}

/// Returns the evacuated domains of a list, sorted.
fn evacuated_of(list: &[Change]) -> Vec<Arc<str>> {
    let evacuated = list.iter().filter_map(|change| match change {
        Change::Evacuation { domain, active: true } => Some(Arc::clone(domain)),
        _ => None,
    });
    let mut domains: Vec<_> = evacuated.collect();
    domains.sort();
    domains
}

fn evacuated_domains(catalog: &Catalog) -> Vec<Arc<str>> {
    let mut domains: Vec<_> = catalog.evacuated_domains().iter().cloned().collect();
    domains.sort();
    domains
}

/// Any interleaving of changes, restores, starts, and answers that are under way while other data arrives:
/// nothing reverts, targets that a gateway knows to have left are not used again before their expiry, and
/// all gateways agree with the platform in the end. Targets don't start again if `restarts` is not set. The set of
/// evacuated domains never goes back, and is that of the platform until a restore. Some answers of peers come from
/// builds that know nothing of evacuations.
fn answers_arrive_in_any_order(restarts: bool) {
    const TARGETS: u8 = 5;
    const GATEWAYS: usize = 3;
    arbtest(|u| {
        let mut store = Store::new(rev(1, 10));
        let mut settings = 1;
        let mut left = [false; TARGETS as usize];
        let mut started = [1; TARGETS as usize];
        let of = |number: u8, started: u64, leaving: bool| {
            Change::Target(TargetRecord { started: Some(started), leaving, ..record(number, "a") })
        };
        store.write(settings_change(settings));
        (0..TARGETS).for_each(|number| store.write(of(number, 1, false)));
        let mut copies = vec![store.clone()];
        let mut gateways = vec![Gateway::default(); GATEWAYS];
        let mut evacuated = [false; DOMAINS.len()];
        let mut truth = vec![(store.revision, Vec::new())];
        let mut is_restored = false;
        let mut clock = 0;
        for _ in 0..100 {
            clock += u.int_in_range(1..=50)?;
            let now = ms(clock);
            let number = u.int_in_range(0..=TARGETS - 1)?;
            let index = number as usize;
            let at = u.choose_index(GATEWAYS)?;
            let before = gateways[at].catalog.clone();
            match u.int_in_range(0..=15)? {
                0 => {
                    settings += 1;
                    store.write(settings_change(settings));
                }
                1 => {
                    left[index] = true;
                    store.write(of(number, started[index], true));
                }
                2 if left[index] => store.write(gone(number)),
                3 if restarts && !left[index] => {
                    started[index] += 1;
                    store.write(of(number, started[index], false));
                }
                4 => copies.push(store.clone()),
                5 => {
                    let copy = u.choose(&copies)?;
                    store = store.restored_from(copy);
                    is_restored = true;
                }
                6 if u.ratio(1, 4)? => gateways[at] = Gateway::default(),
                7 | 8 => gateways[at].ask(&store),
                9 | 10 => gateways[at].receive_from_platform(now),
                11 => {
                    let peer = gateways[u.choose_index(GATEWAYS)?].catalog.clone();
                    let own = &gateways[at].catalog;
                    if is_behind(own, &peer) && gateways[at].from_peer.is_none() {
                        let mut answer = PeerAnswer::new(&peer, own);
                        answer.evacuations.take_if(|_| u.ratio(1, 4).unwrap_or(false));
                        gateways[at].from_peer = Some(answer);
                    }
                }
                14 => {
                    let domain = u.choose_index(DOMAINS.len())?;
                    evacuated[domain] ^= true;
                    store.write(evacuation(domain, evacuated[domain]));
                }
                15 => {
                    gateways[at].catalog.tick(now);
                }
                _ => gateways[at].receive_from_peer(now),
            }
            truth.push((store.revision, evacuated_of(&store.list())));
            let after = &gateways[at].catalog;
            if let Some(notice) = after.evacuation_notice() {
                let earlier = before.evacuation_notice().unwrap_or_default();
                let is_started = before.revision() <= after.revision();
                assert!(!is_started || notice.changed >= earlier.changed);
                let known = truth.iter().rfind(|(revision, _)| *revision == notice.complete);
                if let (false, Some((_, expected))) = (is_restored, known) {
                    assert_eq!(evacuated_domains(after), *expected);
                }
            }
            if !after.revision().is_unknown() {
                assert!(after.revision() >= before.revision());
                assert!(after.settings_version() >= before.settings_version());
                let has = |catalog: &Catalog, number: u8| {
                    let name = record(number, "a").name;
                    usable(catalog).iter().any(|(n, _)| **n == *name)
                };
                for number in (0..TARGETS).filter(|n| left[*n as usize]) {
                    let name = record(number, "a").name;
                    let mut known = before.targets();
                    let was_leaving = known.any(|t| t.record.name == name && t.record.leaving);
                    assert!(!(was_leaving && has(after, number)), "target {number} is leaving");
                }
            }
        }
        // The operator and the targets write again what was lost, and answers under way arrive.
        store.write(settings_change(settings));
        for number in 0..TARGETS {
            let index = number as usize;
            let change = of(number, started[index], false);
            store.write(if left[index] { gone(number) } else { change });
        }
        for (domain, active) in evacuated.iter().enumerate() {
            store.write(evacuation(domain, *active));
        }
        let now = ms(clock + 100);
        for gateway in &mut gateways {
            gateway.receive_from_platform(now);
            gateway.receive_from_peer(now);
        }
        for _ in 0..2 {
            gateways[0].ask(&store);
            gateways[0].receive_from_platform(now);
        }
        let end = ms(clock + 100 + EXPIRY_MS);
        for gateway in &mut gateways {
            gateway.catalog.tick(end);
        }
        let reader = gateways[0].catalog.clone();
        for gateway in &mut gateways[1..] {
            let own = &mut gateway.catalog;
            if is_behind(own, &reader) {
                fetch(own, &reader, end);
            }
        }
        let expected = (0..TARGETS).filter(|n| !left[*n as usize]);
        let expected: Vec<_> = expected.map(|n| process(n, started[n as usize])).collect();
        for gateway in &mut gateways {
            gateway.catalog.tick(ms(clock + 100 + 2 * EXPIRY_MS));
            assert_eq!(gateway.catalog.settings_version(), settings);
            assert_eq!(evacuated_domains(&gateway.catalog), evacuated_of(&store.list()));
            let mut usable = usable(&gateway.catalog);
            usable.sort();
            assert_eq!(usable, expected);
        }
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}

#[test]
fn answers_that_arrive_late_revert_nothing() {
    answers_arrive_in_any_order(false);
}

#[test]
fn answers_that_arrive_late_bring_no_earlier_process_back() {
    answers_arrive_in_any_order(true);
}
