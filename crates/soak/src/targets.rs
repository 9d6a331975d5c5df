//! Stand-ins for targets that run calls, report them to the checker and can simulate faults.

use crate::{
    checker::{Arrival, Checker},
    cluster::gateway_number,
    crashes::{CRASH_MS, crash_number},
    rests::{REFUSED_SHARE, RESTS_MS},
    workload::{ID_SPREAD, Workload},
};
use azuretally_api::headers;
use azuretally_standin::http::{ConnectionAborted, ResponseBody, serve_connection, text_response};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Path at which targets report their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Calls per slot that may wait before the target refuses further calls.
const MAX_WAITING_PER_SLOT: u32 = 2;
/// One answer in this many is long, with up to [`MAX_LONG_BYTES`] of padding.
const LONG_ANSWER_PERIOD: u64 = 4;
const MAX_LONG_BYTES: u64 = 60_000;
/// Upper bound of the padding of the other answers, in bytes.
const MAX_SHORT_BYTES: u64 = 3_000;

/// How a target handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TargetMode {
    /// Serves every call.
    #[default]
    Healthy,
    /// Refuses every second call.
    Shed,
    /// Takes five times as long for each call.
    Slow,
    /// Delays every third answer by 60 s, longer than any caller waits.
    Hang,
    /// Aborts the connection of every third call after running it.
    Disconnect,
    /// Truncates every third answer.
    Truncate,
    /// Answers every third call with the id of another call.
    WrongId,
    /// Answers every third call with status 500 after running it.
    Fail,
}

/// Where a target reports that it crashes.
#[derive(Debug)]
pub(crate) struct Crash {
    /// Start number of the target.
    pub(crate) number: u64,
    pub(crate) sender: mpsc::UnboundedSender<u64>,
}

/// A stand-in for one target process.
#[derive(Debug)]
pub(crate) struct Target {
    name: Arc<str>,
    service: Arc<str>,
    workload: Workload,
    mode: Mutex<TargetMode>,
    /// Limit that the answers name, in requests per second.
    limit: Mutex<Option<f64>>,
    /// Whether calls are turned away and rest is asked for.
    is_resting: AtomicBool,
    /// Whether the answers say that the target leaves.
    is_departing: AtomicBool,
    random: Mutex<Pcg64Mcg>,
    slots: Semaphore,
    /// Calls that are running or waiting for a slot.
    in_flight: AtomicU32,
    /// Calls received, used to select every second or third one.
    received_calls: AtomicU32,
    checker: Arc<Checker>,
    crash: Crash,
    /// Shuts the target down.
    pub(crate) stop: CancellationToken,
}

