//! HTTP/1.1 server of one target.

use super::{
    counters::Counters,
    faults::Faults,
    noisy_neighbour::NoisyNeighbour,
    options::{Distribution, TargetOptions},
    slots::Slots,
};
use crate::{
    http::{self as web, ConnectionAborted, ResponseBody},
    timer::Timer,
};
use ::http::{HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use azuretally_api::headers;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Path of health checks, which use a slot as load probes do.
const HEALTH_PATH: &str = "/-/health";
/// Path of load probes.
const LOAD_PATH: &str = "/-/load";
/// Time after which requests that were sent before the target asked for a rest have arrived.
const REST_GRACE: Duration = Duration::from_millis(500);

/// A target with its state and counters.
#[derive(Debug)]
pub(super) struct Target {
    name: Arc<str>,
    index: usize,
    options: TargetOptions,
    start: Instant,
    timer: Arc<Timer>,
    noisy_neighbour: Arc<Mutex<Option<NoisyNeighbour>>>,
    rng: Mutex<Pcg64Mcg>,
    slots: Slots,
    faults: Mutex<Faults>,
    incarnation: Mutex<Incarnation>,
    rest: Mutex<Option<Rest>>,
    open_connections: AtomicU64,
    pub(super) counters: Mutex<Counters>,
}

/// An incarnation of a target.
#[derive(Debug)]
struct Incarnation {
    id: String,
    started_at: Instant,
}

impl Incarnation {
    fn new() -> Self {
        Self { id: format!("{:016x}", rand::random::<u64>()), started_at: Instant::now() }
    }
}

/// A rest that the target asked for.
#[derive(Debug)]
struct Rest {
    asked_at: Instant,
    duration: Duration,
    requests: u64,
}

/// Adds the slot time of a call to the counters when dropped, so that cancelled calls count too.
struct SlotUse<'a> {
    target: &'a Target,
    started_at: Instant,
}

impl Drop for SlotUse<'_> {
    fn drop(&mut self) {
        let ms = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        self.target.counters.lock().totals.busy_ms += ms;
    }
}

/// Serves connections until `stop` is cancelled, then closes them.
pub(super) async fn serve(target: Arc<Target>, listener: TcpListener, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(Arc::clone(&target).handle_connection(stream));
                }
                Err(e) => log::warn!("target: accept failed: {e}"),
            },
        }
    }
    connections.shutdown().await;
}

impl Target {
    pub(super) fn new(
        name: Arc<str>,
        index: usize,
        options: TargetOptions,
        start: Instant,
        timer: Arc<Timer>,
        noisy_neighbour: Arc<Mutex<Option<NoisyNeighbour>>>,
        rng: Mutex<Pcg64Mcg>,
    ) -> Self {
        let slots = Slots::new(options.slots, options.backlog);
        Self {
            name,
            index,
            options,
            start,
            timer,
            noisy_neighbour,
            rng,
            slots,
            faults: Mutex::default(),
            incarnation: Mutex::new(Incarnation::new()),
            rest: Mutex::default(),
            open_connections: AtomicU64::new(0),
            counters: Mutex::default(),
        }
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        if faults.cold {
            *self.incarnation.lock() = Incarnation::new();
            *self.rest.lock() = None;
        }
        *self.faults.lock() = faults;
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream) {
        let open = self.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        if self.admit_connection(open) {
            let handler = |request| {
                let target = Arc::clone(&self);
                async move { target.handle(request).await }
            };
            if !self.options.connect_time.is_zero() {
                let _slot = self.slots.acquire().await;
                self.timer.sleep(self.options.connect_time).await;
            }
            web::serve_connection(stream, handler).await;
        }
        self.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    fn admit_connection(&self, open: u64) -> bool {
        let totals = &mut self.counters.lock().totals;
        if open > self.options.max_connections {
            totals.connections_refused += 1;
            return false;
        }
        totals.connections += 1;
        totals.peak_connections = totals.peak_connections.max(open);
        true
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        self.timer.sleep(self.options.net_delay).await;
        let path = request.uri().path();
        let attempt = request.headers().get(headers::TARGET_ATTEMPT).cloned();
        let rests = self.record_in_rest();
        let mut response = if path == HEALTH_PATH || path == LOAD_PATH {
            self.handle_probe().await
        } else {
            self.handle_call(request, rests).await?
        };
        self.add_status_headers(&mut response);
        if let Some(attempt) = attempt {
            response.headers_mut().insert(headers::TARGET_ATTEMPT, attempt);
        }
        self.timer.sleep(self.options.net_delay).await;
        Ok(response)
    }

    async fn handle_probe(&self) -> Response<ResponseBody> {
        let _slot = self.slots.acquire().await;
        self.timer.sleep(self.options.probe_time).await;
        let totals = &mut self.counters.lock().totals;
        totals.probes += 1;
        totals.probe_ms += self.options.probe_time.as_secs_f64() * 1_000.0;
        web::text_response(StatusCode::OK, "ok\n")
    }

    async fn handle_call(
        &self,
        request: Request<Incoming>,
        rests: bool,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let key = header(headers::IDEMPOTENCY_KEY).or_else(|| web::query_param(&request, "id"));
        let key: Option<Arc<str>> = key.map(Arc::from);
        let timeout_ms = header(headers::TARGET_TIMEOUT_MS).and_then(|v| v.parse::<u64>().ok());
        let deadline = timeout_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        let query_number =
            |name| web::query_param(&request, name).and_then(|v| v.parse::<f64>().ok());
        let mean = query_number("ms").map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1_000.0));
        let response_bytes = query_number("size").map(|n| n as usize);

