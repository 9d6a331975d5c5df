//! A platform that is restored from a copy: its revisions go back and are given out again, in a later
//! era. What was confirmed before stays in force until the platform says something later.

use crate::{
    fixture::{first_heartbeat, known, ms, record},
    platform::{Store, published},
};
use arbtest::arbtest;
use azuretally_policy::{
    Timestamp,
    balance::{
        Catalog, Change, Heartbeat, HeartbeatExtension, KnownData, Membership, MembershipBuilder,
        Message, Revision, Source, TargetRecord,
    },
};
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time after which a missing target is dropped, and an outdated record that is still listed used.
const GRACE_MS: u64 = 2_300;
const EXPIRY_MS: u64 = 6_000;

fn rev(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

fn target(number: u8) -> Change {
    Change::Target(record(number, "a"))
}

fn leaving(number: u8) -> Change {
    Change::Target(TargetRecord { leaving: true, ..record(number, "a") })
}

fn gone(number: u8) -> Change {
    Change::Gone(record(number, "a").name)
}

/// Returns the numbers of the targets that new calls may use.
fn usable(catalog: &Catalog) -> Vec<u8> {
    let usable = catalog.targets().filter(|t| !t.record.leaving);
    let mut numbers: Vec<u8> = usable.filter_map(|t| number_of(&t.record.name)).collect();
    numbers.sort_unstable();
    numbers
}

fn number_of(name: &str) -> Option<u8> {
    name.strip_prefix("target-")?.parse().ok()
}

/// Catalog that has read a list and changes up to number 100 of era 1.
fn catalog(listed: Vec<Change>, changes: Vec<Change>) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.relist(ms(0), rev(1, 50), listed, Source::Platform);
    catalog.apply(ms(500), rev(1, 100), changes, Source::Platform);
    catalog
}

/// Guards against settings that are not in force in time: data of a restored platform was dropped until
/// its revisions had passed those known before.
#[test]
fn settings_published_after_a_restore_are_in_force() {
    let mut catalog = catalog(vec![Change::Published(published(5)), target(1)], Vec::new());
    let copy = vec![Change::Published(published(5)), target(1)];
    catalog.relist(ms(1_000), rev(2, 90), copy, Source::Platform);
    assert_eq!(catalog.revision(), rev(2, 90));
    catalog.apply(ms(1_200), rev(2, 91), vec![Change::Published(published(6))], Source::Platform);
    assert_eq!(catalog.settings_version(), 6);
}

#[test]
fn settings_lost_by_the_platform_stay_in_force() {
    let mut catalog = catalog(vec![Change::Published(published(6)), target(1)], Vec::new());
    let copy = vec![Change::Published(published(5)), target(1)];
    catalog.relist(ms(1_000), rev(2, 90), copy, Source::Platform);
    assert_eq!(catalog.settings_version(), 6);
    catalog.relist(ms(2_000), rev(2, 95), vec![target(1)], Source::Platform);
    assert_eq!(catalog.settings_version(), 6);
}

/// A gateway that has read only the copy must not stay with its older settings, although its data is of
/// the latest revision.
#[test]
fn gateway_started_on_the_copy_gets_later_settings_from_peers() {
    let old = catalog(vec![Change::Published(published(6)), target(1)], Vec::new());
    let copy = vec![Change::Published(published(5)), target(1)];
    for peer_is_restored in [false, true] {
        let mut peer = old.clone();
        if peer_is_restored {
            peer.relist(ms(1_000), rev(2, 90), copy.clone(), Source::Platform);
        }
        let mut started = Catalog::default();
        started.relist(ms(1_000), rev(2, 90), copy.clone(), Source::Platform);
        let update = peer.update_since(started.revision(), Some(started.settings_version()));
        let source = Source::Peer(Duration::ZERO);
        assert!(started.apply_update(ms(1_100), peer.revision().era, update, source));
        assert_eq!(started.settings_version(), 6);
        assert_eq!(started.revision(), rev(2, 90));
    }
}

#[test]
fn targets_that_the_copy_lacks_are_kept_until_they_had_time_to_register() {
    let mut catalog = catalog(vec![target(1)], vec![target(2), target(3)]);
    catalog.relist(ms(1_000), rev(2, 90), vec![target(1)], Source::Platform);
    assert_eq!(usable(&catalog), [1, 2, 3]);
    catalog.apply(ms(2_000), rev(2, 91), vec![target(2)], Source::Platform);
    catalog.tick(ms(1_000 + GRACE_MS - 1));
    assert_eq!(usable(&catalog), [1, 2, 3]);
    assert!(catalog.tick(ms(1_000 + GRACE_MS)));
    assert_eq!(usable(&catalog), [1, 2], "the third one did not register again");
}

