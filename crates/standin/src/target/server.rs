//! One target over HTTP/1.1.

use super::{
    faults::Faults,
    ledger::Ledger,
    options::{Distribution, TargetOptions},
    shift::NoisyNeighbour,
    slots::Slots,
};
use crate::{
    http::{self as web, ConnectionAborted, ResponseBody},
    timer::Timer,
};
use ::http::{HeaderValue, Request, Response, StatusCode};
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

const HEALTH_PATH: &str = "/-/health";
const LOAD_PATH: &str = "/-/load";

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    name: Arc<str>,
    index: usize,
    options: TargetOptions,
    start: Instant,
    timer: Arc<Timer>,
    shift: Arc<Mutex<Option<NoisyNeighbour>>>,
    rng: Mutex<Pcg64Mcg>,
    slots: Slots,
    faults: Mutex<Faults>,
    life: Mutex<Life>,
    open: AtomicU64,
    pub(super) ledger: Mutex<Ledger>,
}

/// One incarnation.
#[derive(Debug)]
struct Life {
    incarnation: String,
    since: Instant,
}

impl Life {
    fn new() -> Self {
        Self { incarnation: format!("{:016x}", rand::random::<u64>()), since: Instant::now() }
    }
}

/// Counts the slot time of one piece of work when dropped, also when it was cancelled.
struct Work<'a> {
    target: &'a Target,
    begun: Instant,
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let ms = self.begun.elapsed().as_secs_f64() * 1_000.0;
        self.target.ledger.lock().totals.busy_ms += ms;
    }
}

