//! An accepted revision is in force everywhere within two seconds and never reverts.

use azuretally_api::admin::EntryStatus;
use azuretally_standin::{platform::Faults, proxy::Faults as LinkFaults};
use azuretally_testsuite::{DEFAULT_TIMEOUT, Entry, Fleet, eventually};
use std::time::{Duration, Instant};
use tokio::time;

const BOUND: Duration = Duration::from_secs(2);

/// Calls that the platform allows all readers together, per second.
const PLATFORM_CALLS_PER_S: u64 = 2_000;
/// Entries of a deployment in full.
const FULL_ENTRIES: u64 = 16;

async fn status(entry: &Entry) -> EntryStatus {
    eventually(&format!("status of {}", entry.host), DEFAULT_TIMEOUT, async || {
        entry.status().await.ok()
    })
    .await
}

/// Waits at most `bound` until `revision` is in force at all entries.
async fn in_force(fleet: &Fleet, revision: u64, bound: Duration) {
    let began = Instant::now();
    for entry in &fleet.entries {
        let left = bound.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
        eventually(&format!("revision {revision} in force at {}", entry.host), left, async || {
            (entry.status().await.ok()?.revision == revision).then_some(())
        })
        .await;
    }
}

/// Watches that no entry leaves `revision`.
async fn assert_kept(fleet: &Fleet, revision: u64, time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.revision, revision, "at {}", entry.host);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn preset(fleet: &Fleet, name: &str) -> String {
    let mut published = fleet.published.clone();
    published.preset = name.to_owned();
    published.to_toml()
}

#[tokio::test]
async fn preset_is_everywhere_within_two_seconds() {
    let fleet = Fleet::builder().entries(5).start().await;
    for (i, name) in ["peak", "maintenance", "ordinary", "peak"].into_iter().enumerate() {
        let revision = fleet.publish(&preset(&fleet, name), None).await.unwrap();
        assert_eq!(revision, i as u64 + 2);
        in_force(&fleet, revision, BOUND).await;
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.preset, name);
        }
    }
}

#[tokio::test]
async fn older_answer_of_the_platform_reverts_nothing() {
    let fleet = Fleet::builder().start().await;
    let revision = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
    let stale = Faults { stale_revision: Some(1), ignore_after: true, ..Faults::default() };
    fleet.set_platform_faults(stale).await;
    assert_kept(&fleet, revision, Duration::from_secs(2)).await;
    // Nor does a hot loop of old answers cost the platform more than its share.
    let before = fleet.platform_counts().await.total;
    time::sleep(Duration::from_secs(1)).await;
    let calls = fleet.platform_counts().await.total - before;
    let share = PLATFORM_CALLS_PER_S * fleet.entries.len() as u64 / FULL_ENTRIES;
    assert!(calls <= share, "{calls} calls in 1 s, share {share}");
}

/// A fresh host meets a platform that shows an old revision, while its peers know better.
#[tokio::test]
async fn fresh_host_does_not_serve_an_older_revision() {
    let mut fleet = Fleet::builder().start().await;
    let revision = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
    let stale = Faults { stale_revision: Some(1), ignore_after: true, ..Faults::default() };
    fleet.set_platform_faults(stale).await;
    fleet.entries[0].kill();
    fleet.restart(0);
    let entry = &fleet.entries[0];
    let mut seen = Vec::new();
    eventually("the fresh host has the newest revision", DEFAULT_TIMEOUT, async || {
        let status = entry.status().await.ok()?;
        if status.state == "serving" {
            seen.push(status.revision);
        }
        (status.revision == revision).then_some(())
    })
    .await;
    assert!(seen.iter().all(|r| *r == revision), "served under {seen:?}");
    assert_kept(&fleet, revision, Duration::from_secs(1)).await;
}

