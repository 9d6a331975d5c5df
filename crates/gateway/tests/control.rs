//! Tests of the servers for directions, readiness and peers when a stop ends.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the module.
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{self, ControlServers, HeartbeatSocket},
    gateway::Gateway,
    native::{DIRECTIONS_PATH, NativeAdapter},
    settings::Settings,
};
use std::{
    io::Write,
    net::{IpAddr, SocketAddr},
    process,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
    task::{JoinHandle, LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the control plane ends if the grace time is 1 s.
const END_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a liveness request ends, less than connections of others may take.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of the next gateway.
static NEXT_IP: AtomicU32 = AtomicU32::new(1);
/// Path that a peer requests to learn when the process has ended.
const LIVENESS_PATH: &str = "/life";

/// Control plane of a gateway without peers.
struct Fixture {
    gateway: Rc<Gateway<NativeAdapter>>,
    settings: Settings,
    task: JoinHandle<()>,
}

impl Fixture {
    async fn start(grace_ms: u64) -> Self {
        let mut settings = stub::settings();
        settings.stop.grace_ms = grace_ms;
        let ip = unique_ip();
        settings.listen.directions = SocketAddr::new(ip, 9_001);
        settings.listen.readiness = SocketAddr::new(ip, 9_002);
        settings.listen.news = SocketAddr::new(ip, 9_003);
        let (probes, _) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
        let heartbeats =
            HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
        let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
        let task = spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
        Self { gateway, settings, task }
    }

    async fn connect_for_directions(&self) -> TcpStream {
        connect(self.settings.listen.directions).await
    }

    /// Ends the control plane as at the end of a planned stop.
    fn shut_down(&self) -> Instant {
        self.gateway.shutdown.cancel();
        Instant::now()
    }

    async fn wait_for_end(self) {
        timeout(TIMEOUT, self.task).await.expect("the control plane ends").expect("no panic");
    }
}

/// Returns a loopback address that no other test uses. Connections to it come from another address,
/// so that their ports do not collide with those that are listened on.
fn unique_ip() -> IpAddr {
    let number = NEXT_IP.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    IpAddr::from([127, 64 | (high & 63), low, last])
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the server listens")
}

fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n")
}

/// Reads until the connection ends. An orderly end is required.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await.expect("the connection ends");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(read.is_ok(), "{read:?} after {text:?}");
    text
}

/// Returns the number of complete answers in `text`, which must not end in the middle of one.
fn count_answers(text: &str) -> usize {
    let mut count = 0;
    let mut rest = text;
    while !rest.is_empty() {
        let (head, body) = rest.split_once("\r\n\r\n").expect("a complete head");
        // Without peers there is no gateway to direct callers to.
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        let length = head.split("content-length: ").nth(1).and_then(|l| l.lines().next());
        let length: usize = length.and_then(|l| l.parse().ok()).expect("a length");
        assert!(body.len() >= length, "{text:?}");
        rest = &body[length..];
        count += 1;
    }
    count
}

async fn run_local<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    LocalSet::new().run_until(test).await;
}

/// Guards against a request for directions that has arrived being lost as the process exits.
#[tokio::test]
async fn directions_requested_as_the_stop_ends_are_answered() {
    run_local(async {
        let fixture = Fixture::start(6_000).await;
        let mut caller = fixture.connect_for_directions().await;
        sleep(Duration::from_millis(20)).await;
        caller.write_all(get_request(DIRECTIONS_PATH).as_bytes()).await.expect("request sent");
        fixture.shut_down();
        let text = read_to_end(&mut caller).await;
        assert_eq!(count_answers(&text), 1, "{text:?}");
        fixture.wait_for_end().await;
    })
    .await;
}

