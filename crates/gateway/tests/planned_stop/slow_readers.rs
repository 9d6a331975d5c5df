//! Callers that read slowly and keep their connections, at gateways that do not stop.

use super::{
    call::Call,
    caller::{Caller, End},
    deployment::{Deployment, GRACE, MEMORY_MB},
    load::read_answer,
    verdict::{assert_whole, assert_whole_and_orderly},
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Number of callers, and of the targets that serve them.
const CALLERS: u64 = 100;
const TARGETS: u16 = 16;
/// Time in which callers begin to send calls.
const CALL_TIME: Duration = Duration::from_secs(12);
/// Calls that a caller sends before it reads.
const DEPTHS: RangeInclusive<usize> = 1..=6;
/// Times after which a caller reads, in ms.
const READ_DELAYS_MS: [u64; 3] = [0, 100, 400];
/// Sizes of the answers, in bytes.
const ANSWER_BYTES: RangeInclusive<usize> = 40..=60_000;
/// Time that targets take for a call, in ms.
const SERVICE_MS: RangeInclusive<u64> = 1..=50;
/// Number of lost calls that a failure shows.
const MAX_SHOWN: usize = 8;

/// Bytes that a slow caller reads at once, and the pause before it reads more.
const SLOW_READ_BYTES: usize = 4_096;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(300);
/// Size of an answer that such a caller reads for more than 3 s, in bytes.
const SLOW_ANSWER_BYTES: usize = 50_000;
/// Size of an answer that a small receive buffer does not hold, in bytes.
const LONG_ANSWER_BYTES: usize = 60_000;
/// Time within which the gateway gives up a caller that acknowledges nothing, with a margin.
const STALL_TIME: Duration = Duration::from_millis(3_500);
/// Number of callers that hold answers at the same time, and the time for which they do.
const MANY_CALLERS: u32 = 1_000;
const HOLD_TIME: Duration = Duration::from_secs(8);
/// Interval at which these callers connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which the log is read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a test waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// A call that was not answered in full.
#[derive(Debug)]
struct Loss {
    call: Call,
    /// Local address of the caller.
    from: SocketAddr,
    /// Age of the connection.
    age: Duration,
    end: String,
}

impl Loss {
    /// Describes the loss, with the end of the connection in the log of the gateway.
    fn describe(&self, log: &str) -> String {
        let Self { call, from, age, end } = self;
        let field = format!("from={from} ");
        let line = log.lines().find(|l| l.contains(&field) && l.contains("connection ended"));
        let line = line.unwrap_or("no line at this level");
        format!("{} of {} bytes after {age:?}: {end}; {line}", call.id, call.bytes)
    }
}

/// What one caller has seen.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    refused: usize,
    losses: Vec<Loss>,
}

/// Sends calls and reads their answers late until `end`, on connections that it keeps.
async fn run_caller(gateway: SocketAddr, number: u64, end: Instant) -> (Seen, Vec<Call>) {
    let mut random = Pcg64::seed_from_u64(number);
    let (mut seen, mut refused, mut count) = (Seen::default(), Vec::new(), 0);
    'connections: while Instant::now() < end {
        let mut caller = Caller::connect_with_small_buffer(gateway).await.expect("connected");
        let opened = Instant::now();
        let from = caller.stream.local_addr().expect("connected");
        while Instant::now() < end {
            let mut calls = Vec::new();
            for _ in 0..random.random_range(DEPTHS) {
                count += 1;
                let call = Call::new(&format!("slow-{number}-{count}"), "roster")
                    .service_ms(random.random_range(SERVICE_MS))
                    .bytes(random.random_range(ANSWER_BYTES));
                // A call that cannot be written is among those without an answer.
                let _ = caller.send(&call).await;
                calls.push(call);
            }
            let delay_ms = READ_DELAYS_MS.choose(&mut random).copied().unwrap_or(0);
            sleep(Duration::from_millis(delay_ms)).await;
            for call in calls {
                match read_answer(&mut caller).await {
                    Ok(answer) if answer.is_whole(&call) => seen.whole += 1,
                    Ok(_) => refused.push(call),
                    Err(end) => {
                        let (age, end) = (opened.elapsed(), end.to_string());
                        seen.losses.push(Loss { call, from, age, end });
                        continue 'connections;
                    }
                }
            }
        }
    }
    seen.refused = refused.len();
    (seen, refused)
}

