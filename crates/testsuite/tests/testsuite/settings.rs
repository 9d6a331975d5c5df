//! An accepted revision is in force everywhere within two seconds and never reverts.

use azuretally_api::admin::EntryStatus;
use azuretally_standin::{platform::Faults, proxy::Faults as LinkFaults};
use azuretally_testsuite::{DEFAULT_TIMEOUT, Entry, Fleet, eventually};
use std::time::{Duration, Instant};
use tokio::time;

/// Time within which an accepted revision must be in force at every entry.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);

/// Requests that the platform allows all readers together, per second.
const PLATFORM_CALLS_PER_S: u64 = 2_000;
/// Entries of a full deployment, among which the limit is divided.
const FULL_ENTRIES: u64 = 16;

async fn status(entry: &Entry) -> EntryStatus {
    eventually(&format!("status of {}", entry.host), DEFAULT_TIMEOUT, async || {
        entry.status().await.ok()
    })
    .await
}

/// Waits at most `bound` until `revision` is in force at all entries.
async fn wait_until_in_force(fleet: &Fleet, revision: u64, bound: Duration) {
    let start = Instant::now();
    for entry in &fleet.entries {
        let remaining = bound.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
        eventually(
            &format!("revision {revision} in force at {}", entry.host),
            remaining,
            async || (entry.status().await.ok()?.revision == revision).then_some(()),
        )
        .await;
    }
}

/// Checks for `time` that every entry keeps `revision` in force.
async fn assert_kept(fleet: &Fleet, revision: u64, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.revision, revision, "at {}", entry.host);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn settings_with_preset(fleet: &Fleet, name: &str) -> String {
    let mut published = fleet.published.clone();
    published.preset = name.to_owned();
    published.to_toml()
}

#[tokio::test]
async fn preset_is_in_force_everywhere_within_two_seconds() {
    let fleet = Fleet::builder().entries(5).start().await;
    for (i, name) in ["peak", "maintenance", "ordinary", "peak"].into_iter().enumerate() {
        let revision = fleet.publish(&settings_with_preset(&fleet, name), None).await.unwrap();
        assert_eq!(revision, i as u64 + 2);
        wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.preset, name);
        }
    }
}

#[tokio::test]
async fn older_platform_response_reverts_nothing() {
    let fleet = Fleet::builder().start().await;
    let revision = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
    let stale = Faults { stale_revision: Some(1), ignore_after: true, ..Faults::default() };
    fleet.set_platform_faults(stale).await;
    assert_kept(&fleet, revision, Duration::from_secs(2)).await;
    // Outdated responses that return at once must not lead to a busy loop of more requests than the
    // share of these entries.
    let before = fleet.platform_counts().await.total;
    time::sleep(Duration::from_secs(1)).await;
    let calls = fleet.platform_counts().await.total - before;
    let allowed = PLATFORM_CALLS_PER_S * fleet.entries.len() as u64 / FULL_ENTRIES;
    assert!(calls <= allowed, "{calls} calls in 1 s, limit {allowed}");
}

