//! How the connections of callers end around a planned stop.

use azuretally_api::headers;
use azuretally_testsuite::{
    Call, DEFAULT_TIMEOUT, Fleet, FleetBuilder, RawAnswer, RawReader, RawWriter, connect,
    eventually,
};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 4 * KIB as u32;
/// Longest time for a planned stop with calls that take well under a second.
const STOP_BOUND: Duration = Duration::from_secs(10);

fn one_entry() -> FleetBuilder {
    Fleet::builder().entries(1)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Sends calls with consecutive ids behind one another.
#[derive(Clone, Debug)]
struct CallSender {
    id: String,
    query: &'static str,
    /// Time between two calls.
    pause: Duration,
    /// Cancelled when the caller sees the end of the connection.
    done: CancellationToken,
}

impl CallSender {
    fn new(id: impl Into<String>, query: &'static str, pause: Duration) -> Self {
        Self { id: id.into(), query, pause, done: CancellationToken::new() }
    }

    /// Sends calls until the connection has ended. Returns their number.
    async fn run(self, mut writer: RawWriter) -> u32 {
        let mut sent = 0;
        while !self.done.is_cancelled() {
            if writer.balance(&format!("{}-{sent}", self.id), self.query).await.is_err() {
                break;
            }
            sent += 1;
            sleep(self.pause).await;
        }
        sent
    }
}

/// Reads answers to the end of the stream.
async fn read_answers(reader: &mut RawReader) -> (Vec<RawAnswer>, io::Result<()>) {
    let mut answers = Vec::new();
    loop {
        match timeout(DEFAULT_TIMEOUT, reader.answer()).await.unwrap() {
            Ok(Some(answer)) => answers.push(answer),
            Ok(None) => return (answers, Ok(())),
            Err(e) => return (answers, Err(e)),
        }
    }
}

fn assert_own_answers(id: &str, query_bytes: Option<usize>, answers: &[RawAnswer]) {
    for (i, answer) in answers.iter().enumerate() {
        assert!(answer.is_answered(), "{}", answer.head);
        let mut call = Call::get("/till/balance", format!("{id}-{i}"));
        if let Some(bytes) = query_bytes {
            call = call.response_bytes(bytes);
        }
        assert!(call.is_own_response(&Bytes::from(answer.body.clone())), "answer {i}");
    }
}

async fn wait_for_start(fleet: &Fleet, key: &str) {
    eventually("a target runs the call", DEFAULT_TIMEOUT, async || {
        (fleet.starts(key).await > 0).then_some(())
    })
    .await;
}

/// A close with unread calls in the socket reset the connection and discarded the part of the last
/// answer that the caller had not received.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelining_caller_that_reads_slowly_gets_whole_answers_at_a_stop() {
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let (mut reader, mut writer) = connect(address, Some(SMALL_BUFFER)).await.unwrap();
    writer.balance("p-first", "&ms=300&size=200000").await.unwrap();
    wait_for_start(&fleet, "p-first").await;
    fleet.entries[0].process().terminate();
    let calls = CallSender::new("p", "", Duration::from_millis(20));
    let sender = tokio::spawn(calls.clone().run(writer));
    reader.set_pace(4 * KIB, Duration::from_millis(10));
    let (answers, end) = read_answers(&mut reader).await;
    assert_eq!(answers.len(), 1, "{end:?}");
    assert!(answers[0].is_answered() && answers[0].announces_close(), "{}", answers[0].head);
    end.expect("orderly end of the stream while the caller still sends");
    calls.done.cancel();
    let sent = sender.await.unwrap();
    for i in 0..sent {
        assert_eq!(fleet.starts(&format!("p-{i}")).await, 0, "call {i} of {sent}");
    }
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// The same with an answer that began before the stop and lasts beyond the notice period, and so
/// could not announce the close.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_began_before_a_stop_arrives_whole_after_the_notice_period() {
    const ANSWER_BYTES: usize = 12 * MIB;
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let (mut reader, mut writer) = connect(address, Some(64 * KIB as u32)).await.unwrap();
    writer.balance("l-0", &format!("&size={ANSWER_BYTES}")).await.unwrap();
    wait_for_start(&fleet, "l-0").await;
    sleep(Duration::from_millis(200)).await;
    fleet.entries[0].process().terminate();
    let calls = CallSender::new("m", "", Duration::from_millis(20));
    let sender = tokio::spawn(calls.clone().run(writer));
    reader.set_pace(16 * KIB, Duration::from_millis(4));
    let answer = reader.answer().await.unwrap().unwrap();
    assert_own_answers("l", Some(ANSWER_BYTES), &[answer]);
    calls.done.cancel();
    sender.await.unwrap();
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// Guards against closing idle kept connections at the beginning of the stop, when callers may be
/// sending.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_kept_connection_is_served_once_more_within_the_notice_period() {
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let (mut reader, mut writer) = connect(address, None).await.unwrap();
    writer.balance("i-0", "").await.unwrap();
    let answer = reader.answer().await.unwrap().unwrap();
    assert!(!answer.announces_close(), "{}", answer.head);
    fleet.entries[0].process().terminate();
    sleep(seconds(1.5)).await;
    writer.balance("i-1", "").await.unwrap();
    let answer = reader.answer().await.unwrap().unwrap();
    assert!(answer.is_answered() && answer.announces_close(), "{}", answer.head);
    assert!(reader.answer().await.unwrap().is_none());
    drop((reader, writer));
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// Guards against a log that cannot tell an answer that a reset discarded from a caller that left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_of_a_stop_tells_how_connections_ended() {
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let (mut answered, mut answered_writer) = connect(address, None).await.unwrap();
    let (mut idle, mut idle_writer) = connect(address, None).await.unwrap();
    for (reader, writer) in [(&mut answered, &mut answered_writer), (&mut idle, &mut idle_writer)] {
        writer.balance("e-0", "").await.unwrap();
        reader.answer().await.unwrap().unwrap();
    }
    fleet.entries[0].process().terminate();
    sleep(seconds(0.5)).await;
    answered_writer.balance("e-1", "").await.unwrap();
    answered.answer().await.unwrap().unwrap();
    drop((answered, answered_writer));
    assert!(idle.answer().await.unwrap().is_none());
    drop((idle, idle_writer));
    let process = fleet.entries[0].process();
    assert!(process.wait_for_exit(STOP_BOUND).await.success());
    // The connection on which the harness waited until the entry served is idle too.
    let line = "during the stop: announced=1 idle=2 caller-closed=0 failed=0 interrupted=0 open=0";
    let log = process.log();
    assert!(log.contains(line), "{log}");
}