        let faults = *self.faults.lock();
        self.counters.lock().totals.calls += 1;
        if faults.error_fast {
            return Ok(web::text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed on purpose\n",
            ));
        }
        if faults.refuse_all {
            self.counters.lock().totals.refused_draining += 1;
            return Ok(self.refuse("draining", key.as_ref()));
        }
        if rests || faults.rest_ms > 0 {
            self.counters.lock().totals.refused_busy += 1;
            let mut response = self.refuse("busy", key.as_ref());
            if !rests {
                self.ask_for_rest(Duration::from_millis(faults.rest_ms), &mut response);
            }
            return Ok(response);
        }
        let Some(slot) = self.slots.acquire_or_queue().await else {
            self.counters.lock().totals.refused_busy += 1;
            return Ok(self.refuse("busy", key.as_ref()));
        };
        let slot_use = SlotUse { target: self, started_at: Instant::now() };
        self.counters.lock().record_start(key.as_ref(), self.start.elapsed(), faults.drain);
        let body = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
        let in_time = self.run(mean, deadline).await;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        drop(slot_use);
        drop(slot);
        if !in_time {
            return Ok(web::text_response(StatusCode::GATEWAY_TIMEOUT, "out of time\n"));
        }
        self.counters.lock().record_finish(key.as_ref());
        self.timer.sleep(Duration::from_millis(faults.delay_answer_ms)).await;
        let data = self.echo_body(key.as_deref().unwrap_or("-"), &body, response_bytes);
        Ok(Response::new(match faults.cut_answer_after_bytes {
            Some(n) => ResponseBody::truncated(data, n as usize),
            None => ResponseBody::full(data),
        }))
    }

    /// Counts a request that arrives during a rest. Returns whether the target rests.
    fn record_in_rest(&self) -> bool {
        let mut rest = self.rest.lock();
        let Some(rest) = rest.as_mut().filter(|r| r.asked_at.elapsed() < r.duration) else {
            return false;
        };
        if rest.asked_at.elapsed() >= REST_GRACE {
            rest.requests += 1;
            let totals = &mut self.counters.lock().totals;
            totals.peak_in_rest = totals.peak_in_rest.max(rest.requests);
        }
        true
    }

    fn ask_for_rest(&self, duration: Duration, response: &mut Response<ResponseBody>) {
        *self.rest.lock() = Some(Rest { asked_at: Instant::now(), duration, requests: 0 });
        self.counters.lock().totals.rests += 1;
        if let Ok(value) = HeaderValue::from_str(&duration.as_secs_f64().to_string()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }

    /// Waits for one service time, or until the deadline if that is earlier. Returns whether the
    /// service time elapsed in full.
    async fn run(&self, mean: Option<Duration>, deadline: Option<Instant>) -> bool {
        let service_time = self.service_time(mean.unwrap_or(self.options.service_time));
        let remaining = deadline.map(|d| d.saturating_duration_since(Instant::now()));
        match remaining {
            Some(remaining) if remaining < service_time => {
                self.timer.sleep(remaining).await;
                false
            }
            _ => {
                self.timer.sleep(service_time).await;
                true
            }
        }
    }

    fn service_time(&self, mean: Duration) -> Duration {
        let random_factor = match self.options.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => -(1.0 - self.rng.lock().random::<f64>()).ln(),
        };
        let neighbour_factor = self
            .noisy_neighbour
            .lock()
            .as_mut()
            .map(|n| n.factor(self.start.elapsed(), self.index));
        let is_cold = self.incarnation.lock().started_at.elapsed() < self.options.cold_period;
        let cold_factor = if is_cold { self.options.cold_factor } else { 1.0 };
        mean.mul_f64(
            random_factor
                * neighbour_factor.unwrap_or(1.0)
                * cold_factor
                * self.faults.lock().slow_factor,
        )
    }

    fn refuse(&self, reason: &'static str, key: Option<&Arc<str>>) -> Response<ResponseBody> {
        self.counters.lock().record_refusal(key);
        let mut response = web::text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
        let reason = HeaderValue::from_static(reason);
        response.headers_mut().insert(headers::TARGET_REFUSED, reason);
        response
    }

    /// Returns a response body: one line with the name of the target and the key, then the body of
    /// the call or, if `response_bytes` is given, that many bytes of the repeated key.
    fn echo_body(&self, key: &str, body: &Bytes, response_bytes: Option<usize>) -> Bytes {
        let mut data = BytesMut::from(format!("{} {key}\n", self.name).as_bytes());
        match response_bytes {
            Some(n) => data.extend(key.bytes().cycle().take(n)),
            None => data.extend_from_slice(body),
        }
        data.freeze()
    }

    fn add_status_headers(&self, response: &mut Response<ResponseBody>) {
        let faults = *self.faults.lock();
        let busy = if faults.lie_idle { 0 } else { self.slots.busy() };
        let state = if faults.drain || faults.refuse_all { "draining" } else { "serving" };
        let headers = response.headers_mut();
        if !faults.hide_load {
            headers.insert(headers::TARGET_BUSY, HeaderValue::from(busy));
        }
        headers.insert(headers::TARGET_STATE, HeaderValue::from_static(state));
        if let Ok(incarnation) = HeaderValue::from_str(&self.incarnation.lock().id) {
            headers.insert(headers::TARGET_INCARNATION, incarnation);
        }
    }
}
