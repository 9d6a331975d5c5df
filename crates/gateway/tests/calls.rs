//! Tests of the request path with targets and callers that write HTTP as raw bytes.
#![allow(clippy::expect_used)]

mod stub;

use azuretally_gateway::{calls::Server, gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Revision, Route, ServiceSettings, Share, Source,
    TargetRecord,
};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(3);

fn route(name: &str, idempotent: bool) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from("service"), weight: 1 }],
    }
}

fn published() -> PublishedSettings {
    let service =
        ServiceSettings { connections: 10, probe_path: Arc::from("/load"), cold_rate: None };
    PublishedSettings {
        version: 1,
        routes: vec![route("check", true), route("sale", false)],
        services: [(Arc::from("service"), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Starts a gateway like [`start_without_reports`], but with targets that are known not to report
/// their load, so that the gateway sends no probes.
async fn start_gateway(targets: &[SocketAddr]) -> (Rc<Gateway<NativeAdapter>>, SocketAddr) {
    let (gateway, calls) = start_without_reports(targets).await;
    stub::disable_probes(&gateway);
    (gateway, calls)
}

/// Starts a gateway that knows `targets` but has no load report of any of them yet.
///
/// Returns the gateway and its address for calls.
async fn start_without_reports(targets: &[SocketAddr]) -> (Rc<Gateway<NativeAdapter>>, SocketAddr) {
    // Another process could take the port before the gateway binds it, but this is unlikely.
    let reserved = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let calls = reserved.local_addr().expect("bound");
    drop(reserved);
    let mut settings = stub::settings();
    settings.listen.calls = calls;
    settings.stop.grace_ms = 2_000;
    settings.retries.slack = 60.0;
    let (probes, probe_receiver) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(NativeAdapter, settings, probes));
    let now = gateway.clock.now();
    let mut changes = vec![Change::Published(published())];
    for (number, address) in targets.iter().enumerate() {
        let record = stub::target(u8::try_from(number).unwrap_or(u8::MAX), 1);
        changes.push(Change::Target(TargetRecord { address: *address, ..record }));
    }
    gateway.catalog.borrow_mut().apply(now, Revision::new(0, 1), changes, Source::Platform);
    gateway.apply_catalog(Source::Platform);
    gateway.update_budget_share();
    let server = Server::bind(Rc::clone(&gateway), probe_receiver).await.expect("the port is free");
    spawn_local(server.run());
    (gateway, calls)
}

async fn bind_target() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Starts a gateway with one target that has received call `a` and has not responded.
///
/// Returns the gateway and the connections of the caller and of the target.
async fn start_with_call_in_flight(
    path: &str,
) -> (Rc<Gateway<NativeAdapter>>, TcpStream, TcpStream) {
    let (listener, address) = bind_target().await;
    let (gateway, calls) = start_gateway(&[address]).await;
    let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
    caller.write_all(get_request(path, "a").as_bytes()).await.expect("request sent");
    let (mut stream, _) = listener.accept().await.expect("a call");
    read_until(&mut stream, "\r\n\r\n").await;
    (gateway, caller, stream)
}

/// Reads until the text contains `end`, or until the connection ends.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end) {
        let read =
            timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("a read before the timeout");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

fn get_request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\r\n")
}

fn ok_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-azuretally-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn run_local<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn first_call_is_sent_after_its_target_reported_its_load() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (gateway, calls) = start_without_reports(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get_request("/check/1", "a").as_bytes()).await.expect("request sent");
        let (mut stream, _) = listener.accept().await.expect("a probe");
        let probe = read_until(&mut stream, "\r\n\r\n").await;
        assert!(probe.starts_with("GET /load "), "{probe}");
        let load = "HTTP/1.1 200 OK\r\nx-target-load: 0,0,1,100\r\n\
                    content-length: 0\r\n\r\n";
        stream.write_all(load.as_bytes()).await.expect("response sent");
        let call = read_until(&mut stream, "\r\n\r\n").await;
        assert!(call.starts_with("GET /check/1 "), "{call}");
        stream.write_all(ok_response("a", "done").as_bytes()).await.expect("response sent");
        assert!(read_until(&mut caller, "done").await.starts_with("HTTP/1.1 200"));
        // The gateway gets a part of the slack of 60 and of the ratio of 0.2 for one call.
        let metrics = gateway.metrics_text();
        let left = metrics.split("second_tries_left{service=\"service\"} ").nth(1);
        let left: Option<f64> = left.and_then(|l| l.lines().next()?.parse().ok());
        assert!(left.is_some_and(|left| left > 1.0 && left <= 60.2), "{metrics}");
    })
    .await;
}

