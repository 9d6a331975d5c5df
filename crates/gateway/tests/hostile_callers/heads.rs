//! Heads of legal size that consist of very many fields, or stop before their end.

use super::{
    crowd::Crowd,
    deployment::{DESCRIPTORS, Deployment},
};

/// Callers of a crowd, more than the gateway may have connections.
const CALLERS: usize = 1_200;
/// Size of a head, in bytes, below the limit of 16,384.
const HEAD_BYTES: usize = 16_000;
/// Largest number of fields that the gateway accepts.
const ACCEPTED_FIELDS: usize = 95;

/// Returns a head without its end that consists of short fields.
fn short_fields(path: &str, fields: usize) -> Vec<u8> {
    let mut head =
        format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: crowd\r\n").into_bytes();
    for _ in 0..fields {
        head.extend_from_slice(b"a:b\r\n");
    }
    head
}

async fn assert_bounded(head: Vec<u8>) {
    let deployment = Deployment::start().await;
    Crowd::new(CALLERS, deployment.gateway.calls, head).meet(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// The fields of a head take more memory than their bytes.
#[tokio::test]
async fn many_short_fields_are_bounded() {
    for path in ["/look/20/100", "/none"] {
        let mut head = short_fields(path, HEAD_BYTES / 5);
        head.extend_from_slice(b"\r\n");
        assert_bounded(head).await;
    }
}

/// The same for calls that are accepted and wait for a target. Ordinary ones are sent after them.
#[tokio::test]
async fn many_short_fields_of_running_calls_are_bounded() {
    let deployment = Deployment::start().await;
    let mut head = short_fields("/look/20/100", ACCEPTED_FIELDS);
    head.extend_from_slice(b"\r\n");
    Crowd::new(CALLERS, deployment.gateway.calls, head).meet_alone(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// Callers that stop before the end of the head hold all connections.
#[tokio::test]
async fn unfinished_heads_are_bounded() {
    assert_bounded(short_fields("/look/20/100", HEAD_BYTES / 5)).await;
}

/// Callers that connect and send nothing hold all connections.
#[tokio::test]
async fn silent_connections_are_bounded() {
    assert_bounded(Vec::new()).await;
}
