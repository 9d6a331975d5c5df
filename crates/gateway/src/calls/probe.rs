//! Sends the load probes that the balancer requests.

use super::{
    body::RequestBody,
    pool::{Connection, ConnectionPool},
    unread::{RequestedTarget, SentRequest},
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::balance::{Probe, ProbeResult};
use bytes::Bytes;
use http::{Request, header::HOST, response};
use http_body_util::{BodyExt, Either, Full};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::{sync::mpsc, task::JoinSet, time::timeout};

/// Timeout of a probe. A later report is no longer useful.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Sends the probes received from `probes` until the task is dropped.
pub(super) async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    mut probes: mpsc::UnboundedReceiver<Probe>,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut in_flight = JoinSet::new();
    loop {
        tokio::select! {
            Some(probe) = probes.recv() => {
                in_flight.spawn_local(send(Rc::clone(&gateway), Rc::clone(&pool), probe));
            }
            Some(_) = in_flight.join_next() => {}
            else => return,
        }
    }
}

async fn send<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>, probe: Probe)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    if let Some(limit) = probe.limit {
        log::info!("calls: probe sent target={} limit={limit}", probe.target);
        gateway.metrics.record_limited_request(&probe.service, "probe");
    }
    let due = gateway.clock.now() + PROBE_TIMEOUT;
    let result = timeout(PROBE_TIMEOUT, exchange(&gateway, &pool, &probe)).await;
    if result.is_err() {
        gateway.record_timer(due);
    }
    let result = result.ok().flatten().unwrap_or(ProbeResult::NoAnswer);
    let answered = result != ProbeResult::NoAnswer;
    gateway.metrics.record_attempt(&probe.service, if answered { "probe" } else { "probe-failed" });
    if !answered {
        log::info!("calls: probe of target={} failed or timed out", probe.target);
        gateway.target_failed.notify_one();
    }
    let now = gateway.clock.now();
    gateway.balancer.borrow_mut().probe_ended(now, &probe, result);
    gateway.dispatch_waiting();
}

async fn exchange<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &ConnectionPool,
    probe: &Probe,
) -> Option<ProbeResult>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let connection = match pool.take(probe.address, false) {
        Some(connection) => connection,
        None => {
            gateway.metrics.target_connections.inc();
            pool.connect(probe.address).await.ok()?
        }
    };
    let head = request(gateway, pool, probe, connection).await?;
    let probe_response = gateway.adapter.parse_probe_response(&head.headers);
    let is_same_target = probe_response.target.is_none_or(|name| name == probe.target);
    if is_same_target {
        let now = gateway.clock.now();
        let mut balancer = gateway.balancer.borrow_mut();
        balancer.record_probe_limit(now, probe, probe_response.limit);
        if let Some(left) = probe_response.warmup {
            balancer.record_probe_warmup(now, probe, left);
        }
    }
    match probe_response.report {
        _ if !is_same_target => None,
        Some(report) => Some(ProbeResult::Report(report)),
        None => head.status.is_success().then_some(ProbeResult::NoReport),
    }
}

/// Requests the probe path on `connection` and returns the connection to the pool. Returns the head
/// of the response, whatever it says, or `None` if there is none. Records what the target says of itself.
pub(super) async fn request<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &ConnectionPool,
    probe: &Probe,
    connection: Connection,
) -> Option<response::Parts>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let path = {
        let table = gateway.routes()?;
        Arc::clone(&table.published().services.get(&probe.service)?.probe_path)
    };
    // Its failure domain may have been evacuated while the connection was opened.
    if gateway.balancer.borrow().is_evacuated(&probe.service, &probe.target) {
        return None;
    }
    let body: RequestBody = Either::Left(Full::new(Bytes::new()));
    let request = Request::get(&*path).header(HOST, probe.address.to_string()).body(body).ok()?;
    let target = RequestedTarget {
        service: Arc::clone(&probe.service),
        name: Arc::clone(&probe.target),
        process: probe.process,
        sent_at: gateway.clock.now(),
    };
    let sent = SentRequest::send(connection, request, Some(&target), pool.unread_answers());
    let (response, connection) = sent.head().await.ok()?;
    // The connection is out of step: the second copy of an answer to an earlier call has arrived.
    if connection.is_reused && gateway.adapter.names_call(response.headers()) {
        return None;
    }
    target.record_notice(gateway, &response);
    let (head, body) = response.into_parts();
    body.collect().await.ok()?;
    pool.release(connection, &head.headers);
    Some(head)
}
