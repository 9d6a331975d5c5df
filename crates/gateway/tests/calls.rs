//! The request path against targets and callers that speak raw bytes.
#![allow(clippy::expect_used)]

mod stub;

use azuretally_gateway::{calls::Server, gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, Source, TargetRecord,
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
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Time in which anything that is expected has to happen.
const SOON: Duration = Duration::from_secs(3);

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
    let rule = ServiceSettings { connections: 10, probe_path: Arc::from("/load") };
    PublishedSettings {
        version: 1,
        routes: vec![route("check", true), route("sale", false)],
        services: [(Arc::from("service"), rule)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// The same as [`start_fresh`], but the targets are known to tell no load, so none is asked.
async fn start(targets: &[SocketAddr]) -> (Rc<Gateway<NativeAdapter>>, SocketAddr) {
    let (gateway, calls) = start_fresh(targets).await;
    stub::set_untold(&gateway);
    (gateway, calls)
}

/// A gateway that knows `targets`, none of which has answered yet, and the address for calls.
async fn start_fresh(targets: &[SocketAddr]) -> (Rc<Gateway<NativeAdapter>>, SocketAddr) {
    // The port is free a moment later, which is good enough on loopback.
    let probe = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let calls = probe.local_addr().expect("bound");
    drop(probe);
    let mut settings = stub::settings();
    settings.listen.calls = calls;
    settings.stop.grace_ms = 2_000;
    settings.retries.slack = 60.0;
    let (probes, orders) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(NativeAdapter, settings, probes));
    let now = gateway.clock.now();
    let mut changes = vec![Change::Published(published())];
    for (number, address) in targets.iter().enumerate() {
        let record = stub::target(u8::try_from(number).unwrap_or(u8::MAX), 1);
        changes.push(Change::Target(TargetRecord { address: *address, ..record }));
    }
    gateway.catalog.borrow_mut().apply(now, 1, changes, Source::Platform);
    gateway.apply_catalog(Source::Platform);
    gateway.update_budget_share();
    let server = Server::bind(Rc::clone(&gateway), orders).await.expect("the port is free");
    spawn_local(server.run());
    (gateway, calls)
}

async fn target() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A gateway with one target that got call `a` from the caller and has not answered.
async fn called(path: &str) -> (Rc<Gateway<NativeAdapter>>, TcpStream, TcpStream) {
    let (listener, address) = target().await;
    let (gateway, calls) = start(&[address]).await;
    let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
    caller.write_all(get(path, "a").as_bytes()).await.expect("sent");
    let (mut stream, _) = listener.accept().await.expect("a call");
    read_until(&mut stream, "\r\n\r\n").await;
    (gateway, caller, stream)
}

/// Reads until `end` has come.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end) {
        let read = timeout(SOON, stream.read(&mut buffer)).await.expect("in time");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\r\n")
}

fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-azuretally-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn on_local<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn first_call_is_sent_once_its_target_has_told_its_load() {
    on_local(async {
        let (listener, address) = target().await;
        let (gateway, calls) = start_fresh(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get("/check/1", "a").as_bytes()).await.expect("sent");
        let (mut stream, _) = listener.accept().await.expect("a probe");
        let probe = read_until(&mut stream, "\r\n\r\n").await;
        assert!(probe.starts_with("GET /load "), "{probe}");
        let load = "HTTP/1.1 200 OK\r\nx-target-load: 0,0,1,100\r\n\
                    content-length: 0\r\n\r\n";
        stream.write_all(load.as_bytes()).await.expect("answered");
        let call = read_until(&mut stream, "\r\n\r\n").await;
        assert!(call.starts_with("GET /check/1 "), "{call}");
        stream.write_all(answer("a", "done").as_bytes()).await.expect("answered");
        assert!(read_until(&mut caller, "done").await.starts_with("HTTP/1.1 200"));
        // One gateway has the slack of 60, but for what is held back, and a fifth of the call.
        let metrics = gateway.metrics_text();
        let left = metrics.split("second_tries_left{service=\"service\"} ").nth(1);
        let left: Option<f64> = left.and_then(|l| l.lines().next()?.parse().ok());
        assert!(left.is_some_and(|left| left > 1.0 && left <= 60.2), "{metrics}");
    })
    .await;
}

/// A body that is too long to be read before any of it is passed on.
const LONG_BODY: usize = 400_000;

/// Sends a call whose target answers with the beginning of a long body, `sent` bytes of it, and
/// closes. Returns what the caller got.
async fn answer_in_part(sent: usize) -> String {
    let (_gateway, mut caller, mut stream) = called("/sale/1").await;
    let whole = answer("a", &"b".repeat(LONG_BODY));
    let end = whole.len() - LONG_BODY + sent;
    let send = async {
        stream.write_all(&whole.as_bytes()[..end]).await.expect("answered");
        drop(stream);
    };
    let (text, ()) = tokio::join!(read_to_end(&mut caller, whole.len()), send);
    text
}

/// Reads until `enough` bytes have come or the connection ends.
async fn read_to_end(stream: &mut TcpStream, enough: usize) -> String {
    let mut text = String::new();
    let mut buffer = [0; 65_536];
    while text.len() < enough {
        match timeout(SOON, stream.read(&mut buffer)).await.expect("in time") {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

#[tokio::test]
async fn long_answer_arrives_whole() {
    on_local(async {
        let text = answer_in_part(LONG_BODY).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.len(), LONG_BODY);
    })
    .await;
}

#[tokio::test]
async fn long_answer_that_breaks_off_does_not_look_complete() {
    on_local(async {
        let text = answer_in_part(LONG_BODY / 2).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("an answer begins");
        let told = format!("content-length: {LONG_BODY}");
        let chunks = head.contains("transfer-encoding: chunked") && !body.ends_with("0\r\n\r\n");
        assert!(head.contains(&told) || chunks, "{head}");
        assert!(body.len() < LONG_BODY, "{} bytes came", body.len());
    })
    .await;
}

#[tokio::test]
async fn long_body_of_a_call_reaches_the_target_whole() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let head = format!(
            "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
             content-length: {LONG_BODY}\r\n\r\n"
        );
        let send = async {
            caller.write_all(head.as_bytes()).await.expect("sent");
            caller.write_all("b".repeat(LONG_BODY).as_bytes()).await.expect("sent");
        };
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let head = read_until(&mut stream, "\r\n\r\n").await;
            let (_, begun) = head.split_once("\r\n\r\n").expect("a head");
            let rest = read_to_end(&mut stream, LONG_BODY - begun.len()).await;
            stream.write_all(answer("a", "done").as_bytes()).await.expect("answered");
            format!("{begun}{rest}")
        };
        let ((), body) = tokio::join!(send, serve);
        assert!(body == "b".repeat(LONG_BODY), "{} bytes came", body.len());
        assert!(read_until(&mut caller, "done").await.starts_with("HTTP/1.1 200"));
    })
    .await;
}

