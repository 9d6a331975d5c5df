//! Callers that look gateways up through directions, use connections as real ones do and verify
//! every answer.

use crate::{
    checker::{CallResult, Checker},
    cluster::{Cluster, MOVING_PREFIX},
    connection::{Answer, Connection, ReadError, Reader, WriteError, Writer},
    stops::{CallEnd, Route},
    targets::expected_body,
    workload::{MOVING, Operation},
};
use azuretally_api::headers;
use azuretally_gateway::native::{DIRECTIONS_PATH, GatewayAddresses};
use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// `Host` header of the calls and of the directions requests.
pub(crate) const HOST_NAME: &str = "soak";
/// Time that callers allow for a call beyond the timeout of its route.
pub(crate) const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Timeout for opening a connection or for a directions request.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of the calls of `kept` and `fresh` callers that are not idempotent.
const SALE_SHARE: f64 = 0.45;
/// Fraction of these calls that the caller abandons after [`ABANDON_TIME`].
const ABANDON_SHARE: f64 = 0.03;
const ABANDON_TIME: Duration = Duration::from_millis(15);
/// Fraction of the calls that are not idempotent whose body is sent in pieces.
const SLOW_BODY_SHARE: f64 = 0.3;
/// Number of these pieces, their size and the pause before each.
const BODY_PIECES: usize = 4;
const PIECE_BYTES: usize = 500;
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// Calls that a `pipelined` caller sends before it has read all answers.
const DEPTHS: RangeInclusive<usize> = 2..=6;
/// Longest pause before a further pipelined call, and before an answer is read, in ms.
const MAX_CALL_GAP_MS: u64 = 250;
const MAX_READ_DELAY_MS: u64 = 300;
/// Fraction of callers with a small receive buffer, and its sizes in bytes.
const SMALL_BUFFER_SHARE: f64 = 0.4;
const SMALL_BUFFER_BYTES: RangeInclusive<u32> = 2_048..=8_192;
/// Fraction of `kept` and `fresh` callers that connect to gateways without a link between.
const DIRECT_SHARE: f64 = 0.5;
/// Callers use directions for up to this many times their lifetime.
const MAX_HOLD_FACTOR: f64 = 3.0;

/// Next call id; unique within the process.
static NEXT_CALL_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a call id that is unique within the process.
pub(crate) fn new_call_id() -> u64 {
    NEXT_CALL_ID.fetch_add(1, Ordering::SeqCst)
}

/// How a caller uses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// One call at a time on a connection that is kept until the gateway closes it.
    Kept,
    /// A new connection for each call.
    Fresh,
    /// Further idempotent calls are sent before the first answer, on a connection that is kept.
    Pipelined,
}

impl Habit {
    fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Fresh => "fresh",
            Self::Pipelined => "pipelined",
        }
    }
}

/// An open connection to a gateway.
struct OpenConnection {
    gateway: usize,
    incarnation: u32,
    connection: Connection,
    _count: ConnectionCount,
}

/// Counts an open connection until dropped.
struct ConnectionCount(Arc<AtomicUsize>);

/// Addresses of gateways that a caller may use for a while.
struct Directions {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

/// A call of a caller.
struct Call {
    id: u64,
    operation: Operation,
    route: Route,
    started_at: Instant,
    /// Settings version that the gateway was known to use when the call was made.
    min_version: u64,
}

/// A caller.
pub(crate) struct Caller {
    cluster: Arc<Cluster>,
    rng: Pcg64Mcg,
    habit: Habit,
    is_direct: bool,
    /// Size of the receive buffer, if it is small.
    buffer_bytes: Option<u32>,
    /// Whether the caller waits before it reads an answer.
    reads_late: bool,
    /// Whether the caller abandons a connection on which it cannot write, without reading it to its
    /// end.
    quits: bool,
    directions: Option<Directions>,
    /// Calls that were not read and are sent again.
    unread: usize,
}

impl Caller {
    pub(crate) fn new(cluster: Arc<Cluster>, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let habit = match rng.random_range(0..3) {
            0 => Habit::Kept,
            1 => Habit::Fresh,
            _ => Habit::Pipelined,
        };
        // A link that discards bytes for a while would shift pipelined answers.
        let is_direct = rng.random_bool(DIRECT_SHARE) || habit == Habit::Pipelined;
        let has_small_buffer = rng.random_bool(SMALL_BUFFER_SHARE);
        let buffer_bytes = has_small_buffer.then(|| rng.random_range(SMALL_BUFFER_BYTES));
        let (reads_late, quits) = (rng.random(), rng.random());
        Self {
            cluster,
            rng,
            habit,
            is_direct,
            buffer_bytes,
            reads_late,
            quits,
            directions: None,
            unread: 0,
        }
    }

