//! The same callers at the ports for readiness, directions and other gateways.

use super::{
    crowd::{Crowd, Manner},
    deployment::{DESCRIPTORS, Deployment},
    ordinary::NEWS_PATH,
};
use azuretally_gateway::native::{DIRECTIONS_PATH, READINESS_PATH};
use std::net::SocketAddr;

/// Callers of a crowd, more than a port may have connections.
const CALLERS: usize = 600;
/// Callers that send many requests.
const PIPELINES: usize = 200;
/// Size of a body of legal size, in bytes.
const BODY_BYTES: usize = 250_000;
/// Path of requests that are not answered.
const LIVENESS_PATH: &str = "/life";

/// Returns the ports with a path that each one answers.
fn ports(deployment: &Deployment) -> [(SocketAddr, &'static str); 3] {
    [
        (deployment.readiness(), READINESS_PATH),
        (deployment.directions(), DIRECTIONS_PATH),
        (deployment.peers(), NEWS_PATH),
    ]
}

/// Lets a crowd of `callers` that send what `bytes` returns for a path meet each port in turn.
async fn assert_bounded(callers: usize, manner: Manner, bytes: impl Fn(&str) -> Vec<u8>) {
    let deployment = Deployment::start().await;
    for (address, path) in ports(&deployment) {
        let crowd = Crowd::new(callers, address, bytes(path));
        crowd.manner(manner).meet(&deployment).await;
    }
    deployment.finish(DESCRIPTORS).await;
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n")
}

/// Bodies have no use at these ports, and must not be kept.
#[tokio::test]
async fn unfinished_bodies_at_control_ports_are_bounded() {
    let bytes = |path: &str| {
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {BODY_BYTES}\r\n");
        let mut call = format!("{head}\r\n").into_bytes();
        call.resize(call.len() + BODY_BYTES - 1, b'x');
        call
    };
    assert_bounded(CALLERS, Manner::Stop, bytes).await;
}

/// Callers that stop within the head hold all connections of a port.
#[tokio::test]
async fn unfinished_heads_at_control_ports_are_bounded() {
    let bytes = |path: &str| {
        let head = format!("GET {path} HTTP/1.1\r\nhost: test\r\n");
        (head + &"a:b\r\n".repeat(1_200)).into_bytes()
    };
    assert_bounded(CALLERS, Manner::Stop, bytes).await;
}

/// The same with a byte at a time.
#[tokio::test]
async fn slow_heads_at_control_ports_are_bounded() {
    let bytes = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: test\r\nlong: ").into_bytes();
    assert_bounded(CALLERS, Manner::SendSlowly, bytes).await;
}

/// Answers that nobody reads are held by the gateway.
#[tokio::test]
async fn unread_answers_at_control_ports_are_bounded() {
    let bytes = |path: &str| get(path).repeat(2_000).into_bytes();
    assert_bounded(PIPELINES, Manner::Stop, bytes).await;
}

/// The same for refusals, which have no body.
#[tokio::test]
async fn unread_refusals_at_control_ports_are_bounded() {
    assert_bounded(PIPELINES, Manner::Stop, |_| get("/none").repeat(20_000).into_bytes()).await;
}

/// Catalog updates are large, and a caller that reads a byte at a time is never given up at once.
#[tokio::test]
async fn slowly_read_answers_at_control_ports_are_bounded() {
    assert_bounded(CALLERS, Manner::ReadSlowly, |path| get(path).into_bytes()).await;
}

/// Requests that are held until the process ends must not take all connections of the port.
#[tokio::test]
async fn liveness_requests_leave_connections_to_others() {
    let deployment = Deployment::start().await;
    let crowd = Crowd::new(CALLERS, deployment.peers(), get(LIVENESS_PATH));
    crowd.meet(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// The ports together must not take more descriptors than the process has.
#[tokio::test]
async fn silent_connections_at_all_ports_are_bounded() {
    let deployment = Deployment::start().await;
    let mut crowds = vec![Crowd::new(2 * CALLERS, deployment.gateway.calls, Vec::new())];
    for (address, _) in ports(&deployment) {
        crowds.push(Crowd::new(CALLERS, address, Vec::new()));
    }
    Crowd::meet_all(crowds, &deployment).await;
    deployment.finish(DESCRIPTORS).await;
}
