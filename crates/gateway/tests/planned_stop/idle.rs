//! Connections that are idle when the planned stop begins.

use super::{
    call::Call,
    caller::Caller,
    deployment::{Deployment, GRACE},
    verdict::{Verdict, assert_whole, assert_whole_and_orderly, evidence},
};
use rustix::process::Signal;
use std::time::Duration;
use tokio::time::sleep;

/// Time between the steps of a test, long enough for the gateway to take notice of each.
const STEP: Duration = Duration::from_millis(100);
/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Connects a caller that has received only the beginning of the answer to its first call.
async fn connect_with_unread_answer(deployment: &Deployment) -> (Caller, Call) {
    let address = deployment.gateways[0].calls;
    let mut caller = Caller::connect_with_small_buffer(address).await.expect("connected");
    let first = Call::new("first", "roster").bytes(60_000);
    caller.send(&first).await.expect("sent");
    sleep(STEP * 2).await;
    (caller, first)
}

/// The call that crossed the close of an idle connection caused a reset, which discarded the
/// answer before it.
#[tokio::test]
async fn planned_stop_delivers_the_last_answer_of_an_idle_connection() {
    let mut deployment = Deployment::start(1, 2).await;
    let (mut caller, first) = connect_with_unread_answer(&deployment).await;
    deployment.gateways[0].terminate();
    sleep(STEP).await;
    caller.send(&Call::new("second", "roster")).await.expect("sent");
    sleep(STEP).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole(&deployment, &caller, &first, &end);
    let seen = evidence(&deployment, &caller, &first, &end);
    assert!(end.is_orderly(), "the connection ended with an error; {seen}");
    deployment.shut_down().await;
}

/// The same if the bytes of the further call have arrived before the gateway takes notice of the
/// signal.
#[tokio::test]
async fn planned_stop_delivers_the_last_answer_although_a_call_has_arrived() {
    let mut deployment = Deployment::start(1, 2).await;
    let (mut caller, first) = connect_with_unread_answer(&deployment).await;
    let second = Call::new("second", "roster");
    deployment.gateways[0].signal(Signal::STOP);
    caller.send(&second).await.expect("sent");
    deployment.gateways[0].terminate();
    sleep(STEP).await;
    deployment.gateways[0].signal(Signal::CONT);
    sleep(STEP).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole(&deployment, &caller, &first, &end);
    let seen = evidence(&deployment, &caller, &first, &end);
    assert!(end.is_orderly(), "the connection ended with an error; {seen}");
    if deployment.run_of(&second.id).is_some() {
        assert_whole_and_orderly(&deployment, &caller, &second, &end);
    }
    deployment.shut_down().await;
}

/// Calls on many idle connections that have arrived when the gateway takes notice of the signal
/// are either answered or not passed on to a target.
#[tokio::test]
async fn planned_stop_passes_on_no_call_of_an_idle_connection_that_it_closes() {
    const CONNECTIONS: usize = 100;
    let mut deployment = Deployment::start(1, 16).await;
    let mut callers = Vec::new();
    for number in 0..CONNECTIONS {
        let mut caller = Caller::connect(deployment.gateways[0].calls).await.expect("connected");
        caller.send(&Call::new(&format!("before-{number}"), "roster")).await.expect("sent");
        callers.push((caller, Call::new(&format!("crossing-{number}"), "roster")));
    }
    sleep(STEP * 5).await;
    deployment.gateways[0].signal(Signal::STOP);
    for (caller, call) in &mut callers {
        caller.send(call).await.expect("sent");
    }
    deployment.gateways[0].terminate();
    deployment.gateways[0].signal(Signal::CONT);
    for (caller, call) in &mut callers {
        let end = caller.read_to_end(READ_TIMEOUT).await;
        let answers = caller.answers();
        assert!(!answers.is_empty(), "{}", evidence(&deployment, caller, call, &end));
        let verdict = Verdict::new(&deployment, call, answers.get(1), READ_TIMEOUT);
        assert_ne!(verdict, Verdict::Cut, "{}", evidence(&deployment, caller, call, &end));
    }
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}