    /// Makes calls until `stop` is cancelled, with a mean pause of `pause`.
    pub(crate) async fn run(mut self, pause: Duration, stop: CancellationToken) {
        let mut open: Option<OpenConnection> = None;
        while !stop.is_cancelled() {
            sleep(pause.mul_f64(0.5 + self.rng.random::<f64>())).await;
            let reusable = open.take().filter(|o| o.connection.is_idle());
            let connection = match reusable {
                Some(open) => Some(open),
                None => self.connect().await,
            };
            let Some(connection) = connection else { continue };
            open = match self.habit {
                Habit::Kept => self.send_call(connection).await,
                Habit::Fresh => {
                    self.send_call(connection).await;
                    None
                }
                Habit::Pipelined => self.send_batch(connection).await,
            };
        }
    }

    /// Connects to one of the gateways of the directions.
    async fn connect(&mut self) -> Option<OpenConnection> {
        let addresses = self.addresses().await?;
        let address = addresses[self.rng.random_range(0..addresses.len())];
        let gateway = self.cluster.gateways.iter().find(|g| g.calls_address == address)?;
        let incarnation = gateway.incarnation.load(Ordering::SeqCst);
        let address = if self.is_direct { address } else { gateway.link_address };
        let opened = timeout(CONNECT_TIMEOUT, Connection::open(address, self.buffer_bytes)).await;
        let Ok(Ok(connection)) = opened else {
            self.directions = None;
            return None;
        };
        let count = ConnectionCount::new(&gateway.connections);
        Some(OpenConnection { gateway: gateway.number, incarnation, connection, _count: count })
    }

    /// Returns the addresses of the directions, new ones if the last have been held long enough.
    async fn addresses(&mut self) -> Option<Vec<SocketAddr>> {
        if self.directions.as_ref().is_none_or(|d| Instant::now() >= d.expires_at) {
            let queried = self.rng.random_range(0..self.cluster.gateways.len());
            let address = self.cluster.gateways[queried].directions_address;
            let fetched = timeout(CONNECT_TIMEOUT, fetch_addresses(address)).await.ok()??;
            let lifetime = Duration::from_millis(fetched.ttl_ms);
            let held = lifetime.mul_f64(self.rng.random_range(1.0..=MAX_HOLD_FACTOR));
            let expires_at = Instant::now() + held;
            self.directions = Some(Directions { addresses: fetched.addresses, expires_at });
        }
        self.directions.as_ref().map(|d| d.addresses.clone())
    }

    /// Returns a new call on a connection, of an operation that `is_eligible`.
    fn new_call<IsEligible>(&mut self, open: &OpenConnection, is_eligible: IsEligible) -> Call
    where
        IsEligible: Fn(&Operation) -> bool,
    {
        let operations: Vec<_> =
            self.cluster.workload.operations.into_iter().filter(is_eligible).collect();
        let operation = operations[self.rng.random_range(0..operations.len())];
        let (gateway, incarnation) = (open.gateway, open.incarnation);
        let route = Route {
            operation: operation.name,
            habit: self.habit.as_str(),
            is_direct: self.is_direct,
            idempotent: operation.idempotent,
            gateway,
            incarnation,
        };
        Call {
            id: new_call_id(),
            operation,
            route,
            started_at: Instant::now(),
            min_version: self.cluster.checker.highest_version(gateway, incarnation),
        }
    }