#[tokio::test]
async fn answer_without_a_length_is_whole_when_its_connection_closes() {
    on_local(async {
        let (_gateway, mut caller, mut stream) = called("/sale/1").await;
        let unframed =
            "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\nconnection: close\r\n\r\nwhole body";
        stream.write_all(unframed.as_bytes()).await.expect("answered");
        drop(stream);
        let text = read_until(&mut caller, "whole body").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole body"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn answer_without_a_length_is_none_when_its_connection_is_reset() {
    on_local(async {
        let (_gateway, mut caller, mut stream) = called("/sale/1").await;
        let unframed = "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\nconnection: close\r\n\r\nhalf";
        stream.write_all(unframed.as_bytes()).await.expect("answered");
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
async fn call_without_an_answer_is_timed_out_at_its_deadline() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get("/sale/1", "a").as_bytes()).await.expect("sent");
        let sent = Instant::now();
        let (_stream, _) = listener.accept().await.expect("a call");
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 504"), "{text}");
        let late = sent.elapsed().saturating_sub(Duration::from_secs(2));
        assert!(late < Duration::from_millis(250), "{late:?} after the deadline");
    })
    .await;
}

#[tokio::test]
async fn target_stops_working_when_the_caller_leaves() {
    on_local(async {
        let (_gateway, caller, mut stream) = called("/check/1").await;
        drop(caller);
        let left = Instant::now();
        let mut rest = [0; 16];
        let end = timeout(SOON, stream.read(&mut rest)).await.expect("the connection ends");
        assert!(matches!(end, Ok(0) | Err(_)));
        assert!(left.elapsed() < Duration::from_millis(300), "{:?}", left.elapsed());
    })
    .await;
}

#[tokio::test]
async fn calls_behind_one_another_are_answered_in_order() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let both = format!("{}{}", get("/check/1", "first"), get("/check/1", "second"));
        caller.write_all(both.as_bytes()).await.expect("sent");
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a call");
            for id in ["first", "second"] {
                read_until(&mut stream, "\r\n\r\n").await;
                stream.write_all(answer(id, id).as_bytes()).await.expect("answered");
            }
            sleep(SOON).await;
        });
        let text = read_until(&mut caller, "\r\n\r\nsecond").await;
        let first = text.find("\r\n\r\nfirst").expect("the first answer");
        assert!(text.find("\r\n\r\nsecond").is_some_and(|second| second > first), "{text}");
    })
    .await;
}