/// A revision reaches an entry that is cut off from the platform through its peers.
#[tokio::test]
async fn entry_cut_off_from_the_platform_hears_from_its_peers() {
    let fleet = Fleet::builder().links().start().await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    fleet.platform_links[1].set_faults(cut);
    let revision = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
    // Silent this time, not cut.
    let silent = LinkFaults { drop_forward: true, drop_backward: true, ..LinkFaults::default() };
    fleet.platform_links[1].set_faults(silent);
    fleet.platform_links[2].set_faults(silent);
    let revision = fleet.publish(&preset(&fleet, "maintenance"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
}

/// All watches go silent at once while new connections work.
#[tokio::test]
async fn silent_watches_do_not_hold_a_revision_back() {
    let fleet = Fleet::builder().links().start().await;
    let silence = LinkFaults { silence_open: true, ..LinkFaults::default() };
    fleet.platform_links.iter().for_each(|l| l.set_faults(silence));
    let revision = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
}

#[tokio::test]
async fn frozen_entry_wakes_up_to_the_newest_revision() {
    let mut fleet = Fleet::builder().start().await;
    fleet.entries[0].process().suspend();
    let mut revision = 1;
    for name in ["peak", "maintenance"] {
        revision = fleet.publish(&preset(&fleet, name), None).await.unwrap();
        time::sleep(Duration::from_millis(500)).await;
    }
    fleet.entries[0].process().resume();
    in_force(&fleet, revision, BOUND).await;
    assert_kept(&fleet, revision, Duration::from_secs(1)).await;
}

/// One of two operators who race is told so; what was accepted stands everywhere.
#[tokio::test]
async fn racing_operators_do_not_undo_each_other() {
    let fleet = Fleet::builder().start().await;
    for expected in 1..4 {
        let (peak, maintenance) = (preset(&fleet, "peak"), preset(&fleet, "maintenance"));
        let (one, two) = tokio::join!(
            fleet.publish(&peak, Some(expected)),
            fleet.publish(&maintenance, Some(expected)),
        );
        assert!(one.is_ok() != two.is_ok(), "{one:?} {two:?}");
        in_force(&fleet, expected + 1, BOUND).await;
        let name = if one.is_ok() { "peak" } else { "maintenance" };
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.preset, name);
        }
    }
}

/// A bad document is refused with the same reason everywhere and changes nothing.
#[tokio::test]
async fn bad_document_is_refused_with_the_same_verdict_everywhere() {
    let fleet = Fleet::builder().start().await;
    let good = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, good, BOUND).await;
    let documents = [
        preset(&fleet, "no-such-preset"),
        preset(&fleet, "peak").replace("entry_set", "entry_sets"),
        "deployment = ".to_owned(),
    ];
    for document in documents {
        let bad = fleet.publish(&document, None).await.unwrap();
        let mut reasons = Vec::new();
        for entry in &fleet.entries {
            let refused =
                eventually(&format!("{} tells of revision {bad}", entry.host), BOUND, async || {
                    entry.status().await.ok()?.refused.filter(|r| r.revision == bad)
                })
                .await;
            reasons.push(refused.reason);
            let status = status(entry).await;
            assert_eq!((status.revision, status.preset.as_str()), (good, "peak"));
        }
        reasons.dedup();
        assert_eq!(reasons.len(), 1, "{reasons:?}");
        assert!(!reasons[0].is_empty());
    }
    let next = fleet.publish(&preset(&fleet, "ordinary"), None).await.unwrap();
    in_force(&fleet, next, BOUND).await;
}

#[tokio::test]
async fn platform_outage_and_recovery_stay_within_the_call_budget() {
    let fleet = Fleet::builder().entries(6).start().await;
    let share = PLATFORM_CALLS_PER_S * fleet.entries.len() as u64 / FULL_ENTRIES;
    for fault in [
        Faults { down: true, ..Faults::default() },
        Faults { hang: true, ..Faults::default() },
        Faults { down: true, ..Faults::default() },
    ] {
        fleet.set_platform_faults(fault).await;
        time::sleep(Duration::from_millis(1_500)).await;
        fleet.set_platform_faults(Faults::default()).await;
        time::sleep(Duration::from_millis(1_000)).await;
    }
    let counts = fleet.platform_counts().await;
    assert!(counts.peak_per_s <= share, "share {share}: {counts:?}");
    let revision = fleet.publish(&preset(&fleet, "peak"), None).await.unwrap();
    in_force(&fleet, revision, BOUND).await;
}
