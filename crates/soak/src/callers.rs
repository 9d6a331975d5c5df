//! Callers that reuse connections, look gateways up through directions and verify every answer.

use crate::{
    checker::{CallResult, Checker},
    cluster::{Cluster, MOVING_PREFIX},
    targets::expected_body,
};
use azuretally_api::headers;
use azuretally_gateway::native::{DIRECTIONS_PATH, GatewayAddresses};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// `Host` header of the calls and of the directions requests.
pub(crate) const HOST_NAME: &str = "soak";
/// Timeout that callers send with each call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection or for a directions request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of calls that are not idempotent.
const SALE_SHARE: f64 = 0.3;
/// Fraction of calls that the caller abandons after 1 % of the timeout.
const ABANDON_SHARE: f64 = 0.03;

/// Next call id; unique within the process.
static NEXT_CALL_ID: AtomicU64 = AtomicU64::new(1);

/// An open connection to a gateway.
struct OpenConnection {
    gateway: usize,
    incarnation: u32,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// Makes one call after another until `stop` is cancelled, with a mean pause of `pause`.
pub(crate) async fn run_caller(
    cluster: Arc<Cluster>,
    seed: u64,
    pause: Duration,
    stop: CancellationToken,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut open: Option<OpenConnection> = None;
    while !stop.is_cancelled() {
        sleep(pause.mul_f64(0.5 + rng.random::<f64>())).await;
        let reusable = open.take().filter(|o| !o.sender.is_closed());
        let connection = match reusable {
            Some(open) => Some(open),
            None => connect(&cluster, &mut rng).await,
        };
        let Some(connection) = connection else { continue };
        let is_sale = rng.random_bool(SALE_SHARE);
        let path = match (is_sale, rng.random_range(0..3)) {
            (true, _) => "/sale/1",
            (false, 0) => "/moving/1",
            (false, _) => "/check/1",
        };
        let abandons = rng.random_bool(ABANDON_SHARE);
        open = send_call(&cluster.checker, connection, path, !is_sale, abandons).await;
    }
}

/// Connects to one of the gateways that a random gateway returns as directions.
async fn connect(cluster: &Cluster, rng: &mut Pcg64Mcg) -> Option<OpenConnection> {
    let queried = rng.random_range(0..cluster.gateways.len());
    let addresses =
        timeout(CONNECT_TIMEOUT, fetch_addresses(cluster.gateways[queried].directions_address))
            .await
            .ok()??;
    let address = addresses[rng.random_range(0..addresses.len())];
    let gateway = cluster.gateways.iter().position(|g| g.calls_address == address)?;
    let incarnation = cluster.gateways[gateway].incarnation.load(Ordering::SeqCst);
    let stream = TcpStream::connect(cluster.gateways[gateway].link_address);
    let stream = timeout(CONNECT_TIMEOUT, stream).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // A connection error also fails the call that uses the connection.
        let _ = connection.await;
    }));
    Some(OpenConnection { gateway, incarnation, sender, _driver: driver })
}

/// Requests directions from a gateway. Returns `None` on failure or when the list is empty.
async fn fetch_addresses(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let _driver = AbortOnDropHandle::new(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(DIRECTIONS_PATH).header(HOST, HOST_NAME);
    let response = sender.send_request(request.body(Full::new(Bytes::new())).ok()?).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let directions: GatewayAddresses = serde_json::from_slice(&body).ok()?;
    (!directions.addresses.is_empty()).then_some(directions.addresses)
}

/// Sends one call and records its result. Returns the connection if it can be used again.
async fn send_call(
    checker: &Checker,
    mut open: OpenConnection,
    path: &str,
    idempotent: bool,
    abandons: bool,
) -> Option<OpenConnection> {
    let id = NEXT_CALL_ID.fetch_add(1, Ordering::SeqCst);
    checker.record_send(id, open.gateway, idempotent);
    let sent_at = Instant::now();
    let min_version = checker.highest_version(open.gateway, open.incarnation);
    let method = if idempotent { Method::GET } else { Method::POST };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, HOST_NAME)
        .header(headers::CALL, id.to_string())
        .header(headers::TIMEOUT_MS, CALL_TIMEOUT.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"")))
        .ok()?;
    let wait_limit = if abandons { CALL_TIMEOUT / 100 } else { CALL_TIMEOUT + CONNECT_TIMEOUT };
    let exchange = async {
        let response = open.sender.try_send_request(request).await;
        let response = response.map_err(|mut e| e.take_message().is_some())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| false)?.to_bytes();
        Ok::<_, bool>((head, body))
    };
    let (head, body) = match timeout(wait_limit, exchange).await {
        Err(_) => {
            checker.record_end(id, CallResult::GaveUp);
            return None;
        }
        Ok(Err(unsent)) => {
            checker.record_end(id, if unsent { CallResult::Unsent } else { CallResult::Cut });
            return None;
        }
        Ok(Ok(answer)) => answer,
    };
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    if text(headers::CALL) != Some(&id.to_string()) {
        checker.record_wrong_answer(id, "the answer carries another call id");
    }
    let result = match text(headers::OUTCOME) {
        Some(headers::NOT_RUN) => CallResult::NotRun,
        Some(headers::ANSWERED) if head.status == StatusCode::OK => {
            check_answer(checker, &open, id, path, &body, sent_at, min_version);
            CallResult::Answered
        }
        _ => CallResult::Unknown,
    };
    checker.record_end(id, result);
    Some(open)
}

/// Checks the body of an answer. On the moving route, also records the settings version that the
/// answering service implies.
fn check_answer(
    checker: &Checker,
    open: &OpenConnection,
    id: u64,
    path: &str,
    body: &[u8],
    sent_at: Instant,
    min_version: u64,
) {
    let text = String::from_utf8_lossy(body);
    let service = text.split(' ').next().unwrap_or_default();
    if *body != *expected_body(id, service) {
        checker.record_wrong_answer(id, "the body is not the complete body for this call");
        return;
    }
    if path != "/moving/1" {
        return;
    }
    // Each settings version routes this path to a service of its own.
    if let Some(version) = service.strip_prefix(MOVING_PREFIX).and_then(|n| n.parse().ok()) {
        checker.record_version(open.gateway, open.incarnation, sent_at, min_version, version);
    }
}