#[tokio::test]
async fn second_answer_on_a_kept_connection_reaches_nobody() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        spawn_local(async move {
            for id in ["first", "second"] {
                let (mut stream, _) = listener.accept().await.expect("a call");
                spawn_local(async move {
                    read_until(&mut stream, "\r\n\r\n").await;
                    let text = format!("{}{}", answer(id, id), answer(id, "stray"));
                    stream.write_all(text.as_bytes()).await.expect("answered");
                    sleep(SOON).await;
                });
            }
        });
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        for id in ["first", "second"] {
            caller.write_all(get("/check/1", id).as_bytes()).await.expect("sent");
            let text = read_until(&mut caller, &format!("\r\n\r\n{id}")).await;
            assert!(text.contains(&format!("\r\n\r\n{id}")) && !text.contains("stray"), "{text}");
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn late_answer_to_an_earlier_call_is_not_taken_for_the_next_one() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a call");
            read_until(&mut stream, "\r\n\r\n").await;
            stream.write_all(answer("earlier", "stray").as_bytes()).await.expect("answered");
            sleep(SOON).await;
        });
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get("/sale/1", "own").as_bytes()).await.expect("sent");
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 502") && !text.contains("stray"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn body_in_chunks_reaches_the_target_whole() {
    on_local(async {
        let (listener, address) = target().await;
        let (_gateway, calls) = start(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        let head = "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
                    transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        caller.write_all(head.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(50)).await;
        caller.write_all(b"6\r\n world\r\n0\r\n\r\n").await.expect("sent");
        let (mut stream, _) = listener.accept().await.expect("a call");
        let text = read_until(&mut stream, "hello world").await;
        assert!(text.contains("content-length: 11") && text.ends_with("hello world"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn call_that_another_process_refused_goes_to_the_next_target() {
    on_local(async {
        let (first, first_at) = target().await;
        let (second, second_at) = target().await;
        let (_gateway, calls) = start(&[first_at, second_at]).await;
        let moved = Rc::new(Cell::new(false));
        for listener in [first, second] {
            let moved = Rc::clone(&moved);
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a call");
                read_until(&mut stream, "\r\n\r\n").await;
                let reply = match !moved.replace(true) {
                    true => "HTTP/1.1 421 Misdirected Request\r\nx-azuretally-call: a\r\n\
                             content-length: 0\r\n\r\n"
                        .to_owned(),
                    false => answer("a", "served"),
                };
                stream.write_all(reply.as_bytes()).await.expect("answered");
                sleep(SOON).await;
            });
        }
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get("/sale/1", "a").as_bytes()).await.expect("sent");
        let text = read_until(&mut caller, "served").await;
        assert!(moved.get() && text.starts_with("HTTP/1.1 200"), "{text}");
    })
    .await;
}

#[tokio::test]
async fn planned_stop_finishes_calls_under_way_and_serves_new_ones_for_a_while() {
    on_local(async {
        let (listener, address) = target().await;
        let (gateway, calls) = start(&[address]).await;
        let mut caller = TcpStream::connect(calls).await.expect("the gateway listens");
        caller.write_all(get("/sale/1", "a").as_bytes()).await.expect("sent");
        let (mut stream, _) = listener.accept().await.expect("a call");
        read_until(&mut stream, "\r\n\r\n").await;
        gateway.drain.cancel();
        sleep(Duration::from_millis(200)).await;
        stream.write_all(answer("a", "whole").as_bytes()).await.expect("answered");
        let text = read_until(&mut caller, "whole").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole"), "{text}");
        let mut late = TcpStream::connect(calls).await.expect("it still listens");
        late.write_all(get("/sale/1", "b").as_bytes()).await.expect("sent");
        read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(answer("b", "late").as_bytes()).await.expect("answered");
        let text = read_until(&mut late, "late").await;
        assert!(text.contains("connection: close") && text.ends_with("late"), "{text}");
        timeout(SOON, gateway.shutdown.cancelled()).await.expect("it ends");
        assert!(TcpStream::connect(calls).await.is_err(), "nobody listens any more");
    })
    .await;
}
