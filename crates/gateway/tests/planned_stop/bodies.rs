//! Answers that are given while the caller is still sending the body of its call.

use super::{
    call::{Call, EARLY_ROUTE},
    caller::Caller,
    deployment::{Deployment, GRACE},
    verdict::{assert_whole_and_orderly, evidence},
};
use std::{io, time::Duration};
use tokio::{io::AsyncWriteExt, time::sleep};

/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Size of a body that the gateway streams to the target, in bytes.
const BODY_BYTES: usize = 600_000;
/// Size of the parts in which callers send bodies, in bytes.
const PART_BYTES: usize = 20_000;
/// Time between two parts.
const PART_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a call with its whole body, without reading.
async fn send_slowly(caller: &mut Caller, call: &Call) -> io::Result<()> {
    caller.send(call).await?;
    for _ in 0..call.body.div_ceil(PART_BYTES) {
        caller.stream.write_all(&[b'b'; PART_BYTES]).await?;
        sleep(PART_INTERVAL).await;
    }
    Ok(())
}

/// An answer that a target gave before it had read the body was discarded by a reset when the rest
/// of the body arrived.
#[tokio::test]
async fn planned_stop_delivers_an_answer_that_comes_before_the_end_of_the_body() {
    let mut deployment = Deployment::start(1, 2).await;
    let mut caller =
        Caller::connect_with_small_buffer(deployment.gateways[0].calls).await.expect("connected");
    let call = Call::new("early", EARLY_ROUTE).service_ms(100).bytes(60_000).body(BODY_BYTES);
    caller.send(&Call::new("before", "roster")).await.expect("sent");
    sleep(Duration::from_millis(200)).await;
    let gateway = &deployment.gateways[0];
    let terminate = async {
        sleep(Duration::from_millis(50)).await;
        gateway.terminate();
    };
    let (sent, ()) = tokio::join!(send_slowly(&mut caller, &call), terminate);
    let end = caller.read_to_end(READ_TIMEOUT).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    let seen = evidence(&deployment, &caller, &call, &end);
    assert!(sent.is_ok(), "a write failed: {sent:?}; {seen}");
    assert_whole_and_orderly(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// The refusal of a call was discarded by a reset when the rest of its body arrived.
#[tokio::test]
async fn planned_stop_delivers_a_refusal_that_comes_before_the_end_of_the_body() {
    let mut deployment = Deployment::start(1, 2).await;
    deployment.gateways[0].terminate();
    sleep(Duration::from_millis(100)).await;
    for (route, body, status) in [("unknown", BODY_BYTES, 404), ("sale", 1_200_000, 413)] {
        let mut caller = Caller::connect(deployment.gateways[0].calls).await.expect("connected");
        let call = Call::new(route, route).body(body);
        let sent = send_slowly(&mut caller, &call).await;
        let end = caller.read_to_end(READ_TIMEOUT).await;
        let seen = evidence(&deployment, &caller, &call, &end);
        assert!(sent.is_ok(), "a write failed: {sent:?}; {seen}");
        let answers = caller.answers();
        let answer = answers.first().unwrap_or_else(|| panic!("no answer; {seen}"));
        assert_eq!(answer.status, status, "{seen}");
        assert!(answer.is_complete && end.is_orderly(), "{seen}");
    }
    deployment.gateways[0].wait_for_exit(GRACE).await;
    deployment.shut_down().await;
}
