//! Sends the probes that dispatchers request within their probe budgets.

use super::{
    app::App,
    body::RequestBody,
    exchange::{Exchange, UpstreamResponse},
    handler::{load_report, take_notice, target_incarnation},
    limits::PROBE_TIMEOUT,
    pool::ReusePolicy,
    service::{ProbeRequest, Service},
};
use azuretally_api::headers;
use azuretally_policy::dispatch::{Event, FailureKind, LoadReport};
use bytes::Bytes;
use http::Request;
use http_body_util::{Either, Full};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc;

/// Path at which a target reports its load.
const LOAD_PATH: &str = "/-/load";

/// Sends probes until the process shuts down.
pub(super) async fn run(app: Arc<App>, mut probes: mpsc::UnboundedReceiver<ProbeRequest>) {
    loop {
        let probe_request = tokio::select! {
            probe_request = probes.recv() => probe_request,
            () = app.context.shutdown.cancelled() => return,
        };
        let Some(probe_request) = probe_request else { return };
        app.tasks.spawn(probe(Arc::clone(&app), probe_request));
    }
}

async fn probe(app: Arc<App>, probe_request: ProbeRequest) {
    let ProbeRequest { service, target } = probe_request;
    let address = service.targets.load().address(&target);
    let report = match address.and_then(|a| load_request(&app, a).map(|r| (a, r))) {
        Some((address, request)) => {
            let deadline = app.context.clock.now() + PROBE_TIMEOUT;
            let exchange = Exchange {
                app: &app,
                address,
                reuse: ReusePolicy::RecentlyActive,
                deadline,
                timeout: PROBE_TIMEOUT,
            };
            match exchange.run(request).await {
                Ok(response) => take_response(&app, &service, &target, &response),
                Err(error) if error.kind == FailureKind::Paused => return,
                Err(_) => None,
            }
        }
        None => None,
    };
    service.handle(Event::Probed { target, report });
}

/// Passes on what the response to a probe says about the target. Returns its load report.
fn take_response(
    app: &App,
    service: &Arc<Service>,
    target: &Arc<str>,
    response: &UpstreamResponse,
) -> Option<LoadReport> {
    take_notice(app, service, target, response);
    let report = load_report(response)?;
    if !report.draining {
        app.context.control.report_serving(target, target_incarnation(response));
    }
    Some(report)
}

fn load_request(app: &App, address: SocketAddr) -> Option<Request<RequestBody>> {
    Request::get(LOAD_PATH)
        .header(http::header::HOST, address.to_string())
        .header(headers::TARGET_ATTEMPT, app.next_attempt())
        .body(Either::Left(Full::new(Bytes::new())))
        .ok()
}