/// Guards against calls to targets that have left: the copy shows them as they were before.
#[test]
fn targets_that_left_before_the_restore_get_no_calls_because_of_the_copy() {
    let all = || vec![target(1), target(2), target(3)];
    let mut catalog = catalog(all(), vec![leaving(2), gone(3)]);
    catalog.relist(ms(1_000), rev(2, 90), all(), Source::Platform);
    assert_eq!(usable(&catalog), [1]);
    catalog.relist(ms(2_000), rev(2, 92), all(), Source::Platform);
    assert_eq!(usable(&catalog), [1], "a second list of the same data says nothing new");
    catalog.apply(ms(2_500), rev(2, 93), vec![gone(3), leaving(2)], Source::Platform);
    catalog.tick(ms(1_000 + EXPIRY_MS));
    assert_eq!(usable(&catalog), [1]);
}

#[test]
fn target_that_registers_again_after_the_restore_is_used_at_once() {
    let mut catalog = catalog(vec![target(1), target(2)], vec![gone(2)]);
    catalog.relist(ms(1_000), rev(2, 90), vec![target(1), target(2)], Source::Platform);
    assert_eq!(usable(&catalog), [1]);
    catalog.apply(ms(1_500), rev(2, 91), vec![target(2)], Source::Platform);
    assert_eq!(usable(&catalog), [1, 2], "its record was written in the new era");
}

/// If a gateway wrongly takes a record for outdated, it must not stay without the target.
#[test]
fn record_that_is_still_listed_after_its_expiry_is_used() {
    let mut catalog = catalog(vec![target(1), target(2)], vec![gone(2)]);
    catalog.relist(ms(1_000), rev(2, 90), vec![target(1), target(2)], Source::Platform);
    assert!(!catalog.tick(ms(1_000 + EXPIRY_MS - 1)));
    assert_eq!(usable(&catalog), [1]);
    assert!(catalog.tick(ms(1_000 + EXPIRY_MS)));
    assert_eq!(usable(&catalog), [1, 2]);
}

#[test]
fn copy_does_not_replace_a_later_process_by_the_one_before_it() {
    let later = || Change::Target(TargetRecord { started: Some(2), ..record(1, "a") });
    let mut catalog = catalog(vec![target(1)], vec![later()]);
    catalog.relist(ms(1_000), rev(2, 90), vec![target(1)], Source::Platform);
    let started: Vec<_> = catalog.targets().map(|t| t.record.started).collect();
    assert_eq!(started, [Some(2)]);
}

/// Data that a gateway ignores must not pass for a confirmation of what it knows: other gateways would
/// not read the platform in its place.
#[test]
fn data_that_is_ignored_confirms_nothing() {
    let mut catalog = catalog(vec![target(1)], Vec::new());
    let age = |catalog: &Catalog| catalog.age(ms(9_000));
    let before = age(&catalog);
    catalog.relist(ms(5_000), rev(1, 90), vec![target(1)], Source::Platform);
    catalog.apply(ms(6_000), rev(1, 95), vec![target(1)], Source::Platform);
    catalog.apply(ms(7_000), rev(2, 120), vec![target(1)], Source::Platform);
    assert_eq!(age(&catalog), before);
    assert_eq!(catalog.revision(), rev(1, 100));
}

#[test]
fn peer_of_an_earlier_era_gets_the_complete_data() {
    let mut reader = catalog(vec![target(1), target(2)], vec![gone(2)]);
    reader.relist(ms(1_000), rev(2, 90), vec![target(1), target(3)], Source::Platform);
    let mut follower = catalog(vec![target(1), target(2)], Vec::new());
    for revision in [rev(1, 100), rev(0, 100), rev(2, 80)] {
        let mut follower = follower.clone();
        let update = reader.update_since(revision, None);
        follower.apply_update(ms(1_000), 2, update, Source::Peer(Duration::ZERO));
        assert_eq!(follower.revision(), rev(2, 90), "{revision}");
        follower.tick(ms(1_000 + GRACE_MS));
        assert_eq!(usable(&follower), [1, 3], "{revision}");
    }
    // A gateway that missed the restore does not take the others back.
    let update = follower.update_since(reader.revision(), Some(0));
    reader.apply_update(ms(1_100), 1, update, Source::Peer(Duration::ZERO));
    assert_eq!(reader.revision(), rev(2, 90));
    follower.tick(ms(2_000));
}

