//! Further signals and new settings during the planned stop, and a stop just after the start.

use super::{
    call::Call,
    caller::{Caller, End},
    deployment::{Deployment, GRACE, published},
    verdict::{Verdict, assert_whole, assert_whole_and_orderly, evidence},
};
use azuretally_policy::balance::Change;
use rustix::process::Signal;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time between the steps of a test, long enough for the gateway to take notice of each.
const STEP: Duration = Duration::from_millis(100);
/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Further signals and new settings do not end a planned stop or a call in it.
#[tokio::test]
async fn planned_stop_goes_on_after_further_signals_and_new_settings() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    let mut caller = Caller::connect(gateway.calls).await.expect("connected");
    let call = Call::new("c", "roster").service_ms(1_500).bytes(30_000);
    caller.send(&call).await.expect("sent");
    sleep(STEP).await;
    gateway.terminate();
    for signal in [Signal::TERM, Signal::HUP, Signal::INT, Signal::TERM] {
        sleep(STEP).await;
        gateway.signal(signal);
    }
    gateway.append_settings("# changed\n");
    gateway.signal(Signal::HUP);
    deployment.store.publish(Change::Published(published(2)));
    let end = caller.read_to_end(READ_TIMEOUT).await;
    let status = gateway.wait_for_exit(GRACE).await;
    assert!(status.success(), "{status:?}");
    assert_whole_and_orderly(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// A process that does not run for a second of its planned stop cuts no call.
#[tokio::test]
async fn planned_stop_cuts_no_call_if_the_process_pauses() {
    let mut deployment = Deployment::start(1, 8).await;
    let address = deployment.gateways[0].calls;
    let signal = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..60 {
        calls.spawn(async move {
            sleep(STEP / 2 * number).await;
            let call = Call::new(&format!("c{number}"), "roster").service_ms(640).bytes(5_000);
            let mut caller = Caller::connect(address).await.ok()?;
            caller.send(&call).await.ok()?;
            let end = caller.read_to_first_answer(READ_TIMEOUT).await;
            Some((caller, call, end))
        });
    }
    sleep(STEP * 5).await;
    deployment.gateways[0].terminate();
    sleep(STEP * 20).await;
    deployment.gateways[0].signal(Signal::STOP);
    sleep(STEP * 10).await;
    deployment.gateways[0].signal(Signal::CONT);
    let mut whole = 0;
    for (caller, call, end) in calls.join_all().await.into_iter().flatten() {
        let answers = caller.answers();
        let verdict = Verdict::new(&deployment, &call, answers.first(), signal.elapsed());
        assert_ne!(verdict, Verdict::Cut, "{}", evidence(&deployment, &caller, &call, &end));
        whole += usize::from(verdict == Verdict::Whole);
    }
    assert!(whole > 20, "{whole} calls were answered by a target");
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}

/// SIGHUP and new settings end neither a call nor its connection.
#[tokio::test]
async fn new_settings_leave_calls_and_their_connections_alone() {
    let deployment = Deployment::start(1, 2).await;
    let gateway = &deployment.gateways[0];
    let mut caller = Caller::connect(gateway.calls).await.expect("connected");
    let calls = [1, 2].map(|n| Call::new(&format!("c{n}"), "roster").service_ms(600));
    for call in &calls {
        caller.send(call).await.expect("sent");
    }
    sleep(STEP).await;
    gateway.append_settings("# changed\n");
    gateway.signal(Signal::HUP);
    deployment.store.publish(Change::Published(published(2)));
    let end = caller.read_to_end(Duration::from_secs(2)).await;
    for call in &calls {
        assert_whole(&deployment, &caller, call, &end);
    }
    assert!(!end.is_orderly(), "the connection was closed");
    deployment.shut_down().await;
}

/// A gateway that is stopped just after its start answers or passes on no call.
#[tokio::test]
async fn planned_stop_just_after_the_start_cuts_no_call() {
    let mut deployment = Deployment::start(0, 2).await;
    let mut calls = JoinSet::new();
    for (number, delay_ms) in [2, 5, 10, 20, 40, 80, 160, 320].into_iter().enumerate() {
        let number = u8::try_from(number).expect("few gateways");
        let gateway = deployment.start_gateway(number, 1);
        calls.spawn(call_while_listening(gateway.calls, format!("gateway-{number}")));
        sleep(Duration::from_millis(delay_ms)).await;
        gateway.terminate();
        deployment.gateways.push(gateway);
    }
    let mut callers = Vec::new();
    for gateway in &mut deployment.gateways {
        gateway.wait_for_exit(GRACE + STEP).await;
    }
    for made in calls.join_all().await {
        callers.extend(made);
    }
    for (caller, call, end) in &callers {
        let answers = caller.answers();
        let verdict = Verdict::new(&deployment, call, answers.first(), call.time_limit());
        assert_ne!(verdict, Verdict::Cut, "{}", evidence(&deployment, caller, call, end));
    }
    assert!(!callers.is_empty(), "no connection was accepted");
    deployment.shut_down().await;
}

/// Makes calls on fresh connections for a second.
async fn call_while_listening(address: SocketAddr, prefix: String) -> Vec<(Caller, Call, End)> {
    let start = Instant::now();
    let mut made = Vec::new();
    while start.elapsed() < Duration::from_secs(1) {
        sleep(Duration::from_millis(1)).await;
        let Ok(mut caller) = Caller::connect(address).await else { continue };
        let call = Call::new(&format!("{prefix}-{}", made.len()), "roster");
        if caller.send(&call).await.is_ok() {
            let end = caller.read_to_first_answer(READ_TIMEOUT).await;
            made.push((caller, call, end));
        }
    }
    made
}
