//! Tests of the gateway's process with real signals.
#![allow(clippy::expect_used)]

use azuretally_gateway::native::{DIRECTIONS_PATH, LIST_PATH, PublishedChanges};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::ExitStatusExt,
    path::PathBuf,
    process::{self, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Grace time of the gateways, in ms.
const GRACE_MS: u64 = 6_000;
/// Grace time of gateways that finish no calls, in ms.
const SHORT_GRACE_MS: u64 = 400;
/// Number of processes that each test of a start runs.
const STARTS: u32 = 25;

/// Number of the next gateway.
static NEXT_IP: AtomicU32 = AtomicU32::new(1);

/// Process of a gateway, which is killed and reaped when dropped.
struct Gateway {
    process: process::Child,
    settings: PathBuf,
    calls: SocketAddr,
    directions: SocketAddr,
}

impl Gateway {
    /// Starts a gateway that reads `platform`.
    fn start(platform: SocketAddr, grace_ms: u64) -> Self {
        let ip = unique_ip();
        let [calls, readiness, directions, news] =
            [9_001, 9_002, 9_003, 9_004].map(|port| SocketAddr::new(ip, port));
        let text = format!(
            "host = \"gateway-1\"\nfailure_domain = \"a\"\nplatform = \"{platform}\"\nread_ms = 50\n\
             [listen]\ncalls = \"{calls}\"\nreadiness = \"{readiness}\"\n\
             directions = \"{directions}\"\nnews = \"{news}\"\nheartbeats = \"{ip}:9004\"\n\
             [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
             [stop]\ngrace_ms = {grace_ms}\n"
        );
        let name = format!("signals-{ip}.toml");
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&settings, text).expect("a settings file");
        let process = Command::new(env!("CARGO_BIN_EXE_azuretally-gateway"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        Self { process, settings, calls, directions }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process);
        kill_process(pid, signal).expect("the process has not been reaped");
    }

    /// Waits until the process has exited.
    fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("a child") {
                return status;
            }
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not exit");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
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

fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("bound")
}

/// Connects to `address` as soon as it is listened on.
fn connect(address: SocketAddr) -> TcpStream {
    let started_at = Instant::now();
    loop {
        if let Ok(stream) = TcpStream::connect(address) {
            stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
            return stream;
        }
        assert!(started_at.elapsed() < TIMEOUT, "nothing listens on {address}");
        thread::yield_now();
    }
}

fn send_request(stream: &mut TcpStream, path: &str, id: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("request sent");
}

/// Reads until the text contains `end`, or until the connection ends.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end) {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

fn respond(stream: &mut TcpStream, id: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let response = format!(
        "HTTP/1.1 200 OK\r\nx-azuretally-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes())
}

/// Serves each connection of `listener` in a thread of its own, until the test process ends.
fn serve<Handler>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(TcpStream) + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

/// Starts a platform with one route and one target. Returns its address and the channel that
/// receives the connections of calls at the target.
fn start_platform() -> (SocketAddr, mpsc::Receiver<TcpStream>) {
    let (target, platform) = (bind(), bind());
    let addresses = (address(&target), address(&platform));
    let list = serde_json::to_string(&published(addresses.0)).expect("valid JSON");
    let empty = serde_json::to_string(&PublishedChanges { revision: 1, changes: Vec::new() });
    let empty = empty.expect("valid JSON");
    serve(platform, move |mut stream| {
        loop {
            let head = read_until(&mut stream, "\r\n\r\n");
            let is_list = head.contains(LIST_PATH);
            let sent = respond(&mut stream, "-", if is_list { &list } else { &empty });
            if head.is_empty() || sent.is_err() {
                return;
            }
        }
    });
    let (sender, receiver) = mpsc::channel();
    serve(target, move |mut stream| {
        // A probe is answered without a report of the load.
        while read_until(&mut stream, "\r\n\r\n").starts_with("GET /load") {
            if respond(&mut stream, "-", "").is_err() {
                return;
            }
        }
        let _ = sender.send(stream);
    });
    (addresses.1, receiver)
}

fn published(target: SocketAddr) -> PublishedChanges {
    let service: Arc<str> = Arc::from("service");
    let route = Route {
        name: Arc::from("sale"),
        host: Arc::from("test"),
        prefix: Arc::from("/sale/"),
        idempotent: false,
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(250),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::clone(&service), weight: 1 }],
    };
    let record = TargetRecord {
        name: Arc::from("target"),
        started: Some(1),
        service: Arc::clone(&service),
        address: target,
        failure_domain: Arc::from("a"),
        version: Arc::from("v1"),
        slots: 4,
        leaving: false,
        warmup: Duration::ZERO,
    };
    let probe =
        ServiceSettings { connections: 10, probe_path: Arc::from("/load"), cold_rate: None };
    let settings = PublishedSettings {
        version: 1,
        routes: vec![route],
        services: [(service, probe)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    };
    PublishedChanges {
        revision: 1,
        changes: vec![Change::Published(settings), Change::Target(record)],
    }
}

/// Sends a call that its target receives and does not answer. Returns the connections of the caller
/// and of the target.
fn call_in_progress(
    gateway: &Gateway,
    targets: &mpsc::Receiver<TcpStream>,
) -> (TcpStream, TcpStream) {
    let started_at = Instant::now();
    loop {
        let mut caller = connect(gateway.calls);
        send_request(&mut caller, "/sale/1", "a");
        if let Ok(target) = targets.recv_timeout(Duration::from_millis(200)) {
            return (caller, target);
        }
        // The gateway has not read the platform yet, and has answered so.
        assert!(started_at.elapsed() < TIMEOUT, "no call reaches the target");
    }
}

/// Sends a request to gateways as soon as they accept a connection at the address that `port`
/// returns, and SIGTERM right after it. Returns what the caller received and the exit status of each.
fn stop_at_first_connection(
    port: fn(&Gateway) -> SocketAddr,
    path: &str,
) -> Vec<(String, ExitStatus)> {
    let (platform, _targets) = start_platform();
    let stop = |_| {
        let mut gateway = Gateway::start(platform, SHORT_GRACE_MS);
        let mut caller = connect(port(&gateway));
        send_request(&mut caller, path, "a");
        gateway.signal(Signal::TERM);
        let text = read_until(&mut caller, "\r\n\r\n");
        drop(caller);
        (text, gateway.wait_for_exit())
    };
    (0..STARTS).map(stop).collect()
}

fn is_answer(text: &str) -> bool {
    text.starts_with("HTTP/1.1 ") && text.contains("\r\n\r\n")
}

/// Guards against a SIGTERM that kills the process while it already listens for calls.
#[test]
fn sigterm_at_the_first_connection_of_a_caller_begins_a_planned_stop() {
    let results = stop_at_first_connection(|gateway| gateway.calls, "/sale/1");
    assert!(results.iter().all(|(_, status)| status.success()), "{results:?}");
}

/// Guards against a connection that is closed unread because SIGTERM comes right after its request.
#[test]
fn call_sent_right_before_sigterm_is_answered() {
    let results = stop_at_first_connection(|gateway| gateway.calls, "/sale/1");
    assert!(results.iter().all(|(text, _)| is_answer(text)), "{results:?}");
}

/// Guards against a SIGTERM that kills the process while it already listens for requests for
/// directions, which is before it listens for calls.
#[test]
fn sigterm_at_the_first_request_for_directions_begins_a_planned_stop() {
    let results = stop_at_first_connection(|gateway| gateway.directions, DIRECTIONS_PATH);
    assert!(results.iter().all(|(_, status)| status.success()), "{results:?}");
    assert!(results.iter().all(|(text, _)| is_answer(text)), "{results:?}");
}

/// Guards against a SIGHUP that kills the process while it already listens.
#[test]
fn sighup_at_the_first_connection_does_not_end_the_process() {
    let (platform, _targets) = start_platform();
    for number in 0..STARTS {
        let mut gateway = Gateway::start(platform, SHORT_GRACE_MS);
        drop(connect(gateway.directions));
        gateway.signal(Signal::HUP);
        drop(connect(gateway.calls));
        gateway.signal(Signal::TERM);
        let status = gateway.wait_for_exit();
        assert!(status.success(), "start {number}: {status}");
    }
}

/// Guards against a process that hangs or fails if SIGTERM comes at any time of its start.
#[test]
fn sigterm_during_the_start_ends_the_process() {
    let (platform, _targets) = start_platform();
    for number in 0..STARTS {
        let mut gateway = Gateway::start(platform, SHORT_GRACE_MS);
        thread::sleep(Duration::from_micros(200) * number);
        gateway.signal(Signal::TERM);
        let status = gateway.wait_for_exit();
        // Before its first instructions a process cannot handle signals.
        let is_killed = status.signal() == Some(Signal::TERM.as_raw());
        assert!(status.success() || is_killed, "start {number}: {status}");
    }
}

/// Guards against a stop that is cut short or undone by what comes during it.
#[test]
fn further_signals_and_settings_do_not_change_a_planned_stop() {
    let (platform, targets) = start_platform();
    let mut gateway = Gateway::start(platform, GRACE_MS);
    let (mut caller, mut target) = call_in_progress(&gateway, &targets);
    gateway.signal(Signal::TERM);
    let stopped_at = Instant::now();
    let text = fs::read_to_string(&gateway.settings).expect("the settings file");
    let shorter = text.replace(&format!("grace_ms = {GRACE_MS}"), "grace_ms = 1");
    for (signal, settings) in [
        (Signal::TERM, shorter.as_str()),
        (Signal::HUP, shorter.as_str()),
        (Signal::INT, "not settings"),
        (Signal::HUP, "not settings"),
        (Signal::TERM, text.as_str()),
    ] {
        thread::sleep(Duration::from_millis(100));
        fs::write(&gateway.settings, settings).expect("a settings file");
        gateway.signal(signal);
    }
    thread::sleep(Duration::from_millis(300));
    respond(&mut target, "a", "whole").expect("response sent");
    let answered_after = stopped_at.elapsed();
    let text = read_until(&mut caller, "whole");
    let is_whole = text.starts_with("HTTP/1.1 200") && text.ends_with("whole");
    assert!(is_whole, "{text:?}, answered after {answered_after:?}");
    drop(caller);
    let status = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(GRACE_MS), "exited after {elapsed:?}");
}

