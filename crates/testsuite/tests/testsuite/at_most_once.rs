//! A call that is not idempotent runs at most once under every fault.

use azuretally_api::record::Outcome;
use azuretally_standin::{proxy::Faults as LinkFaults, target::Faults};
use azuretally_testsuite::{
    Call, Caller, DEFAULT_TIMEOUT, Fleet, LoadGenerator, Reply, Workload, eventually,
};
use std::time::Duration;
use tokio::{task::JoinSet, time};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_duplicates_at_all_entries_run_once() {
    let fleet = Fleet::builder().start().await;
    let directions = fleet.directions().await;
    for round in 0..20 {
        let to = &directions.entries[round % directions.entries.len()];
        let call = Call::sale(format!("s{round}"), to);
        let mut copies = JoinSet::new();
        for entry in &fleet.entries {
            for _ in 0..2 {
                let (caller, call, at) = (Caller::default(), call.clone(), entry.calls);
                copies.spawn(async move { caller.call(at, &call).await });
            }
        }
        let replies: Vec<Reply> = copies.join_all().await.into_iter().flatten().collect();
        assert_eq!(replies.len(), 6);
        for reply in &replies {
            assert!(reply.is_answered(), "{reply:?}");
            assert!(call.is_own_response(&reply.body), "{reply:?}");
        }
        assert_eq!(fleet.starts(call.run_key()).await, 1);
    }
}