    fn read_delay(&mut self) -> Duration {
        let max_ms = if self.reads_late { MAX_READ_DELAY_MS } else { 0 };
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    /// Sends one call and reads its answer. Returns the connection if it can be used again.
    async fn send_call(&mut self, mut open: OpenConnection) -> Option<OpenConnection> {
        let is_sale = self.rng.random_bool(SALE_SHARE);
        let call = self.new_call(&open, |o| o.idempotent != is_sale);
        let is_slow = is_sale && self.rng.random_bool(SLOW_BODY_SHARE);
        let abandons = self.rng.random_bool(ABANDON_SHARE);
        let limit = if abandons { ABANDON_TIME } else { call.wait_limit() };
        let read_delay = self.read_delay();
        let checker = &self.cluster.checker;
        let (writer, mut reader) = open.connection.split();
        checker.record_send(call.id, call.route);
        let exchange = async {
            let written = call.write(&writer, checker, is_slow).await;
            sleep(read_delay).await;
            (written, reader.read_answer().await)
        };
        let (result, received, is_last) = match timeout(limit, exchange).await {
            Err(_) => (CallResult::GaveUp, 0, true),
            Ok((_, Ok(answer))) => {
                (call.check_answer(checker, &answer), answer.body.len(), answer.is_last())
            }
            Ok((Err(WriteError { written: 0 }), Err(e))) => (CallResult::Unsent, e.received, true),
            Ok((_, Err(e))) => (CallResult::Cut, e.received, true),
        };
        call.record_end(checker, call.started_at, result, received);
        (!is_last).then_some(open)
    }

    /// Sends several calls, further ones before the first answer, and reads their answers. Returns
    /// the connection if it can be used again.
    async fn send_batch(&mut self, mut open: OpenConnection) -> Option<OpenConnection> {
        let depth = self.rng.random_range(DEPTHS).max(self.unread).min(*DEPTHS.end());
        let mut calls = Vec::with_capacity(depth);
        for _ in 0..depth {
            let gap = Duration::from_millis(self.rng.random_range(0..=MAX_CALL_GAP_MS));
            calls.push((gap, self.new_call(&open, |o| o.idempotent)));
        }
        let read_delay = self.read_delay();
        let checker = &self.cluster.checker;
        let (writer, reader) = open.connection.split();
        let (sender, receiver) = mpsc::unbounded_channel();
        let quit = CancellationToken::new();
        let on_error = self.quits.then(|| quit.clone());
        let (unread, ()) = tokio::join!(
            read_batch(checker, reader, receiver, read_delay, quit),
            write_batch(checker, writer, sender, calls, on_error),
        );
        self.unread = unread.unwrap_or(0);
        unread.is_none().then_some(open)
    }
}

/// Writes calls one by one until the reader has seen the end of the connection or one cannot be
/// written, which cancels `on_error`.
async fn write_batch(
    checker: &Checker,
    writer: Writer<'_>,
    sender: mpsc::UnboundedSender<Call>,
    calls: Vec<(Duration, Call)>,
    on_error: Option<CancellationToken>,
) {
    for (gap, call) in calls {
        sleep(gap).await;
        if sender.is_closed() {
            return;
        }
        checker.record_send(call.id, call.route);
        let result = call.write(&writer, checker, false).await;
        if let Err(WriteError { written: 0 }) = result {
            call.record_end(checker, Instant::now(), CallResult::Unsent, 0);
        } else if let Err(mpsc::error::SendError(call)) = sender.send(call) {
            call.record_end(checker, Instant::now(), CallResult::Cut, 0);
            return;
        }
        if result.is_err() {
            on_error.inspect(CancellationToken::cancel);
            return;
        }
    }
}

/// Reads the answers to the calls that `receiver` yields. Returns the number of calls that the
/// gateway did not answer if it closed the connection or `quit` was cancelled.
async fn read_batch(
    checker: &Checker,
    mut reader: Reader<'_>,
    mut receiver: mpsc::UnboundedReceiver<Call>,
    delay: Duration,
    quit: CancellationToken,
) -> Option<usize> {
    while let Some(call) = receiver.recv().await {
        let first_at = Instant::now();
        let read_late = async {
            sleep(delay).await;
            timeout(call.wait_limit(), reader.read_answer()).await
        };
        let read = tokio::select! {
            biased;
            () = quit.cancelled() => Ok(Err(ReadError { received: 0 })),
            read = read_late => read,
        };
        let (result, received, is_last) = match read {
            Err(_) => (CallResult::GaveUp, 0, true),
            Ok(Err(e)) => (CallResult::Cut, e.received, true),
            Ok(Ok(answer)) => {
                (call.check_answer(checker, &answer), answer.body.len(), answer.is_last())
            }
        };
        call.record_end(checker, first_at, result, received);
        if is_last {
            let rest = match result {
                CallResult::GaveUp => CallResult::GaveUp,
                _ => CallResult::Cut,
            };
            return Some(end_rest(checker, receiver, rest));
        }
    }
    None
}

/// Records the end of the calls behind the last answer of a connection and returns their number.
fn end_rest(
    checker: &Checker,
    mut receiver: mpsc::UnboundedReceiver<Call>,
    result: CallResult,
) -> usize {
    receiver.close();
    let mut count = 0;
    while let Ok(call) = receiver.try_recv() {
        call.record_end(checker, Instant::now(), result, 0);
        count += 1;
    }
    count
}

/// Requests directions from a gateway. Returns `None` on failure or when the list is empty.
async fn fetch_addresses(address: SocketAddr) -> Option<GatewayAddresses> {
    let mut connection = Connection::open(address, None).await.ok()?;
    let (writer, mut reader) = connection.split();
    let request = format!("GET {DIRECTIONS_PATH} HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n");
    writer.write(request.as_bytes()).await.ok()?;
    let answer = reader.read_answer().await.ok()?;
    let directions: GatewayAddresses = serde_json::from_slice(&answer.body).ok()?;
    (!directions.addresses.is_empty()).then_some(directions)
}

impl Call {
    /// Returns how long the caller waits for the answer.
    fn wait_limit(&self) -> Duration {
        self.operation.timeout + 2 * TIMEOUT_MARGIN
    }

