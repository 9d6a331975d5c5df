//! Calls that wait in the gateway when the planned stop begins, and calls accepted late in it.

use super::{
    call::Call,
    caller::Caller,
    deployment::{Deployment, GRACE},
    verdict::{Verdict, assert_whole, evidence},
};
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Part of the grace time after which a target that is still running a call excuses its loss.
const EXCUSED_FRACTION: f64 = 5.0 / 6.0;

/// Calls that wait for a slot when the planned stop begins are answered.
#[tokio::test]
async fn planned_stop_answers_calls_that_wait_for_a_slot() {
    const CALLS: usize = 24;
    const SERVICE_MS: u64 = 700;
    let mut deployment = Deployment::start(1, 1).await;
    let mut callers = Vec::new();
    for number in 0..CALLS {
        let call = Call::new(&format!("c{number}"), "roster").service_ms(SERVICE_MS);
        let mut caller = Caller::connect(deployment.gateways[0].calls).await.expect("connected");
        caller.send(&call).await.expect("sent");
        callers.push((caller, call));
    }
    let sent = Instant::now();
    sleep(Duration::from_millis(200)).await;
    deployment.gateways[0].terminate();
    let mut whole = 0;
    for (caller, call) in &mut callers {
        let end = caller.read_to_end(READ_TIMEOUT).await;
        let answers = caller.answers();
        let verdict = Verdict::new(&deployment, call, answers.first(), sent.elapsed());
        let seen = evidence(&deployment, caller, call, &end);
        assert!(!matches!(verdict, Verdict::Cut | Verdict::Unread), "{verdict:?}; {seen}");
        whole += usize::from(verdict == Verdict::Whole);
    }
    assert!(whole > CALLS / 2, "{whole} of {CALLS} calls were answered by a target");
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}

/// Calls that are accepted until the listener closes, and that take long, are answered before the
/// process exits.
#[tokio::test]
async fn planned_stop_answers_long_calls_that_are_accepted_late() {
    let mut deployment = Deployment::start(1, 2).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    let mut calls = JoinSet::new();
    for sent_ms in [600, 1_400, 2_000, 2_500] {
        let address = deployment.gateways[0].calls;
        calls.spawn(async move {
            sleep_until(signal + Duration::from_millis(sent_ms)).await;
            let answered_ms = GRACE.mul_f64(EXCUSED_FRACTION).as_millis() as u64 - 150;
            let service_ms = (answered_ms - sent_ms).min(3_800);
            let call = Call::new(&format!("c{sent_ms}"), "roster").service_ms(service_ms);
            let call = call.bytes(30_000);
            let mut caller = Caller::connect(address).await.expect("connected");
            caller.send(&call).await.expect("sent");
            let end = caller.read_to_end(READ_TIMEOUT).await;
            (caller, call, end)
        });
    }
    for (caller, call, end) in calls.join_all().await {
        assert_whole(&deployment, &caller, &call, &end);
    }
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}

/// Connections that arrive while the listener closes are either answered or not passed on to a
/// target.
#[tokio::test]
async fn planned_stop_passes_on_no_call_of_the_backlog_that_it_drops() {
    let mut deployment = Deployment::start(1, 8).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..400 {
        let address = deployment.gateways[0].calls;
        calls.spawn(async move {
            sleep_until(signal + Duration::from_millis(2_500 + number)).await;
            let call = Call::new(&format!("c{number}"), "roster").service_ms(50).bytes(5_000);
            let mut caller = Caller::connect(address).await.ok()?;
            caller.send(&call).await.ok()?;
            let end = caller.read_to_end(READ_TIMEOUT).await;
            Some((caller, call, end))
        });
    }
    let mut whole = 0;
    for (caller, call, end) in calls.join_all().await.into_iter().flatten() {
        let answers = caller.answers();
        let verdict = Verdict::new(&deployment, &call, answers.first(), call.time_limit());
        let seen = evidence(&deployment, &caller, &call, &end);
        assert_ne!(verdict, Verdict::Cut, "{seen}");
        whole += usize::from(verdict == Verdict::Whole);
    }
    assert!(whole > 20, "{whole} calls were answered by a target");
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}