/// Size of a body that exceeds the buffers of the gateway and is therefore streamed.
const LONG_BODY_BYTES: usize = 400_000;

/// Sends a call whose target responds with the first `sent_bytes` bytes of a long body and closes
/// the connection. Returns what the caller received.
async fn receive_long_response(sent_bytes: usize) -> String {
    let (_gateway, mut caller, mut stream) = start_with_call_in_flight("/sale/1").await;
    let full = ok_response("a", &"b".repeat(LONG_BODY_BYTES));
    let end = full.len() - LONG_BODY_BYTES + sent_bytes;
    let send = async {
        stream.write_all(&full.as_bytes()[..end]).await.expect("response sent");
        drop(stream);
    };
    let (text, ()) = tokio::join!(read_at_least(&mut caller, full.len()), send);
    text
}

/// Reads until at least `min_bytes` bytes have arrived, or until the connection ends.
async fn read_at_least(stream: &mut TcpStream, min_bytes: usize) -> String {
    let mut text = String::new();
    let mut buffer = [0; 65_536];
    while text.len() < min_bytes {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("a read before the timeout") {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

#[tokio::test]
async fn long_response_is_delivered_completely() {
    run_local(async {
        let text = receive_long_response(LONG_BODY_BYTES).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("a response");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.len(), LONG_BODY_BYTES);
    })
    .await;
}

#[tokio::test]
async fn truncated_long_response_does_not_look_complete() {
    run_local(async {
        let text = receive_long_response(LONG_BODY_BYTES / 2).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("the head of a response");
        let length_header = format!("content-length: {LONG_BODY_BYTES}");
        let is_open_chunked =
            head.contains("transfer-encoding: chunked") && !body.ends_with("0\r\n\r\n");
        assert!(head.contains(&length_header) || is_open_chunked, "{head}");
        assert!(body.len() < LONG_BODY_BYTES, "{} bytes received", body.len());
    })
    .await;
}

#[tokio::test]
async fn long_request_body_reaches_the_target_completely() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let head = format!(
            "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
             content-length: {LONG_BODY_BYTES}\r\n\r\n"
        );
        let send = async {
            caller.write_all(head.as_bytes()).await.expect("request sent");
            caller.write_all("b".repeat(LONG_BODY_BYTES).as_bytes()).await.expect("request sent");
        };
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let head = read_until(&mut stream, "\r\n\r\n").await;
            let (_, start) = head.split_once("\r\n\r\n").expect("a head");
            let rest = read_at_least(&mut stream, LONG_BODY_BYTES - start.len()).await;
            stream.write_all(ok_response("a", "done").as_bytes()).await.expect("response sent");
            format!("{start}{rest}")
        };
        let ((), body) = tokio::join!(send, serve);
        assert!(body == "b".repeat(LONG_BODY_BYTES), "{} bytes received", body.len());
        assert!(read_until(&mut caller, "done").await.starts_with("HTTP/1.1 200"));
    })
    .await;
}

