//! A platform that is restored from an earlier copy: what it published before stays in force until
//! something is published after the restore, which is then in force in time.

use azuretally_standin::{
    platform::Copied,
    target::{Faults, GroupReport},
};
use azuretally_testsuite::{
    Call, DEFAULT_TIMEOUT, Entry, Fleet, LoadGenerator, Workload, eventually,
};
use std::time::{Duration, Instant};
use tokio::time;

/// Time within which published settings must be in force at every entry, and after which a leaving
/// target must get no new calls.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);
/// Time for which nothing may change after a restore.
const KEPT_TIME: Duration = Duration::from_secs(3);
/// Time for which the calls of a leaving target are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);

const WORKLOAD: Workload = Workload {
    callers: 12,
    pause: Duration::from_millis(3),
    sale_every: 4,
    timeout: Duration::from_secs(2),
};

fn settings_with_preset(fleet: &Fleet, name: &str) -> String {
    let mut published = fleet.published.clone();
    published.preset = name.to_owned();
    published.to_toml()
}

async fn has_preset(entry: &Entry, name: &str) -> bool {
    entry.status().await.is_ok_and(|s| s.preset == name)
}

/// Publishes the preset and waits until it is in force at all entries, at most for the bound.
async fn switch_preset(fleet: &Fleet, name: &str) -> u64 {
    let revision = fleet.publish(&settings_with_preset(fleet, name), None).await.unwrap();
    let start = Instant::now();
    for entry in &fleet.entries {
        let what = format!("preset {name} (revision {revision}) in force at {}", entry.host);
        let remaining = IN_FORCE_BOUND.saturating_sub(start.elapsed());
        eventually(&what, remaining, async || has_preset(entry, name).await.then_some(())).await;
        assert_eq!(entry.status().await.unwrap().revision, revision, "at {}", entry.host);
    }
    revision
}

/// Checks that every entry keeps the preset in force.
async fn assert_preset_is_kept(fleet: &Fleet, name: &str) {
    let start = Instant::now();
    while start.elapsed() < KEPT_TIME {
        for entry in &fleet.entries {
            let status = entry.status().await.unwrap();
            assert_eq!(status.preset, name, "at {} ({})", entry.host, status.state);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn calls_at(report: &GroupReport, target: &str) -> u64 {
    report.targets[target].calls
}

/// Waits for the bound, then checks that the leaving targets get no calls.
async fn assert_get_no_calls(fleet: &Fleet, leaving: &[&str]) {
    time::sleep(IN_FORCE_BOUND).await;
    let before = fleet.target_report().await;
    time::sleep(OBSERVATION_TIME).await;
    let after = fleet.target_report().await;
    for target in leaving {
        assert_eq!(calls_at(&after, target), calls_at(&before, target), "calls at {target}");
    }
}

// Guards against settings that stay out of force because a restored platform numbers them like
// earlier ones, and against a return to the settings in its copy.
#[tokio::test]
async fn settings_published_after_a_restore_are_in_force_in_time() {
    let fleet = Fleet::builder().start().await;
    for name in ["peak", "ordinary", "peak", "maintenance"] {
        switch_preset(&fleet, name).await;
    }
    fleet.restore_platform(Copied { settings: 1, hosts: 1 }).await;
    assert_preset_is_kept(&fleet, "maintenance").await;
    // The same revision with the same content as before the restore, though not what is in force.
    assert_eq!(switch_preset(&fleet, "peak").await, 2);
    assert_eq!(switch_preset(&fleet, "ordinary").await, 3);
}

// Guards against settings that are taken for those in force because their revision is the same.
#[tokio::test]
async fn settings_with_the_revision_in_force_replace_it_after_a_restore() {
    let fleet = Fleet::builder().start().await;
    assert_eq!(switch_preset(&fleet, "peak").await, 2);
    fleet.restore_platform(Copied { settings: 1, hosts: 1 }).await;
    let settings = settings_with_preset(&fleet, "maintenance");
    let settings = settings.replace("path = \"/balance\"", "path = \"/new-balance\"");
    assert_eq!(fleet.publish(&settings, None).await, Ok(2));
    let start = Instant::now();
    for entry in &fleet.entries {
        let remaining = IN_FORCE_BOUND.saturating_sub(start.elapsed());
        eventually(&format!("new path served by {}", entry.host), remaining, async || {
            let call = Call::get("/till/new-balance", "after-restore");
            fleet.caller.call(entry.calls, &call).await.ok()?.is_answered().then_some(())
        })
        .await;
    }
}

// Guards against an entry that starts after a restore and takes the settings of the copy although
// its peers have later ones, and that then misses what is published.
#[tokio::test]
async fn entry_started_after_a_restore_keeps_to_the_settings_of_its_peers() {
    let mut fleet = Fleet::builder().start().await;
    for name in ["peak", "ordinary", "maintenance"] {
        switch_preset(&fleet, name).await;
    }
    fleet.entries[0].kill();
    fleet.restore_platform(Copied { settings: 2, hosts: 1 }).await;
    fleet.restart(0);
    let entry = &fleet.entries[0];
    eventually("the restarted entry is serving", DEFAULT_TIMEOUT, async || {
        (entry.status().await.ok()?.state == "serving").then_some(())
    })
    .await;
    assert_preset_is_kept(&fleet, "maintenance").await;
    assert_eq!(switch_preset(&fleet, "ordinary").await, 3);
}

// Guards against calls to a target that leaves according to a host list of a restored platform, and
// to one that left before and is live in the copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_leaving_before_and_after_a_restore_get_no_calls() {
    let mut fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    for _ in 0..3 {
        fleet.publish_hosts(&["till-3"], &[]).await;
    }
    time::sleep(IN_FORCE_BOUND).await;
    fleet.restore_platform(Copied { settings: 1, hosts: 1 }).await;
    assert_get_no_calls(&fleet, &["till-3"]).await;
    fleet.publish_hosts(&["till-2", "till-3"], &[]).await;
    assert_get_no_calls(&fleet, &["till-2", "till-3"]).await;
    let outcomes = fleet.verify(&load.finish().await).await;
    assert_eq!(outcomes.indeterminate(), 0, "{outcomes:?}");
}

// Guards against calls to a target that still drains but is live in the first list that the platform
// writes after a restore, since the copy is older than its leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_that_is_live_in_a_list_written_after_a_restore_gets_no_calls() {
    let mut fleet = Fleet::builder().start().await;
    let load = LoadGenerator::start(&fleet, WORKLOAD);
    time::sleep(Duration::from_millis(300)).await;
    fleet.set_target_faults(Some(1), Faults { drain: true, ..Faults::default() }).await;
    time::sleep(IN_FORCE_BOUND).await;
    fleet.publish_hosts(&["till-1"], &[]).await;
    time::sleep(IN_FORCE_BOUND).await;
    fleet.restore_platform(Copied { settings: 1, hosts: 1 }).await;
    fleet.publish_hosts(&["till-2"], &[]).await;
    assert_get_no_calls(&fleet, &["till-1", "till-2"]).await;
    fleet.verify(&load.finish().await).await;
}
