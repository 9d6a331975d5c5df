//! Consumers.

use crate::{
    deployment::Deployment,
    gateway::{CALLS, DIRECTORY},
    http, net,
};
use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// What became of one consumer attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of the request, of which this may be the second attempt.
    pub request: u64,
    pub at: f64,
    pub ended: f64,
    pub id: String,
    pub gateway: String,
    pub path: String,
    /// Status, 0 if there was no answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
}

impl Outcome {
    fn retry_after(&self) -> Duration {
        let value = self.headers.iter().find(|(name, _)| name == "retry-after");
        let seconds: f64 = value.and_then(|(_, text)| text.parse().ok()).unwrap_or(0.0);
        Duration::from_secs_f64(seconds.clamp(0.0, 60.0))
    }
}

/// Sends a request to the gateway at `address` on a new connection.
pub fn call(
    deployment: &Deployment,
    address: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Outcome {
    call_as(deployment, address, method, path, timeout, Caller::default())
}

/// Who sends a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller {
    /// Source address, that of the loopback interface if there is none.
    pub source: Option<Ipv4Addr>,
    /// Further header lines, each with its end.
    pub headers: &'static str,
}

/// Sends a request of `caller`.
pub fn call_as(
    deployment: &Deployment,
    address: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
    caller: Caller,
) -> Outcome {
    let record = &deployment.record;
    let at = record.now();
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let gateway = deployment
        .gateways
        .iter()
        .find(|g| g.at(CALLS) == address)
        .map(|g| g.name.clone())
        .unwrap_or_default();
    record.line(format!("consumer sends {id} {method} {path} to {gateway}"));
    let exchange = || -> std::io::Result<Option<http::Message>> {
        let mut stream = match (caller.source, address) {
            (Some(source), SocketAddr::V4(address)) => net::connect_from(source, address)?,
            _ => TcpStream::connect_timeout(&address, Duration::from_secs(1))?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout + Duration::from_millis(300)))?;
        let body = if method == "POST" { id.as_str() } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {}\r\n\
             {}Content-Length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            caller.headers,
            body.len(),
        );
        stream.write_all(request.as_bytes())?;
        http::read(&mut BufReader::new(stream))
    };
    let answer = exchange().ok().flatten();
    let status = answer.as_ref().map_or(0, http::Message::status);
    let retry_after = answer.as_ref().and_then(|a| a.header("retry-after")).unwrap_or("-");
    record.line(format!("consumer gets {status} for {id} retry_after={retry_after}"));
    Outcome {
        request: 0,
        at,
        ended: record.now(),
        id,
        gateway,
        path: path.to_owned(),
        status,
        headers: answer.map(|a| a.headers).unwrap_or_default(),
    }
}

/// Asks the gateways, those of `zone` first, where consumers of `zone` connect.
pub fn resolve(deployment: &Deployment, zone: &str) -> Vec<SocketAddr> {
    let mut gateways: Vec<_> = deployment.gateways.iter().collect();
    gateways.sort_by_key(|g| g.zone != zone);
    for gateway in gateways {
        let exchange = || -> std::io::Result<Option<http::Message>> {
            let address = gateway.at(DIRECTORY);
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let path = format!("/v1/resolve?name=shop.example&region=r&zone={zone}");
            stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n").as_bytes())?;
            http::read(&mut BufReader::new(stream))
        };
        let Ok(Some(answer)) = exchange() else { continue };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = text.split('[').nth(1).and_then(|t| t.split(']').next()).unwrap_or_default();
        let found: Vec<SocketAddr> =
            list.split(',').filter_map(|t| t.trim_matches('"').parse().ok()).collect();
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// Requests of a zone.
pub struct Traffic {
    pub zone: &'static str,
    pub per_s: f64,
    /// When the last request is sent.
    pub end: f64,
    /// How long a consumer waits.
    pub timeout: Duration,
}

/// Keeps requests coming, to where the directions say. A request that is refused, or may be repeated and
/// fails, is sent once more on a new connection after the time that the answer names.
pub fn start(
    deployment: &Arc<Deployment>,
    traffic: Traffic,
    request: impl Fn(u64) -> (&'static str, String) + Send + 'static,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
) -> JoinHandle<()> {
    let (deployment, outcomes) = (Arc::clone(deployment), Arc::clone(outcomes));
    thread::spawn(move || {
        let mut addresses = Vec::new();
        let mut asked = f64::NEG_INFINITY;
        let mut number = 0;
        let mut calls = Vec::new();
        while deployment.record.now() < traffic.end {
            let now = deployment.record.now();
            if now - asked >= 1.0 {
                let found = resolve(&deployment, traffic.zone);
                addresses = if found.is_empty() { addresses } else { found };
                asked = now;
            }
            if !addresses.is_empty() {
                let first = number as usize % addresses.len();
                let tried = [addresses[first], addresses[(first + 1) % addresses.len()]];
                let (method, path) = request(number);
                let (deployment, outcomes) = (Arc::clone(&deployment), Arc::clone(&outcomes));
                let timeout = traffic.timeout;
                calls.push(thread::spawn(move || {
                    send(&deployment, tried, method, &path, timeout, &outcomes);
                }));
                number += 1;
            }
            thread::sleep(Duration::from_secs_f64(1.0 / traffic.per_s));
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Sends a request, and once more if that is allowed and time is left.
fn send(
    deployment: &Deployment,
    addresses: [SocketAddr; 2],
    method: &str,
    path: &str,
    timeout: Duration,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
    let end = Instant::now() + timeout;
    for (attempt, address) in addresses.into_iter().enumerate() {
        let left = end.saturating_duration_since(Instant::now());
        let outcome = call(deployment, address, method, path, left);
        let (status, wait) = (outcome.status, outcome.retry_after());
        outcomes.lock().unwrap().push(Outcome { request: number, ..outcome });
        let is_promise = [408, 421, 429, 503].contains(&status);
        let is_failure = status == 0 || status >= 500;
        let left = end.saturating_duration_since(Instant::now());
        if attempt > 0 || left.is_zero() || !(is_promise || (is_failure && method == "GET")) {
            return;
        }
        thread::sleep(wait.min(left / 3));
    }
}

/// Returns the number of requests whose path begins with `prefix`, and of those that were answered.
pub fn count_served(outcomes: &[Outcome], prefix: &str) -> (usize, usize) {
    let mut requests: HashMap<u64, bool> = HashMap::new();
    for outcome in outcomes.iter().filter(|o| o.path.starts_with(prefix)) {
        *requests.entry(outcome.request).or_default() |= outcome.status == 200;
    }
    (requests.len(), requests.values().filter(|served| **served).count())
}
