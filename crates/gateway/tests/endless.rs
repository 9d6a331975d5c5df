//! Targets that send bytes without end. Memory and time must stay bounded, whatever the bytes are.
#![allow(clippy::expect_used)]

mod raw;
mod stub;

use raw::{Node, TIMEOUT, accept, listen, read_until, run_local};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time limit of the calls, after which the caller needs no answer.
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// Time after it by which the gateway must have closed the connection to the target.
const TIME_MARGIN: Duration = Duration::from_millis(500);
/// Bytes that may be read of something that is not the beginning of an answer.
const MAX_HEAD_BYTES: usize = 1_000_000;
/// Bytes that may be read of a body while the caller reads nothing. Sockets buffer some of them.
const MAX_UNREAD_BYTES: usize = 16_000_000;

/// Sends `start` and then `part` again and again until the gateway closes the connection. Returns the
/// number of bytes sent.
async fn send_without_end(stream: &mut TcpStream, start: &str, part: &str) -> usize {
    let mut sent = 0;
    let chunk = part.repeat(8_192 / part.len() + 1);
    let mut bytes = start.as_bytes();
    while stream.write_all(bytes).await.is_ok() {
        sent += bytes.len();
        bytes = chunk.as_bytes();
        tokio::task::yield_now().await;
    }
    sent
}

/// A call whose target sends bytes without end.
struct EndlessCall {
    _node: Node,
    caller: TcpStream,
    began: Instant,
    /// Sends until the gateway closes the connection, and returns the number of bytes sent.
    sending: tokio::task::JoinHandle<usize>,
}

impl EndlessCall {
    async fn start(start: &'static str, part: &'static str) -> Self {
        let (listener, address) = listen().await;
        let node = Node::start(&[address]).await;
        let caller = node.call("/sale/1").await;
        let began = Instant::now();
        let (_, mut stream) = accept(&listener).await;
        let sending =
            tokio::task::spawn_local(
                async move { send_without_end(&mut stream, start, part).await },
            );
        Self { _node: node, caller, began, sending }
    }

    /// Waits until the gateway has closed the connection to the target, and returns the number of
    /// bytes that the target has sent.
    async fn sent(self) -> usize {
        let sent = timeout(TIMEOUT, self.sending).await.expect("the connection is closed");
        let elapsed = self.began.elapsed();
        assert!(elapsed <= TIME_LIMIT + TIME_MARGIN, "closed after {elapsed:?}");
        sent.expect("no panic")
    }
}

/// Lets a target send `start` and then `part` without end, which is not the head of an answer.
async fn assert_head_is_bounded(start: &'static str, part: &'static str) {
    run_local(async {
        let mut call = EndlessCall::start(start, part).await;
        let response = read_until(&mut call.caller, "\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 50"), "{response}");
        assert!(response.contains("x-azuretally-outcome: unknown"), "{response}");
        let sent = call.sent().await;
        assert!(sent <= MAX_HEAD_BYTES, "{sent} bytes were read");
    })
    .await;
}

/// Lets a target send a body without end while the caller reads nothing of it.
async fn assert_unread_body_is_bounded(start: &'static str, part: &'static str) {
    run_local(async {
        let call = EndlessCall::start(start, part).await;
        let sent = call.sent().await;
        assert!(sent <= MAX_UNREAD_BYTES, "{sent} bytes were read");
    })
    .await;
}

/// Lets a target send a body without end while the caller reads it. The caller must see that the body
/// is not complete.
async fn assert_read_body_ends(start: &'static str, part: &'static str) {
    run_local(async {
        let mut call = EndlessCall::start(start, part).await;
        let response = timeout(TIMEOUT, read_until(&mut call.caller, "\r\n0\r\n\r\n")).await;
        let response = response.expect("the body ends");
        assert!(response.starts_with("HTTP/1.1 200"), "the head");
        assert!(!response.ends_with("\r\n0\r\n\r\n"), "the body looks complete");
        call.sent().await;
    })
    .await;
}

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\n\r\n";
const CHUNK: &str = "10\r\n0123456789abcdef\r\n";

#[tokio::test]
async fn endless_header_line_is_bounded() {
    assert_head_is_bounded("HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\nx-more: ", "xxxxxxxx").await;
}

#[tokio::test]
async fn endless_number_of_headers_is_bounded() {
    assert_head_is_bounded("HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\n", "x-more: 1\r\n").await;
}

#[tokio::test]
async fn endless_bytes_that_are_no_answer_are_bounded() {
    assert_head_is_bounded("", "\u{1}garbage").await;
}

#[tokio::test]
async fn endless_blank_lines_are_bounded() {
    assert_head_is_bounded("", "\r\n").await;
}

#[tokio::test]
async fn endless_interim_responses_are_bounded() {
    assert_head_is_bounded("", "HTTP/1.1 103 Early Hints\r\n\r\n").await;
}

#[tokio::test]
async fn endless_chunk_size_is_bounded() {
    assert_unread_body_is_bounded(CHUNKED, "0").await;
}

#[tokio::test]
async fn endless_chunk_extension_is_bounded() {
    assert_unread_body_is_bounded(
        "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "extension",
    )
    .await;
}

#[tokio::test]
async fn endless_trailers_are_bounded() {
    assert_unread_body_is_bounded(
        "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-more: 1\r\n",
    )
    .await;
}

#[tokio::test]
async fn endless_chunked_body_is_bounded_if_the_caller_reads_nothing() {
    assert_unread_body_is_bounded(CHUNKED, CHUNK).await;
}

#[tokio::test]
async fn endless_body_without_a_length_is_bounded_if_the_caller_reads_nothing() {
    assert_unread_body_is_bounded(UNTIL_CLOSE, "0123456789abcdef").await;
}

#[tokio::test]
async fn endless_chunked_body_ends_with_the_time_limit_of_the_call() {
    assert_read_body_ends(CHUNKED, CHUNK).await;
}

#[tokio::test]
async fn endless_body_without_a_length_ends_with_the_time_limit_of_the_call() {
    assert_read_body_ends(UNTIL_CLOSE, "0123456789abcdef").await;
}

/// Sends the answer to a probe without end, and returns the bytes sent and the time that it took.
async fn answer_probe_without_end(listener: &TcpListener) -> (usize, Duration) {
    let (request, mut stream) = accept(listener).await;
    assert!(request.starts_with("GET /load "), "{request}");
    let began = Instant::now();
    let sent = timeout(TIMEOUT, send_without_end(&mut stream, CHUNKED, CHUNK)).await;
    (sent.expect("the connection is closed"), began.elapsed())
}

#[tokio::test]
async fn endless_answer_to_a_probe_is_bounded() {
    run_local(async {
        let (listener, address) = listen().await;
        let addresses: [SocketAddr; 1] = [address];
        let node = Node::start_with_probes(&addresses).await;
        let _caller = node.call("/check/1").await;
        let (sent, elapsed) = answer_probe_without_end(&listener).await;
        assert!(elapsed <= TIME_MARGIN, "closed after {elapsed:?}");
        // Sockets buffer some of it.
        assert!(sent <= MAX_UNREAD_BYTES, "{sent} bytes were read");
    })
    .await;
}
