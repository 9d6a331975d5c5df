//! Calls that wait in the gateway when the planned stop begins, and calls accepted late in it.

use super::{
    call::Call,
    caller::Caller,
    deployment::{Deployment, EXCUSED_FRACTION, EXCUSED_SEND_TIME, GRACE, LOSS_SLACK},
    verdict::{Verdict, assert_whole, evidence},
};
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

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

/// A call that still waited for a slot when the process exited ended without an answer.
#[tokio::test]
async fn planned_stop_answers_calls_that_wait_until_the_process_exits() {
    const CALLS: usize = 40;
    let mut deployment = Deployment::start(1, 1).await;
    let address = deployment.gateways[0].calls;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    sleep_until(signal + Duration::from_millis(2_400)).await;
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        calls.spawn(async move {
            let call = Call::new(&format!("c{number}"), "roster").service_ms(1_900);
            let mut caller = Caller::connect(address).await.expect("connected");
            caller.send(&call).await.expect("sent");
            let sent = Instant::now();
            let end = caller.read_to_end(READ_TIMEOUT).await;
            (caller, call, end, sent, Instant::now())
        });
    }
    for (caller, call, end, sent, ended) in calls.join_all().await {
        let answers = caller.answers();
        let elapsed = ended - sent;
        let verdict = Verdict::new(&deployment, &call, answers.first(), elapsed);
        let seen = evidence(&deployment, &caller, &call, &end);
        let is_kept = match verdict {
            Verdict::Whole | Verdict::Refused | Verdict::TimedOut => true,
            Verdict::Failed => false,
            Verdict::Unread => elapsed <= LOSS_SLACK,
            Verdict::Cut => deployment.is_excused(&call.id, signal, sent, ended),
        };
        assert!(is_kept, "{verdict:?} after {elapsed:?}; {seen}");
    }
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}

/// A call that arrived shortly before the process exits on a connection that was still open was
/// passed on and ended with the process.
#[tokio::test]
async fn planned_stop_passes_on_no_call_that_it_cannot_finish() {
    let mut deployment = Deployment::start(1, 2).await;
    let address = deployment.gateways[0].calls;
    let early = Caller::connect(address).await.expect("connected");
    sleep(Duration::from_millis(50)).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    sleep_until(signal + Duration::from_millis(2_400)).await;
    let late = Caller::connect(address).await.expect("connected");
    sleep_until(signal + EXCUSED_SEND_TIME + Duration::from_millis(2_200)).await;
    for (mut caller, id) in [(early, "early"), (late, "late")] {
        let call = Call::new(id, "roster").service_ms(640);
        if caller.send(&call).await.is_err() {
            continue;
        }
        let sent = Instant::now();
        let end = caller.read_to_end(READ_TIMEOUT).await;
        let answers = caller.answers();
        let verdict = Verdict::new(&deployment, &call, answers.first(), sent.elapsed());
        let seen = evidence(&deployment, &caller, &call, &end);
        assert_ne!(verdict, Verdict::Cut, "{seen}");
    }
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}

/// A call whose body arrived completely shortly before the process exits was passed on and ended
/// with the process.
#[tokio::test]
async fn planned_stop_passes_on_no_call_whose_body_arrives_too_late() {
    const BODY_BYTES: usize = 10_000;
    let mut deployment = Deployment::start(1, 2).await;
    let address = deployment.gateways[0].calls;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    sleep_until(signal + Duration::from_millis(2_400)).await;
    let call = Call::new("slow-body", "roster").service_ms(640).body(BODY_BYTES);
    let mut caller = Caller::connect(address).await.expect("connected");
    caller.send(&call).await.expect("sent");
    let body = [b'b'; BODY_BYTES];
    caller.stream.write_all(&body[1..]).await.expect("sent");
    sleep_until(signal + EXCUSED_SEND_TIME + Duration::from_millis(2_200)).await;
    caller.stream.write_all(&body[..1]).await.expect("sent");
    let sent = Instant::now();
    let end = caller.read_to_end(READ_TIMEOUT).await;
    let answers = caller.answers();
    let verdict = Verdict::new(&deployment, &call, answers.first(), sent.elapsed());
    let seen = evidence(&deployment, &caller, &call, &end);
    assert_ne!(verdict, Verdict::Cut, "{seen}");
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

/// A call whose body was complete 4 s after SIGTERM was passed on to a target that was slower than
/// expected, and ended without its answer at the exit.
#[tokio::test]
async fn planned_stop_refuses_a_call_whose_body_is_complete_too_late() {
    const BODY_BYTES: usize = 10_000;
    let mut deployment = Deployment::start(1, 2).await;
    let address = deployment.gateways[0].calls;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    sleep_until(signal + Duration::from_millis(2_400)).await;
    let call = Call::new("slow-body", "roster").service_ms(1_300).body(BODY_BYTES);
    let mut caller = Caller::connect(address).await.expect("connected");
    caller.send(&call).await.expect("sent");
    caller.stream.write_all(&[b'b'; BODY_BYTES - 1]).await.expect("sent");
    sleep_until(signal + EXCUSED_SEND_TIME + Duration::from_secs(1)).await;
    caller.stream.write_all(b"b").await.expect("sent");
    let sent = Instant::now();
    let end = caller.read_to_end(READ_TIMEOUT).await;
    let verdict = Verdict::new(&deployment, &call, caller.answers().first(), sent.elapsed());
    let seen = evidence(&deployment, &caller, &call, &end);
    assert_eq!(verdict, Verdict::Refused, "{seen}");
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}
