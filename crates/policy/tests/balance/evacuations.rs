//! Failure domains that the operator has evacuated, as gateways know them from the platform and from peers.

use crate::{
    fixture::{first_heartbeat, known, ms, record},
    platform::published,
};
use azuretally_policy::{
    Timestamp,
    balance::{
        Build, Catalog, CatalogUpdate, Change, Heartbeat, Membership, MembershipBuilder, Message,
        Revision, Source,
    },
};
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time for which the set of a copy is not used.
const WINDOW_MS: u64 = 6_000;
const PEER: Source = Source::Peer(Duration::ZERO);

fn rev(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

fn evacuation(domain: &str, active: bool) -> Change {
    Change::Evacuation { domain: Arc::from(domain), active }
}

/// Returns the changes of a list with these evacuated domains.
fn list(domains: &[&str]) -> Vec<Change> {
    let evacuations = domains.iter().map(|domain| evacuation(domain, true));
    evacuations.chain([Change::Target(record(1, "a"))]).collect()
}

/// Catalog that has read a list at number 100 of `era`.
fn catalog(era: u64, domains: &[&str]) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.relist(ms(0), rev(era, 100), list(domains), Source::Platform);
    catalog
}

/// The same after the time in which the list may be that of a copy.
fn settled(domains: &[&str]) -> Catalog {
    let mut catalog = catalog(1, domains);
    catalog.tick(ms(WINDOW_MS));
    catalog
}

fn evacuated(catalog: &Catalog) -> Vec<String> {
    let mut domains: Vec<_> = catalog.evacuated_domains().iter().map(|d| d.to_string()).collect();
    domains.sort();
    domains
}

fn write(catalog: &mut Catalog, now: Timestamp, revision: Revision, changes: Vec<Change>) -> bool {
    catalog.apply(now, revision, changes, Source::Platform)
}

/// Fetches all that `peer` knows.
fn fetch(catalog: &mut Catalog, now: Timestamp, peer: &Catalog) -> bool {
    let update = peer.update_since(catalog.revision(), Some(catalog.settings_version()));
    let era = peer.revision().era;
    let mut changed = catalog.apply_update(now, era, update, PEER);
    if let Some(notice) = peer.evacuation_notice() {
        changed |= catalog.apply_evacuations(era, &notice);
    }
    changed
}

/// Fetches what a peer of generation 4 knows, which says nothing of evacuations.
fn fetch_without_evacuations(catalog: &mut Catalog, now: Timestamp, revision: Revision) {
    let changes = vec![Change::Target(record(9, "a"))];
    let update = CatalogUpdate::Changes { revision: revision.number, changes };
    catalog.apply_update(now, revision.era, update, PEER);
}

#[test]
fn keys_in_lists_and_changes_make_the_set() {
    for era in [0, 1] {
        let mut catalog = catalog(era, &["a"]);
        assert_eq!(evacuated(&catalog), ["a"]);
        let changes = vec![evacuation("b/1", true), evacuation("a", false)];
        assert!(write(&mut catalog, ms(10), rev(era, 101), changes));
        assert_eq!(evacuated(&catalog), ["b/1"]);
        assert_eq!(catalog.content_revision(), rev(era, 101), "it is announced");
    }
}

/// An evacuation that was ended while the history of changes was gone would have gone on for ever.
#[test]
fn list_after_a_lost_history_replaces_the_set() {
    let mut catalog = settled(&["a", "b"]);
    let changed = catalog.relist(ms(7_000), rev(1, 120), list(&["b", "c"]), Source::Platform);
    assert!(changed);
    assert_eq!(evacuated(&catalog), ["b", "c"]);
    assert_eq!(catalog.content_revision(), rev(1, 120));
}

#[test]
fn older_list_and_older_changes_revert_nothing() {
    let mut catalog = settled(&[]);
    write(&mut catalog, ms(7_000), rev(1, 110), vec![evacuation("a", true)]);
    catalog.relist(ms(7_010), rev(1, 105), list(&[]), Source::Platform);
    write(&mut catalog, ms(7_020), rev(1, 104), vec![evacuation("a", false)]);
    assert_eq!(evacuated(&catalog), ["a"]);
    write(&mut catalog, ms(7_030), rev(1, 120), vec![evacuation("a", false)]);
    catalog.relist(ms(7_040), rev(1, 115), list(&["a"]), Source::Platform);
    assert_eq!(evacuated(&catalog), Vec::<String>::new());
}