/// Guards against a reset that discards answers to requests sent behind one another.
#[tokio::test]
async fn pipelined_requests_as_the_stop_ends_are_answered() {
    run_local(async {
        let fixture = Fixture::start(6_000).await;
        let mut caller = fixture.connect_for_directions().await;
        sleep(Duration::from_millis(20)).await;
        let requests = get_request(DIRECTIONS_PATH).repeat(20);
        caller.write_all(requests.as_bytes()).await.expect("requests sent");
        fixture.shut_down();
        let text = read_to_end(&mut caller).await;
        assert_eq!(count_answers(&text), 20, "{text:?}");
        fixture.wait_for_end().await;
    })
    .await;
}

/// Guards against a reset that discards the last answer because a further request arrives.
#[tokio::test]
async fn request_that_arrives_after_the_last_answer_does_not_reset_the_connection() {
    run_local(async {
        let fixture = Fixture::start(6_000).await;
        let mut caller = fixture.connect_for_directions().await;
        sleep(Duration::from_millis(20)).await;
        let request = get_request(DIRECTIONS_PATH);
        caller.write_all(request.as_bytes()).await.expect("request sent");
        fixture.shut_down();
        sleep(Duration::from_millis(10)).await;
        caller.write_all(request.repeat(3).as_bytes()).await.expect("requests sent");
        sleep(Duration::from_millis(10)).await;
        let text = read_to_end(&mut caller).await;
        assert!(count_answers(&text) >= 1, "{text:?}");
        drop(caller);
        fixture.wait_for_end().await;
    })
    .await;
}

/// Guards against a reset of connections that wait in the backlog of the listener.
#[tokio::test]
async fn connection_in_the_backlog_as_the_stop_ends_is_served() {
    run_local(async {
        let fixture = Fixture::start(6_000).await;
        sleep(Duration::from_millis(20)).await;
        // The kernel accepts the connection; the server has had no time to.
        let stream = std::net::TcpStream::connect(fixture.settings.listen.directions);
        let mut stream = stream.expect("the server listens");
        stream.write_all(get_request(DIRECTIONS_PATH).as_bytes()).expect("request sent");
        stream.set_nonblocking(true).expect("a socket");
        let mut caller = TcpStream::from_std(stream).expect("a socket");
        fixture.shut_down();
        let text = read_to_end(&mut caller).await;
        assert_eq!(count_answers(&text), 1, "{text:?}");
        fixture.wait_for_end().await;
    })
    .await;
}

/// Guards against an exit that waits for callers that send nothing or half a request.
#[tokio::test]
async fn idle_and_slow_connections_do_not_hold_up_the_exit() {
    run_local(async {
        let fixture = Fixture::start(1_000).await;
        let _silent = fixture.connect_for_directions().await;
        let mut idle = fixture.connect_for_directions().await;
        let request = get_request(DIRECTIONS_PATH);
        idle.write_all(request.as_bytes()).await.expect("request sent");
        let mut slow = fixture.connect_for_directions().await;
        slow.write_all(&request.as_bytes()[..10]).await.expect("request sent");
        sleep(Duration::from_millis(20)).await;
        let ended_at = fixture.shut_down();
        fixture.wait_for_end().await;
        assert!(ended_at.elapsed() < END_TIMEOUT, "ended after {:?}", ended_at.elapsed());
    })
    .await;
}

/// Guards against peers that learn late that the process has gone.
#[tokio::test]
async fn liveness_requests_end_at_once_without_an_answer() {
    run_local(async {
        let fixture = Fixture::start(6_000).await;
        let mut peer = connect(fixture.settings.listen.news).await;
        peer.write_all(get_request(LIVENESS_PATH).as_bytes()).await.expect("request sent");
        let mut buffer = [0; 16];
        let early = timeout(Duration::from_millis(100), peer.read(&mut buffer)).await;
        assert!(early.is_err(), "the request ended before the shutdown: {early:?}");
        let ended_at = fixture.shut_down();
        let read = timeout(TIMEOUT, peer.read(&mut buffer)).await.expect("the request ends");
        assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
        let elapsed = ended_at.elapsed();
        assert!(elapsed < LIVENESS_TIMEOUT, "the request ended after {elapsed:?}");
        fixture.wait_for_end().await;
    })
    .await;
}
