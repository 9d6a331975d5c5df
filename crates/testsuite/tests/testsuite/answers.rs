//! Each caller gets the whole answer to its own request, or a broken transfer.

use azuretally_api::record::Outcome;
use azuretally_standin::target::Faults;
use azuretally_testsuite::{
    Call, CallError, Caller, CompletedCall, Fleet, LoadGenerator, Workload,
};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

const CALLERS: usize = 300;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundreds_of_callers_at_once_get_their_own_answers() {
    let fleet = Fleet::builder()
        .targets(6)
        .slots(8)
        .service_ms(2.0)
        .published(|p| p.urgent_ms = 15_000)
        .start()
        .await;
    let directions = fleet.directions().await;
    let mut calls = JoinSet::new();
    for i in 0..CALLERS {
        let to = directions.entries[i % directions.entries.len()].clone();
        let caller = fleet.caller.clone();
        // Bodies and answers of very different sizes, short and streamed.
        let call = match i % 4 {
            0 => Call::get("/till/balance", format!("b{i}")),
            1 => Call::get("/till/balance", format!("l{i}")).response_bytes(150_000 + 7 * i),
            2 => {
                Call::post("/till/reconcile", format!("r{i}"), format!("body {i} ").repeat(20 * i))
            }
            _ => Call::sale(format!("s{i}"), &to),
        };
        calls.spawn(async move {
            let sent = Instant::now();
            let result = caller.call(to.address, &call).await;
            CompletedCall { call, sent, elapsed: sent.elapsed(), result }
        });
    }
    let made = calls.join_all().await;
    let tally = fleet.verify(&made).await;
    assert_eq!(tally.answered, CALLERS, "{tally:?}");
}

#[tokio::test]
async fn large_bodies_stream_both_ways() {
    let fleet = Fleet::builder().entries(1).start().await;
    let body: Vec<u8> = (0..4_000_000_u32).map(|i| (i % 251) as u8).collect();
    let call = Call::post("/till/reconcile", "large", body);
    let reply = fleet.caller.call(fleet.entries[0].calls, &call).await.unwrap();
    assert!(reply.is_answered());
    assert!(call.is_own_response(&reply.body), "{} bytes", reply.body.len());
}

/// An answer that the target cuts off, whether it is small enough to be kept or streamed.
#[tokio::test]
async fn answer_cut_off_by_the_target_is_never_passed_on_as_whole() {
    let fleet = Fleet::builder().entries(1).start().await;
    let to = fleet.direction().await;
    for (i, (size, cut)) in [(2_000, 100), (2_000, 0), (500_000, 100_000)].into_iter().enumerate() {
        let faults = Faults { cut_answer_after_bytes: Some(cut), ..Faults::default() };
        fleet.set_target_faults(None, faults).await;
        let calls = [
            Call::get("/till/balance", format!("b{i}")).response_bytes(size),
            Call::sale(format!("s{i}"), &to).response_bytes(size),
        ];
        for call in calls {
            match fleet.caller.call(to.address, &call).await {
                Ok(reply) => {
                    assert_eq!(reply.outcome(), Some(Outcome::Unknown), "{call:?}: {reply:?}");
                }
                Err(e) => assert_eq!(e, CallError::Broken, "{call:?}"),
            }
            if call.is_sale() {
                assert_eq!(fleet.starts(call.run_key()).await, 1);
            }
        }
    }
}

/// An answer that comes after its caller has gone must not reach the next caller.
#[tokio::test]
async fn late_answers_reach_nobody_else() {
    let fleet = Fleet::builder().entries(1).targets(1).slots(4).start().await;
    let at = fleet.entries[0].calls;
    fleet.set_target_faults(None, Faults { delay_answer_ms: 120, ..Faults::default() }).await;
    for round in 0..10 {
        let mut gone = JoinSet::new();
        for i in 0..4 {
            let caller = Caller::default();
            let call = Call::get("/till/balance", format!("gone-{round}-{i}"))
                .client_timeout(Duration::from_millis(40 + 10 * i));
            gone.spawn(async move { caller.call(at, &call).await });
        }
        let call = Call::get("/till/balance", format!("stays-{round}"));
        let reply = fleet.caller.call(at, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
        assert!(call.is_own_response(&reply.body), "{reply:?}");
        for result in gone.join_all().await {
            assert_eq!(result.unwrap_err(), CallError::Timeout);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_stay_apart_while_targets_misbehave() {
    let fleet = Fleet::builder().targets(5).service_ms(3.0).start().await;
    let mix = Workload {
        callers: 24,
        pause: Duration::from_millis(2),
        sale_every: 3,
        timeout: Duration::from_millis(800),
    };
    let crowd = LoadGenerator::start(&fleet, mix);
    let faults = [
        Faults { cut_answer_after_bytes: Some(5), ..Faults::default() },
        Faults { delay_answer_ms: 300, ..Faults::default() },
        Faults { error_fast: true, ..Faults::default() },
        Faults { slow_factor: 50.0, ..Faults::default() },
    ];
    for round in 0..2 {
        for (i, fault) in faults.iter().enumerate() {
            fleet.set_target_faults(Some((round + i) % 5), *fault).await;
            time::sleep(Duration::from_millis(250)).await;
            fleet.set_target_faults(None, Faults::default()).await;
        }
    }
    let tally = fleet.verify(&crowd.finish().await).await;
    assert!(tally.answered > 500, "{tally:?}");
}