/// The same over HTTP/2, where the connection is closed with GOAWAY after the notice period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_connection_is_served_until_goaway_after_the_notice_period() {
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    let connection = tokio::spawn(connection);
    let request = |i: u32| {
        let uri = format!("http://till/till/balance?id=h-{i}&ms=100");
        Request::get(uri).body(Full::<Bytes>::default()).unwrap()
    };
    let mut answered = 0;
    let start = Instant::now();
    fleet.entries[0].process().terminate();
    while sender.ready().await.is_ok() {
        let response = match sender.try_send_request(request(answered)).await {
            Ok(response) => response,
            Err(e) if e.message().is_some() => break,
            Err(e) => {
                panic!("call {answered} was cut after {:?}: {:?}", start.elapsed(), e.error())
            }
        };
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body.ends_with(format!("h-{answered}\n").as_bytes()));
        answered += 1;
    }
    assert!(start.elapsed() >= seconds(1.9), "closed after {:?}", start.elapsed());
    assert!(answered >= 10, "{answered} calls answered");
    drop(sender);
    connection.await.unwrap().unwrap();
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// A caller that sends calls behind one another with random pauses, on one connection after the
/// other, until the entry accepts none. Returns an error for a call that a target ran, but whose
/// answer did not arrive whole.
async fn call_through_stop(address: SocketAddr, name: String, seed: u64) -> (u32, Vec<String>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut answered, mut cut) = (0, Vec::new());
    for connection in 0.. {
        let Ok((mut reader, writer)) = connect(address, Some(64 * KIB as u32)).await else { break };
        let id = format!("{name}-{connection}");
        let pause = Duration::from_millis(rng.random_range(0..40));
        let calls = CallSender::new(id.clone(), "&ms=20&size=30000", pause);
        let sender = tokio::spawn(calls.clone().run(writer));
        reader.set_pace(rng.random_range(1..32) * KIB, Duration::from_millis(2));
        let (answers, _) = read_answers(&mut reader).await;
        assert_own_answers(&id, Some(30_000), &answers);
        calls.done.cancel();
        answered += answers.len() as u32;
        let sent = sender.await.unwrap();
        cut.extend((answers.len() as u32..sent).map(|i| format!("{id}-{i}")));
    }
    (answered, cut)
}