#[tokio::test]
async fn response_without_length_is_complete_when_its_connection_closes() {
    run_local(async {
        let (_gateway, mut caller, mut stream) = start_with_call_in_flight("/sale/1").await;
        let unframed =
            "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\nconnection: close\r\n\r\nwhole body";
        stream.write_all(unframed.as_bytes()).await.expect("response sent");
        drop(stream);
        let text = read_until(&mut caller, "whole body").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole body"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn response_without_length_is_discarded_when_its_connection_is_reset() {
    run_local(async {
        let (_gateway, mut caller, mut stream) = start_with_call_in_flight("/sale/1").await;
        let unframed = "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\nconnection: close\r\n\r\nhalf";
        stream.write_all(unframed.as_bytes()).await.expect("response sent");
        sleep(Duration::from_millis(50)).await;
        stream.set_zero_linger().expect("a socket");
        drop(stream);
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 502"), "{text}");
        assert!(text.contains("x-azuretally-outcome: unknown"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn call_without_response_times_out_at_its_deadline() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get_request("/sale/1", "a").as_bytes()).await.expect("request sent");
        let sent_at = Instant::now();
        let (_stream, _) = listener.accept().await.expect("a call");
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 504"), "{text}");
        let delay = sent_at.elapsed().saturating_sub(Duration::from_secs(2));
        assert!(delay < Duration::from_millis(250), "{delay:?} after the deadline");
    })
    .await;
}

/// Without a count of connections that were reset with unread bytes, lost answers cannot be told
/// from callers that left.
#[tokio::test]
async fn ends_of_callers_connections_are_counted_by_reason() {
    run_local(async {
        let (gateway, mut caller, mut stream) = start_with_call_in_flight("/check/1").await;
        stream.write_all(ok_response("a", "done").as_bytes()).await.expect("response sent");
        read_until(&mut caller, "done").await;
        drop(caller);
        let count = "caller_connections_ended_total\
                     {reason=\"caller-closed\",reset=\"false\",undelivered=\"false\"} 1";
        let deadline = Instant::now() + TIMEOUT;
        while !gateway.metrics_text().contains(count) {
            assert!(Instant::now() < deadline, "{}", gateway.metrics_text());
            sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn connection_to_the_target_closes_when_the_caller_disconnects() {
    run_local(async {
        let (_gateway, caller, mut stream) = start_with_call_in_flight("/check/1").await;
        drop(caller);
        let closed_at = Instant::now();
        let mut rest = [0; 16];
        let end = timeout(TIMEOUT, stream.read(&mut rest)).await.expect("the connection ends");
        assert!(matches!(end, Ok(0) | Err(_)));
        assert!(closed_at.elapsed() < Duration::from_millis(300), "{:?}", closed_at.elapsed());
    })
    .await;
}

#[tokio::test]
async fn pipelined_calls_are_answered_in_order() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let pipelined =
            format!("{}{}", get_request("/check/1", "first"), get_request("/check/1", "second"));
        caller.write_all(pipelined.as_bytes()).await.expect("request sent");
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a call");
            for id in ["first", "second"] {
                read_until(&mut stream, "\r\n\r\n").await;
                stream.write_all(ok_response(id, id).as_bytes()).await.expect("response sent");
            }
            sleep(TIMEOUT).await;
        });
        let text = read_until(&mut caller, "\r\n\r\nsecond").await;
        let first = text.find("\r\n\r\nfirst").expect("the first answer");
        assert!(text.find("\r\n\r\nsecond").is_some_and(|second| second > first), "{text}");
    })
    .await;
}

#[tokio::test]
async fn unsolicited_response_on_an_idle_connection_is_discarded() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        spawn_local(async move {
            for id in ["first", "second"] {
                let (mut stream, _) = listener.accept().await.expect("a call");
                spawn_local(async move {
                    read_until(&mut stream, "\r\n\r\n").await;
                    let text = format!("{}{}", ok_response(id, id), ok_response(id, "stray"));
                    stream.write_all(text.as_bytes()).await.expect("response sent");
                    sleep(TIMEOUT).await;
                });
            }
        });
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        for id in ["first", "second"] {
            caller.write_all(get_request("/check/1", id).as_bytes()).await.expect("request sent");
            let text = read_until(&mut caller, &format!("\r\n\r\n{id}")).await;
            assert!(text.contains(&format!("\r\n\r\n{id}")) && !text.contains("stray"), "{text}");
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn response_to_an_earlier_call_is_not_delivered_to_the_next_one() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a call");
            read_until(&mut stream, "\r\n\r\n").await;
            stream
                .write_all(ok_response("earlier", "stray").as_bytes())
                .await
                .expect("response sent");
            sleep(TIMEOUT).await;
        });
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get_request("/sale/1", "own").as_bytes()).await.expect("request sent");
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 502") && !text.contains("stray"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn chunked_request_body_reaches_the_target_completely() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let head = "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
                    transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        caller.write_all(head.as_bytes()).await.expect("request sent");
        sleep(Duration::from_millis(50)).await;
        caller.write_all(b"6\r\n world\r\n0\r\n\r\n").await.expect("request sent");
        let (mut stream, _) = listener.accept().await.expect("a call");
        let text = read_until(&mut stream, "hello world").await;
        assert!(text.contains("content-length: 11") && text.ends_with("hello world"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn misdirected_call_is_sent_to_the_next_target() {
    run_local(async {
        let (first, first_address) = bind_target().await;
        let (second, second_address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[first_address, second_address]).await;
        let misdirected = Rc::new(Cell::new(false));
        for listener in [first, second] {
            let misdirected = Rc::clone(&misdirected);
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a call");
                read_until(&mut stream, "\r\n\r\n").await;
                let reply = match !misdirected.replace(true) {
                    true => "HTTP/1.1 421 Misdirected Request\r\nx-azuretally-call: a\r\n\
                             content-length: 0\r\n\r\n"
                        .to_owned(),
                    false => ok_response("a", "served"),
                };
                stream.write_all(reply.as_bytes()).await.expect("response sent");
                sleep(TIMEOUT).await;
            });
        }
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get_request("/sale/1", "a").as_bytes()).await.expect("request sent");
        let text = read_until(&mut caller, "served").await;
        assert!(misdirected.get() && text.starts_with("HTTP/1.1 200"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn planned_stop_finishes_calls_in_flight_and_accepts_new_ones_for_a_while() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get_request("/sale/1", "a").as_bytes()).await.expect("request sent");
        let (mut stream, _) = listener.accept().await.expect("a call");
        read_until(&mut stream, "\r\n\r\n").await;
        gateway.drain.cancel();
        sleep(Duration::from_millis(200)).await;
        stream.write_all(ok_response("a", "whole").as_bytes()).await.expect("response sent");
        let text = read_until(&mut caller, "whole").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole"), "{text}");
        let mut late = TcpStream::connect(calls).await.expect("the gateway still listens");
        late.write_all(get_request("/sale/1", "b").as_bytes()).await.expect("request sent");
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(ok_response("b", "late").as_bytes()).await.expect("response sent");
        let text = read_until(&mut late, "late").await;
        assert!(text.contains("connection: close") && text.ends_with("late"), "{text}");
        timeout(TIMEOUT, gateway.shutdown.cancelled()).await.expect("the gateway shuts down");
        assert!(
            TcpStream::connect(calls).await.is_err(),
            "the gateway still listens after the shutdown"
        );
    })
    .await;
}