/// Serves calls until `stop`.
pub(super) async fn serve(target: Arc<Target>, listener: TcpListener, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(Arc::clone(&target).connection(stream));
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
        shift: Arc<Mutex<Option<NoisyNeighbour>>>,
        rng: Mutex<Pcg64Mcg>,
    ) -> Self {
        let slots = Slots::new(options.slots, options.backlog);
        Self {
            name,
            index,
            options,
            start,
            timer,
            shift,
            rng,
            slots,
            faults: Mutex::default(),
            life: Mutex::new(Life::new()),
            open: AtomicU64::new(0),
            ledger: Mutex::default(),
        }
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        if faults.cold {
            *self.life.lock() = Life::new();
        }
        *self.faults.lock() = faults;
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        if self.admit(open) {
            let handler = |request| {
                let target = Arc::clone(&self);
                async move { target.answer(request).await }
            };
            if !self.options.connect_time.is_zero() {
                let _slot = self.slots.take_always().await;
                self.timer.sleep(self.options.connect_time).await;
            }
            web::serve_connection(stream, handler).await;
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    fn admit(&self, open: u64) -> bool {
        let totals = &mut self.ledger.lock().totals;
        if open > self.options.max_connections {
            totals.connections_refused += 1;
            return false;
        }
        totals.connections += 1;
        totals.peak_connections = totals.peak_connections.max(open);
        true
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        self.timer.sleep(self.options.net_delay).await;
        let path = request.uri().path();
        let mut response = if path == HEALTH_PATH || path == LOAD_PATH {
            self.probe().await
        } else {
            self.call(request).await?
        };
        self.report(&mut response);
        self.timer.sleep(self.options.net_delay).await;
        Ok(response)
    }

    async fn probe(&self) -> Response<ResponseBody> {
        let _slot = self.slots.take_always().await;
        self.timer.sleep(self.options.probe_time).await;
        let totals = &mut self.ledger.lock().totals;
        totals.probes += 1;
        totals.probe_ms += self.options.probe_time.as_secs_f64() * 1_000.0;
        web::text_response(StatusCode::OK, "ok\n")
    }

    async fn call(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let key = header(headers::IDEMPOTENCY_KEY).or_else(|| web::query_param(&request, "id"));
        let key: Option<Arc<str>> = key.map(Arc::from);
        let allowed = header(headers::TARGET_TIMEOUT_MS).and_then(|v| v.parse::<u64>().ok());
        let deadline = allowed.map(|ms| Instant::now() + Duration::from_millis(ms));
        let number = |name| web::query_param(&request, name).and_then(|v| v.parse::<f64>().ok());
        let mean = number("ms").map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1_000.0));
        let size = number("size").map(|n| n as usize);

        let faults = *self.faults.lock();
        self.ledger.lock().totals.calls += 1;
        if faults.error_fast {
            return Ok(web::text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed on purpose\n",
            ));
        }
        if faults.refuse_all {
            self.ledger.lock().totals.refused_draining += 1;
            return Ok(self.refuse("draining", key.as_ref()));
        }
        let Some(slot) = self.slots.take().await else {
            self.ledger.lock().totals.refused_busy += 1;
            return Ok(self.refuse("busy", key.as_ref()));
        };
        let work = Work { target: self, begun: Instant::now() };
        self.ledger.lock().start(key.as_ref(), self.start.elapsed(), faults.drain);
        let body = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
        let in_time = self.work(mean, deadline).await;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        drop(work);
        drop(slot);
        if !in_time {
            return Ok(web::text_response(StatusCode::GATEWAY_TIMEOUT, "out of time\n"));
        }
        self.ledger.lock().finish(key.as_ref());
        self.timer.sleep(Duration::from_millis(faults.delay_answer_ms)).await;
        let data = self.echo(key.as_deref().unwrap_or("-"), &body, size);
        Ok(Response::new(match faults.cut_answer_after_bytes {
            Some(n) => ResponseBody::truncated(data, n as usize),
            None => ResponseBody::full(data),
        }))
    }

    /// Works for one service time, or until the deadline; false when the deadline came first.
    async fn work(&self, mean: Option<Duration>, deadline: Option<Instant>) -> bool {
        let time = self.service_time(mean.unwrap_or(self.options.service_time));
        let left = deadline.map(|d| d.saturating_duration_since(Instant::now()));
        match left {
            Some(left) if left < time => {
                self.timer.sleep(left).await;
                false
            }
            _ => {
                self.timer.sleep(time).await;
                true
            }
        }
    }

    fn service_time(&self, mean: Duration) -> Duration {
        let drawn = match self.options.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => -(1.0 - self.rng.lock().random::<f64>()).ln(),
        };
        let shift = self.shift.lock().as_mut().map(|s| s.factor(self.start.elapsed(), self.index));
        let is_cold = self.life.lock().since.elapsed() < self.options.cold_period;
        let cold = if is_cold { self.options.cold_factor } else { 1.0 };
        mean.mul_f64(drawn * shift.unwrap_or(1.0) * cold * self.faults.lock().slow_factor)
    }

    fn refuse(&self, reason: &'static str, key: Option<&Arc<str>>) -> Response<ResponseBody> {
        self.ledger.lock().refuse(key);
        let mut response = web::text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
        let reason = HeaderValue::from_static(reason);
        response.headers_mut().insert(headers::TARGET_REFUSED, reason);
        response
    }

    /// One line with the target and the key, then the body of the call, or `size` bytes that
    /// repeat the key.
    fn echo(&self, key: &str, body: &Bytes, size: Option<usize>) -> Bytes {
        let mut data = BytesMut::from(format!("{} {key}\n", self.name).as_bytes());
        match size {
            Some(size) => data.extend(key.bytes().cycle().take(size)),
            None => data.extend_from_slice(body),
        }
        data.freeze()
    }

    fn report(&self, response: &mut Response<ResponseBody>) {
        let faults = *self.faults.lock();
        let busy = if faults.lie_idle { 0 } else { self.slots.busy() };
        let state = if faults.drain || faults.refuse_all { "draining" } else { "serving" };
        let headers = response.headers_mut();
        headers.insert(headers::TARGET_BUSY, HeaderValue::from(busy));
        headers.insert(headers::TARGET_STATE, HeaderValue::from_static(state));
        if let Ok(incarnation) = HeaderValue::from_str(&self.life.lock().incarnation) {
            headers.insert(headers::TARGET_INCARNATION, incarnation);
        }
    }
}
