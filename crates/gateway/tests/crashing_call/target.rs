//! Targets that crash when they run certain calls, and processes that take their place.

use super::{
    call::{head_end, header},
    run_log::{Run, RunLog},
};
use azuretally_policy::balance::TargetRecord;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    net::IpAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Path at which targets report their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Calls that a target runs concurrently.
pub(crate) const SLOTS: u32 = 8;
/// Part of a path, and beginning of a body, of calls that crash targets.
pub(crate) const CRASH_PATH: &str = "/crash/";
pub(crate) const CRASH_BODY: &[u8] = b"crash";
/// Part of a path of calls whose targets end by chance while they run them for the first times, and
/// number of these times.
pub(crate) const UNLUCKY_PATH: &str = "/unlucky/";
const UNLUCKY_RUNS: u32 = 3;
/// Number of bytes of a body that are part of the key of a call.
const KEY_BYTES: usize = 8;
/// Time from the start of a call until it crashes its target, in ms.
const CRASH_MS: RangeInclusive<u64> = 50..=110;
/// Time that a proper call runs, in ms.
const RUN_MS: RangeInclusive<u64> = 20..=60;

/// How the connections of a target that crashes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Reset,
    Orderly,
}

/// Parts of the proper calls, in percent, that targets do not answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The connection is reset while the call runs.
    pub(crate) reset: u32,
    /// The connection ends in order after the call has run.
    pub(crate) lost: u32,
}

/// What all targets of a test share.
#[derive(Debug)]
pub(crate) struct Behavior {
    pub(crate) ending: Ending,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) random: Mutex<Pcg64>,
    pub(crate) log: Arc<RunLog>,
    /// Runs of calls of [`UNLUCKY_PATH`] so far.
    unlucky: AtomicU32,
}

impl Behavior {
    pub(crate) fn new(ending: Ending, seed: u64) -> Self {
        let random = Mutex::new(Pcg64::seed_from_u64(seed));
        let unlucky = AtomicU32::new(0);
        Self { ending, faults: Mutex::default(), random, log: Arc::default(), unlucky }
    }

    pub(crate) fn random_ms(&self, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.random.lock().random_range(range))
    }
}

/// A target process.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) record: TargetRecord,
    behavior: Arc<Behavior>,
    running: AtomicU32,
    /// Cancelled when the process ends.
    pub(crate) ended: CancellationToken,
    /// Cancelled when its planned stop begins.
    pub(crate) leaving: CancellationToken,
}

/// A request as a target has read it.
#[derive(Debug)]
struct Request {
    id: Arc<str>,
    path: String,
    key: Arc<str>,
    is_crashing: bool,
    /// Name of the target for which it is meant.
    target: Option<String>,
}

impl Target {
    pub(crate) fn new(record: TargetRecord, behavior: Arc<Behavior>) -> Self {
        let (ended, leaving) = (CancellationToken::new(), CancellationToken::new());
        Self { record, behavior, running: AtomicU32::new(0), ended, leaving }
    }

    /// Serves calls until the process ends or `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                () = self.ended.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, from)) = accepted {
                    connections.spawn(Arc::clone(&self).serve(stream, from.ip()));
                }
            }
        }
        drop(listener);
        connections.shutdown().await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, gateway: IpAddr) {
        let _ = stream.set_nodelay(true);
        if self.behavior.ending == Ending::Reset {
            let _ = stream.set_zero_linger();
        }
        while let Some(request) = read_request(&mut stream).await {
            if self.answer(&mut stream, request, gateway).await.is_none() {
                return;
            }
        }
    }

    /// Runs a call and writes the answer. Returns `None` if the connection has ended.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: Request,
        gateway: IpAddr,
    ) -> Option<()> {
        if request.path == PROBE_PATH {
            return self.write_answer(stream, &request.id, "200 OK", &[]).await;
        }
        if request.target.as_deref().is_some_and(|name| name != &*self.record.name) {
            return self.write_answer(stream, &request.id, "421 Misdirected Request", &[]).await;
        }
        let Request { id, key, path, is_crashing, .. } = request;
        let run =
            Run { key: Arc::clone(&key), id: Arc::clone(&id), started: Instant::now(), gateway };
        self.behavior.log.record_run(run);
        self.running.fetch_add(1, Ordering::SeqCst);
        if is_crashing {
            sleep(self.behavior.random_ms(CRASH_MS)).await;
            if !self.ended.is_cancelled() {
                self.behavior.log.record_crash(&key);
                self.ended.cancel();
            }
            return std::future::pending().await;
        }
        let is_unlucky = path.contains(UNLUCKY_PATH)
            && self.behavior.unlucky.fetch_add(1, Ordering::SeqCst) < UNLUCKY_RUNS;
        if is_unlucky {
            sleep(self.behavior.random_ms(CRASH_MS)).await;
            self.ended.cancel();
            return std::future::pending().await;
        }
        sleep(self.behavior.random_ms(RUN_MS)).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        let Faults { reset, lost } = *self.behavior.faults.lock();
        let draw = self.behavior.random.lock().random_range(0..100);
        if draw < reset {
            let _ = stream.set_zero_linger();
            return None;
        }
        if draw < reset + lost {
            let _ = stream.shutdown().await;
            return None;
        }
        self.write_answer(stream, &id, "200 OK", path.as_bytes()).await
    }

    async fn write_answer(
        &self,
        stream: &mut TcpStream,
        id: &str,
        status: &str,
        body: &[u8],
    ) -> Option<()> {
        let running = self.running.load(Ordering::SeqCst);
        let is_leaving = self.leaving.is_cancelled();
        let end = if is_leaving { "connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 {status}\r\nx-azuretally-call: {id}\r\nx-target: {}\r\n\
             x-target-load: {running},0,{SLOTS},100\r\n{end}content-length: {}\r\n\r\n",
            self.record.name,
            body.len(),
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        (!is_leaving).then_some(())
    }
}

/// Reads a request with its body, which has a length or is chunked.
async fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = head_end(&bytes) {
            break end;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end);
    match header(&head, "content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            while body.len() < length {
                read_more(stream, &mut body).await?;
            }
        }
        None if header(&head, "transfer-encoding").is_some() => {
            while !body.ends_with(b"0\r\n\r\n") {
                read_more(stream, &mut body).await?;
            }
            let start = body.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
            body.drain(..start);
        }
        None => {}
    }
    let mut words = head.split(' ');
    let method = words.next().unwrap_or_default();
    let path = words.next().unwrap_or_default().to_owned();
    let beginning = String::from_utf8_lossy(&body[..body.len().min(KEY_BYTES)]).into_owned();
    Some(Request {
        id: Arc::from(header(&head, "x-azuretally-call").unwrap_or_default()),
        key: Arc::from(key(method, &path, &beginning)),
        is_crashing: path.contains(CRASH_PATH) || body.starts_with(CRASH_BODY),
        target: header(&head, "x-target").map(str::to_owned),
        path,
    })
}

/// Returns what recognizes a call.
pub(crate) fn key(method: &str, path: &str, body: &str) -> String {
    let end = body.len().min(KEY_BYTES);
    format!("{method} {path} {}", &body[..end])
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(bytes).await.ok()?;
    (read > 0).then_some(())
}
