//! Calls that are sent before the answers to earlier calls on their connection have arrived.

use super::{
    call::Call,
    caller::Caller,
    deployment::{Deployment, GRACE},
    verdict::{assert_whole_and_orderly, evidence},
};
use std::time::Duration;
use tokio::{io::AsyncWriteExt, time::sleep};

/// Time between the steps of a test, long enough for the gateway to take notice of each.
const STEP: Duration = Duration::from_millis(50);
/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Time until the answer to the first call.
const SERVICE_MS: u64 = 400;

fn first_call() -> Call {
    Call::new("first", "roster").service_ms(SERVICE_MS).bytes(60_000)
}

/// Sends calls behind the first one, so that each arrives in a segment of its own.
async fn send_behind(caller: &mut Caller) {
    for id in ["second", "third"] {
        sleep(STEP).await;
        caller.send(&Call::new(id, "roster")).await.expect("the gateway reads");
    }
}

/// A reset after the answer discarded what the caller had not yet received of it, if it had sent
/// further calls.
#[tokio::test]
async fn planned_stop_delivers_the_answer_before_calls_sent_behind_it() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    let mut caller = Caller::connect_with_small_buffer(gateway.calls).await.expect("connected");
    caller.send(&first_call()).await.expect("sent");
    sleep(STEP).await;
    gateway.terminate();
    send_behind(&mut caller).await;
    sleep(Duration::from_millis(SERVICE_MS) + STEP).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    gateway.wait_for_exit(GRACE).await;
    assert_whole_and_orderly(&deployment, &caller, &first_call(), &end);
    deployment.shut_down().await;
}

/// The same on a connection that was accepted after the signal.
#[tokio::test]
async fn planned_stop_delivers_the_answer_on_a_late_connection_with_calls_behind_it() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    gateway.terminate();
    sleep(Duration::from_millis(500)).await;
    let mut caller = Caller::connect_with_small_buffer(gateway.calls).await.expect("connected");
    caller.send(&first_call()).await.expect("sent");
    send_behind(&mut caller).await;
    sleep(Duration::from_millis(SERVICE_MS) + STEP).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    gateway.wait_for_exit(GRACE).await;
    assert_whole_and_orderly(&deployment, &caller, &first_call(), &end);
    deployment.shut_down().await;
}

/// A caller that gives up its connection at the first error of a write lost the answer that had
/// been sent to it before.
#[tokio::test]
async fn planned_stop_reads_on_while_a_caller_sends_behind_its_last_answer() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    let mut caller = Caller::connect(gateway.calls).await.expect("connected");
    let first = Call::new("first", "roster").service_ms(SERVICE_MS);
    caller.send(&first).await.expect("sent");
    sleep(STEP).await;
    gateway.terminate();
    let error = caller.keep_sending("roster", Duration::from_millis(2 * SERVICE_MS)).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    gateway.wait_for_exit(GRACE).await;
    let seen = evidence(&deployment, &caller, &first, &end);
    assert!(error.is_none(), "a write failed: {error:?}; {seen}");
    assert_whole_and_orderly(&deployment, &caller, &first, &end);
    deployment.shut_down().await;
}

/// Answers to several calls that the gateway had read before the signal are given in order, the
/// connection closes after the one in progress, and no call that a target got is left out.
#[tokio::test]
async fn planned_stop_answers_the_call_in_progress_of_a_pipeline() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    let mut caller = Caller::connect(gateway.calls).await.expect("connected");
    let calls: Vec<_> =
        (0..6).map(|n| Call::new(&format!("c{n}"), "roster").service_ms(200)).collect();
    let text: String = calls.iter().map(Call::head).collect();
    caller.stream.write_all(text.as_bytes()).await.expect("sent");
    sleep(Duration::from_millis(500)).await;
    gateway.terminate();
    let end = caller.read_to_end(READ_TIMEOUT).await;
    gateway.wait_for_exit(GRACE).await;
    let run: Vec<_> = calls.iter().filter(|c| deployment.run_of(&c.id).is_some()).collect();
    assert!(run.len() >= 2, "{} calls were run", run.len());
    for call in &run {
        assert_whole_and_orderly(&deployment, &caller, call, &end);
    }
    deployment.shut_down().await;
}