/// Size of an answer that the gateway buffers but that does not fit into a caller's receive buffer
/// of [`SMALL_BUFFER_BYTES`].
const BUFFERED_BODY_BYTES: usize = 100_000;
/// Receive buffer of a caller that reads late, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// Connects to `address` with a small receive buffer.
async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("a buffer size");
    socket.connect(address).await.expect("the gateway listens")
}

/// Starts a gateway whose only call in progress is `a`, with further calls sent behind it, and
/// begins a planned stop.
///
/// Returns the gateway and the connections of the caller and of the target.
async fn stop_with_pipelined_calls() -> (Rc<Gateway<NativeAdapter>>, TcpStream, TcpStream) {
    let (listener, address) = bind_target().await;
    let (gateway, calls) = start_gateway(&[address]).await;
    let mut caller = connect_with_small_buffer(calls).await;
    caller.write_all(get_request("/check/1", "a").as_bytes()).await.expect("request sent");
    let (mut stream, _) = listener.accept().await.expect("a call");
    read_until(&mut stream, "\r\n\r\n").await;
    gateway.drain.cancel();
    for id in ["b", "c", "d"] {
        caller.write_all(get_request("/check/1", id).as_bytes()).await.expect("request sent");
        sleep(Duration::from_millis(20)).await;
    }
    (gateway, caller, stream)
}

/// Reads until the end of the connection, which must be orderly.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await.expect("an end in time");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(read.is_ok(), "{read:?} after {} bytes", text.len());
    text
}

/// Guards against answers that a reset discards: the gateway closed the connection with calls sent
/// behind the last one unread, before the caller had received the whole answer.
#[tokio::test]
async fn planned_stop_does_not_reset_a_connection_with_pipelined_calls() {
    run_local(async {
        let (_gateway, mut caller, mut stream) = stop_with_pipelined_calls().await;
        let answer = ok_response("a", &"b".repeat(BUFFERED_BODY_BYTES));
        stream.write_all(answer.as_bytes()).await.expect("response sent");
        sleep(Duration::from_millis(300)).await;
        let text = read_to_end(&mut caller).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("a response");
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(body.len(), BUFFERED_BODY_BYTES);
    })
    .await;
}

