//! At every entry: accepted calls = answered + not run + unknown + in flight.

use azuretally_api::admin::CallCounts;
use azuretally_standin::target::Faults;
use azuretally_testsuite::{DEFAULT_TIMEOUT, Fleet, LoadGenerator, Workload, eventually};
use std::time::Duration;
use tokio::time;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_counters_add_up_at_all_times_and_none_stay_in_flight() {
    let fleet = Fleet::builder().targets(2).service_ms(10.0).start().await;
    let workload = Workload {
        callers: 40,
        pause: Duration::from_millis(1),
        sale_every: 3,
        timeout: Duration::from_millis(250),
    };
    let load = LoadGenerator::start(&fleet, workload);
    for round in 0..20 {
        let hang = Faults { hang: round % 5 == 4, ..Faults::default() };
        fleet.set_target_faults(Some(0), hang).await;
        time::sleep(Duration::from_millis(100)).await;
        for entry in &fleet.entries {
            let status = entry.status().await.unwrap();
            for (operation, counts) in &status.calls {
                assert_conserved(&entry.host, operation, counts);
            }
        }
    }
    fleet.set_target_faults(None, Faults::default()).await;
    let completed = load.finish().await;
    let outcomes = fleet.verify(&completed).await;
    assert!(outcomes.not_run + outcomes.unknown > 0, "the faults had no effect: {outcomes:?}");
    let mut accepted = 0;
    for entry in &fleet.entries {
        let calls = eventually("nothing is in flight", DEFAULT_TIMEOUT, async || {
            let calls = entry.status().await.ok()?.calls;
            calls.values().all(|c| c.in_flight == 0).then_some(calls)
        })
        .await;
        accepted += calls.values().map(|c| c.taken).sum::<u64>();
    }
    assert!(
        accepted >= completed.len() as u64,
        "{accepted} accepted, {} calls made",
        completed.len()
    );
}

fn assert_conserved(host: &str, operation: &str, c: &CallCounts) {
    let sum = c.answered + c.not_run + c.unknown + c.in_flight;
    assert_eq!(c.taken, sum, "{operation} at {host}: {c:?}");
    assert!(c.in_time <= c.answered, "{operation} at {host}: {c:?}");
}
