//! What an entry accepts from callers: HTTP/1.1, HTTP/2 and large bodies, and the limits beyond
//! which it refuses requests.

use azuretally_api::headers;
use azuretally_testsuite::{DEFAULT_TIMEOUT, Fleet};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::{http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::timeout,
};

const MIB: usize = 1 << 20;
/// Concurrent HTTP/2 streams of one connection.
const STREAMS: usize = 20;

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let mut connections = JoinSet::new();
    connections.spawn(connection);
    let response = timeout(DEFAULT_TIMEOUT, sender.send_request(request)).await.unwrap().unwrap();
    connections.detach_all();
    response
}

fn balance() -> http::request::Builder {
    Request::get("/till/balance").header("host", "till")
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

fn assert_refused(response: &Response<Incoming>, status: StatusCode, reason: &str) {
    assert_eq!(response.status(), status);
    assert_eq!(header(response, headers::OUTCOME), Some(headers::NOT_RUN));
    assert_eq!(header(response, headers::REASON), Some(reason));
    assert!(header(response, "retry-after").is_some());
}

async fn starts(fleet: &Fleet) -> u64 {
    fleet.target_report().await.targets.values().map(|t| t.starts).sum()
}

#[tokio::test]
async fn http2_streams_receive_their_own_responses() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    let mut connections = JoinSet::new();
    connections.spawn(connection);
    let mut calls = JoinSet::new();
    for i in 0..STREAMS {
        let mut sender = sender.clone();
        let body = Full::new(Bytes::from(format!("stream {i}")));
        let uri = format!("http://till/till/balance?id={i}");
        let request = Request::get(uri).body(body).unwrap();
        calls.spawn(async move {
            let response = sender.send_request(request).await.unwrap();
            assert_eq!(header(&response, headers::OUTCOME), Some(headers::ANSWERED));
            let answer = response.into_body().collect().await.unwrap().to_bytes();
            assert!(String::from_utf8_lossy(&answer).ends_with(&format!("stream {i}")));
        });
    }
    while let Some(call) = calls.join_next().await {
        call.unwrap();
    }
    connections.shutdown().await;
}

#[tokio::test]
async fn large_body_is_forwarded_completely() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let body: Vec<u8> = (0..MIB).map(|i| (i % 251) as u8).collect();
    let request = balance().body(Full::new(Bytes::from(body.clone()))).unwrap();
    let response = send(address, request).await;
    assert_eq!(header(&response, headers::OUTCOME), Some(headers::ANSWERED));
    let answer = response.into_body().collect().await.unwrap().to_bytes();
    assert!(answer.ends_with(&body), "{} bytes", answer.len());
}

#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let empty = Full::new(Bytes::new());
    let before = starts(&fleet).await;

    let invalid = Request::get("/nothing").body(empty.clone()).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::NOT_FOUND, "no-service");
    let invalid = Request::get("/till/nothing").body(empty.clone()).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::NOT_FOUND, "no-operation");
    let invalid = Request::put("/till/balance").body(empty.clone()).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::METHOD_NOT_ALLOWED, "method");
    let invalid = balance().header(headers::TIMEOUT_MS, "soon").body(empty.clone()).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::BAD_REQUEST, "bad-timeout");
    let invalid = Request::post("/till/sale").body(empty.clone()).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::BAD_REQUEST, "key-needed");
    let invalid = Request::post("/till/sale").header(headers::IDEMPOTENCY_KEY, "mine").body(empty);
    let invalid = invalid.unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::BAD_REQUEST, "key-without-token");
    let invalid = balance().body(Full::new(Bytes::from(vec![0; 17 * MIB]))).unwrap();
    assert_refused(&send(address, invalid).await, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
    assert_eq!(starts(&fleet).await, before);
}

#[tokio::test]
async fn oversized_request_head_is_refused() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let value = "a".repeat(128 * 1024);
    let head = format!("GET /till/balance HTTP/1.1\r\nhost: till\r\nx-long: {value}\r\n\r\n");
    // The entry may close the connection before it has read the complete head.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = [0; 64];
    let n = timeout(DEFAULT_TIMEOUT, stream.read(&mut answer)).await.unwrap().unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..n]);
    assert!(n == 0 || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[tokio::test]
async fn slow_request_body_occupies_no_slot() {
    let fleet = Fleet::builder().targets(1).slots(1).start().await;
    let address = fleet.direction().await.address;
    let mut slow = TcpStream::connect(address).await.unwrap();
    let head = "GET /till/balance HTTP/1.1\r\nhost: till\r\ncontent-length: 10\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).await.unwrap();
    let request = balance().body(Full::new(Bytes::new())).unwrap();
    let response = send(address, request).await;
    assert_eq!(header(&response, headers::OUTCOME), Some(headers::ANSWERED));
}