/// Calls on kept connections through the whole stop are answered whole or closed unread: no target
/// has run a call without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_on_kept_connections_are_answered_or_unread_through_a_stop() {
    const CALLERS: u64 = 60;
    let mut fleet = one_entry().targets(4).slots(16).start().await;
    let address = fleet.entries[0].calls;
    let mut callers = JoinSet::new();
    for seed in 0..CALLERS {
        callers.spawn(call_through_stop(address, format!("k{seed}"), seed));
    }
    sleep(seconds(0.7)).await;
    fleet.entries[0].process().terminate();
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
    let results = callers.join_all().await;
    let report = fleet.target_report().await;
    let unanswered = results.iter().flat_map(|(_, ids)| ids);
    let cut: Vec<_> =
        unanswered.filter(|id| report.runs.get(*id).is_some_and(|r| r.starts > 0)).collect();
    assert!(cut.is_empty(), "{} calls cut: {cut:?}", cut.len());
    let answered: u32 = results.iter().map(|(n, _)| n).sum();
    assert!(answered > 500, "{answered} calls answered");
}

/// Sends a body, or as much of it as there is time for until `done`. Returns the writer, which closes
/// its side of the connection when it is dropped.
async fn send_body(mut writer: RawWriter, length: usize, done: CancellationToken) -> RawWriter {
    let part = vec![b'x'; 16 * KIB];
    for _ in 0..length / part.len() {
        if done.is_cancelled() || writer.send(&part).await.is_err() {
            break;
        }
    }
    writer
}

/// Sends a request with a large body and keeps sending while it reads the answer.
async fn send_large_body(address: SocketAddr, head: &str, length: usize) -> RawAnswer {
    let (mut reader, mut writer) = connect(address, None).await.unwrap();
    let head = format!("{head} HTTP/1.1\r\nhost: till\r\ncontent-length: {length}\r\n\r\n");
    writer.send(head.as_bytes()).await.unwrap();
    let done = CancellationToken::new();
    let sender = tokio::spawn(send_body(writer, length, done.clone()));
    let answer = timeout(DEFAULT_TIMEOUT, reader.answer()).await.unwrap();
    let answer = answer.expect("a whole answer").expect("an answer");
    if answer.announces_close() {
        let end = timeout(DEFAULT_TIMEOUT, reader.answer()).await.unwrap();
        assert!(end.expect("an orderly end, not a reset").is_none());
    }
    done.cancel();
    sender.await.unwrap();
    answer
}

/// An answer that was given while the caller still sent the body was lost in the reset that the
/// unread part of the body caused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_answer_reaches_a_caller_that_still_sends_the_body() {
    let fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let answer = send_large_body(address, "GET /till/balance", 17 * MIB).await;
    assert!(answer.head.starts_with("http/1.1 413"), "{}", answer.head);
    let answer = send_large_body(address, "GET /till/balance", 96 * MIB).await;
    assert!(answer.head.starts_with("http/1.1 413"), "{}", answer.head);
    assert!(answer.announces_close(), "{}", answer.head);
    let answer = send_large_body(address, "GET /nothing", 24 * MIB).await;
    assert!(answer.head.starts_with("http/1.1 404"), "{}", answer.head);
    assert!(answer.announces_close(), "{}", answer.head);
}

