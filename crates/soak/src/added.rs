//! Routes that settings versions add one after the other, and callers that ask every gateway for them.
//!
//! Other callers use only gateways that directions name. A gateway that is behind the others is found
//! by asking each of them.

use crate::{
    callers::{CONNECT_TIMEOUT, HOST_NAME, TIMEOUT_MARGIN, new_call_id},
    checker::{CallResult, SETTINGS_BOUND},
    cluster::Cluster,
    connection::Connection,
    stops::{CallEnd, Route},
};
use azuretally_api::headers;
use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    fmt,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Interval between the settings versions.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);
/// Mean pause between two calls to the same gateway, in ms.
const MEAN_PAUSE_MS: u64 = 200;
/// Number of the latest due routes among which callers choose.
const RECENT_ROUTES: u64 = 8;

/// Answers of gateways to calls of routes that must be in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddedCounts {
    /// Calls of routes confirmed long enough before.
    pub asked: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls without an answer, or with another one than that there is no route.
    pub failed: u64,
    /// Calls without a route, at gateways of the present build to which the time bounds apply.
    pub stale: u64,
    /// Calls without a route, at gateways of the present build near a start, a fault or a
    /// disturbance of the platform.
    pub disturbed: u64,
    /// Calls without a route at gateways of the older build to which the time bounds apply.
    pub older: u64,
    /// Calls without a route at gateways of the older build near a disturbance.
    pub older_disturbed: u64,
}

impl fmt::Display for AddedCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { asked, answered, failed, stale, disturbed, older, older_disturbed } = self;
        write!(
            f,
            "added routes: {asked} asked, {answered} answered, {failed} failed, stale: {stale}, \
             {disturbed} near a disturbance, at the older build {older} and {older_disturbed}"
        )
    }
}

/// Returns the name of the route that settings version `version` adds.
pub(crate) fn added_route(version: u64) -> String {
    format!("added-{version}")
}

/// Publishes settings with one route more at a time until `end`.
pub(crate) async fn inject(cluster: &Cluster, end: Instant) {
    while Instant::now() < end {
        sleep(VERSION_INTERVAL).await;
        cluster.publish_next();
    }
}

/// Asks a gateway for routes that must be in force until the end of the run.
pub(crate) async fn ask(cluster: Arc<Cluster>, number: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !cluster.stop.is_cancelled() {
        sleep(Duration::from_millis(rng.random_range(0..=2 * MEAN_PAUSE_MS))).await;
        let Some(due_at) = Instant::now().checked_sub(SETTINGS_BOUND) else { continue };
        let due = cluster.platform.version_at(due_at);
        let first = due.saturating_sub(RECENT_ROUTES - 1).max(1);
        if first <= due {
            ask_once(&cluster, number, rng.random_range(first..=due)).await;
        }
    }
}

async fn ask_once(cluster: &Cluster, number: usize, version: u64) {
    let gateway = &cluster.gateways[number];
    let incarnation = gateway.incarnation.load(Ordering::SeqCst);
    let opened = timeout(CONNECT_TIMEOUT, Connection::open(gateway.calls_address, None)).await;
    let Ok(Ok(mut connection)) = opened else { return };
    let operation = cluster.workload.added_operation();
    let id = new_call_id();
    let route = Route {
        operation: operation.name,
        habit: "fresh",
        is_direct: true,
        idempotent: true,
        gateway: number,
        incarnation,
    };
    let request = format!(
        "GET /{}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n{}: {id}\r\n{}: {}\r\n\r\n",
        added_route(version),
        headers::CALL,
        headers::TIMEOUT_MS,
        (operation.timeout + TIMEOUT_MARGIN).as_millis(),
    );
    let sent_at = Instant::now();
    cluster.checker.record_send(id, route);
    let (writer, mut reader) = connection.split();
    let written = writer.write(request.as_bytes()).await;
    cluster.checker.record_sent(id);
    let read = timeout(operation.timeout + 2 * TIMEOUT_MARGIN, reader.read_answer()).await;
    let mut status = None;
    let (result, received) = match (read, written) {
        (Err(_), _) => (CallResult::GaveUp, 0),
        (Ok(Ok(answer)), _) => {
            status = Some(answer.status);
            let result = match answer.field(headers::OUTCOME) {
                Some(headers::NOT_RUN) => CallResult::NotRun,
                Some(headers::ANSWERED) if answer.status == StatusCode::OK => CallResult::Answered,
                // The outcome of a call without a route has no name that a caller could compare.
                _ if answer.status == StatusCode::NOT_FOUND => CallResult::GaveUp,
                _ => CallResult::Unknown,
            };
            (result, answer.body.len())
        }
        (Ok(Err(e)), Err(_)) if e.received == 0 => (CallResult::Unsent, 0),
        (Ok(Err(e)), _) => (CallResult::Cut, e.received),
    };
    let at = Instant::now();
    let timed_out = at - sent_at >= operation.timeout;
    cluster.checker.record_end(id, CallEnd { at, result, received, timed_out });
    // Another process may have answered.
    if gateway.incarnation.load(Ordering::SeqCst) == incarnation {
        record(cluster, number, version, sent_at, status);
    }
}

/// Counts an answer, and reports a gateway that does not have a route that must be in force.
fn record(
    cluster: &Cluster,
    number: usize,
    version: u64,
    sent_at: Instant,
    status: Option<StatusCode>,
) {
    let checker = &cluster.checker;
    let is_older = checker.is_older(number);
    let is_bound = checker.has_time_bounds(number, sent_at);
    let mut counts = cluster.added.lock();
    counts.asked += 1;
    let count = match status {
        Some(StatusCode::OK) => &mut counts.answered,
        Some(StatusCode::NOT_FOUND) => match (is_older, is_bound) {
            (false, true) => &mut counts.stale,
            (false, false) => &mut counts.disturbed,
            (true, true) => &mut counts.older,
            (true, false) => &mut counts.older_disturbed,
        },
        _ => &mut counts.failed,
    };
    *count += 1;
    drop(counts);
    if status == Some(StatusCode::NOT_FOUND) && is_bound && !is_older {
        checker.record_violation(format!(
            "settings: gateway {number} has no route of version {version}, confirmed {SETTINGS_BOUND:?} \
             and more before"
        ));
    }
}