/// Guards against a reset of a connection whose caller sends a further call just after the last
/// answer.
#[tokio::test]
async fn call_sent_after_the_last_answer_does_not_reset_the_connection() {
    run_local(async {
        let (_gateway, mut caller, mut stream) = stop_with_pipelined_calls().await;
        let answer = ok_response("a", &"b".repeat(BUFFERED_BODY_BYTES));
        stream.write_all(answer.as_bytes()).await.expect("response sent");
        for id in ["e", "f"] {
            sleep(Duration::from_millis(100)).await;
            caller.write_all(get_request("/check/1", id).as_bytes()).await.expect("request sent");
        }
        let text = read_to_end(&mut caller).await;
        assert_eq!(text.len(), text.find("\r\n\r\n").expect("a head") + 4 + BUFFERED_BODY_BYTES);
    })
    .await;
}

/// Guards against closing a connection after each long body, although the body was read completely.
#[tokio::test]
async fn connection_is_kept_after_a_long_body() {
    run_local(async {
        let (listener, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let long = format!(
            "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
             content-length: {LONG_BODY_BYTES}\r\n\r\n{}",
            "b".repeat(LONG_BODY_BYTES)
        );
        let send = async { caller.write_all(long.as_bytes()).await.expect("request sent") };
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a call");
            read_at_least(&mut stream, LONG_BODY_BYTES).await;
            stream
        };
        let ((), mut stream) = tokio::join!(send, serve);
        // Whatever is left of the head.
        sleep(Duration::from_millis(50)).await;
        stream.write_all(ok_response("a", "first").as_bytes()).await.expect("response sent");
        let text = read_until(&mut caller, "first").await;
        assert!(text.contains("first") && !text.contains("connection: close"), "{text}");
    })
    .await;
}

/// Guards against a refusal that is lost because the caller is still sending the body.
#[tokio::test]
async fn refusal_of_a_large_body_reaches_a_caller_that_is_still_sending() {
    run_local(async {
        let (_, address) = bind_target().await;
        let (_gateway, calls) = start_gateway(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let body_bytes = 8_000_000;
        let head = format!(
            "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
             content-length: {body_bytes}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("request sent");
        for _ in 0..10 {
            let part = vec![b'b'; body_bytes / 10];
            caller.write_all(&part).await.expect("the gateway still reads");
            sleep(Duration::from_millis(10)).await;
        }
        caller.shutdown().await.expect("the connection is open");
        let text = read_to_end(&mut caller).await;
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    })
    .await;
}

/// Starts a gateway with a target and a kept connection on which call `a` was answered.
///
/// Returns the gateway and the connections of the caller and of the target.
async fn start_with_kept_connection() -> (Rc<Gateway<NativeAdapter>>, TcpStream, TcpStream) {
    let (gateway, mut caller, mut stream) = start_with_call_in_flight("/sale/1").await;
    stream.write_all(ok_response("a", "first").as_bytes()).await.expect("response sent");
    read_until(&mut caller, "first").await;
    (gateway, caller, stream)
}

/// Guards against kept connections that a planned stop closes without notice, so that calls which
/// their callers are sending fail.
#[tokio::test]
async fn kept_connection_serves_one_more_call_after_a_planned_stop_begins() {
    run_local(async {
        let (gateway, mut caller, mut stream) = start_with_kept_connection().await;
        gateway.drain.cancel();
        sleep(Duration::from_millis(300)).await;
        caller.write_all(get_request("/sale/1", "b").as_bytes()).await.expect("request sent");
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(ok_response("b", "second").as_bytes()).await.expect("response sent");
        let text = read_to_end(&mut caller).await;
        assert!(text.contains("connection: close") && text.ends_with("second"), "{text}");
    })
    .await;
}

/// Guards against connections without a call that outlast the acceptance of new ones: a call sent on
/// them later could not be finished.
#[tokio::test]
async fn idle_connections_close_when_a_planned_stop_accepts_no_more() {
    run_local(async {
        let (gateway, mut kept, _stream) = start_with_kept_connection().await;
        gateway.drain.cancel();
        let drain_start = Instant::now();
        let calls = gateway.settings().listen.calls;
        let mut unused = TcpStream::connect(calls).await.expect("the gateway still listens");
        assert_eq!(read_to_end(&mut kept).await, "");
        assert_eq!(read_to_end(&mut unused).await, "");
        let elapsed = drain_start.elapsed();
        // The grace time is 2 s, of which new connections are accepted for 0.45.
        let expected = Duration::from_millis(900)..Duration::from_millis(1_500);
        assert!(expected.contains(&elapsed), "{elapsed:?}");
        drop((kept, unused));
        timeout(TIMEOUT, gateway.shutdown.cancelled()).await.expect("the gateway shuts down");
    })
    .await;
}
