//! Sends the probes that dispatchers request within their probe budgets.

use super::{
    app::App,
    body::RequestBody,
    exchange::Exchange,
    handler::{load_report, take_notice},
    limits::PROBE_TIMEOUT,
    pool::ReusePolicy,
    service::ProbeRequest,
};
use azuretally_policy::dispatch::Event;
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
    let report = match address.and_then(|a| load_request(a).map(|r| (a, r))) {
        Some((address, request)) => {
            let deadline = app.context.clock.now() + PROBE_TIMEOUT;
            let exchange = Exchange {
                app: &app,
                address,
                reuse: ReusePolicy::RecentlyActive,
                deadline,
                timeout: PROBE_TIMEOUT,
            };
            let response = exchange.run(request).await.ok();
            if let Some(response) = &response {
                take_notice(&app, &service, &target, response);
            }
            response.as_ref().and_then(load_report)
        }
        None => None,
    };
    service.handle(Event::Probed { target, report });
}

fn load_request(address: SocketAddr) -> Option<Request<RequestBody>> {
    Request::get(LOAD_PATH)
        .header(http::header::HOST, address.to_string())
        .body(Either::Left(Full::new(Bytes::new())))
        .ok()
}
