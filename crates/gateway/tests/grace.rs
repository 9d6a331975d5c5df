//! Tests of calls that are waiting or under way when a stopping gateway runs out of time.
#![allow(clippy::expect_used)]

mod stub;

use azuretally_gateway::{calls::Server, gateway::Gateway, native::NativeAdapter, stop::StopTimes};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Revision, Route, ServiceSettings, Share, Source,
    TargetRecord,
};
use std::{
    net::{IpAddr, SocketAddr},
    process,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::{mpsc, oneshot},
    task::LocalSet,
    time::{sleep, timeout},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which an event that is not delayed on purpose is expected.
const PROMPTLY: Duration = Duration::from_millis(400);

/// Number of tries of a test that depends on its own promptness.
const MAX_TRIES: u32 = 20;
/// Delay of the test up to which a try counts.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// Number of the next gateway.
static NEXT_IP: AtomicU32 = AtomicU32::new(1);

/// Returns a route that assumes service times of 0.4 of `objective_ms`.
fn route(name: &str, idempotent: bool, objective_ms: u64) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(objective_ms),
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
        routes: vec![
            route("check", true, 250),
            route("sale", false, 250),
            route("hedged", true, 1_000),
            route("long", true, 3_000),
        ],
        services: [(Arc::from("service"), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// What the thread of a gateway has to do.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// Begin the planned stop.
    Stop,
    /// Block the thread, as if the process were frozen.
    Freeze(Duration),
}

/// Gateway in a thread that ends like its process would, with targets that never report their load.
struct Fixture {
    calls: SocketAddr,
    targets: Vec<TcpListener>,
    commands: Option<mpsc::UnboundedSender<Command>>,
    exited: oneshot::Receiver<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Fixture {
    /// Starts a gateway with targets of one slot.
    async fn start(grace_ms: u64, target_count: u8) -> Self {
        Self::start_with_slots(grace_ms, target_count, 1).await
    }

    async fn start_with_slots(grace_ms: u64, target_count: u8, slots: u32) -> Self {
        let calls = SocketAddr::new(unique_ip(), 9_001);
        let mut targets = Vec::new();
        let mut records = Vec::new();
        for number in 0..target_count {
            let (listener, address) = bind().await;
            targets.push(listener);
            records.push(TargetRecord { address, ..stub::target(number, slots) });
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let (ready_sender, ready) = oneshot::channel();
        let (exited_sender, exited) = oneshot::channel();
        let thread = thread::spawn(move || {
            run_gateway(calls, grace_ms, records, receiver, ready_sender);
            let _ = exited_sender.send(());
        });
        ready.await.expect("the gateway starts");
        Self { calls, targets, commands: Some(commands), exited, thread: Some(thread) }
    }

    /// Sends a call and returns the connection of its caller.
    async fn call(&self, path: &str, id: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.calls).await.expect("the gateway listens");
        let request =
            format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\r\n");
        caller.write_all(request.as_bytes()).await.expect("request sent");
        caller
    }

    /// Waits until a call has reached any target, and returns its connection and the number of the
    /// target.
    async fn next_at_target(&self) -> (TcpStream, usize) {
        let accepts = self.targets.iter().map(|listener| Box::pin(listener.accept()));
        let accepted = timeout(TIMEOUT, futures_util::future::select_all(accepts)).await;
        let (accepted, number, _) = accepted.expect("a call before the timeout");
        let (mut stream, _) = accepted.expect("a connection");
        read_until(&mut stream, "\r\n\r\n").await;
        (stream, number)
    }

    /// Returns whether a call reaches any target within `limit`.
    async fn reaches_target(&self, limit: Duration) -> bool {
        let accepts = self.targets.iter().map(|listener| Box::pin(listener.accept()));
        timeout(limit, futures_util::future::select_all(accepts)).await.is_ok()
    }

    fn command(&self, command: Command) {
        let commands = self.commands.as_ref().expect("set until the fixture is dropped");
        commands.send(command).expect("the gateway runs");
    }

    /// Begins the planned stop.
    fn stop(&self) -> Instant {
        self.command(Command::Stop);
        Instant::now()
    }

    async fn wait_for_exit(&mut self) {
        let exited = timeout(TIMEOUT, &mut self.exited).await.expect("the gateway exits");
        exited.expect("the thread of the gateway has not panicked");
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // The gateway ends when the channel closes.
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs a gateway until its planned stop is complete, and drops everything that it still runs.
fn run_gateway(
    calls: SocketAddr,
    grace_ms: u64,
    records: Vec<TargetRecord>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    ready: oneshot::Sender<()>,
) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut settings = stub::settings();
        settings.listen.calls = calls;
        settings.stop.grace_ms = grace_ms;
        settings.retries.slack = 60.0;
        let (probes, probe_receiver) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings, probes));
        let now = gateway.clock.now();
        let changes = [Change::Published(published())].into_iter();
        let changes = changes.chain(records.into_iter().map(Change::Target)).collect();
        gateway.catalog.borrow_mut().apply(now, Revision::new(0, 1), changes, Source::Platform);
        gateway.apply_catalog(Source::Platform);
        gateway.update_budget_share();
        let server =
            Server::bind(Rc::clone(&gateway), probe_receiver).await.expect("the port is free");
        stub::disable_probes(&gateway);
        ready.send(()).expect("the test waits");
        let run_commands = async {
            while let Some(command) = commands.recv().await {
                match command {
                    Command::Stop => gateway.drain.cancel(),
                    Command::Freeze(time) => thread::sleep(time),
                }
            }
        };
        tokio::select! {
            () = server.run() => {}
            () = run_commands => {}
        }
    });
}

