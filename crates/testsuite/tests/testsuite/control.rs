//! Propagation of settings, membership and leaving targets between real entries.

use azuretally_standin::{
    platform::Faults as PlatformFaults, proxy::Faults as LinkFaults, target::Faults as TargetFaults,
};
use azuretally_testsuite::{Call, DEFAULT_TIMEOUT, Fleet, eventually};
use std::time::{Duration, Instant};

/// Time within which an accepted revision must be in force at every entry that can be reached.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);

async fn revisions(fleet: &Fleet) -> Vec<u64> {
    let mut revisions = Vec::new();
    for entry in &fleet.entries {
        revisions.push(entry.status().await.map_or(0, |s| s.revision));
    }
    revisions
}

async fn states(fleet: &Fleet) -> Vec<String> {
    let mut states = Vec::new();
    for entry in &fleet.entries {
        states.push(entry.status().await.map_or_else(|_| String::new(), |s| s.state));
    }
    states
}

pub(crate) async fn wait_for_full_membership(fleet: &Fleet) {
    let others = fleet.entries.len() - 1;
    eventually("every entry sees every other one", DEFAULT_TIMEOUT, async || {
        for entry in &fleet.entries {
            if entry.status().await.ok()?.peers.len() < others {
                return None;
            }
        }
        Some(())
    })
    .await;
}

fn settings_with_timeout(fleet: &Fleet, urgent_ms: u32) -> String {
    let mut published = fleet.published.clone();
    published.urgent_ms = urgent_ms;
    published.to_toml()
}