/// Guards against a call in progress that ends without an answer when the process exits.
#[test]
fn call_in_progress_at_the_exit_of_the_process_ends_as_unknown() {
    let (platform, targets) = start_platform();
    let mut gateway = Gateway::start(platform, GRACE_MS);
    let (mut caller, _target) = call_in_progress(&gateway, &targets);
    gateway.signal(Signal::TERM);
    let stopped_at = Instant::now();
    let text = read_until(&mut caller, "\r\n\r\n");
    let elapsed = stopped_at.elapsed();
    assert!(text.starts_with("HTTP/1.1 502"), "{text:?}");
    assert!(elapsed >= Duration::from_millis(GRACE_MS) * 5 / 6, "cut after {elapsed:?}");
    drop(caller);
    assert!(gateway.wait_for_exit().success());
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(GRACE_MS), "exited after {elapsed:?}");
}

/// Guards against a process that was frozen until after its exit time closing connections without
/// an answer.
#[test]
fn process_that_resumes_after_its_exit_time_answers_its_calls() {
    let (platform, targets) = start_platform();
    let mut gateway = Gateway::start(platform, GRACE_MS);
    let (mut caller, _target) = call_in_progress(&gateway, &targets);
    gateway.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(200));
    gateway.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(GRACE_MS));
    gateway.signal(Signal::CONT);
    let text = read_until(&mut caller, "\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 502"), "{text:?}");
    drop(caller);
    assert!(gateway.wait_for_exit().success());
}
