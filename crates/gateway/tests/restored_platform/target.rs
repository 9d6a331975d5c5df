//! Targets that answer with the name of their service and record the calls that they get.

use azuretally_policy::balance::TargetRecord;
use azuretally_standin::http::{ConnectionAborted, ResponseBody, serve_connection, text_response};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{net::IpAddr, sync::Arc};
use tokio::{net::TcpListener, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

/// Path at which targets report their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Calls that a target runs concurrently.
pub(crate) const SLOTS: u32 = 8;
/// Header that identifies a call.
pub(crate) const CALL_HEADER: &str = "x-azuretally-call";

/// A service of the published settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Service to which routes are added.
    First,
    /// Service to which routes are moved.
    Second,
    /// Service of a single route, without targets at the start.
    Extra,
}

impl Service {
    pub(crate) const ALL: [Self; 3] = [Self::First, Self::Second, Self::Extra];

    /// Returns the published name.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Extra => "extra",
        }
    }

    /// Returns the service that is published as `name`.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|service| service.name() == name)
    }
}

/// A target of the tests.
#[derive(Debug)]
pub(crate) struct Target {
    /// Record with which the target is published.
    pub(crate) record: TargetRecord,
    /// When calls arrived.
    arrivals: Mutex<Vec<Instant>>,
    /// When requests of any kind arrived.
    requests: Mutex<Vec<Instant>>,
    /// Hosts that are cut off from all targets of the test.
    cut_hosts: Arc<CutHosts>,
}

/// Hosts whose requests to targets are not answered, with the number of these requests.
pub(crate) type CutHosts = Mutex<IndexMap<IpAddr, usize>>;

impl Target {
    pub(crate) fn new(record: TargetRecord, cut_hosts: Arc<CutHosts>) -> Self {
        Self { record, arrivals: Mutex::default(), requests: Mutex::default(), cut_hosts }
    }

    /// Returns the number of calls that arrived from `from` until `until`.
    pub(crate) fn calls_between(&self, from: Instant, until: Instant) -> usize {
        self.arrivals.lock().iter().filter(|at| (from..until).contains(*at)).count()
    }

    /// Returns the number of calls and probes that arrived since `from`.
    pub(crate) fn requests_since(&self, from: Instant) -> usize {
        self.requests.lock().iter().filter(|at| **at >= from).count()
    }

    /// Serves calls until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, peer)) = accepted {
                    let target = Arc::clone(&self);
                    let handle = move |request| Arc::clone(&target).handle(request, peer.ip());
                    connections.spawn(serve_connection(stream, handle));
                }
            }
        }
        connections.shutdown().await;
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        host: IpAddr,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        self.requests.lock().push(Instant::now());
        if let Some(requests) = self.cut_hosts.lock().get_mut(&host) {
            *requests += 1;
            return Err(ConnectionAborted);
        }
        if request.uri().path() != PROBE_PATH {
            self.arrivals.lock().push(Instant::now());
        }
        let mut response = text_response(StatusCode::OK, &self.record.service);
        let fields = response.headers_mut();
        if let Some(id) = request.headers().get(CALL_HEADER) {
            fields.insert(CALL_HEADER, id.clone());
        }
        let name = HeaderValue::from_str(&self.record.name).expect("visible characters");
        fields.insert("x-target", name);
        let load = HeaderValue::from_str(&format!("0,0,{SLOTS},100")).expect("visible characters");
        fields.insert("x-target-load", load);
        Ok(response)
    }
}