/// Starts a new incarnation of entry `number` and sends SIGTERM as soon as it logs its start.
fn stop_right_after_start(fleet: &mut Fleet, number: usize) {
    let starts = |log: String| log.matches("entry: start ").count();
    fleet.entries[number].kill();
    let before = starts(fleet.entries[number].process().log());
    fleet.restart(number);
    let process = fleet.entries[number].process();
    let start = Instant::now();
    while starts(process.log()) == before {
        assert!(start.elapsed() < DEFAULT_TIMEOUT, "no line in the log");
    }
    process.terminate();
}

/// SIGTERM between the opening of the listeners and the installation of the signal handlers killed
/// the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_right_after_the_start_begins_a_planned_stop() {
    const ENTRIES: usize = 4;
    const ROUNDS: usize = 2;
    let mut fleets = Vec::new();
    for _ in 0..ENTRIES {
        fleets.push(one_entry().targets(1).start_processes().await);
    }
    for _ in 0..ROUNDS {
        for fleet in &mut fleets {
            stop_right_after_start(fleet, 0);
        }
        for fleet in &mut fleets {
            let status = fleet.entries[0].process().wait_for_exit(STOP_BOUND).await;
            assert!(status.success(), "{status}");
        }
    }
}

/// A peer that dies while a connection to it is being established ended the process by SIGABRT or
/// SIGSEGV.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_outlive_peers_that_are_killed_while_connecting() {
    const ENTRIES: u8 = 8;
    let mut fleet = Fleet::builder().entries(ENTRIES).start_processes().await;
    for number in 0..fleet.entries.len() {
        stop_right_after_start(&mut fleet, number);
    }
    for entry in &mut fleet.entries {
        let status = entry.process().wait_for_exit(STOP_BOUND).await;
        assert!(status.success(), "{}: {status}", entry.host);
    }
}

/// Connections that waited in the backlog were reset when the listener was closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_in_the_backlog_are_served_when_the_listener_closes() {
    const CONNECTIONS: usize = 40;
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    fleet.entries[0].process().terminate();
    sleep(seconds(1.0)).await;
    fleet.entries[0].process().suspend();
    let mut connections = Vec::new();
    for i in 0..CONNECTIONS {
        let (reader, mut writer) = connect(address, None).await.unwrap();
        writer.balance(&format!("b-{i}"), "").await.unwrap();
        connections.push((reader, writer));
    }
    // The notice period ends while the process is suspended.
    sleep(seconds(1.5)).await;
    fleet.entries[0].process().resume();
    let mut lost = Vec::new();
    for (i, (reader, _)) in connections.iter_mut().enumerate() {
        match timeout(DEFAULT_TIMEOUT, reader.answer()).await.unwrap() {
            Ok(Some(_)) => {}
            end => lost.push((i, end)),
        }
    }
    assert!(lost.is_empty(), "{} of {CONNECTIONS} without an answer: {:?}", lost.len(), lost[0]);
    drop(connections);
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// Calls that outlast the time allowed to the stop ended without an answer when the process exited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_outlast_the_stop_are_answered_before_the_exit() {
    const MINUTE_MS: u32 = 60_000;
    let mut fleet = one_entry()
        .targets(1)
        .slots(1)
        .published(|p| p.urgent_ms = MINUTE_MS)
        .stop_timeout(seconds(0.5))
        .start()
        .await;
    let address = fleet.entries[0].calls;
    let (mut running, mut running_writer) = connect(address, None).await.unwrap();
    running_writer.balance("o-0", "&ms=25000").await.unwrap();
    wait_for_start(&fleet, "o-0").await;
    let (mut queued, mut queued_writer) = connect(address, None).await.unwrap();
    queued_writer.balance("o-1", "").await.unwrap();
    let (mut sale, mut sale_writer) = connect(address, None).await.unwrap();
    let key = format!("{}/o-2", fleet.direction().await.token);
    let request = format!(
        "POST /till/sale?id=o-2 HTTP/1.1\r\nhost: till\r\nidempotency-key: {key}\r\n\
         content-length: 0\r\n\r\n"
    );
    sale_writer.send(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    fleet.entries[0].process().terminate();

    let answer = running.answer().await.expect("a whole answer").expect("an answer");
    assert_eq!(answer.header(headers::OUTCOME), Some(headers::UNKNOWN), "{}", answer.head);
    for reader in [&mut queued, &mut sale] {
        let answer = reader.answer().await.expect("a whole answer").expect("an answer");
        assert_eq!(answer.header(headers::OUTCOME), Some(headers::NOT_RUN), "{}", answer.head);
        assert!(answer.header("retry-after").is_some() && answer.announces_close());
    }
    drop((running, running_writer, queued, queued_writer, sale, sale_writer));
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
    assert_eq!(fleet.starts("o-1").await + fleet.starts(&key).await, 0);
}