/// A peer that is behind ended an evacuation, or brought an ended one back.
#[test]
fn updates_of_peers_count_by_their_revision_in_each_order() {
    let before = settled(&[]);
    let mut during = before.clone();
    write(&mut during, ms(7_000), rev(1, 110), vec![evacuation("a", true)]);
    let mut after = during.clone();
    write(&mut after, ms(8_000), rev(1, 120), vec![evacuation("a", false)]);
    let states = [&before, &during, &after];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut follower = Catalog::default();
        let mut latest = 0;
        for state in order {
            fetch(&mut follower, ms(9_000), states[state]);
            latest = latest.max(state);
            assert_eq!(evacuated(&follower), evacuated(states[latest]), "{order:?}");
        }
    }
}

#[test]
fn change_of_the_set_is_announced_and_told_to_peers() {
    let mut reader = settled(&[]);
    let mut follower = Catalog::default();
    fetch(&mut follower, ms(6_500), &reader);
    write(&mut reader, ms(7_000), rev(1, 110), vec![evacuation("a", true)]);
    assert!(reader.content_revision() > follower.revision());
    assert!(fetch(&mut follower, ms(7_010), &reader));
    assert_eq!(evacuated(&follower), ["a"]);
    let lines = follower.take_log_lines();
    assert!(lines.iter().any(|l| l.contains("\"a\" is evacuated")), "{lines:?}");
    write(&mut reader, ms(8_000), rev(1, 111), vec![evacuation("a", false)]);
    fetch(&mut follower, ms(8_010), &reader);
    let lines = follower.take_log_lines();
    assert!(lines.iter().any(|l| l.contains("\"a\" is no longer evacuated")), "{lines:?}");
}

/// Builds of generation 4 cannot read an update with an evacuation among its changes.
#[test]
fn updates_contain_no_evacuation_as_a_change() {
    let mut catalog = settled(&["a"]);
    let known = catalog.revision();
    write(&mut catalog, ms(7_000), rev(1, 110), vec![evacuation("b", true)]);
    let update = catalog.update_since(known, None);
    let CatalogUpdate::Changes { changes, .. } = update else { panic!("{update:?}") };
    assert_eq!(changes, []);
    let update = CatalogUpdate::Changes { revision: 120, changes: vec![evacuation("b", false)] };
    catalog.apply_update(ms(7_100), 1, update, PEER);
    assert_eq!(evacuated(&catalog), ["a", "b"], "nor is one applied");
}

/// The operator's keys that a copy lacks ended the evacuation at once; those that it wrongly contains began one.
#[test]
fn set_is_kept_after_a_restore_for_six_seconds() {
    for (known, copy) in [(["a"].as_slice(), [].as_slice()), (&[], &["a"]), (&["a"], &["b"])] {
        let mut catalog = settled(known);
        catalog.relist(ms(10_000), rev(2, 90), list(copy), Source::Platform);
        assert_eq!(evacuated(&catalog), known);
        catalog.relist(ms(12_000), rev(2, 92), list(copy), Source::Platform);
        assert_eq!(evacuated(&catalog), known, "a second list of the copy says nothing new");
        assert!(!catalog.tick(ms(10_000 + WINDOW_MS - 1)));
        assert_eq!(evacuated(&catalog), known);
        assert!(catalog.tick(ms(10_000 + WINDOW_MS)));
        assert_eq!(evacuated(&catalog), copy);
    }
}

#[test]
fn key_that_is_written_again_after_a_restore_counts_at_once() {
    let mut catalog = settled(&["a", "b"]);
    catalog.relist(ms(10_000), rev(2, 90), list(&["a", "c"]), Source::Platform);
    let changes = vec![evacuation("c", true), evacuation("b", false)];
    write(&mut catalog, ms(11_000), rev(2, 91), changes);
    assert_eq!(evacuated(&catalog), ["a", "c"]);
    write(&mut catalog, ms(12_000), rev(2, 92), vec![evacuation("a", false)]);
    assert_eq!(evacuated(&catalog), ["c"], "removed while outdated keys are set aside");
    catalog.tick(ms(10_000 + WINDOW_MS));
    assert_eq!(evacuated(&catalog), ["c"]);
}

