//! Stand-ins for targets: they run calls, tell the ledger, and misbehave when told to.

use crate::ledger::Ledger;
use azuretally_api::headers;
use azuretally_standin::http::{ConnectionAborted, ResponseBody, serve, text_response};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::Semaphore, time::sleep};
use tokio_util::sync::CancellationToken;

/// Path at which targets tell their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Calls that a target runs at a time, and lets wait besides.
pub(crate) const SLOTS: u32 = 2;
const QUEUE: u32 = 4;
/// Time of a call at the usual pace.
const WORK: Duration = Duration::from_millis(20);

/// How a target treats calls; each nth call is hit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Manner {
    /// It serves them.
    #[default]
    Sound,
    /// It refuses every second call.
    Shed,
    /// It takes five times as long.
    Slow,
    /// It never answers every third call.
    Hang,
    /// It runs every third call and breaks the connection.
    Lose,
    /// It cuts every third answer short.
    Cut,
    /// It answers every third call with the number of another one.
    Mix,
    /// It fails every third call.
    Fail,
}

/// One target process.
#[derive(Debug)]
pub(crate) struct Target {
    name: Arc<str>,
    service: Arc<str>,
    manner: Mutex<Manner>,
    slots: Semaphore,
    present: AtomicU32,
    calls: AtomicU32,
    ledger: Arc<Ledger>,
    /// Ends the process.
    pub(crate) stop: CancellationToken,
}

impl Target {
    pub(crate) fn new(name: Arc<str>, service: Arc<str>, ledger: Arc<Ledger>) -> Self {
        Self {
            name,
            service,
            manner: Mutex::default(),
            slots: Semaphore::new(SLOTS as usize),
            present: AtomicU32::new(0),
            calls: AtomicU32::new(0),
            ledger,
            stop: CancellationToken::new(),
        }
    }

    pub(crate) fn set_manner(&self, manner: Manner) {
        *self.manner.lock() = manner;
    }

    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        let stop = self.stop.clone();
        serve(listener, stop, move |request| Arc::clone(&self).answer(request)).await;
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        if request.uri().path() == PROBE_PATH {
            return Ok(self.finish(text_response(StatusCode::OK, ""), None));
        }
        let text = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let call = text(headers::CALL).map(str::to_owned);
        let Some(id) = call.as_deref().and_then(|c| c.parse::<u64>().ok()) else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "no number"));
        };
        if text(headers::TARGET) != Some(&*self.name) {
            let answer = text_response(StatusCode::MISDIRECTED_REQUEST, "another target");
            return Ok(self.finish(answer, call));
        }
        let nth = self.calls.fetch_add(1, Ordering::SeqCst);
        let manner = *self.manner.lock();
        let hit = nth.is_multiple_of(3);
        let full = self.present.load(Ordering::SeqCst) >= SLOTS + QUEUE;
        if full || (manner == Manner::Shed && nth.is_multiple_of(2)) {
            self.ledger.refused_by_target(id, &self.service);
            let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
            let busy = HeaderValue::from_static("busy");
            answer.headers_mut().insert(headers::TARGET_REFUSED, busy);
            return Ok(self.finish(answer, call));
        }
        let _present = Present::new(&self.present);
        let Ok(_slot) = self.slots.acquire().await else { return Err(ConnectionAborted) };
        self.ledger.ran(id, &self.name, &self.service);
        let factor = if manner == Manner::Slow { 5 } else { 1 };
        sleep(WORK * factor).await;
        match manner {
            Manner::Hang if hit => sleep(Duration::from_secs(60)).await,
            Manner::Lose if hit => return Err(ConnectionAborted),
            Manner::Fail if hit => {
                return Ok(self.finish(text_response(StatusCode::INTERNAL_SERVER_ERROR, ""), call));
            }
            _ => {}
        }
        let body = answer_of(id, &self.service);
        let answer = match manner {
            Manner::Cut if hit => ResponseBody::truncated(body.clone(), body.len() / 2),
            _ => ResponseBody::full(body),
        };
        let number =
            if manner == Manner::Mix && hit { (id + 1).to_string() } else { id.to_string() };
        Ok(self.finish(Response::new(answer), Some(number)))
    }

    fn finish(
        &self,
        mut answer: Response<ResponseBody>,
        call: Option<String>,
    ) -> Response<ResponseBody> {
        let busy = SLOTS as usize - self.slots.available_permits();
        let waiting = (self.present.load(Ordering::SeqCst) as usize).saturating_sub(busy);
        let load = format!("{busy},{waiting},{SLOTS},100");
        let fields = answer.headers_mut();
        let values = [
            (headers::TARGET_LOAD, Some(load)),
            (headers::TARGET, Some(self.name.to_string())),
            (headers::CALL, call),
        ];
        for (name, value) in values {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(&v).ok()) {
                fields.insert(name, value);
            }
        }
        answer
    }
}

/// The whole answer of a service to a call.
pub(crate) fn answer_of(id: u64, service: &str) -> Bytes {
    Bytes::from(format!("{service} {id} {}", "x".repeat((id % 3_000) as usize)))
}

struct Present<'a>(&'a AtomicU32);

impl<'a> Present<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
