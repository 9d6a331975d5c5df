//! Calls taken in = answered + not run + unknown + in flight, at every entry.

use azuretally_api::admin::CallCounts;
use azuretally_standin::target::Faults;
use azuretally_testsuite::{DEFAULT_TIMEOUT, Fleet, LoadGenerator, Workload, eventually};
use std::time::Duration;
use tokio::time;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counters_conserve_calls_at_every_moment_and_drain_to_zero() {
    let fleet = Fleet::builder().targets(2).service_ms(10.0).start().await;
    let mix = Workload {
        callers: 40,
        pause: Duration::from_millis(1),
        sale_every: 3,
        timeout: Duration::from_millis(250),
    };
    let crowd = LoadGenerator::start(&fleet, mix);
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
    let made = crowd.finish().await;
    let tally = fleet.verify(&made).await;
    assert!(tally.not_run + tally.unknown > 0, "the faults must show: {tally:?}");
    let mut taken = 0;
    for entry in &fleet.entries {
        let calls = eventually("nothing is in flight", DEFAULT_TIMEOUT, async || {
            let calls = entry.status().await.ok()?.calls;
            calls.values().all(|c| c.in_flight == 0).then_some(calls)
        })
        .await;
        taken += calls.values().map(|c| c.taken).sum::<u64>();
    }
    assert!(taken >= made.len() as u64, "{taken} taken in, {} made", made.len());
}

fn assert_conserved(host: &str, operation: &str, c: &CallCounts) {
    let sum = c.answered + c.not_run + c.unknown + c.in_flight;
    assert_eq!(c.taken, sum, "{operation} at {host}: {c:?}");
    assert!(c.in_time <= c.answered, "{operation} at {host}: {c:?}");
}