/// Returns a loopback address that no other test uses. Connections to it come from another address,
/// so that their ports do not collide with those that are listened on.
fn unique_ip() -> IpAddr {
    let number = NEXT_IP.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    IpAddr::from([127, 64 | (high & 63), low, last])
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Reads until the text contains `end`, or until the connection ends.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end) {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("a read before the timeout") {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

async fn read_head(stream: &mut TcpStream) -> String {
    read_until(stream, "\r\n\r\n").await
}

fn assert_not_run(text: &str) {
    assert!(text.starts_with("HTTP/1.1 503"), "{text:?}");
    assert!(text.contains("x-azuretally-outcome: not-run"), "{text}");
    assert!(text.contains("x-azuretally-retry-after-ms: "), "{text}");
}

fn assert_unknown(text: &str) {
    assert!(text.starts_with("HTTP/1.1 502"), "{text:?}");
    assert!(text.contains("x-azuretally-outcome: unknown"), "{text}");
}

async fn respond(stream: &mut TcpStream, id: &str, body: &str) {
    let length = body.len();
    let response = format!(
        "HTTP/1.1 200 OK\r\nx-azuretally-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes()).await.expect("response sent");
}

/// Guards against a waiting call whose connection closes at the exit without an answer.
#[tokio::test]
async fn waiting_call_is_refused_before_the_exit() {
    let fixture = Fixture::start(2_000, 1).await;
    let _running = fixture.call("/sale/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    // The call is expected to take 400 ms.
    let mut waiting = fixture.call("/hedged/1", "b").await;
    sleep(Duration::from_millis(50)).await;
    let stopped_at = fixture.stop();
    assert_not_run(&read_head(&mut waiting).await);
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(1_600), "refused only after {elapsed:?}");
}

/// Guards against calls that wait through a stop although those before them already fill it.
#[tokio::test]
async fn waiting_call_that_cannot_be_finished_is_refused_when_the_stop_begins() {
    let fixture = Fixture::start(1_000, 1).await;
    let _running = fixture.call("/check/1", "first").await;
    let (_target, _) = fixture.next_at_target().await;
    let mut callers = Vec::new();
    for number in 0..12 {
        callers.push(fixture.call("/check/1", &number.to_string()).await);
    }
    sleep(Duration::from_millis(50)).await;
    let stopped_at = fixture.stop();
    assert_not_run(&read_head(&mut callers[11]).await);
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < PROMPTLY, "refused only after {elapsed:?}");
    for caller in &mut callers[..11] {
        assert_not_run(&read_head(caller).await);
    }
}

/// Guards against a refused call whose connection closes while it waits for its second attempt.
#[tokio::test]
async fn call_that_waits_after_a_refusal_is_refused_before_the_exit() {
    let fixture = Fixture::start(1_000, 2).await;
    let _running = fixture.call("/sale/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    let mut waiting = fixture.call("/sale/1", "b").await;
    let (mut refusing, _) = fixture.next_at_target().await;
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nx-azuretally-call: b\r\n\
                   x-target-refused: 1\r\ncontent-length: 0\r\n\r\n";
    refusing.write_all(refusal.as_bytes()).await.expect("response sent");
    sleep(Duration::from_millis(50)).await;
    fixture.stop();
    assert_not_run(&read_head(&mut waiting).await);
}

/// Guards against a call that may have run being closed or called "not run" while it waits for its
/// second attempt.
#[tokio::test]
async fn call_that_waits_after_a_broken_attempt_ends_as_unknown() {
    let fixture = Fixture::start(1_000, 2).await;
    let _running = fixture.call("/check/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    let mut waiting = fixture.call("/check/1", "b").await;
    let (breaking, _) = fixture.next_at_target().await;
    // The second attempt finds the other target full.
    drop(breaking);
    sleep(Duration::from_millis(50)).await;
    fixture.stop();
    assert_unknown(&read_head(&mut waiting).await);
}

/// Ends a call in progress at a silent target by a stop with `grace_ms`. The call must not be cut
/// before the last sixth of the grace time, and end with an answer.
async fn assert_running_call_ends_as_unknown(path: &str, grace_ms: u64) {
    let mut fixture = Fixture::start(grace_ms, 2).await;
    let mut caller = fixture.call(path, "a").await;
    let (_target, _) = fixture.next_at_target().await;
    let stopped_at = fixture.stop();
    let text = read_head(&mut caller).await;
    let elapsed = stopped_at.elapsed();
    assert_unknown(&text);
    let grace = Duration::from_millis(grace_ms);
    assert!(elapsed >= grace * 5 / 6, "cut after {elapsed:?} of {grace:?}");
    assert!(elapsed < grace, "answered only after {elapsed:?} of {grace:?}");
    fixture.wait_for_exit().await;
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < grace, "exited only after {elapsed:?} of {grace:?}");
}

/// Guards against a closed connection in place of an answer at the exit.
#[tokio::test]
async fn call_in_progress_at_the_exit_ends_as_unknown() {
    assert_running_call_ends_as_unknown("/sale/1", 2_400).await;
}

/// Guards against margins that do not scale with the grace time.
#[tokio::test]
async fn call_in_progress_at_the_exit_ends_as_unknown_with_a_short_grace_time() {
    assert_running_call_ends_as_unknown("/sale/1", 1_600).await;
}

/// Guards against a call that may be repeated being sent again or called "not run" at the exit.
#[tokio::test]
async fn repeatable_call_in_progress_at_the_exit_ends_as_unknown() {
    assert_running_call_ends_as_unknown("/check/1", 2_400).await;
}

/// Lets a target answer a call `delay_ms` after the beginning of a stop, which must deliver the
/// answer. A try in which the test itself comes too late is repeated.
async fn assert_answer_is_delivered(grace_ms: u64, delay_ms: u64) {
    for _ in 0..MAX_TRIES {
        let fixture = Fixture::start(grace_ms, 1).await;
        let mut caller = fixture.call("/sale/1", "a").await;
        let (mut target, _) = fixture.next_at_target().await;
        let stopped_at = fixture.stop();
        sleep(Duration::from_millis(delay_ms)).await;
        respond(&mut target, "a", "whole").await;
        if stopped_at.elapsed() > Duration::from_millis(delay_ms) + MAX_DELAY {
            continue;
        }
        let text = read_until(&mut caller, "whole").await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole"), "{text:?}");
        return;
    }
    panic!("the machine was too busy in {MAX_TRIES} tries");
}

/// Guards against a call being cut although its target answers before the last sixth of the grace
/// time has begun.
#[tokio::test]
async fn call_answered_five_sixths_into_the_grace_time_is_delivered() {
    assert_answer_is_delivered(3_000, 2_500).await;
}

/// Guards against a call being passed on late in a stop and then cut.
#[tokio::test]
async fn call_that_cannot_end_before_the_exit_is_not_sent() {
    let fixture = Fixture::start(1_500, 1).await;
    let stopped_at = fixture.stop();
    sleep(Duration::from_millis(200)).await;
    let mut caller = fixture.call("/long/1", "a").await;
    assert!(!fixture.reaches_target(PROMPTLY).await, "the call was sent");
    assert_not_run(&read_head(&mut caller).await);
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(200) + PROMPTLY * 2, "held for {elapsed:?}");
}

/// Guards against margins that end a stop with a short grace time before it began to finish calls.
#[tokio::test]
async fn call_in_progress_is_finished_within_a_short_grace_time() {
    assert_answer_is_delivered(500, 350).await;
}

/// Guards against margins that do not scale, overflow or reach beyond the kill.
#[test]
fn times_of_a_stop_scale_with_any_grace_time() {
    for grace_ms in [0, 1, 500, 1_000, 6_000, 60_000, u64::from(u32::MAX)] {
        let grace = Duration::from_millis(grace_ms);
        let times = StopTimes::new(grace);
        assert!(times.serving >= grace * 5 / 6, "{grace:?}: {times:?}");
        assert!(times.serving + times.flush <= grace * 11 / 12, "{grace:?}: {times:?}");
        let end = times.serving + times.flush + times.closing;
        assert!(end <= grace * 23 / 24, "{grace:?}: {times:?}");
        assert!(times.flush.min(times.closing) >= grace / 25, "{grace:?}: {times:?}");
    }
}

/// Guards against a wait or a panic if there is no grace time.
#[tokio::test]
async fn gateway_without_grace_time_exits_at_once() {
    let mut fixture = Fixture::start(0, 1).await;
    let _caller = fixture.call("/sale/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    let stopped_at = fixture.stop();
    fixture.wait_for_exit().await;
    assert!(stopped_at.elapsed() < PROMPTLY, "exited after {:?}", stopped_at.elapsed());
}

/// Guards against a process that was frozen until after its exit time closing connections before
/// its tasks could answer.
#[tokio::test]
async fn calls_are_answered_by_a_process_that_resumes_after_the_exit_time() {
    let mut fixture = Fixture::start(2_000, 1).await;
    let mut running = fixture.call("/sale/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    let mut waiting = fixture.call("/sale/1", "b").await;
    sleep(Duration::from_millis(50)).await;
    let stopped_at = fixture.stop();
    sleep(Duration::from_millis(100)).await;
    fixture.command(Command::Freeze(Duration::from_millis(1_900)));
    assert_not_run(&read_head(&mut waiting).await);
    assert_unknown(&read_head(&mut running).await);
    fixture.wait_for_exit().await;
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_millis(2_000) + PROMPTLY, "exited after {elapsed:?}");
}

/// Guards against an answer being dropped that arrived while the process was frozen.
#[tokio::test]
async fn answer_is_delivered_by_a_process_that_resumes_after_the_exit_time() {
    let fixture = Fixture::start(1_000, 1).await;
    let mut caller = fixture.call("/sale/1", "a").await;
    let (mut target, _) = fixture.next_at_target().await;
    fixture.stop();
    fixture.command(Command::Freeze(Duration::from_millis(1_000)));
    sleep(Duration::from_millis(300)).await;
    respond(&mut target, "a", "whole").await;
    let text = read_until(&mut caller, "whole").await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole"), "{text:?}");
}

/// Guards against a hedge that cannot end before the exit.
#[tokio::test]
async fn hedge_that_cannot_end_before_the_exit_is_not_sent() {
    let fixture = Fixture::start_with_slots(1_200, 2, 2).await;
    // The hedge is due after 520 ms and expected to take 400 ms.
    let mut caller = fixture.call("/hedged/1", "a").await;
    let (_target, _) = fixture.next_at_target().await;
    fixture.stop();
    assert!(!fixture.reaches_target(Duration::from_millis(700)).await, "a hedge was sent");
    assert_unknown(&read_head(&mut caller).await);
}

/// Guards against a stop that keeps calls from hedges that can still end in time.
#[tokio::test]
async fn hedge_that_ends_before_the_exit_is_delivered() {
    let fixture = Fixture::start_with_slots(6_000, 2, 2).await;
    let mut caller = fixture.call("/hedged/1", "a").await;
    let (_silent, first) = fixture.next_at_target().await;
    fixture.stop();
    let (mut target, second) = fixture.next_at_target().await;
    assert_ne!(first, second);
    respond(&mut target, "a", "whole").await;
    let text = read_until(&mut caller, "whole").await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("whole"), "{text:?}");
}

/// Guards against a second attempt that starts too late in a stop.
#[tokio::test]
async fn second_attempt_that_cannot_end_before_the_exit_is_not_sent() {
    let fixture = Fixture::start(1_200, 2).await;
    let mut caller = fixture.call("/hedged/1", "a").await;
    let (target, _) = fixture.next_at_target().await;
    fixture.stop();
    sleep(Duration::from_millis(550)).await;
    drop(target);
    assert!(!fixture.reaches_target(PROMPTLY).await, "a second attempt was sent");
    assert_unknown(&read_head(&mut caller).await);
}

/// Guards against a call that is still being read when its connection closes at the exit.
#[tokio::test]
async fn call_with_an_unfinished_body_is_refused_before_the_exit() {
    let fixture = Fixture::start(1_000, 1).await;
    let mut caller = TcpStream::connect(fixture.calls).await.expect("the gateway listens");
    let head = "POST /sale/1 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\n\
                content-length: 10\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).await.expect("request sent");
    sleep(Duration::from_millis(50)).await;
    fixture.stop();
    assert_not_run(&read_head(&mut caller).await);
}

/// Guards against a call that is taken late in a stop, is passed on, and outlasts the grace time.
#[tokio::test]
async fn call_that_comes_late_in_a_stop_reaches_no_target() {
    let fixture = Fixture::start(3_000, 1).await;
    let mut kept = fixture.call("/sale/1", "a").await;
    let (mut target, _) = fixture.next_at_target().await;
    respond(&mut target, "a", "done").await;
    read_until(&mut kept, "done").await;
    let stopped_at = fixture.stop();
    for part in [0.55, 0.7, 0.8] {
        tokio::time::sleep_until((stopped_at + Duration::from_millis(3_000).mul_f64(part)).into())
            .await;
        // Connections may be refused or closed by then.
        let request = "GET /sale/2 HTTP/1.1\r\nhost: test\r\nx-azuretally-call: b\r\n\r\n";
        let _ = kept.write_all(request.as_bytes()).await;
        if let Ok(mut caller) = TcpStream::connect(fixture.calls).await {
            let _ = caller.write_all(request.as_bytes()).await;
        }
        assert!(!fixture.reaches_target(PROMPTLY).await, "sent {part} into the grace time");
    }
}
