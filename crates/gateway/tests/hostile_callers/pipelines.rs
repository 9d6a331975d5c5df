//! Many requests on one connection whose answers are not read.

use super::{
    crowd::Crowd,
    deployment::{DESCRIPTORS, Deployment},
};

/// Callers of a crowd.
const CALLERS: usize = 200;

fn pipeline(path: &str, calls: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: crowd\r\n\r\n")
        .repeat(calls)
        .into_bytes()
}

/// Answers that nobody reads are held by the gateway. The calls occupy the target, so ordinary ones are sent
/// after them.
#[tokio::test]
async fn unread_answers_of_a_pipeline_are_bounded() {
    let deployment = Deployment::start().await;
    let calls = pipeline("/look/1/120000", 200);
    Crowd::new(CALLERS, deployment.gateway.calls, calls).meet_alone(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// Answers without a body collect in another buffer, to which only the head is written.
#[tokio::test]
async fn unread_refusals_of_a_pipeline_are_bounded() {
    let deployment = Deployment::start().await;
    let calls = pipeline("/none", 20_000);
    Crowd::new(CALLERS, deployment.gateway.calls, calls).meet(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}