fn heartbeat(number: usize, revision: u64, era: u64, settings: u64) -> Heartbeat {
    let ip = IpAddr::from([10, 0, 0, 1 + number as u8]);
    Heartbeat {
        sequence: 1,
        revision,
        age_ms: Some(0),
        settled: true,
        extension: HeartbeatExtension { era, settings },
        ..first_heartbeat(number, Arc::from("a"), ip)
    }
}

fn member(revision: Revision) -> Membership {
    let mut member = MembershipBuilder::new(heartbeat(0, 0, 0, 0)).build(ms(0));
    let data = KnownData { revision, settings: 5 };
    member.update_status(Default::default(), data, Some(Duration::ZERO), false);
    member
}

fn hears(member: &mut Membership, heartbeat: Heartbeat) {
    let from = heartbeat.call_address.ip();
    member.receive(ms(100), from, Message::Heartbeat(heartbeat));
}

#[test]
fn peers_are_compared_by_era_before_revision() {
    let known = KnownData { revision: rev(2, 90), settings: 5 };
    let is_ahead = |heartbeat: Heartbeat| {
        let mut member = member(known.revision);
        hears(&mut member, heartbeat);
        member.newer_peer(ms(100), known, Some(Duration::ZERO)).is_some()
    };
    assert!(!is_ahead(heartbeat(1, 100, 1, 5)), "an earlier era");
    assert!(is_ahead(heartbeat(1, 10, 3, 5)), "a later era");
    assert!(is_ahead(heartbeat(1, 91, 2, 5)), "a later revision");
    assert!(!is_ahead(heartbeat(1, 90, 2, 5)));
    assert!(is_ahead(heartbeat(1, 80, 2, 6)), "later settings");
    assert!(is_ahead(heartbeat(1, 100, 1, 6)), "later settings of an earlier era");
}

#[test]
fn gateway_of_an_earlier_build_neither_confirms_data_nor_is_left_to_read() {
    let own = rev(2, 90);
    let mut member = member(own);
    let data = KnownData { revision: own, settings: 5 };
    hears(&mut member, heartbeat(1, 100, 0, 0));
    hears(&mut member, heartbeat(2, 80, 0, 0));
    assert_eq!(member.newer_peer(ms(100), data, Some(Duration::ZERO)), None);
    assert_eq!(member.confirmed_age(ms(100), own), None);
    assert!(member.is_reader(ms(100), Some(Duration::ZERO)), "it reads beside them");
    hears(&mut member, heartbeat(3, 80, 2, 5));
    assert_eq!(member.confirmed_age(ms(100), own), Some(Duration::ZERO));
}

/// Guards against settings that revert: if all gateways of a failure domain start on the copy, only those
/// of other domains know what it lacks. Otherwise a change is left to the domain's own reader.
#[test]
fn settings_that_the_copy_lacks_are_fetched_from_other_domains() {
    let known = KnownData { revision: rev(2, 90), settings: 5 };
    let is_ahead = |revision, era, settings| {
        let mut member = member(known.revision);
        let domain = Arc::from("b");
        hears(&mut member, Heartbeat { domain, ..heartbeat(1, revision, era, settings) });
        member.newer_peer(ms(100), known, Some(Duration::ZERO)).is_some()
    };
    assert!(is_ahead(90, 2, 6));
    assert!(is_ahead(100, 1, 6));
    assert!(!is_ahead(91, 2, 6), "the platform brings them");
    assert!(!is_ahead(100, 1, 5));
}

/// A platform that names no era keeps the order of its revisions alone.
#[test]
fn gateways_without_eras_compare_revisions() {
    let mut member = member(rev(0, 90));
    hears(&mut member, heartbeat(1, 100, 0, 5));
    assert!(member.newer_peer(ms(100), known(90), Some(Duration::ZERO)).is_some());
    assert!(member.newer_peer(ms(100), known(100), Some(Duration::ZERO)).is_none());
    assert!(member.confirmed_age(ms(100), rev(0, 100)).is_some());
}

/// Lets a gateway poll for changes, or read the list if it cannot.
fn read(store: &Store, now: Timestamp, catalog: &mut Catalog) {
    let known = catalog.revision();
    if known.is_unknown() || known.era != store.revision.era {
        catalog.relist(now, store.revision, store.list(), Source::Platform);
        return;
    }
    catalog.apply(now, store.revision, store.changes_after(known.number), Source::Platform);
}