/// Guards against a shutdown that cuts off answers of the administration API in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn administration_answers_in_progress_at_the_end_of_a_stop_arrive_whole() {
    const CALLS: usize = 600;
    let mut fleet = one_entry().start().await;
    let address = fleet.entries[0].calls;
    let (mut reader, mut writer) = connect(address, None).await.unwrap();
    for i in 0..CALLS {
        writer.balance(&format!("r-{i}"), "&ms=1").await.unwrap();
        reader.answer().await.unwrap().unwrap();
    }
    let (mut slow, mut admin) = connect(fleet.entries[0].admin, Some(SMALL_BUFFER)).await.unwrap();
    slow.set_pace(4 * KIB, Duration::from_millis(5));
    let (mut directions, mut asker) = connect(fleet.entries[0].directions, None).await.unwrap();
    fleet.entries[0].process().terminate();
    sleep(seconds(1.85)).await;
    admin.send(b"GET /records?limit=1000 HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    let asking = async {
        let mut asked = 0;
        while asker.send(b"GET /directions?service=till HTTP/1.1\r\nhost: e\r\n\r\n").await.is_ok()
        {
            match directions.answer().await.unwrap() {
                Some(answer) => assert!(answer.head.starts_with("http/1.1 200")),
                None => break,
            }
            asked += 1;
            sleep(Duration::from_millis(5)).await;
        }
        asked
    };
    let (answer, asked) = tokio::join!(slow.answer(), asking);
    let answer = answer.expect("a whole answer").expect("an answer");
    assert!(answer.body.len() > 100 * KIB, "{} bytes", answer.body.len());
    assert!(asked > 0);
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}

/// Calls whose service was removed from the settings before the stop ended with the process, without
/// an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_of_a_removed_service_are_answered_before_the_exit() {
    let mut settings = None;
    let mut fleet = one_entry()
        .targets(1)
        .slots(1)
        .published(|p| {
            p.urgent_ms = 60_000;
            settings = Some(p.clone());
        })
        .stop_timeout(seconds(0.5))
        .start()
        .await;
    let mut settings = settings.unwrap();
    let address = fleet.entries[0].calls;
    let (mut running, mut running_writer) = connect(address, None).await.unwrap();
    running_writer.balance("o-0", "&ms=25000").await.unwrap();
    wait_for_start(&fleet, "o-0").await;
    let (mut queued, mut queued_writer) = connect(address, None).await.unwrap();
    queued_writer.balance("o-1", "").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    settings.services[0].name = "other".into();
    fleet.publish(&settings.to_toml(), None).await.unwrap();
    sleep(seconds(3.0)).await;
    fleet.entries[0].process().terminate();
    let running = timeout(STOP_BOUND, running.answer()).await.expect("in time").unwrap();
    assert!(running.expect("an answer").head.contains("x-azuretally-outcome: unknown"));
    let queued = timeout(STOP_BOUND, queued.answer()).await.expect("in time").unwrap();
    assert!(queued.expect("an answer").head.contains("x-azuretally-outcome: not-run"));
    assert!(fleet.entries[0].process().wait_for_exit(STOP_BOUND).await.success());
}
