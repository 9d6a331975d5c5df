//! The work of measuring stays within its budget, counted at the targets.

use azuretally_standin::{proxy::Faults as LinkFaults, target::Faults};
use azuretally_testsuite::{Fleet, LoadGenerator, Workload};
use std::time::{Duration, Instant};
use tokio::time;

const BUDGET_MS_PER_S: f64 = 20.0;
const PROBE_MS: f64 = 6.0;

async fn probe_ms(fleet: &Fleet) -> f64 {
    fleet.target_report().await.targets.values().map(|t| t.probe_ms).sum()
}

/// Checks what was spent since `began`. Every incarnation may have one probe under way.
async fn assert_within(fleet: &Fleet, began: Instant, incarnations: usize, what: &str) {
    let spent = probe_ms(fleet).await;
    let allowed = BUDGET_MS_PER_S * began.elapsed().as_secs_f64() + PROBE_MS * incarnations as f64;
    assert!(spent <= allowed, "{what}: {spent} ms spent, {allowed} ms allowed");
}

fn mix(callers: usize) -> Workload {
    Workload {
        callers,
        pause: Duration::from_millis(2),
        sale_every: 3,
        timeout: Duration::from_millis(500),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn probes_stay_within_the_budget_on_quiet_days_at_peak_and_under_faults() {
    let began = Instant::now();
    let mut fleet = Fleet::builder()
        .entries(4)
        .links()
        .published(|p| p.probe_budget = BUDGET_MS_PER_S)
        .start()
        .await;
    let mut incarnations = fleet.entries.len();
    time::sleep(Duration::from_secs(2)).await;
    assert_within(&fleet, began, incarnations, "quiet").await;

    let crowd = LoadGenerator::start(&fleet, mix(40));
    time::sleep(Duration::from_secs(2)).await;
    assert_within(&fleet, began, incarnations, "peak").await;

    // Silent, cold and suspect targets are those that are worth a probe.
    fleet.set_target_faults(None, Faults { cold: true, ..Faults::default() }).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    fleet.target_links[0].set_faults(cut);
    fleet.peer_links.iter().for_each(|l| l.set_faults(cut));
    fleet.platform_links.iter().for_each(|l| l.set_faults(cut));
    time::sleep(Duration::from_secs(2)).await;
    assert_within(&fleet, began, incarnations, "partition").await;

    fleet.peer_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
    fleet.platform_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
    for i in 0..fleet.entries.len() {
        fleet.entries[i].kill();
        fleet.restart(i);
        incarnations += 1;
    }
    time::sleep(Duration::from_secs(2)).await;
    assert_within(&fleet, began, incarnations, "replacement").await;
    fleet.verify(&crowd.finish().await).await;
}