impl Target {
    pub(crate) fn new(
        name: Arc<str>,
        service: Arc<str>,
        workload: Workload,
        checker: Arc<Checker>,
        crash: Crash,
    ) -> Self {
        Self {
            name,
            service,
            workload,
            mode: Mutex::default(),
            limit: Mutex::default(),
            is_resting: AtomicBool::new(false),
            is_departing: AtomicBool::new(false),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(crash.number)),
            slots: Semaphore::new(workload.slots as usize),
            in_flight: AtomicU32::new(0),
            received_calls: AtomicU32::new(0),
            checker,
            crash,
            stop: CancellationToken::new(),
        }
    }

    pub(crate) fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock() = mode;
    }

    /// Begins or ends to ask for rest, in any mode.
    pub(crate) fn set_resting(&self, is_resting: bool) {
        self.is_resting.store(is_resting, Ordering::SeqCst);
    }

    /// Begins or ends to say that the target leaves.
    pub(crate) fn set_departing(&self, is_departing: bool) {
        self.is_departing.store(is_departing, Ordering::SeqCst);
    }

    /// Names another limit from now on, or none.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        // The name may belong to another process by now.
        if self.stop.is_cancelled() {
            return;
        }
        self.checker.record_limit(&self.name, limit);
        *self.limit.lock() = limit;
    }

    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, from)) = accepted {
                    let (target, gateway) = (Arc::clone(&self), gateway_number(from.ip()));
                    let handle = move |request| Arc::clone(&target).handle(request, gateway);
                    connections.spawn(serve_connection(stream, handle));
                }
            }
        }
        connections.shutdown().await;
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        gateway: Option<usize>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let arrival = Arrival { target: &self.name, start: self.crash.number, gateway };
        if request.uri().path() == PROBE_PATH {
            self.checker.record_request(None, &arrival);
            return Ok(self.with_headers(text_response(StatusCode::OK, ""), None));
        }
        let text = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let call = text(headers::CALL).map(str::to_owned);
        let Some(id) = call.as_deref().and_then(|c| c.parse::<u64>().ok()) else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "no number"));
        };
        if text(headers::TARGET) != Some(&*self.name) {
            let answer = text_response(StatusCode::MISDIRECTED_REQUEST, "another target");
            return Ok(self.with_headers(answer, call));
        }
        self.checker.record_request(Some(id), &arrival);
        let crash = crash_number(request.uri().path());
        let mut held = HeldCall::new(&self, id, crash);
        let service_time = self.workload.service_time(id, request.uri().path());
        request.into_body().collect().await.map_err(|_| ConnectionAborted)?;
        if let Some(span) = self.draw_rest() {
            self.checker.record_refusal(id, &self.service);
            self.checker.record_rest(&arrival, span);
            return Ok(self.with_headers(rest_answer(span), call));
        }
        let call_index = self.received_calls.fetch_add(1, Ordering::SeqCst);
        let mode = *self.mode.lock();
        let is_affected = call_index.is_multiple_of(3);
        let limit = self.workload.slots * (1 + MAX_WAITING_PER_SLOT);
        let full = self.in_flight.load(Ordering::SeqCst) >= limit;
        if full || (mode == TargetMode::Shed && call_index.is_multiple_of(2)) {
            self.checker.record_refusal(id, &self.service);
            let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
            let busy = HeaderValue::from_static("busy");
            answer.headers_mut().insert(headers::TARGET_REFUSED, busy);
            return Ok(self.with_headers(answer, call));
        }
        let _in_flight_guard = InFlightGuard::new(&self.in_flight);
        let Ok(_slot) = self.slots.acquire().await else { return Err(ConnectionAborted) };
        self.checker.record_run(id, &self.name, &self.service);
        if let Some(crash) = crash {
            let span = CRASH_MS.end() - CRASH_MS.start() + 1;
            sleep(Duration::from_millis(CRASH_MS.start() + id.wrapping_mul(ID_SPREAD) % span))
                .await;
            self.end_by_crash(crash);
            return Err(ConnectionAborted);
        }
        let factor = if mode == TargetMode::Slow { 5 } else { 1 };
        sleep(service_time * factor).await;
        let breaks_off = matches!(
            mode,
            TargetMode::Hang | TargetMode::Disconnect | TargetMode::Truncate | TargetMode::WrongId
        );
        held.is_broken_off = breaks_off && is_affected;
        match mode {
            TargetMode::Hang if is_affected => sleep(Duration::from_secs(60)).await,
            TargetMode::Disconnect if is_affected => return Err(ConnectionAborted),
            TargetMode::Fail if is_affected => {
                return Ok(
                    self.with_headers(text_response(StatusCode::INTERNAL_SERVER_ERROR, ""), call)
                );
            }
            _ => {}
        }
        let body = expected_body(id, &self.service);
        let answer = match mode {
            TargetMode::Truncate if is_affected => {
                ResponseBody::truncated(body.clone(), body.len() / 2)
            }
            _ => ResponseBody::full(body),
        };
        let answer_id = if mode == TargetMode::WrongId && is_affected {
            (id + 1).to_string()
        } else {
            id.to_string()
        };
        let answer = self.with_headers(Response::new(answer), Some(answer_id));
        if answer.headers().contains_key(headers::TARGET_LEAVING) {
            self.checker.record_departure(id, &arrival);
        }
        Ok(answer)
    }

    /// Returns for how long the target asks for rest, if it turns a call away.
    fn draw_rest(&self) -> Option<Duration> {
        let mut random = self.random.lock();
        let is_refused =
            self.is_resting.load(Ordering::SeqCst) && random.random_bool(REFUSED_SHARE);
        is_refused.then(|| Duration::from_millis(random.random_range(RESTS_MS)))
    }

    /// Ends the target, as the call with number `call` does.
    fn end_by_crash(&self, call: u64) {
        self.set_limit(None);
        if !self.stop.is_cancelled() {
            self.checker.change_crashes(|crashes| crashes.record_crash(call));
            self.stop.cancel();
            // Nothing takes the place of a target after the end of the run.
            let _ = self.crash.sender.send(self.crash.number);
        }
    }

    /// Adds the load, the target name and the call id to the headers of an answer.
    fn with_headers(
        &self,
        mut answer: Response<ResponseBody>,
        call: Option<String>,
    ) -> Response<ResponseBody> {
        let slots = self.workload.slots;
        let busy = slots as usize - self.slots.available_permits();
        let waiting = (self.in_flight.load(Ordering::SeqCst) as usize).saturating_sub(busy);
        let load = format!("{busy},{waiting},{slots},100");
        let header_map = answer.headers_mut();
        let values = [
            (headers::TARGET_LOAD, Some(load)),
            (headers::TARGET, Some(self.name.to_string())),
            (headers::CALL, call),
            (
                headers::TARGET_LEAVING,
                self.is_departing.load(Ordering::SeqCst).then(|| "1".to_owned()),
            ),
            (headers::TARGET_LIMIT, self.limit.lock().map(|limit| limit.to_string())),
        ];
        for (name, value) in values {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(&v).ok()) {
                header_map.insert(name, value);
            }
        }
        answer
    }
}

/// Returns the refusal of a call that asks for `span` of rest.
fn rest_answer(span: Duration) -> Response<ResponseBody> {
    let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let fields = answer.headers_mut();
    fields.insert(headers::TARGET_REFUSED, HeaderValue::from_static("busy"));
    if let Ok(seconds) = HeaderValue::from_str(&span.as_secs_f64().to_string()) {
        fields.insert(RETRY_AFTER, seconds);
    }
    answer
}

/// Returns the complete body that a service answers to a call.
pub(crate) fn expected_body(id: u64, service: &str) -> Bytes {
    let is_long = id.is_multiple_of(LONG_ANSWER_PERIOD);
    let bound = if is_long { MAX_LONG_BYTES } else { MAX_SHORT_BYTES };
    let padding = id.wrapping_mul(ID_SPREAD) % bound;
    Bytes::from(format!("{service} {id} {}", "x".repeat(padding as usize)))
}

/// A call that a target has, until dropped.
struct HeldCall<'a> {
    target: &'a Target,
    id: u64,
    /// Whether the target ends the connection instead of answering.
    is_broken_off: bool,
}

impl<'a> HeldCall<'a> {
    fn new(target: &'a Target, id: u64, crash: Option<u64>) -> Self {
        target.checker.record_receipt(id, crash);
        Self { target, id, is_broken_off: false }
    }
}

impl Drop for HeldCall<'_> {
    fn drop(&mut self) {
        let is_broken_off = self.is_broken_off || self.target.stop.is_cancelled();
        self.target.checker.record_release(self.id, is_broken_off);
    }
}

/// Counts a call in `in_flight` until dropped.
struct InFlightGuard<'a>(&'a AtomicU32);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
