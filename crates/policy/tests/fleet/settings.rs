//! Distribution of settings: every accepted revision reaches every entry, and none reverts.

use crate::{
    cases,
    cluster::{Cluster, hosts, settings},
};
use azuretally_policy::fleet::{Lifecycle, PublishedRevision, RevisionStore, Topic, Verdict};
use std::collections::BTreeSet;

const SEED: u64 = 0x0a5e_0003;

fn accepted_everywhere(revision: u64) -> impl Fn(&Cluster) -> bool {
    move |c| c.up().iter().all(|n| c.fleet(*n).settings().revisions().accepted == revision)
}

#[test]
fn accepted_revision_reaches_every_entry_in_time() {
    for n in [1, 4, 16, 64] {
        let mut cluster = Cluster::new(n, SEED);
        cluster.run_until(5_000, Cluster::has_converged).unwrap();
        cluster.settings = (2, settings("ordinary", 200));
        cluster
            .run_until(2_000, accepted_everywhere(2))
            .expect("revision 2 does not reach every entry");
    }
}

#[test]
fn one_entry_that_reaches_the_platform_is_enough() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.platform_cut = (1..16).collect();
    cluster.run_ms(2_000);
    cluster.settings = (2, settings("ordinary", 200));
    if !cluster.fleet(0).is_watcher(cluster.time(0)) {
        let text = cluster.settings.1.clone();
        cluster.with(0, |f, now| f.apply_platform_document(now, Topic::Settings, 2, &text));
    }
    cluster
        .run_until(2_000, accepted_everywhere(2))
        .expect("revision 2 does not reach every entry");
}

#[test]
fn refused_revision_is_reported_by_every_entry_with_the_same_reason() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.settings = (2, settings("no-such-preset", 200));
    let refused = |c: &Cluster| {
        c.up().iter().all(|n| c.fleet(*n).settings().refused().is_some_and(|r| r.revision == 2))
    };
    cluster.run_until(2_000, refused).expect("revision 2 is not reported as refused");
    let reasons: BTreeSet<_> = cluster
        .up()
        .iter()
        .map(|n| cluster.fleet(*n).settings().refused().unwrap().reason.clone())
        .collect();
    assert_eq!(reasons.len(), 1);
    assert!(accepted_everywhere(1)(&cluster));
    cluster.settings = (3, settings("ordinary", 300));
    cluster
        .run_until(2_000, accepted_everywhere(3))
        .expect("revision 3 does not reach every entry");
    assert!(cluster.up().iter().all(|n| cluster.fleet(*n).settings().refused().is_none()));
}

#[test]
fn older_platform_answer_changes_nothing() {
    let mut cluster = Cluster::new(4, SEED);
    cluster.settings = (7, settings("ordinary", 700));
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.settings = (3, settings("ordinary", 300));
    cluster.run_ms(3_000);
    assert!(accepted_everywhere(7)(&cluster));
}

#[test]
fn restarted_entry_does_not_serve_with_settings_older_than_its_peers() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.settings = (7, settings("ordinary", 700));
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.kill(3);
    cluster.settings = (3, settings("ordinary", 300));
    cluster.run_ms(4_000);
    cluster.start(3, 2);
    for _ in 0..100 {
        cluster.step();
        if cluster.fleet(3).state() == Lifecycle::Serving {
            assert_eq!(cluster.fleet(3).settings().revisions().accepted, 7);
        }
    }
    assert!(cluster.has_converged());
}

#[test]
fn restarted_entry_joins_through_its_seeds_without_the_platform() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.platform_up = false;
    cluster.kill(5);
    cluster.run_ms(5_000);
    cluster.start(5, 2);
    cluster.run_until(2_000, Cluster::has_converged).expect("entry-5 does not serve");
}

#[test]
fn fleet_keeps_serving_while_the_platform_is_down() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.platform_up = false;
    cluster.run_ms(60_000);
    assert!(cluster.has_converged());
}

#[test]
fn delta_restores_the_new_text_and_carries_only_the_change() {
    let check = |text: &str| Ok::<_, String>(text.len());
    cases::check(0xa5e00034, 200, 0x4000, |u| {
        let mut sender = RevisionStore::new(Topic::Settings, check);
        let mut receiver = RevisionStore::new(Topic::Settings, check);
        let old: String = u.arbitrary()?;
        let new: String = u.arbitrary()?;
        let new = if u.arbitrary()? { format!("{old}{new}{old}") } else { new };
        sender.offer(1, &old);
        receiver.offer(1, &old);
        sender.offer(2, &new);
        let delta = sender.delta(2, 1).unwrap();
        assert_eq!(receiver.apply_delta(&delta).unwrap(), new);
        let whole = sender.delta(2, 99).unwrap();
        assert_eq!(RevisionStore::new(Topic::Settings, check).apply_delta(&whole).unwrap(), new);
        Ok(())
    });
    let mut store = RevisionStore::new(Topic::Settings, check);
    let text = "x".repeat(200_000);
    store.offer(1, &format!("{text}a{text}"));
    store.offer(2, &format!("{text}b{text}"));
    assert_eq!(store.delta(2, 1).unwrap().replacement, "b");
}

