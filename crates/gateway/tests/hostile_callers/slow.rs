//! Large numbers of callers that send or read very slowly.

use super::{
    crowd::{Crowd, Manner},
    deployment::{DESCRIPTORS, Deployment},
};

/// Callers of a crowd, more than the gateway may have connections.
const CALLERS: usize = 300;
/// Descriptors of a gateway that may have 100 connections of callers.
const FEW_DESCRIPTORS: u64 = 1_300;
/// Callers that read large answers slowly.
const READERS: usize = 500;

/// Callers that send a byte at a time never idle, and hold all connections.
#[tokio::test]
async fn slow_heads_leave_connections_to_others() {
    let deployment = Deployment::start_with(FEW_DESCRIPTORS).await;
    let head = "GET /look/20/100 HTTP/1.1\r\nhost: test\r\nlong: ";
    let crowd = Crowd::new(CALLERS, deployment.gateway.calls, head);
    crowd.manner(Manner::SendSlowly).meet(&deployment).await;
    deployment.finish(FEW_DESCRIPTORS).await;
}

/// The same within a body.
#[tokio::test]
async fn slow_bodies_leave_connections_to_others() {
    let deployment = Deployment::start_with(FEW_DESCRIPTORS).await;
    let head = "POST /look/20/100 HTTP/1.1\r\nhost: test\r\ncontent-length: 200000\r\n\r\n";
    let crowd = Crowd::new(CALLERS, deployment.gateway.calls, head);
    crowd.manner(Manner::SendSlowly).meet(&deployment).await;
    deployment.finish(FEW_DESCRIPTORS).await;
}

/// Answers that are read a byte at a time are held by the gateway. The calls occupy the target, so ordinary
/// ones are sent after them.
#[tokio::test]
async fn slowly_read_answers_are_bounded() {
    let deployment = Deployment::start().await;
    let head = "GET /look/1/2000000 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: crowd\r\n\r\n";
    let crowd = Crowd::new(READERS, deployment.gateway.calls, head);
    crowd.manner(Manner::ReadSlowly).meet_alone(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}