#[tokio::test]
async fn retry_after_a_client_timeout_gets_the_first_response() {
    let fleet = Fleet::builder().start().await;
    let to = fleet.direction().await;
    let call = Call::sale("slow", &to).service_ms(600);
    let abandoned = call.clone().client_timeout(Duration::from_millis(150));
    fleet.caller.call(to.address, &abandoned).await.unwrap_err();
    for entry in &fleet.entries {
        let reply = fleet.caller.call(entry.calls, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
        assert!(call.is_own_response(&reply.body), "{reply:?}");
    }
    assert_eq!(fleet.starts(call.run_key()).await, 1);
}

/// A request that reuses the key of a different request is neither run nor answered with the
/// response to the first one.
#[tokio::test]
async fn key_reused_for_another_request_is_rejected() {
    let fleet = Fleet::builder().entries(1).start().await;
    let to = fleet.direction().await;
    let first = Call::sale("k", &to);
    assert!(fleet.caller.call(to.address, &first).await.unwrap().is_answered());
    let other = Call::sale("k", &to).service_ms(1);
    let reply = fleet.caller.call(to.address, &other).await.unwrap();
    assert!(reply.status.is_client_error(), "{reply:?}");
    assert!(!reply.is_answered(), "{reply:?}");
    assert_eq!(fleet.starts(first.run_key()).await, 1);
}

#[tokio::test]
async fn sale_answered_after_its_timeout_runs_once() {
    let fleet = Fleet::builder().start().await;
    let to = fleet.direction().await;
    fleet.set_target_faults(None, Faults { delay_answer_ms: 900, ..Faults::default() }).await;
    let call = Call::sale("late", &to).timeout(Duration::from_millis(300));
    let reply = fleet.caller.call(to.address, &call).await.unwrap();
    assert_eq!(reply.outcome(), Some(Outcome::Unknown), "{reply:?}");
    fleet.set_target_faults(None, Faults::default()).await;
    for _ in 0..3 {
        for entry in &fleet.entries {
            let reply = fleet.caller.call(entry.calls, &call).await.unwrap();
            assert!(!reply.is_not_run(), "the sale ran: {reply:?}");
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(fleet.starts(call.run_key()).await, 1);
}

/// An entry is suspended while its sales are at different stages, callers retry them at other
/// entries, and then the entry resumes. It must not run the sales again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_entry_runs_no_sale_twice() {
    let mut fleet = Fleet::builder().targets(2).service_ms(15.0).start().await;
    let to = fleet.direction().await;
    for round in 0..2 {
        let mut first = JoinSet::new();
        let mut calls = Vec::new();
        for i in 0..30_u64 {
            let call = Call::sale(format!("f{round}-{i}"), &to)
                .timeout(Duration::from_millis(1_500))
                .client_timeout(CLIENT_TIMEOUT);
            calls.push(call.clone());
            let (caller, at) = (Caller::default(), to.address);
            first.spawn(async move {
                time::sleep(Duration::from_millis(5 * i)).await;
                caller.call(at, &call).await
            });
        }
        time::sleep(Duration::from_millis(80)).await;
        fleet.entry(&to.host).process().suspend();
        let other_entries: Vec<_> =
            fleet.entries.iter().filter(|e| e.host != to.host).map(|e| e.calls).collect();
        let mut retries = JoinSet::new();
        for (i, call) in calls.iter().enumerate() {
            let (caller, call, at) =
                (Caller::default(), call.clone(), other_entries[i % other_entries.len()]);
            retries.spawn(async move { (call.clone(), caller.call(at, &call).await) });
        }
        let retries = retries.join_all().await;
        fleet.entry(&to.host).process().resume();
        let first = first.join_all().await;
        time::sleep(Duration::from_secs(2)).await;
        let report = fleet.target_report().await;
        let starts = |call: &Call| report.runs.get(call.run_key()).map_or(0, |r| r.starts);
        for (call, result) in &retries {
            assert!(starts(call) <= 1, "{} runs of {call:?}", starts(call));
            if result.as_ref().is_ok_and(Reply::is_not_run) {
                assert_eq!(starts(call), 0, "{call:?}: {result:?}");
            }
        }
        for (call, result) in calls.iter().zip(first) {
            // Another copy with the same key may have run even if this one was refused, so only the
            // upper bound holds here.
            assert!(starts(call) <= 1, "{call:?}: {result:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sales_in_flight_at_a_killed_entry_run_at_most_once() {
    let mut fleet = Fleet::builder().targets(2).service_ms(15.0).start().await;
    let to = fleet.direction().await;
    let mut first = JoinSet::new();
    let mut calls = Vec::new();
    for i in 0..20 {
        let call = Call::sale(format!("k{i}"), &to)
            .timeout(Duration::from_millis(1_500))
            .client_timeout(CLIENT_TIMEOUT);
        calls.push(call.clone());
        let (caller, at) = (Caller::default(), to.address);
        first.spawn(async move { caller.call(at, &call).await });
    }
    time::sleep(Duration::from_millis(60)).await;
    fleet.entry(&to.host).kill();
    first.join_all().await;
    let index = fleet.entries.iter().position(|e| e.host == to.host).unwrap();
    let other_entries: Vec<_> =
        fleet.entries.iter().filter(|e| e.host != to.host).map(|e| e.calls).collect();
    for (i, call) in calls.iter().enumerate() {
        let result = fleet.caller.call(other_entries[i % other_entries.len()], call).await;
        let starts = fleet.starts(call.run_key()).await;
        assert!(starts <= 1);
        // Only the killed incarnation knew whether the sale ran.
        assert_eq!(result.unwrap().outcome(), Some(Outcome::Unknown), "{call:?}");
    }
    // A new incarnation at the same address has no record of the keys of the old one.
    fleet.restart(index);
    fleet.wait_until_entry_serves(&fleet.entries[index]).await;
    for call in &calls {
        for entry in &fleet.entries {
            let reply = fleet.caller.call(entry.calls, call).await.unwrap();
            assert_eq!(reply.outcome(), Some(Outcome::Unknown), "{call:?}: {reply:?}");
        }
        assert!(fleet.starts(call.run_key()).await <= 1);
    }
}

/// The connection to the target fails during a sale, before or after the target received the
/// request. The entry must not send the sale again if the target may have run it.
#[tokio::test]
async fn sale_runs_at_most_once_under_target_link_faults() {
    let fleet = Fleet::builder().entries(2).targets(2).links().start().await;
    let to = fleet.direction().await;
    let faults = [
        LinkFaults { drop_backward: true, ..LinkFaults::default() },
        LinkFaults { drop_forward: true, ..LinkFaults::default() },
        LinkFaults { silence_open: true, ..LinkFaults::default() },
        LinkFaults { cut: true, ..LinkFaults::default() },
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        let call = Call::sale(format!("s{i}"), &to).timeout(Duration::from_millis(400));
        // Establishes working connections first, so that the entries have pooled ones.
        fleet.wait_until_serving().await;
        fleet.target_links.iter().for_each(|l| l.set_faults(fault));
        let reply = fleet.caller.call(to.address, &call).await.unwrap();
        let starts = fleet.starts(call.run_key()).await;
        assert!(starts <= 1);
        if reply.is_not_run() {
            assert_eq!(starts, 0, "{fault:?}: {reply:?}");
        }
        if reply.is_answered() {
            assert_eq!(starts, 1, "{fault:?}: {reply:?}");
        }
        fleet.target_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
        for entry in &fleet.entries {
            let retried = fleet.caller.call(entry.calls, &call).await.unwrap();
            let starts = fleet.starts(call.run_key()).await;
            assert!(starts <= 1, "{fault:?}: {retried:?}");
            if reply.outcome() == Some(Outcome::Unknown) && starts == 1 {
                assert!(!retried.is_not_run(), "{fault:?}: {retried:?}");
            }
        }
    }
}

/// Suspended and killed entries, failing target links and a hanging target overlap under load,
/// twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sales_run_at_most_once_under_combined_faults() {
    let mut fleet = Fleet::builder().entries(4).targets(4).links().start().await;
    let workload = Workload {
        callers: 16,
        pause: Duration::from_millis(4),
        sale_every: 2,
        timeout: Duration::from_millis(700),
    };
    let load = LoadGenerator::start(&fleet, workload);
    for round in 0..2 {
        fleet.entries[round].process().suspend();
        fleet.target_links[0]
            .set_faults(LinkFaults { silence_open: true, ..LinkFaults::default() });
        time::sleep(Duration::from_millis(400)).await;
        fleet.set_target_faults(Some(1), Faults { hang: true, ..Faults::default() }).await;
        fleet.entries[round + 1].kill();
        time::sleep(Duration::from_millis(400)).await;
        fleet.entries[round].process().resume();
        fleet.restart(round + 1);
        fleet.target_links[2].set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
        time::sleep(Duration::from_millis(400)).await;
        fleet.set_target_faults(None, Faults::default()).await;
        fleet.target_links.iter().for_each(|l| l.set_faults(LinkFaults::default()));
        time::sleep(Duration::from_millis(300)).await;
    }
    let completed = load.finish().await;
    let outcomes = fleet.verify(&completed).await;
    assert!(outcomes.answered > 100, "{outcomes:?}");
    assert!(outcomes.sales > 0, "{outcomes:?}");
    eventually("the fleet serves again", DEFAULT_TIMEOUT, async || {
        let call = Call::get("/till/balance", "after");
        fleet.call(&call).await.ok()?.is_answered().then_some(())
    })
    .await;
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.verify(&completed).await, outcomes);
}