/// The history of changes may be gone after a restore, so that a second list shows what was written.
#[test]
fn difference_between_two_lists_of_the_new_era_counts_at_once() {
    let mut catalog = settled(&["a", "b"]);
    catalog.relist(ms(10_000), rev(2, 90), list(&["b"]), Source::Platform);
    catalog.relist(ms(11_000), rev(2, 95), list(&["c"]), Source::Platform);
    assert_eq!(evacuated(&catalog), ["a", "c"]);
}

/// A gateway that started on the copy knew nothing of the evacuation, and ended it at its peers.
#[test]
fn gateway_started_on_the_copy_follows_peers_that_know_better() {
    let mut old = settled(&["a"]);
    let mut started = Catalog::default();
    started.relist(ms(10_000), rev(2, 90), list(&["b"]), Source::Platform);
    fetch(&mut old, ms(10_100), &started);
    assert_eq!(evacuated(&old), ["a"], "it has read only the copy");
    fetch(&mut started, ms(10_200), &old);
    assert_eq!(evacuated(&started), ["a"]);
    write(&mut started, ms(11_000), rev(2, 91), vec![evacuation("c", true)]);
    fetch(&mut old, ms(11_100), &started);
    assert_eq!(evacuated(&old), ["a", "c"], "written since, as its reader tells");
    for catalog in [&mut old, &mut started] {
        catalog.tick(ms(10_100 + WINDOW_MS));
        assert_eq!(evacuated(catalog), ["b", "c"]);
    }
}

/// Of two gateways that started on the copy, the later one ended the evacuation at the other, which had it from a
/// peer that knew better.
#[test]
fn gateway_started_on_the_copy_keeps_what_it_was_told_of_the_time_before() {
    let mut old = settled(&["a"]);
    let mut first = Catalog::default();
    first.relist(ms(10_000), rev(2, 90), list(&[]), Source::Platform);
    fetch(&mut old, ms(10_100), &first);
    fetch(&mut first, ms(10_200), &old);
    let mut second = Catalog::default();
    second.relist(ms(10_300), rev(2, 95), list(&[]), Source::Platform);
    fetch(&mut first, ms(10_400), &second);
    assert_eq!(evacuated(&first), ["a"]);
    write(&mut second, ms(10_500), rev(2, 96), vec![evacuation("b", true)]);
    fetch(&mut first, ms(10_600), &second);
    assert_eq!(evacuated(&first), ["a", "b"]);
    fetch(&mut second, ms(10_700), &old);
    assert_eq!(evacuated(&second), ["a", "b"]);
    first.tick(ms(10_000 + WINDOW_MS));
    assert_eq!(evacuated(&first), ["b"]);
}

/// A follower that has the new era from a peer took the next list, still that of the copy, for the truth.
#[test]
fn gateway_that_follows_a_restore_through_a_peer_keeps_the_set_when_it_reads_itself() {
    let mut reader = settled(&["a"]);
    let mut follower = reader.clone();
    reader.relist(ms(10_000), rev(2, 90), list(&[]), Source::Platform);
    fetch(&mut follower, ms(10_100), &reader);
    follower.relist(ms(10_500), rev(2, 91), list(&[]), Source::Platform);
    assert_eq!(evacuated(&follower), ["a"]);
    follower.tick(ms(10_100 + WINDOW_MS));
    assert_eq!(evacuated(&follower), Vec::<String>::new());
}