/// The kernel ended connections whose callers read slowly though they made progress, since it
/// counts the time without a window over several closings of the window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_slowly_keep_their_connections_and_get_whole_answers() {
    let deployment = Deployment::start(1, TARGETS).await;
    let gateway = deployment.gateways[0].calls;
    let end = Instant::now() + CALL_TIME;
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        tasks.spawn(run_caller(gateway, number, end));
    }
    let mut total = Seen::default();
    for (seen, refused) in tasks.join_all().await {
        total.whole += seen.whole;
        total.refused += seen.refused;
        total.losses.extend(seen.losses);
        for call in refused {
            assert!(deployment.run_of(&call.id).is_none(), "{} ran and was refused", call.id);
        }
    }
    let Seen { whole, refused, losses } = total;
    let log = deployment.gateways[0].log();
    let shown: Vec<_> = losses.iter().take(MAX_SHOWN).map(|loss| loss.describe(&log)).collect();
    println!("{whole} whole, {refused} refused, {} lost", losses.len());
    assert!(whole > CALLERS as usize, "{whole} whole answers");
    assert!(
        losses.is_empty(),
        "{} of {} lost:\n{}",
        losses.len(),
        whole + losses.len(),
        shown.join("\n")
    );
    deployment.shut_down().await;
}

/// Reads slowly until the connection ends, and returns how it ended.
async fn read_slowly(caller: &mut Caller) -> End {
    let mut part = [0; SLOW_READ_BYTES];
    loop {
        sleep(SLOW_READ_PAUSE).await;
        match timeout(READ_TIMEOUT, caller.stream.read(&mut part)).await {
            Ok(Ok(0)) => return End::Orderly,
            Ok(Ok(read)) => caller.received.extend_from_slice(&part[..read]),
            Ok(Err(e)) => return End::Failed(e),
            Err(_) => return End::Open,
        }
    }
}