/// Any interleaving of changes, restores, polls, lists, starts and updates between gateways: settings
/// never revert, targets that have ended or are leaving are not used again, and all gateways agree with
/// the platform in the end.
#[test]
fn gateways_converge_after_any_restores() {
    const TARGETS: u8 = 6;
    const GATEWAYS: usize = 4;
    arbtest(|u| {
        let mut store = Store::new(rev(1, 10));
        let mut latest_settings = 1;
        let mut left = [false; TARGETS as usize];
        store.write(Change::Published(published(latest_settings)));
        for number in 0..TARGETS {
            store.write(target(number));
        }
        let mut copies = vec![store.clone()];
        let mut gateways = vec![Catalog::default(); GATEWAYS];
        let mut clock = 0;
        for _ in 0..80 {
            clock += u.int_in_range(1..=400)?;
            let now = ms(clock);
            let number = u.int_in_range(0..=TARGETS - 1)?;
            let gateway = u.choose_index(GATEWAYS)?;
            match u.int_in_range(0..=9)? {
                0 => {
                    latest_settings += 1;
                    store.write(Change::Published(published(latest_settings)));
                }
                1 => {
                    left[number as usize] = true;
                    store.write(leaving(number));
                }
                2 if left[number as usize] => store.write(gone(number)),
                3 => copies.push(store.clone()),
                4 => {
                    let copy = u.choose(&copies)?;
                    store = store.restored_from(copy);
                }
                5 => {
                    gateways[gateway] = Catalog::default();
                }
                6 | 7 => read(&store, now, &mut gateways[gateway]),
                _ => {
                    let peer = gateways[u.choose_index(GATEWAYS)?].clone();
                    let own = &mut gateways[gateway];
                    let update = peer.update_since(own.revision(), Some(own.settings_version()));
                    let source = Source::Peer(peer.age(now).unwrap_or_default());
                    let before = own.settings_version();
                    own.apply_update(now, peer.revision().era, update, source);
                    assert!(own.settings_version() >= before);
                }
            }
            for catalog in &mut gateways {
                catalog.tick(now);
            }
        }
        // The operator and the targets write again what was lost.
        store.write(Change::Published(published(latest_settings)));
        for number in 0..TARGETS {
            store.write(if left[number as usize] { gone(number) } else { target(number) });
        }
        let now = ms(clock + 100);
        read(&store, now, &mut gateways[0]);
        let reader = gateways[0].clone();
        for catalog in &mut gateways[1..] {
            let version = catalog.settings_version();
            let update = reader.update_since(catalog.revision(), Some(version));
            catalog.apply_update(now, store.revision.era, update, Source::Peer(Duration::ZERO));
        }
        let end = ms(clock + 100 + GRACE_MS + EXPIRY_MS);
        let alive: Vec<u8> = (0..TARGETS).filter(|n| !left[*n as usize]).collect();
        for catalog in &mut gateways {
            catalog.tick(end);
            assert_eq!(catalog.settings_version(), latest_settings);
            assert_eq!(catalog.revision(), store.revision);
            assert_eq!(usable(catalog), alive);
        }
        Ok(())
    });
}

/// Guards against calls to targets that have left, at a gateway that was told so: a restored platform,
/// or a peer that read the copy, must not bring them back within the time in which they can still run.
#[test]
fn known_leaving_targets_stay_unused_through_any_restores() {
    arbtest(|u| {
        let all = || (0..4).map(target).collect::<Vec<_>>();
        let mut catalog = catalog(all(), vec![leaving(0), leaving(1), gone(1)]);
        let mut restarted = Catalog::default();
        let mut clock = 1_000;
        let mut revision = rev(1, 100);
        let mut copy = Vec::new();
        for _ in 0..u.int_in_range(1..=5)? {
            clock += u.int_in_range(0..=900)?;
            if copy.is_empty() || u.arbitrary()? {
                revision = rev(revision.era + 1, u.int_in_range(40..=90)?);
                copy = all();
                for _ in 0..u.int_in_range(0..=2)? {
                    copy.swap_remove(u.choose_index(copy.len())?);
                }
            }
            if u.arbitrary()? {
                catalog.relist(ms(clock), revision, copy.clone(), Source::Platform);
            } else {
                restarted.relist(ms(clock), revision, copy.clone(), Source::Platform);
                let update = restarted.update_since(catalog.revision(), None);
                let source = Source::Peer(Duration::ZERO);
                catalog.apply_update(ms(clock), restarted.revision().era, update, source);
            }
            catalog.tick(ms(clock));
            assert!(!usable(&catalog).contains(&0) && !usable(&catalog).contains(&1));
        }
        Ok(())
    });
}
