//! Bodies of legal size that never end, and bodies over the limit.

use super::{
    crowd::Crowd,
    deployment::{DESCRIPTORS, Deployment, MAX_BODY_BYTES},
};

/// Callers of a crowd; their bodies take 100 MB.
const CALLERS: usize = 400;
/// Callers of a crowd whose bodies take 250 MB.
const MANY_CALLERS: usize = 1_000;
/// Size of a body that a gateway keeps for a second attempt, in bytes.
const BODY_BYTES: usize = 250_000;
/// Callers whose bodies are endless.
const ENDLESS_CALLERS: usize = 8;
/// Path with a route, and one without.
const ROUTED: &str = "/look/20/100";
const UNROUTED: &str = "/none";

/// Returns a call whose body of [`BODY_BYTES`] lacks its last byte.
fn unfinished(path: &str) -> Vec<u8> {
    let mut call = announced(path, BODY_BYTES as u64);
    call.resize(call.len() + BODY_BYTES - 1, b'x');
    call
}

fn announced(path: &str, bytes: u64) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {bytes}\r\n\r\n").into_bytes()
}

/// Returns a call with a chunked body of `bytes` bytes that lacks its end.
fn chunked(path: &str, bytes: usize, chunk: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n");
    let mut call = head.into_bytes();
    for _ in 0..bytes / chunk {
        call.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        call.resize(call.len() + chunk, b'x');
        call.extend_from_slice(b"\r\n");
    }
    call
}

async fn assert_bounded(crowd: impl FnOnce(&Deployment) -> Crowd) {
    let deployment = Deployment::start().await;
    crowd(&deployment).meet(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// All bodies that are kept for a second attempt together exceeded the memory of the host.
#[tokio::test]
async fn unfinished_bodies_in_one_piece_are_bounded() {
    assert_bounded(|d| Crowd::new(CALLERS, d.gateway.calls, unfinished(ROUTED))).await;
}

/// The same, while all bodies grow at the same time.
#[tokio::test]
async fn unfinished_bodies_in_pieces_are_bounded() {
    assert_bounded(|d| Crowd::new(CALLERS, d.gateway.calls, unfinished(ROUTED)).in_pieces(5_000))
        .await;
}

/// The same with as many callers as the gateway may have connections, so that what each takes besides its body
/// counts as well.
#[tokio::test]
async fn unfinished_bodies_on_all_connections_are_bounded() {
    let crowd = |d: &Deployment| Crowd::new(MANY_CALLERS, d.gateway.calls, unfinished(ROUTED));
    assert_bounded(|d| crowd(d).in_pieces(5_000)).await;
}

/// The same without an announced length.
#[tokio::test]
async fn unfinished_bodies_in_chunks_are_bounded() {
    let call = chunked(ROUTED, BODY_BYTES, 100);
    assert_bounded(|d| Crowd::new(CALLERS, d.gateway.calls, call)).await;
}

/// A call that no route matches is rejected; its body must not be kept.
#[tokio::test]
async fn unfinished_bodies_without_a_route_are_bounded() {
    assert_bounded(|d| Crowd::new(CALLERS, d.gateway.calls, unfinished(UNROUTED))).await;
}

/// The beginning of a body that is too long for a second attempt is held while its caller stops. Such calls
/// occupy the target, so ordinary ones are sent after them.
#[tokio::test]
async fn unfinished_long_bodies_are_bounded() {
    let deployment = Deployment::start().await;
    let mut call = announced(ROUTED, MAX_BODY_BYTES);
    call.resize(call.len() + 1_000_000, b'x');
    Crowd::new(CALLERS, deployment.gateway.calls, call).meet_alone(&deployment).await;
    deployment.finish(DESCRIPTORS).await;
}

/// A body whose announced length exceeds the limit is refused; its caller sends on.
#[tokio::test]
async fn announced_bodies_over_the_limit_are_bounded() {
    let mut call = announced(ROUTED, 100 * MAX_BODY_BYTES);
    call.resize(call.len() + 1_000_000, b'x');
    assert_bounded(|d| Crowd::new(CALLERS / 4, d.gateway.calls, call)).await;
}

/// A body without an announced length turns out to exceed the limit.
#[tokio::test]
async fn endless_bodies_are_bounded() {
    let bytes = usize::try_from(MAX_BODY_BYTES).expect("fits") + 2_000_000;
    let call = chunked(ROUTED, bytes, 60_000);
    assert_bounded(|d| Crowd::new(ENDLESS_CALLERS, d.gateway.calls, call)).await;
}
