//! Calls that crash each target that runs them and come again and again, and the checks that gateways
//! stop sending them and serve the other calls.

use crate::{
    callers::{HOST_NAME, new_call_id},
    checker::{CallResult, Checker, Served},
    cluster::Cluster,
    connection::Connection,
    stops::{CallEnd, Route},
};
use azuretally_api::headers;
use http::StatusCode;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    fmt,
    ops::RangeInclusive,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Name in the routes of the calls of this module, which are not counted as served or not.
pub(crate) const CRASH_ROUTE: &str = "crash";
/// Part of the path of a call that crashes targets, before its number.
const CRASH_MARK: &str = "/crash-";
/// Number of different calls that crash targets.
const CRASH_CALLS: u64 = 2;
/// Time from the beginning of faults to the first of them, between two, and for which they go on, in
/// ms.
const START_MS: RangeInclusive<u64> = 500..=2_500;
const PAUSES_MS: RangeInclusive<u64> = 300..=1_000;
const SPAN_MS: RangeInclusive<u64> = 10_000..=20_000;
/// Time from the beginning of such a call until its target crashes, in ms.
pub(crate) const CRASH_MS: RangeInclusive<u64> = 50..=110;
/// Time from a crash until a process takes the place of the target, in ms.
const RESTART_MS: RangeInclusive<u64> = 1_000..=3_000;
/// Time from a crash until the platform removes the record of the target.
const LAPSE_TIME: Duration = Duration::from_secs(2);
/// Crashes after which the cause must be known, and the time until all gateways know it.
const KNOWN_CRASHES: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Times that a call may reach targets once it must be known.
const MAX_LATE_SENDS: u32 = 3;
/// Least share of the other calls that are served meanwhile, relative to the usual share.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Time that callers allow for a call.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Times that a caller sends a call before it counts as refused for good, and the pause between.
const TRIES: u32 = 3;
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// Returns the number of a call that crashes targets, if `path` is that of one.
pub(crate) fn crash_number(path: &str) -> Option<u64> {
    path.split_once(CRASH_MARK)?.1.parse().ok()
}

/// Crashes and sends of one call.
#[derive(Clone, Debug, Default)]
struct History {
    crashes: Vec<Instant>,
    last_send: Option<Instant>,
    late_sends: u32,
}

impl History {
    /// Returns when all gateways must know the call.
    fn known_at(&self) -> Option<Instant> {
        self.crashes.get(KNOWN_CRASHES - 1).map(|at| *at + CONTACT_TIME)
    }
}

/// Checks that calls that crash targets reach few of them once they must be known.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    calls: IndexMap<u64, History>,
}

impl CrashChecks {
    /// Records that a call has crashed a target.
    pub(crate) fn record_crash(&mut self, number: u64) {
        self.calls.entry(number).or_default().crashes.push(Instant::now());
    }

    /// Records that a caller sends a call.
    fn record_send(&mut self, number: u64) {
        self.calls.entry(number).or_default().last_send = Some(Instant::now());
    }

    /// Records that a target has received a call, and returns what is wrong if it is one too many.
    pub(crate) fn record_receipt(&mut self, number: u64) -> Option<String> {
        let history = self.calls.get_mut(&number)?;
        if history.known_at().is_none_or(|at| Instant::now() <= at) {
            return None;
        }
        history.late_sends += 1;
        (history.late_sends > MAX_LATE_SENDS).then(|| {
            format!(
                "crash: call {number} reached targets {} times later than 3 s after its third crash, \
                 and has crashed {}",
                history.late_sends,
                history.crashes.len()
            )
        })
    }
}

/// What the calls that crash targets have done, and the shares of the other calls that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashCounts {
    /// Crashes of targets.
    pub crashes: usize,
    /// Times that calls reached targets when they must have been known.
    pub late_sends: u32,
    /// Share before the first crash and after the last call that crashes targets.
    pub usual: f64,
    /// Share from when all these calls must be known to the last of them.
    pub known: Option<f64>,
}

impl fmt::Display for CrashCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { crashes, late_sends, usual, known } = self;
        let known = known.map_or_else(|| "no time".to_owned(), |share| format!("{share:.3}"));
        write!(f, "{crashes} crashes, {late_sends} late sends, {known} served of {usual:.3}")
    }
}

/// Sends calls that crash targets, each beside a proper call, and returns after the last one.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    sleep(random_time(&mut rng, START_MS)).await;
    let end = end.min(Instant::now() + random_time(&mut rng, SPAN_MS));
    let mut active = JoinSet::new();
    for number in 0..CRASH_CALLS {
        active.spawn(repeat(Arc::clone(cluster), number, rng.random(), end));
    }
    while active.join_next().await.is_some() {}
}

async fn repeat(cluster: Arc<Cluster>, number: u64, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // One of them is not idempotent.
    let operation = if number == 0 { "check" } else { "sale" };
    let path = format!("/{operation}{CRASH_MARK}{number}");
    let proper = proper_path(number);
    while Instant::now() < end {
        let gateway = rng.random_range(0..cluster.gateways.len());
        cluster.checker.change_crashes(|crashes| crashes.record_send(number));
        tokio::join!(
            send(&cluster, gateway, &path, operation == "check"),
            send(&cluster, gateway, &proper, true),
        );
        sleep(random_time(&mut rng, PAUSES_MS)).await;
    }
}

/// Returns the path of the proper call that is sent beside a call that crashes targets.
fn proper_path(number: u64) -> String {
    format!("/list/beside-{number}")
}

