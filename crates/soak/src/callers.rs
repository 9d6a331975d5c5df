//! Callers that keep their connections, ask for directions, and check every answer.

use crate::{
    ledger::{Ledger, Seen},
    targets::answer_of,
    world::{MOVING, World},
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

/// Host name that callers ask for.
pub(crate) const HOST_NAME: &str = "soak";
/// Time that callers allow for a call.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time to make a connection or to get directions.
const CONNECT: Duration = Duration::from_millis(500);
/// Part of calls that may not be repeated, and of calls whose caller leaves early.
const SALES: f64 = 0.3;
const LEAVES: f64 = 0.03;

/// Numbers of calls.
static NEXT: AtomicU64 = AtomicU64::new(1);

struct Open {
    gateway: usize,
    process: u32,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// Makes calls until `stop`.
pub(crate) async fn call(world: Arc<World>, seed: u64, pause: Duration, stop: CancellationToken) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut open: Option<Open> = None;
    while !stop.is_cancelled() {
        sleep(pause.mul_f64(0.5 + random.random::<f64>())).await;
        let kept = open.take().filter(|o| !o.sender.is_closed());
        let connection = match kept {
            Some(open) => Some(open),
            None => connect(&world, &mut random).await,
        };
        let Some(connection) = connection else { continue };
        let sale = random.random_bool(SALES);
        let path = match (sale, random.random_range(0..3)) {
            (true, _) => "/sale/1",
            (false, 0) => "/moving/1",
            (false, _) => "/check/1",
        };
        let leaves = random.random_bool(LEAVES);
        open = one(&world.ledger, connection, path, !sale, leaves).await;
    }
}

async fn connect(world: &World, random: &mut Pcg64Mcg) -> Option<Open> {
    let asked = random.random_range(0..world.gateways.len());
    let addresses = timeout(CONNECT, ask(world.gateways[asked].directions)).await.ok()??;
    let address = addresses[random.random_range(0..addresses.len())];
    let gateway = world.gateways.iter().position(|g| g.calls == address)?;
    let process = world.gateways[gateway].process.load(Ordering::SeqCst);
    let stream = TcpStream::connect(world.gateways[gateway].front);
    let stream = timeout(CONNECT, stream).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // The end of a connection shows at its calls.
        let _ = connection.await;
    }));
    Some(Open { gateway, process, sender, _driver: driver })
}

async fn ask(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let _driver = AbortOnDropHandle::new(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(DIRECTIONS_PATH).header(HOST, HOST_NAME);
    let response = sender.send_request(request.body(Full::new(Bytes::new())).ok()?).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let told: GatewayAddresses = serde_json::from_slice(&body).ok()?;
    (!told.addresses.is_empty()).then_some(told.addresses)
}

async fn one(
    ledger: &Ledger,
    mut open: Open,
    path: &str,
    idempotent: bool,
    leaves: bool,
) -> Option<Open> {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    ledger.sending(id, open.gateway, idempotent);
    let sent = Instant::now();
    let shown = ledger.highest_shown(open.gateway, open.process);
    let method = if idempotent { Method::GET } else { Method::POST };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, HOST_NAME)
        .header(headers::CALL, id.to_string())
        .header(headers::TIMEOUT_MS, PATIENCE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"")))
        .ok()?;
    let patience = if leaves { PATIENCE / 100 } else { PATIENCE + CONNECT };
    let exchange = async {
        let response = open.sender.try_send_request(request).await;
        let response = response.map_err(|mut e| e.take_message().is_some())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| false)?.to_bytes();
        Ok::<_, bool>((head, body))
    };
    let (head, body) = match timeout(patience, exchange).await {
        Err(_) => {
            ledger.ended(id, Seen::GaveUp);
            return None;
        }
        Ok(Err(unsent)) => {
            ledger.ended(id, if unsent { Seen::Unsent } else { Seen::Cut });
            return None;
        }
        Ok(Ok(answer)) => answer,
    };
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    if text(headers::CALL) != Some(&id.to_string()) {
        ledger.mixed(id, "the answer bears another number");
    }
    let seen = match text(headers::OUTCOME) {
        Some(headers::NOT_RUN) => Seen::NotRun,
        Some(headers::ANSWERED) if head.status == StatusCode::OK => {
            check(ledger, &open, id, path, &body, sent, shown);
            Seen::Answered
        }
        _ => Seen::Unknown,
    };
    ledger.ended(id, seen);
    Some(open)
}

/// Checks the body of an answer, and which version of the settings it shows.
fn check(
    ledger: &Ledger,
    open: &Open,
    id: u64,
    path: &str,
    body: &[u8],
    sent: Instant,
    shown: u64,
) {
    let text = String::from_utf8_lossy(body);
    let service = text.split(' ').next().unwrap_or_default();
    if *body != *answer_of(id, service) {
        ledger.mixed(id, "the body is not the whole body");
        return;
    }
    if path != "/moving/1" {
        return;
    }
    // Each version sends the route to a service of its own.
    if let Some(version) = service.strip_prefix(MOVING).and_then(|n| n.parse().ok()) {
        ledger.showed(open.gateway, open.process, sent, shown, version);
    }
}