    /// Records the end of the call, which the gateway could work on since `first_at`.
    fn record_end(&self, checker: &Checker, first_at: Instant, result: CallResult, bytes: usize) {
        let at = Instant::now();
        let timed_out = at - first_at >= self.operation.timeout;
        checker.record_end(self.id, CallEnd { at, result, received: bytes, timed_out });
    }

    /// Writes the request, its body in pieces if `is_slow`.
    async fn write(
        &self,
        writer: &Writer<'_>,
        checker: &Checker,
        is_slow: bool,
    ) -> Result<(), WriteError> {
        let method = if self.operation.idempotent { "GET" } else { "POST" };
        let body_bytes = if is_slow { BODY_PIECES * PIECE_BYTES } else { 0 };
        let head = format!(
            "{method} /{}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n{}: {}\r\n{}: {}\r\n\
             Content-Length: {body_bytes}\r\n\r\n",
            self.operation.name,
            headers::CALL,
            self.id,
            headers::TIMEOUT_MS,
            (self.operation.timeout + TIMEOUT_MARGIN).as_millis(),
        );
        writer.write(head.as_bytes()).await?;
        let pieces = if is_slow { BODY_PIECES } else { 0 };
        for _ in 0..pieces {
            sleep(PIECE_PAUSE).await;
            let written = writer.write(&[b'b'; PIECE_BYTES]).await;
            written.map_err(|e| WriteError { written: head.len() + e.written })?;
        }
        checker.record_sent(self.id);
        Ok(())
    }

    /// Checks an answer and returns the result of the call.
    fn check_answer(&self, checker: &Checker, answer: &Answer) -> CallResult {
        if answer.field(headers::CALL) != Some(&self.id.to_string()) {
            checker.record_wrong_answer(self.id, "the answer carries another call id");
        }
        match answer.field(headers::OUTCOME) {
            Some(headers::NOT_RUN) => CallResult::NotRun,
            Some(headers::ANSWERED) if answer.status == StatusCode::OK => {
                self.check_body(checker, &answer.body);
                CallResult::Answered
            }
            _ => CallResult::Unknown,
        }
    }

    /// Checks the body of an answer. On the moving route, also records the settings version that
    /// the answering service implies.
    fn check_body(&self, checker: &Checker, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        let service = text.split(' ').next().unwrap_or_default();
        if *body != *expected_body(self.id, service) {
            checker.record_wrong_answer(self.id, "the body is not the complete body for this call");
            return;
        }
        if self.operation.name != MOVING {
            return;
        }
        // Each settings version routes this path to a service of its own.
        if let Some(version) = service.strip_prefix(MOVING_PREFIX).and_then(|n| n.parse().ok()) {
            let Route { gateway, incarnation, .. } = self.route;
            let (sent_at, min_version) = (self.started_at, self.min_version);
            checker.record_version(gateway, incarnation, sent_at, min_version, version);
        }
    }
}

impl ConnectionCount {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