/// Checks that each gateway serves the proper calls that were sent beside those that crash targets.
pub(crate) async fn check_proper_calls(cluster: &Arc<Cluster>) {
    for gateway in &cluster.gateways {
        for number in 0..CRASH_CALLS {
            let path = proper_path(number);
            let mut is_served = false;
            for _ in 0..TRIES {
                is_served |=
                    send(cluster, gateway.number, &path, true).await == CallResult::Answered;
                if is_served {
                    break;
                }
                sleep(TRY_PAUSE).await;
            }
            if !is_served {
                cluster.checker.record_violation(format!(
                    "innocent: gateway {} does not serve {path}, which crashed no target",
                    gateway.number
                ));
            }
        }
    }
}

/// Counts the crashes, and checks that the other calls were served as usual once the calls that
/// crash targets must be known. With other faults these shares are counted, but not compared.
pub(crate) fn check_others(
    checker: &Checker,
    began: Instant,
    has_other_faults: bool,
) -> CrashCounts {
    let calls = checker.change_crashes(|crashes| crashes.calls.clone());
    let crashes: Vec<_> = calls.values().flat_map(|call| call.crashes.iter().copied()).collect();
    let (Some(first), Some(last)) =
        (crashes.iter().min(), calls.values().filter_map(|call| call.last_send).max())
    else {
        return CrashCounts::default();
    };
    let settled = last + CONTACT_TIME + Duration::from_millis(*RESTART_MS.end());
    let usual = [(began, *first), (settled, Instant::now())];
    let share = |served: &[Served]| {
        let all: u64 = served.iter().map(|s| s.all).sum();
        let served: u64 = served.iter().map(|s| s.served).sum();
        (all > 0).then(|| served as f64 / all as f64)
    };
    let served = |from, until| checker.count_served(&[], from, until).1;
    let usual = share(&usual.map(|(from, until)| served(from, until))).unwrap_or_default();
    let known_at = calls.values().map(History::known_at).max().flatten();
    let known = known_at.filter(|at| *at < last).and_then(|at| share(&[served(at, last)]));
    let is_low = |known: &f64| !has_other_faults && *known < usual * MIN_SERVED_RATIO;
    if let Some(known) = known.filter(is_low) {
        checker.record_violation(format!(
            "beside: {known:.3} of the other calls were served once the calls that crash targets \
             must be known, {usual:.3} before and after"
        ));
    }
    let late_sends = calls.values().map(|call| call.late_sends).sum();
    CrashCounts { crashes: crashes.len(), late_sends, usual, known }
}

/// Starts a process in place of each target that crashes, and lets the record of the target lapse.
pub(crate) async fn replace_crashed(
    cluster: Arc<Cluster>,
    seed: u64,
    mut crashed: mpsc::UnboundedReceiver<u64>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = active.join_next() => {}
            number = crashed.recv() => match number {
                Some(number) => drop(active.spawn(replace(Arc::clone(&cluster), number, rng.random()))),
                None => break,
            }
        }
    }
    active.shutdown().await;
}

async fn replace(cluster: Arc<Cluster>, number: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let Some((record, was_leaving)) = cluster.close_target(number) else { return };
    let lapse = async {
        sleep(LAPSE_TIME).await;
        cluster.platform.let_lapse(&record);
    };
    let restart = async {
        sleep(random_time(&mut rng, RESTART_MS)).await;
        // Another target has taken the place of one that was leaving.
        if !was_leaving {
            let name = rng.random::<bool>().then(|| Arc::clone(&record.name));
            let address = rng.random::<bool>().then_some(record.address);
            cluster.start_target(&record.service, name, address).await;
        }
    };
    tokio::join!(lapse, restart);
}

fn random_time(rng: &mut Pcg64Mcg, range_ms: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

/// Sends a call on a new connection to a gateway and returns its result.
async fn send(cluster: &Cluster, gateway: usize, path: &str, idempotent: bool) -> CallResult {
    let (id, checker) = (new_call_id(), &cluster.checker);
    let gateway = &cluster.gateways[gateway];
    let route = Route {
        operation: CRASH_ROUTE,
        habit: "fresh",
        is_direct: true,
        idempotent,
        gateway: gateway.number,
        incarnation: gateway.incarnation.load(Ordering::SeqCst),
    };
    let (method, body) = if idempotent { ("GET", "") } else { ("POST", "crash") };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{}: {id}\r\n{}: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        headers::CALL,
        headers::TIMEOUT_MS,
        TIMEOUT.as_millis(),
        body.len(),
    );
    checker.record_send(id, route);
    let exchange = async {
        let Ok(mut connection) = Connection::open(gateway.calls_address, None).await else {
            return CallResult::Unsent;
        };
        let (writer, mut reader) = connection.split();
        if writer.write(request.as_bytes()).await.is_err() {
            return CallResult::Cut;
        }
        let Ok(answer) = reader.read_answer().await else { return CallResult::Cut };
        match answer.field(headers::OUTCOME) {
            Some(headers::NOT_RUN) => CallResult::NotRun,
            Some(headers::ANSWERED) if answer.status == StatusCode::OK => CallResult::Answered,
            _ => CallResult::Unknown,
        }
    };
    let exchanged = timeout(2 * TIMEOUT, exchange).await;
    let timed_out = exchanged.is_err();
    let result = exchanged.unwrap_or(CallResult::GaveUp);
    checker.record_end(id, CallEnd { at: Instant::now(), result, received: 0, timed_out });
    result
}
