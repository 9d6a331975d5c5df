//! What an entry takes from callers: protocols, large bodies, and requests that are too much.

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

const MEGABYTE: usize = 1 << 20;
const STREAMS: usize = 20;

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let mut driver = JoinSet::new();
    driver.spawn(connection);
    let response = timeout(DEFAULT_TIMEOUT, sender.send_request(request)).await.unwrap().unwrap();
    driver.detach_all();
    response
}

fn balance() -> http::request::Builder {
    Request::get("/till/balance").header("host", "till")
}

fn field<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

fn assert_refused(response: &Response<Incoming>, status: StatusCode, reason: &str) {
    assert_eq!(response.status(), status);
    assert_eq!(field(response, headers::OUTCOME), Some(headers::NOT_RUN));
    assert_eq!(field(response, headers::REASON), Some(reason));
    assert!(field(response, "retry-after").is_some());
}

async fn starts(fleet: &Fleet) -> u64 {
    fleet.target_report().await.targets.values().map(|t| t.starts).sum()
}

#[tokio::test]
async fn many_streams_of_one_http2_connection_get_their_own_answers() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    let mut driver = JoinSet::new();
    driver.spawn(connection);
    let mut calls = JoinSet::new();
    for i in 0..STREAMS {
        let mut sender = sender.clone();
        let body = Full::new(Bytes::from(format!("stream {i}")));
        let uri = format!("http://till/till/balance?id={i}");
        let request = Request::get(uri).body(body).unwrap();
        calls.spawn(async move {
            let response = sender.send_request(request).await.unwrap();
            assert_eq!(field(&response, headers::OUTCOME), Some(headers::ANSWERED));
            let answer = response.into_body().collect().await.unwrap().to_bytes();
            assert!(String::from_utf8_lossy(&answer).ends_with(&format!("stream {i}")));
        });
    }
    while let Some(call) = calls.join_next().await {
        call.unwrap();
    }
    driver.shutdown().await;
}

#[tokio::test]
async fn large_body_goes_through_whole() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let body: Vec<u8> = (0..MEGABYTE).map(|i| (i % 251) as u8).collect();
    let request = balance().body(Full::new(Bytes::from(body.clone()))).unwrap();
    let response = send(address, request).await;
    assert_eq!(field(&response, headers::OUTCOME), Some(headers::ANSWERED));
    let answer = response.into_body().collect().await.unwrap().to_bytes();
    assert!(answer.ends_with(&body), "{} bytes", answer.len());
}

#[tokio::test]
async fn requests_that_are_wrong_are_refused_as_not_run() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let empty = Full::new(Bytes::new());
    let before = starts(&fleet).await;

    let wrong = Request::get("/nothing").body(empty.clone()).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::NOT_FOUND, "no-service");
    let wrong = Request::get("/till/nothing").body(empty.clone()).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::NOT_FOUND, "no-operation");
    let wrong = Request::put("/till/balance").body(empty.clone()).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::METHOD_NOT_ALLOWED, "method");
    let wrong = balance().header(headers::TIMEOUT_MS, "soon").body(empty.clone()).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::BAD_REQUEST, "bad-timeout");
    let wrong = Request::post("/till/sale").body(empty.clone()).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::BAD_REQUEST, "key-needed");
    let wrong = Request::post("/till/sale").header(headers::IDEMPOTENCY_KEY, "mine").body(empty);
    let wrong = wrong.unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::BAD_REQUEST, "key-without-token");
    let wrong = balance().body(Full::new(Bytes::from(vec![0; 17 * MEGABYTE]))).unwrap();
    assert_refused(&send(address, wrong).await, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
    assert_eq!(starts(&fleet).await, before);
}

#[tokio::test]
async fn head_that_is_too_large_is_refused() {
    let fleet = Fleet::builder().start().await;
    let address = fleet.direction().await.address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let field = "a".repeat(128 * 1024);
    let head = format!("GET /till/balance HTTP/1.1\r\nhost: till\r\nx-long: {field}\r\n\r\n");
    // The entry may close the connection before it has read everything.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = [0; 64];
    let n = timeout(DEFAULT_TIMEOUT, stream.read(&mut answer)).await.unwrap().unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..n]);
    assert!(n == 0 || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[tokio::test]
async fn slow_sender_holds_no_slot() {
    let fleet = Fleet::builder().targets(1).slots(1).start().await;
    let address = fleet.direction().await.address;
    let mut slow = TcpStream::connect(address).await.unwrap();
    let head = "GET /till/balance HTTP/1.1\r\nhost: till\r\ncontent-length: 10\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).await.unwrap();
    let request = balance().body(Full::new(Bytes::new())).unwrap();
    let response = send(address, request).await;
    assert_eq!(field(&response, headers::OUTCOME), Some(headers::ANSWERED));
}
