//! Probes stay within their budget, as counted by the targets.

use azuretally_standin::{proxy::Faults as LinkFaults, target::Faults};
use azuretally_testsuite::{Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::time;

/// Budget for the probes of all entries together, in ms of slot time per second.
const BUDGET_MS_PER_S: f64 = 20.0;
/// Slot time used by a probe, in ms.
const PROBE_MS: f64 = 6.0;

async fn probe_ms(fleet: &Fleet) -> f64 {
    fleet.target_report().await.targets.values().map(|t| t.probe_ms).sum()
}

/// Checks the probe time used since `start`. Every incarnation may have one more probe in flight.
async fn assert_within_budget(fleet: &Fleet, start: Instant, incarnations: usize, phase: &str) {
    let spent = probe_ms(fleet).await;
    let allowed = BUDGET_MS_PER_S * start.elapsed().as_secs_f64() + PROBE_MS * incarnations as f64;
    assert!(spent <= allowed, "{phase}: {spent} ms used, {allowed} ms allowed");
}

fn workload(callers: usize) -> Workload {
    Workload {
        callers,
        pause: Duration::from_millis(2),
        sale_every: 3,
        timeout: Duration::from_millis(500),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn probes_stay_within_the_budget_when_idle_under_load_and_under_faults() {
    let start = Instant::now();
    let mut fleet = Fleet::builder()
        .entries(4)
        .links()
        .published(|p| p.probe_budget = BUDGET_MS_PER_S)
        .start()
        .await;
    let mut incarnations = fleet.entries.len();
    time::sleep(Duration::from_secs(2)).await;
    assert_within_budget(&fleet, start, incarnations, "idle").await;

    let load = LoadGenerator::start(&fleet, workload(40));
    time::sleep(Duration::from_secs(2)).await;
    assert_within_budget(&fleet, start, incarnations, "peak").await;

    // Silent, cold and suspect targets are the ones worth probing.
    fleet.set_target_faults(None, Faults { cold: true, ..Faults::default() }).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    fleet.target_links[0].set_faults(cut);
    fleet.peer_links.iter().for_each(|l| l.set_faults(cut));
    fleet.platform_links.iter().for_each(|l| l.set_faults(cut));
    time::sleep(Duration::from_secs(2)).await;
    assert_within_budget(&fleet, start, incarnations, "partition").await;

    fleet.peer_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
    fleet.platform_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
    for i in 0..fleet.entries.len() {
        fleet.entries[i].kill();
        fleet.restart(i);
        incarnations += 1;
    }
    time::sleep(Duration::from_secs(2)).await;
    assert_within_budget(&fleet, start, incarnations, "replacement").await;
    fleet.verify(&load.finish().await).await;
}
