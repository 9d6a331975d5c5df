//! Asks targets for their load when the balancer orders it.

use super::{
    body::Payload,
    pool::{Connection, Pool},
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::balance::{Probe, ProbeResult};
use bytes::Bytes;
use http::{Request, header::HOST};
use http_body_util::{BodyExt, Either, Full};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::{sync::mpsc, task::JoinSet, time::timeout};

/// Time in which a probe is of use.
const LIMIT: Duration = Duration::from_millis(80);

/// Sends the probes that are ordered until the task is dropped.
pub(super) async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<Pool>,
    mut orders: mpsc::UnboundedReceiver<Probe>,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            Some(probe) = orders.recv() => {
                probes.spawn_local(send(Rc::clone(&gateway), Rc::clone(&pool), probe));
            }
            Some(_) = probes.join_next() => {}
            else => return,
        }
    }
}

async fn send<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<Pool>, probe: Probe)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let result = timeout(LIMIT, exchange(&gateway, &pool, &probe)).await.unwrap_or_default();
    let result = result.unwrap_or(ProbeResult::NoAnswer);
    let answered = result != ProbeResult::NoAnswer;
    gateway.metrics.attempt(&probe.service, if answered { "probe" } else { "probe-failed" });
    if !answered {
        log::info!("calls: probe of target={} was not answered", probe.target);
    }
    let now = gateway.clock.now();
    gateway.balancer.borrow_mut().probe_ended(now, &probe, result);
    gateway.dispatch_waiting();
}

async fn exchange<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &Pool,
    probe: &Probe,
) -> Option<ProbeResult>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let path = {
        let table = gateway.routes()?;
        Arc::clone(&table.published().services.get(&probe.service)?.probe_path)
    };
    let mut connection: Connection = match pool.take(probe.address, false) {
        Some(connection) => connection,
        None => {
            gateway.metrics.connections.inc();
            pool.connect(probe.address).await.ok()?
        }
    };
    let body: Payload = Either::Left(Full::new(Bytes::new()));
    let request = Request::get(&*path).header(HOST, probe.address.to_string()).body(body).ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    body.collect().await.ok()?;
    pool.keep_after(connection, &head.headers);
    let told = gateway.adapter.parse_probe_response(&head);
    let same = told.target.is_none_or(|name| name == probe.target);
    match told.report {
        _ if !same => None,
        Some(report) => Some(ProbeResult::Report(report)),
        None => head.status.is_success().then_some(ProbeResult::NoReport),
    }
}
