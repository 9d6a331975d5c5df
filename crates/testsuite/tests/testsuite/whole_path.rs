//! Calls from end to end: the caller requests directions, connects to an entry and gets the
//! response of a target.

use azuretally_api::{headers, record::Outcome};
use azuretally_testsuite::{Call, DEFAULT_TIMEOUT, Fleet, eventually};

#[tokio::test]
async fn directed_call_is_answered_by_a_target() {
    let fleet = Fleet::builder().start().await;
    let directions = fleet.directions().await;
    assert_eq!(directions.service, "till");
    assert!(directions.ttl_ms > 0);
    for direction in &directions.entries {
        let call = Call::get("/till/balance", format!("b-{}", direction.host));
        let reply = fleet.caller.call(direction.address, &call).await.unwrap();
        assert_eq!(reply.outcome(), Some(Outcome::Answered));
        assert!(call.is_own_response(&reply.body), "{reply:?}");
        assert_eq!(reply.revision(), Some(1));
        assert!(reply.header(headers::ENTRY).is_some());
        assert_eq!(fleet.starts(call.run_key()).await, 1);
    }
}

#[tokio::test]
async fn every_entry_serves_every_operation() {
    let fleet = Fleet::builder().start().await;
    let directions = fleet.directions().await;
    let to = &directions.entries[0];
    for entry in &fleet.entries {
        let calls = [
            Call::get("/till/balance", format!("b-{}", entry.host)),
            Call::post("/till/reconcile", format!("r-{}", entry.host), "list"),
            Call::sale(format!("s-{}", entry.host), to),
        ];
        for call in calls {
            let reply = fleet.caller.call(entry.calls, &call).await.unwrap();
            assert!(reply.is_answered(), "{} {call:?}: {reply:?}", entry.host);
            assert!(call.is_own_response(&reply.body), "{reply:?}");
            assert_eq!(fleet.starts(call.run_key()).await, 1);
        }
    }
}

#[tokio::test]
async fn invalid_calls_are_refused_as_not_run() {
    let fleet = Fleet::builder().entries(1).start().await;
    let entry = fleet.entries[0].calls;
    let calls = [
        Call::get("/nowhere", "a"),
        Call::get("/till/nothing", "b"),
        Call::post("/till/balance", "c", "x"),
        // A sale without a key.
        Call::post("/till/sale", "d", "x"),
    ];
    for call in calls {
        let reply = fleet.caller.call(entry, &call).await.unwrap();
        assert!(reply.status.is_client_error(), "{call:?}: {reply:?}");
        assert_eq!(reply.outcome(), Some(Outcome::NotRun), "{call:?}: {reply:?}");
        assert!(reply.header(headers::REASON).is_some());
        assert_eq!(fleet.starts(call.run_key()).await, 0);
    }
}

#[tokio::test]
async fn service_continues_after_an_entry_is_killed() {
    let mut fleet = Fleet::builder().start().await;
    let to = fleet.direction().await;
    fleet.entry(&to.host).kill();
    let live: Vec<_> = fleet.entries.iter().filter(|e| e.host != to.host).collect();
    // Directions must list some entry, and no longer the killed one.
    eventually("no entry directs callers to the killed one", DEFAULT_TIMEOUT, async || {
        for entry in &live {
            for _ in 0..20 {
                let answer = fleet.caller.directions(entry.directions, "till").await.ok()?;
                if answer.entries.is_empty() || answer.entries.iter().any(|e| e.host == to.host) {
                    return None;
                }
            }
        }
        Some(())
    })
    .await;
    let call = Call::get("/till/balance", "after");
    let next = fleet.caller.directions(live[0].directions, "till").await.unwrap();
    let reply = fleet.caller.call(next.entries[0].address, &call).await.unwrap();
    assert!(reply.is_answered(), "{reply:?}");
}