#[test]
fn store_never_reverts_to_an_earlier_revision() {
    cases::check(0xa5e00044, 200, 0x4000, |u| {
        let check = |text: &str| if text == "bad" { Err("bad".to_owned()) } else { Ok(()) };
        let mut store = RevisionStore::new(Topic::Settings, check);
        let mut highest = 0;
        for _ in 0..u.int_in_range(0..=60)? {
            let revision = u.int_in_range(0..=20)?;
            let text = if revision % 3 == 2 { "bad" } else { "good" };
            let before = store.revisions();
            let verdict = store.offer(revision, text);
            if text == "good" {
                highest = highest.max(revision);
            }
            assert_eq!(store.revisions().accepted, highest);
            assert!(store.revisions().seen >= before.seen);
            if verdict == Verdict::Refused {
                assert_eq!(store.refused().unwrap().revision, revision);
            }
        }
        Ok(())
    });
}

fn code(era: u64, number: u64) -> u64 {
    PublishedRevision::new(Some(era), number).unwrap().code()
}

#[test]
fn revisions_and_their_codes_are_ordered_by_era_then_by_number() {
    cases::check(0xa5e00054, 2_000, 0x1000, |u| {
        let mut pair = || -> arbtest::arbitrary::Result<(u64, u64)> {
            Ok((u.int_in_range(1..=1 << 24)?, u.int_in_range(0..=(1 << 40) - 1)?))
        };
        let (a, mut b) = (pair()?, pair()?);
        if u.arbitrary()? {
            b.0 = a.0;
        }
        let revision = |(era, number)| PublishedRevision::new(Some(era), number).unwrap();
        assert_eq!(revision(a).cmp(&revision(b)), a.cmp(&b));
        assert_eq!(revision(a).code().cmp(&revision(b).code()), a.cmp(&b));
        let decoded = PublishedRevision::from_code(revision(a).code());
        assert_eq!((decoded.era(), decoded.number()), a);
        Ok(())
    });
    for (era, number) in [(0, 1), ((1 << 24) + 1, 1), (1, 1 << 40)] {
        assert_eq!(PublishedRevision::new(Some(era), number), None, "{era}:{number}");
    }
}

/// Entries of a version without eras send plain numbers and order codes as numbers.
#[test]
fn code_of_a_revision_of_the_first_era_is_its_number() {
    for number in [0, 1, 7, (1 << 40) - 1] {
        assert_eq!(PublishedRevision::new(None, number).unwrap().code(), number);
        assert_eq!(code(1, number), number);
    }
    assert!(code(2, 0) > code(1, (1 << 40) - 1));
}

/// Guards against documents that are dropped because a restored platform gave them a number that is
/// not higher than the one in force, and against a return to the documents of its copy.
#[test]
fn documents_written_after_a_restore_replace_those_in_force() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.settings = (7, settings("ordinary", 700));
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.settings = (3, settings("ordinary", 300));
    cluster.run_ms(3_000);
    assert!(accepted_everywhere(7)(&cluster));
    for number in [4, 7, 5] {
        let era = if number == 5 { 3 } else { 2 };
        cluster.settings = (code(era, number), settings("ordinary", 100 * number as u32));
        cluster
            .run_until(2_000, accepted_everywhere(code(era, number)))
            .expect("the revision does not reach every entry");
    }
}

/// Guards against a refused document from before a restore that hides one written since.
#[test]
fn document_written_after_a_restore_replaces_a_refused_one_with_a_higher_number() {
    let check = |text: &str| if text == "bad" { Err("bad".to_owned()) } else { Ok(()) };
    let mut store = RevisionStore::new(Topic::Settings, check);
    assert_eq!(store.offer(5, "good"), Verdict::Accepted);
    assert_eq!(store.offer(9, "bad"), Verdict::Refused);
    assert_eq!(store.offer(code(2, 6), "good"), Verdict::Accepted);
    assert!(store.refused().is_none());
    assert_eq!(store.offer(code(2, 5), "bad"), Verdict::Old);
    assert_eq!(store.offer(code(2, 7), "bad"), Verdict::Refused);
    assert_eq!(store.revisions().accepted, code(2, 6));
}

/// Guards against entries that no longer follow the host list for one odd host in it: nested deeply, or with a number
/// or a port out of range.
#[test]
fn host_that_cannot_be_read_costs_itself_alone() {
    let mut cluster = Cluster::new(1, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    let list = hosts(9, &[0], &[("target-1", None, false)]);
    let deep = format!("{}1{}", "[".repeat(500), "]".repeat(500));
    let odd = [
        format!(r#"{{"host":"deep","more":{deep}}}"#),
        r#"{"host":"far","failure_domain":"a","state":"live","role":"target","service":"till","address":"127.0.0.1:99999"}"#.to_owned(),
        r#"{"host":"large","state":1e999}"#.to_owned(),
        r#"["till"]"#.to_owned(),
    ];
    let text = list.replace("]}", &format!(",{}]}}", odd.join(",")));
    let verdict = cluster.with(0, |f, now| f.apply_platform_document(now, Topic::Hosts, 9, &text));
    assert_eq!(verdict, Verdict::Accepted);
    let accepted = cluster.fleet(0).hosts().accepted().unwrap();
    let names: Vec<&str> = accepted.value.hosts.iter().map(|h| h.host.as_str()).collect();
    assert_eq!((names.len(), names[1], accepted.value.unreadable), (2, "target-1", odd.len()));
}