async fn wait_until_in_force(fleet: &Fleet, revision: u64) {
    eventually(
        &format!("revision {revision} is in force everywhere"),
        IN_FORCE_BOUND,
        async || revisions(fleet).await.iter().all(|r| *r == revision).then_some(()),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_reach_all_entries_through_one_platform_link() {
    let fleet = Fleet::builder().entries(6).links().start().await;
    wait_for_full_membership(&fleet).await;
    for link in &fleet.platform_links[1..] {
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let revision = fleet.publish(&settings_with_timeout(&fleet, 1_500), None).await.unwrap();
    wait_until_in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_entry_is_stale_and_never_reverts_settings() {
    let mut fleet = Fleet::builder().entries(4).start().await;
    wait_for_full_membership(&fleet).await;
    fleet.entries[2].process().suspend();
    let revision = fleet.publish(&settings_with_timeout(&fleet, 1_500), None).await.unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let status = fleet.entries[0].status().await.unwrap();
    assert!(!status.peers.contains(&"entry-2".to_owned()), "{:?}", status.peers);
    fleet
        .set_platform_faults(PlatformFaults { stale_revision: Some(1), ..Default::default() })
        .await;
    fleet.entries[2].process().resume();
    wait_until_in_force(&fleet, revision).await;
    wait_for_full_membership(&fleet).await;
    let log = fleet.entries[2].process().log();
    assert!(log.contains("control: the process was paused"), "{log}");
    assert!(log.contains("control: stale"), "{log}");
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        assert!(revisions(&fleet).await.iter().all(|r| *r == revision));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_entry_gets_newer_settings_from_its_peers() {
    let mut fleet = Fleet::builder().entries(4).start().await;
    wait_for_full_membership(&fleet).await;
    let revision = fleet.publish(&settings_with_timeout(&fleet, 1_500), None).await.unwrap();
    wait_until_in_force(&fleet, revision).await;
    fleet
        .set_platform_faults(PlatformFaults { stale_revision: Some(1), ..Default::default() })
        .await;
    fleet.entries[1].kill();
    fleet.restart(1);
    eventually("the restarted entry serves", DEFAULT_TIMEOUT, async || {
        let status = fleet.entries[1].status().await.ok()?;
        let serves = status.state == "serving";
        assert!(!serves || status.revision == revision, "served revision {}", status.revision);
        serves.then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_entry_is_stale_and_directs_callers_to_other_entries() {
    let fleet = Fleet::builder().entries(4).links().start().await;
    wait_for_full_membership(&fleet).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    fleet.platform_links[3].set_faults(cut);
    fleet.peer_links[3].set_faults(cut);
    eventually("entry-3 is stale", Duration::from_secs(6), async || {
        (fleet.entries[3].status().await.ok()?.state == "stale").then_some(())
    })
    .await;
    let answer = fleet.caller.directions(fleet.entries[3].directions, "till").await.unwrap();
    assert!(!answer.entries.is_empty());
    assert!(answer.entries.iter().all(|e| e.host != "entry-3"), "{answer:?}");
    for link in fleet.platform_links.iter().chain(&fleet.peer_links) {
        link.set_faults(LinkFaults::default());
    }
    eventually("all entries serve again", DEFAULT_TIMEOUT, async || {
        states(&fleet).await.iter().all(|s| s == "serving").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_connections_are_reestablished() {
    let fleet = Fleet::builder().entries(4).links().start().await;
    wait_for_full_membership(&fleet).await;
    for link in &fleet.peer_links {
        link.set_faults(LinkFaults { silence_open: true, ..LinkFaults::default() });
    }
    fleet.set_platform_faults(PlatformFaults { down: true, ..Default::default() }).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    eventually("all entries serve without the platform", DEFAULT_TIMEOUT, async || {
        states(&fleet).await.iter().all(|s| s == "serving").then_some(())
    })
    .await;
    wait_for_full_membership(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_requests_stay_within_the_limit_during_an_outage() {
    let fleet = Fleet::builder().entries(8).start().await;
    wait_for_full_membership(&fleet).await;
    fleet.set_platform_faults(PlatformFaults { down: true, ..Default::default() }).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    fleet.set_platform_faults(PlatformFaults::default()).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let counts = fleet.platform_counts().await;
    assert!(counts.peak_per_s <= 200, "{counts:?}");
    assert!(states(&fleet).await.iter().all(|s| s == "serving"));
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_leaves_directions_within_one_second() {
    let mut fleet = Fleet::builder().entries(4).start().await;
    wait_for_full_membership(&fleet).await;
    let host = fleet.direction().await.host;
    let other_entries: Vec<_> =
        fleet.entries.iter().filter(|e| e.host != host).map(|e| e.directions).collect();
    fleet.entry(&host).process().terminate();
    eventually(
        "no entry directs callers to the stopping entry",
        Duration::from_secs(1),
        async || {
            for address in &other_entries {
                let answer = fleet.caller.directions(*address, "till").await.ok()?;
                if answer.entries.iter().any(|e| e.host == host) {
                    return None;
                }
            }
            Some(())
        },
    )
    .await;
    let call = Call::get("/till/balance", "after-the-stop");
    assert!(
        fleet.caller.call(calls_address_except(&fleet, &host), &call).await.unwrap().is_answered()
    );
}

fn calls_address_except(fleet: &Fleet, except: &str) -> std::net::SocketAddr {
    fleet.entries.iter().find(|e| e.host != except).unwrap().calls
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_target_seen_by_one_entry_gets_no_calls_from_any_during_a_platform_outage() {
    // With almost no probes, the other entries do not learn from the target that it is draining.
    let builder = Fleet::builder().entries(4).targets(3).published(|p| p.probe_budget = 0.01);
    let mut fleet = builder.start().await;
    wait_for_full_membership(&fleet).await;
    fleet.set_platform_faults(PlatformFaults { down: true, ..Default::default() }).await;
    fleet.set_target_faults(Some(1), TargetFaults { drain: true, ..Default::default() }).await;
    let first = fleet.entries[0].calls;
    let deadline = Instant::now() + DEFAULT_TIMEOUT;
    loop {
        let call = Call::get("/till/balance", "before");
        let _ = fleet.caller.call(first, &call).await;
        let mut logs = fleet.entries.iter_mut().map(|e| e.process().log());
        if logs.any(|l| l.contains("target till-1 is leaving")) {
            break;
        }
        assert!(Instant::now() < deadline, "no entry noticed that the target is draining");
    }
    tokio::time::sleep(IN_FORCE_BOUND).await;
    let before = fleet.target_report().await.targets["till-1"].calls;
    for round in 0..10 {
        for entry in &fleet.entries {
            let call = Call::get("/till/balance", format!("after-{round}-{}", entry.host));
            assert!(fleet.caller.call(entry.calls, &call).await.unwrap().is_answered());
        }
    }
    let after = fleet.target_report().await.targets["till-1"].calls;
    assert_eq!(after, before, "the draining target got new calls");
}