/// A gateway that started on the copy and stays cut off from the platform has to follow as well.
#[test]
fn end_of_the_window_reaches_followers() {
    let mut reader = settled(&["a"]);
    reader.relist(ms(10_000), rev(2, 90), list(&[]), Source::Platform);
    let mut follower = Catalog::default();
    fetch(&mut follower, ms(10_100), &reader);
    assert_eq!(evacuated(&follower), ["a"]);
    write(&mut reader, ms(12_000), rev(2, 95), Vec::new());
    assert!(reader.tick(ms(10_000 + WINDOW_MS)));
    assert!(reader.content_revision() > follower.revision(), "it is announced");
    fetch(&mut follower, ms(10_050 + WINDOW_MS), &reader);
    assert_eq!(evacuated(&follower), Vec::<String>::new());
}

/// Data of a peer of generation 4 moves the revision on, so that the change of the set that it lacks was skipped.
#[test]
fn data_of_earlier_builds_hides_no_evacuation() {
    let mut catalog = settled(&[]);
    let mut peer = catalog.clone();
    fetch_without_evacuations(&mut catalog, ms(7_000), rev(1, 110));
    assert!(catalog.lacks_evacuations());
    assert_eq!(catalog.evacuations_revision(), rev(1, 100));
    write(&mut peer, ms(7_100), rev(1, 105), vec![evacuation("a", true)]);
    let mut from_peer = catalog.clone();
    fetch(&mut from_peer, ms(7_200), &peer);
    assert_eq!(evacuated(&from_peer), ["a"], "although the data of the peer is older");
    let mut from_list = catalog.clone();
    from_list.relist(ms(7_300), rev(1, 106), list(&["a"]), Source::Platform);
    assert_eq!(evacuated(&from_list), ["a"], "although the list is older");
    // A poll that was under way when the data of the peer arrived.
    write(&mut catalog, ms(7_400), rev(1, 110), vec![evacuation("a", true)]);
    assert_eq!(evacuated(&catalog), ["a"]);
    assert!(!catalog.lacks_evacuations());
}

/// A gateway that restarted in an evacuation served calls after it had the settings of a peer of generation 4.
#[test]
fn restarted_gateway_asks_a_peer_that_knows_evacuations() {
    let mut started = Catalog::default();
    let data = CatalogUpdate::Full(azuretally_policy::balance::Snapshot {
        revision: 110,
        published: Some(published(3)),
        targets: vec![record(1, "a")],
    });
    started.apply_update(ms(100), 1, data, PEER);
    assert!(!started.knows_evacuations() && started.evacuation_notice().is_none());
    let mut member = member();
    hear(&mut member, 2, 4, 200);
    let ask = |member: &Membership, catalog: &Catalog| {
        member.evacuation_peer(ms(200), catalog.evacuations_revision())
    };
    assert_eq!(ask(&member, &started), None, "it knows nothing of evacuations");
    hear(&mut member, 3, 5, 90);
    assert_eq!(ask(&member, &started).map(|(_, ip)| ip), Some(ip(3)));
    let mut peer = settled(&[]);
    write(&mut peer, ms(7_000), rev(1, 105), vec![evacuation("a", true)]);
    fetch(&mut started, ms(300), &peer);
    assert!(started.knows_evacuations());
    assert_eq!(evacuated(&started), ["a"]);
}

/// The data of the failure domain comes from a reader of generation 4, without evacuations.
#[test]
fn reading_the_platform_is_not_left_to_a_gateway_of_an_earlier_build() {
    let is_reader = |generation| {
        let mut member = member();
        hear(&mut member, 2, generation, 90);
        member.update_status(Default::default(), known(90), Some(Duration::ZERO), false);
        member.is_reader(ms(200), Some(Duration::ZERO))
    };
    assert!(is_reader(4));
    assert!(!is_reader(5));
}

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn member() -> Membership {
    MembershipBuilder::new(first_heartbeat(1, Arc::from("a"), ip(1))).build(ms(0))
}

/// Lets the member hear gateway `number` of its domain, which ranks before it.
fn hear(member: &mut Membership, number: u8, generation: u32, revision: u64) {
    let heartbeat = Heartbeat {
        sequence: 1,
        capacity: 400,
        settled: true,
        revision,
        age_ms: Some(0),
        build: Build { generation, version: Arc::from("") },
        ..first_heartbeat(usize::from(number), Arc::from("a"), ip(number))
    };
    member.receive(ms(100), ip(number), Message::Heartbeat(heartbeat));
}
