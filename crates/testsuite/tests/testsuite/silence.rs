//! Connections that go silent for good are noticed, and others go on.

use azuretally_standin::proxy::Faults;
use azuretally_testsuite::{
    Call, Caller, DEFAULT_TIMEOUT, Fleet, LoadGenerator, Workload, eventually,
};
use std::time::Duration;
use tokio::time;

const SILENCE: Faults = Faults {
    cut: false,
    drop_forward: false,
    drop_backward: false,
    silence_open: true,
    delay_ms: 0,
    drip_bytes_per_s: 0,
};

const MIX: Workload = Workload {
    callers: 12,
    pause: Duration::from_millis(4),
    sale_every: 0,
    timeout: Duration::from_millis(1_500),
};

/// All open connections to one target go silent under load: its idempotent calls go again in
/// time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_calls_on_silent_target_connections_go_again_in_time() {
    let fleet = Fleet::builder().links().start().await;
    let crowd = LoadGenerator::start(&fleet, MIX);
    for round in 0..2 {
        time::sleep(Duration::from_millis(500)).await;
        fleet.target_links[round].set_faults(SILENCE);
    }
    time::sleep(Duration::from_secs(2)).await;
    let tally = fleet.verify(&crowd.finish().await).await;
    assert_eq!((tally.indeterminate(), tally.not_run), (0, 0), "{tally:?}");
}

/// One silent connection costs an idempotent call a small part of the time that it has.
#[tokio::test]
async fn silent_connection_costs_a_small_part_of_the_time_allowed() {
    let fleet = Fleet::builder().entries(1).links().start().await;
    let timeout = Duration::from_millis(1_800);
    for i in 0..20 {
        let call = Call::get("/till/balance", format!("warm{i}"));
        assert!(fleet.call(&call).await.unwrap().is_answered());
    }
    fleet.target_links.iter().for_each(|l| l.set_faults(SILENCE));
    let call = Call::get("/till/balance", "after").timeout(timeout);
    let started = time::Instant::now();
    let reply = fleet.call(&call).await.unwrap();
    assert!(reply.is_answered(), "{reply:?}");
    assert!(started.elapsed() < timeout / 3, "{:?}", started.elapsed());
}

/// A sale never goes on a connection that was long idle and may be silent.
#[tokio::test]
async fn sale_after_an_idle_time_is_not_caught_on_a_silent_connection() {
    let fleet = Fleet::builder().entries(1).links().start().await;
    for _ in 0..8 {
        let call = Call::get("/till/balance", "warm");
        assert!(fleet.call(&call).await.unwrap().is_answered());
    }
    fleet.target_links.iter().for_each(|l| l.set_faults(SILENCE));
    time::sleep(Duration::from_millis(1_200)).await;
    let to = fleet.direction().await;
    for i in 0..4 {
        let call = Call::sale(format!("s{i}"), &to).timeout(Duration::from_millis(1_500));
        let reply = fleet.caller.call(to.address, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
    }
}

/// Connections between entries go silent: peers still find each other and calls still pass.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_between_entries_do_not_stop_calls() {
    let fleet = Fleet::builder().links().start().await;
    for link in fleet.peer_links.iter().chain(&fleet.call_links) {
        link.set_faults(SILENCE);
    }
    for (i, entry) in fleet.entries.iter().enumerate() {
        let call = Call::get("/till/balance", format!("b{i}"));
        let reply = Caller::default().call(entry.calls, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
    }
    for entry in &fleet.entries {
        eventually(&format!("{} sees its peers", entry.host), DEFAULT_TIMEOUT, async || {
            let status = entry.status().await.ok()?;
            (status.peers.len() + 1 >= fleet.entries.len()).then_some(())
        })
        .await;
    }
}

/// A caller whose connection is silent holds no slot for ever.
#[tokio::test]
async fn silent_callers_hold_no_slots() {
    let fleet = Fleet::builder().entries(1).targets(1).slots(2).links().start().await;
    let to = fleet.direction().await;
    let silent = Caller::default();
    let warm = Call::get("/till/balance", "warm");
    assert!(silent.call(to.address, &warm).await.unwrap().is_answered());
    let slow = Call::get("/till/balance", "slow")
        .service_ms(300)
        .client_timeout(Duration::from_millis(100));
    silent.call(to.address, &slow).await.unwrap_err();
    fleet.call_links[0].set_faults(SILENCE);
    for i in 0..6 {
        let call = Call::get("/till/balance", format!("b{i}"));
        let reply = Caller::default().call(to.address, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
    }
}
