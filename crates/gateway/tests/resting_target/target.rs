//! Targets that ask gateways for rest, name limits or announce that they leave, and record the
//! requests that they get.

use azuretally_api::headers;
use azuretally_policy::balance::TargetRecord;
use azuretally_standin::http::{ConnectionAborted, ResponseBody, serve_connection, text_response};
use http::{HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use hyper::body::Incoming;
use indexmap::IndexSet;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{net::IpAddr, ops::RangeInclusive, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Path at which targets report their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Time that a call runs, in ms.
pub(crate) const RUN_MS: RangeInclusive<u64> = 30..=50;

/// The rest for which a target asks with each 503.
#[derive(Clone, Debug, Default)]
pub(crate) enum Demand {
    /// The target serves calls.
    #[default]
    Nothing,
    /// A time drawn anew for each answer, in ms.
    Between(RangeInclusive<u64>),
    /// The text of the field and the rest that it means, if any.
    Text(&'static str, Option<Duration>),
}

/// What a target says in its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behavior {
    pub(crate) demand: Demand,
    /// The 503 does not say that the call was refused without being run.
    pub(crate) is_bare: bool,
    /// Requests per second that it takes.
    pub(crate) limit: Option<f64>,
    /// The answers say that it leaves.
    pub(crate) is_leaving: bool,
}

/// A request that a target has got.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) target: Arc<str>,
    /// Start of the target process.
    pub(crate) started: u64,
    /// Address of the gateway that has sent it.
    pub(crate) gateway: IpAddr,
    /// Id of the call, `None` for a probe.
    pub(crate) call: Option<u64>,
    pub(crate) arrived: Instant,
    /// When it was answered or given up.
    pub(crate) ended: Option<Instant>,
    /// Whether the answer is 503.
    pub(crate) is_refused: bool,
    /// Whether the answer says that the target leaves.
    pub(crate) is_leaving: bool,
    /// Rest for which the answer asks.
    pub(crate) rest: Option<Duration>,
}

/// What all targets of a test share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) arrivals: Mutex<Vec<Arrival>>,
    /// Hosts that are cut off from all targets.
    pub(crate) cut_hosts: Mutex<IndexSet<IpAddr>>,
    pub(crate) random: Mutex<Pcg64>,
}

impl Shared {
    pub(crate) fn new(seed: u64) -> Self {
        let random = Mutex::new(Pcg64::seed_from_u64(seed));
        Self { arrivals: Mutex::default(), cut_hosts: Mutex::default(), random }
    }
}

/// A target process.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) record: TargetRecord,
    pub(crate) behavior: Mutex<Behavior>,
    pub(crate) stop: CancellationToken,
    slots: Semaphore,
    shared: Arc<Shared>,
}

impl Target {
    pub(crate) fn new(record: TargetRecord, shared: Arc<Shared>) -> Self {
        let slots = Semaphore::new(record.slots as usize);
        let (behavior, stop) = (Mutex::default(), CancellationToken::new());
        Self { record, behavior, stop, slots, shared }
    }

    /// Changes the rest for which the target asks from now on.
    pub(crate) fn ask(&self, demand: Demand) {
        self.behavior.lock().demand = demand;
    }

    /// Serves requests until `stop` is cancelled or the process ends.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, peer)) = accepted {
                    let target = Arc::clone(&self);
                    let handle = move |request| Arc::clone(&target).handle(request, peer.ip());
                    connections.spawn(serve_connection(stream, handle));
                }
            }
        }
        drop(listener);
        connections.shutdown().await;
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        gateway: IpAddr,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        if self.shared.cut_hosts.lock().contains(&gateway) {
            return Err(ConnectionAborted);
        }
        let id = request.headers().get(headers::CALL).cloned();
        let call = id.as_ref().and_then(|id| id.to_str().ok()?.parse().ok());
        let is_probe = request.uri().path() == PROBE_PATH;
        let mut open = OpenRequest::new(&self, gateway, call);
        let behavior = self.behavior.lock().clone();
        let mut response = match self.draw_rest(&behavior.demand).filter(|_| !is_probe) {
            Some((text, rest)) => {
                (open.is_refused, open.rest) = (true, rest);
                let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
                let value = HeaderValue::from_str(&text).expect("visible characters");
                response.headers_mut().insert(RETRY_AFTER, value);
                if !behavior.is_bare {
                    let busy = HeaderValue::from_static("busy");
                    response.headers_mut().insert(headers::TARGET_REFUSED, busy);
                }
                response
            }
            None if is_probe => text_response(StatusCode::OK, ""),
            None => {
                let _slot = self.slots.acquire().await.map_err(|_| ConnectionAborted)?;
                let ms = self.shared.random.lock().random_range(RUN_MS);
                sleep(Duration::from_millis(ms)).await;
                text_response(StatusCode::OK, &self.record.name)
            }
        };
        let slots = self.record.slots;
        let running = slots as usize - self.slots.available_permits();
        open.is_leaving = self.behavior.lock().is_leaving;
        let values = [
            (headers::TARGET, Some(self.record.name.to_string())),
            (headers::TARGET_LOAD, Some(format!("{running},0,{slots},100"))),
            (headers::TARGET_LIMIT, behavior.limit.map(|limit| limit.to_string())),
            (headers::TARGET_LEAVING, open.is_leaving.then(|| "1".to_owned())),
        ];
        let fields = response.headers_mut();
        for (name, value) in values {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(&v).ok()) {
                fields.insert(name, value);
            }
        }
        if let Some(id) = id {
            fields.insert(headers::CALL, id);
        }
        Ok(response)
    }

    fn started(&self) -> u64 {
        self.record.started.unwrap_or_default()
    }

    fn draw_rest(&self, demand: &Demand) -> Option<(String, Option<Duration>)> {
        match demand {
            Demand::Nothing => None,
            Demand::Between(range) => {
                let ms = self.shared.random.lock().random_range(range.clone());
                let rest = Duration::from_millis(ms);
                Some((rest.as_secs_f64().to_string(), Some(rest)))
            }
            Demand::Text(text, rest) => Some(((*text).to_owned(), *rest)),
        }
    }
}

/// A request in progress, which is recorded as ended when dropped.
struct OpenRequest<'a> {
    shared: &'a Shared,
    index: usize,
    is_refused: bool,
    is_leaving: bool,
    rest: Option<Duration>,
}

impl<'a> OpenRequest<'a> {
    fn new(target: &'a Target, gateway: IpAddr, call: Option<u64>) -> Self {
        let mut arrivals = target.shared.arrivals.lock();
        arrivals.push(Arrival {
            target: Arc::clone(&target.record.name),
            started: target.started(),
            gateway,
            call,
            arrived: Instant::now(),
            ended: None,
            is_refused: false,
            is_leaving: false,
            rest: None,
        });
        let index = arrivals.len() - 1;
        Self { shared: &target.shared, index, is_refused: false, is_leaving: false, rest: None }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let arrival = &mut self.shared.arrivals.lock()[self.index];
        arrival.ended = Some(Instant::now());
        arrival.is_refused = self.is_refused;
        arrival.is_leaving = self.is_leaving;
        arrival.rest = self.rest;
    }
}