/// A restarted host gets an old revision from the platform, while its peers have a newer one.
#[tokio::test]
async fn restarted_host_does_not_serve_an_older_revision() {
    let mut fleet = Fleet::builder().start().await;
    let revision = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
    let stale = Faults { stale_revision: Some(1), ignore_after: true, ..Faults::default() };
    fleet.set_platform_faults(stale).await;
    fleet.entries[0].kill();
    fleet.restart(0);
    let entry = &fleet.entries[0];
    let mut seen = Vec::new();
    eventually("the restarted host has the newest revision", DEFAULT_TIMEOUT, async || {
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

/// An entry without a connection to the platform gets a revision from its peers.
#[tokio::test]
async fn entry_without_the_platform_gets_settings_from_its_peers() {
    let fleet = Fleet::builder().links().start().await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    fleet.platform_links[1].set_faults(cut);
    let revision = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
    // Now the connections are silent instead of closed.
    let silent = LinkFaults { drop_forward: true, drop_backward: true, ..LinkFaults::default() };
    fleet.platform_links[1].set_faults(silent);
    fleet.platform_links[2].set_faults(silent);
    let revision = fleet.publish(&settings_with_preset(&fleet, "maintenance"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
}

/// All open long polls become silent at the same time, while new connections work.
#[tokio::test]
async fn silent_platform_polls_do_not_delay_a_revision() {
    let fleet = Fleet::builder().links().start().await;
    let silence = LinkFaults { silence_open: true, ..LinkFaults::default() };
    fleet.platform_links.iter().for_each(|l| l.set_faults(silence));
    let revision = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
}

#[tokio::test]
async fn resumed_entry_applies_the_newest_revision() {
    let mut fleet = Fleet::builder().start().await;
    fleet.entries[0].process().suspend();
    let mut revision = 1;
    for name in ["peak", "maintenance"] {
        revision = fleet.publish(&settings_with_preset(&fleet, name), None).await.unwrap();
        time::sleep(Duration::from_millis(500)).await;
    }
    fleet.entries[0].process().resume();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
    assert_kept(&fleet, revision, Duration::from_secs(1)).await;
}

/// If two operators write with the same expected revision, one gets a conflict, and the accepted
/// settings are in force everywhere.
#[tokio::test]
async fn conflicting_writes_of_operators_accept_exactly_one() {
    let fleet = Fleet::builder().start().await;
    for expected in 1..4 {
        let (peak, maintenance) =
            (settings_with_preset(&fleet, "peak"), settings_with_preset(&fleet, "maintenance"));
        let (first_write, second_write) = tokio::join!(
            fleet.publish(&peak, Some(expected)),
            fleet.publish(&maintenance, Some(expected)),
        );
        assert!(first_write.is_ok() != second_write.is_ok(), "{first_write:?} {second_write:?}");
        wait_until_in_force(&fleet, expected + 1, IN_FORCE_BOUND).await;
        let name = if first_write.is_ok() { "peak" } else { "maintenance" };
        for entry in &fleet.entries {
            assert_eq!(status(entry).await.preset, name);
        }
    }
}

/// Invalid settings are refused with the same reason at all entries and change nothing.
#[tokio::test]
async fn invalid_settings_are_refused_with_the_same_reason_everywhere() {
    let fleet = Fleet::builder().start().await;
    let valid = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, valid, IN_FORCE_BOUND).await;
    let documents = [
        settings_with_preset(&fleet, "no-such-preset"),
        settings_with_preset(&fleet, "peak").replace("entry_set", "entry_sets"),
        "deployment = ".to_owned(),
    ];
    for document in documents {
        let invalid = fleet.publish(&document, None).await.unwrap();
        let mut reasons = Vec::new();
        for entry in &fleet.entries {
            let refused = eventually(
                &format!("{} reports revision {invalid}", entry.host),
                IN_FORCE_BOUND,
                async || entry.status().await.ok()?.refused.filter(|r| r.revision == invalid),
            )
            .await;
            reasons.push(refused.reason);
            let status = status(entry).await;
            assert_eq!((status.revision, status.preset.as_str()), (valid, "peak"));
        }
        reasons.dedup();
        assert_eq!(reasons.len(), 1, "{reasons:?}");
        assert!(!reasons[0].is_empty());
    }
    let next = fleet.publish(&settings_with_preset(&fleet, "ordinary"), None).await.unwrap();
    wait_until_in_force(&fleet, next, IN_FORCE_BOUND).await;
}

#[tokio::test]
async fn platform_requests_stay_within_the_limit_through_repeated_outages() {
    let fleet = Fleet::builder().entries(6).start().await;
    let allowed = PLATFORM_CALLS_PER_S * fleet.entries.len() as u64 / FULL_ENTRIES;
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
    assert!(counts.peak_per_s <= allowed, "limit {allowed}: {counts:?}");
    let revision = fleet.publish(&settings_with_preset(&fleet, "peak"), None).await.unwrap();
    wait_until_in_force(&fleet, revision, IN_FORCE_BOUND).await;
}