/// A stopping gateway cut off a caller that was still reading its last answer after 3 s, although
/// the grace time had not passed.
#[tokio::test]
async fn planned_stop_delivers_the_last_answer_while_its_caller_reads_slowly() {
    let mut deployment = Deployment::start(1, 2).await;
    let gateway = &mut deployment.gateways[0];
    let mut caller = Caller::connect_with_small_buffer(gateway.calls).await.expect("connected");
    gateway.terminate();
    let call = Call::new("slow", "roster").bytes(SLOW_ANSWER_BYTES);
    caller.send(&call).await.expect("sent");
    let end = read_slowly(&mut caller).await;
    gateway.wait_for_exit(GRACE).await;
    assert_whole_and_orderly(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// The kernel ended connections that the gateway had closed, since their callers had half-closed
/// them, while the callers were still reading.
#[tokio::test]
async fn caller_that_half_closes_its_connection_and_reads_slowly_gets_the_whole_answer() {
    let deployment = Deployment::start(1, 2).await;
    let gateway = &deployment.gateways[0];
    let mut caller = Caller::connect_with_small_buffer(gateway.calls).await.expect("connected");
    let call = Call::new("slow", "roster").bytes(SLOW_ANSWER_BYTES);
    caller.send(&call).await.expect("sent");
    // The end of the stream while a call is in progress counts as a caller that is gone.
    sleep(SLOW_READ_PAUSE).await;
    caller.stream.shutdown().await.expect("the connection is open");
    let end = read_slowly(&mut caller).await;
    assert_whole(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// Without a limit on the time without progress, callers that are gone hold connections and the
/// answers in them.
#[tokio::test]
async fn connection_of_a_caller_that_reads_nothing_ends_with_its_reason_in_the_log() {
    let deployment = Deployment::start(1, 2).await;
    let gateway = &deployment.gateways[0];
    let mut caller = Caller::connect_with_small_buffer(gateway.calls).await.expect("connected");
    let call = Call::new("unread", "roster").bytes(LONG_ANSWER_BYTES);
    caller.send(&call).await.expect("sent");
    let from = format!("from={} ", caller.stream.local_addr().expect("bound"));
    let is_end = |line: &&str| line.contains("connection ended") && line.contains(&from);
    let start = Instant::now();
    let log = loop {
        let log = gateway.log();
        if log.lines().any(|line| is_end(&line)) {
            break log;
        }
        assert!(start.elapsed() < READ_TIMEOUT, "no end of the connection:\n{log}");
        sleep(POLL_INTERVAL).await;
    };
    let line = log.lines().find(is_end).unwrap_or_default();
    let field = |name| line.split(' ').find_map(|field| field.strip_prefix(name));
    assert_eq!(field("reason="), Some("caller-timeout"), "{line}");
    assert_ne!(field("undelivered_bytes="), Some("0"), "{line}");
    let age = field("ms=").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    assert!(age.is_some_and(|age| age <= call.service + STALL_TIME), "{line}");
    let number = field("connection=").expect("a number");
    let call_line = log.lines().find(|l| l.contains("calls: ended id=unread ")).unwrap_or_default();
    assert!(call_line.ends_with(&format!(" connection={number}")), "{call_line} and {line}");
    let end = caller.read_to_end(READ_TIMEOUT).await;
    assert!(matches!(end, End::Failed(_)), "{end}; {line}");
    println!("{line}");
    deployment.shut_down().await;
}

/// Reads slowly for `time` after sending as many calls as a pipeline holds. Returns the number of
/// whole answers.
///
/// # Errors
///
/// Returns what failed if the calls cannot be sent.
async fn read_pipeline_slowly(
    gateway: SocketAddr,
    number: u32,
    time: Duration,
) -> Result<usize, String> {
    // All at once they would overflow the backlog of the listener.
    sleep(CONNECT_INTERVAL * number).await;
    let mut caller = Caller::connect_with_small_buffer(gateway).await.expect("connected");
    let from = caller.stream.local_addr().expect("bound");
    for call in 0..*DEPTHS.end() {
        let call = Call::new(&format!("held-{number}-{call}"), "roster").bytes(LONG_ANSWER_BYTES);
        let sent = caller.send(&call).await;
        sent.map_err(|e| format!("{} from={from} not sent: {e}", call.id))?;
    }
    let _ = timeout(time, read_slowly(&mut caller)).await;
    Ok(caller.answers().iter().filter(|answer| answer.is_complete).count())
}

/// Answers that wait for slow callers would take the memory of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_to_a_thousand_slow_callers_stay_within_the_memory_of_the_process() {
    let deployment = Deployment::start(1, TARGETS).await;
    let gateway = &deployment.gateways[0];
    let before_kb = gateway.memory_kb();
    let mut tasks = JoinSet::new();
    for number in 0..MANY_CALLERS {
        tasks.spawn(read_pipeline_slowly(gateway.calls, number, HOLD_TIME));
    }
    let mut most_kb = before_kb;
    let (mut answers, mut errors) = (0, Vec::new());
    while !tasks.is_empty() {
        tokio::select! {
            Some(ended) = tasks.join_next() => match ended.expect("the task runs") {
                Ok(count) => answers += count,
                Err(e) => errors.push(e),
            },
            () = sleep(POLL_INTERVAL) => most_kb = most_kb.max(gateway.memory_kb()),
        }
    }
    println!("{before_kb} kB before, {most_kb} kB at most, {answers} answers read");
    assert!(errors.is_empty(), "{errors:#?}\n{}", gateway.notable_log());
    assert!(answers > 0, "no answer was read");
    assert!(most_kb < MEMORY_MB * 1_024, "{most_kb} kB, {before_kb} kB before");
    deployment.shut_down().await;
}
