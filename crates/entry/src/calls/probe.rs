//! Probes: the dispatcher orders them within its budget, a task here asks the target.

use super::{
    app::App, body::Payload, exchange::Exchange, handler::report_of, limits::PROBE_TIMEOUT,
    pool::Trust, service::ProbeOrder,
};
use azuretally_policy::dispatch::Event;
use bytes::Bytes;
use http::Request;
use http_body_util::{Either, Full};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc;

/// Path at which a target tells its load.
const LOAD_PATH: &str = "/-/load";

/// Carries out probes until the end of the process.
pub(super) async fn run(app: Arc<App>, mut orders: mpsc::UnboundedReceiver<ProbeOrder>) {
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            () = app.context.shutdown.cancelled() => return,
        };
        let Some(order) = order else { return };
        app.tasks.spawn(probe(Arc::clone(&app), order));
    }
}

async fn probe(app: Arc<App>, order: ProbeOrder) {
    let ProbeOrder { service, target } = order;
    let address = service.targets.load().address(&target);
    let report = match address.and_then(|a| request(a).map(|r| (a, r))) {
        Some((address, request)) => {
            let deadline = app.context.clock.now() + PROBE_TIMEOUT;
            let exchange = Exchange {
                app: &app,
                address,
                trust: Trust::Fresh,
                deadline,
                limit: PROBE_TIMEOUT,
            };
            exchange.run(request).await.ok().as_ref().and_then(report_of)
        }
        None => None,
    };
    service.handle(Event::Probed { target, report });
}

fn request(address: SocketAddr) -> Option<Request<Payload>> {
    Request::get(LOAD_PATH)
        .header(http::header::HOST, address.to_string())
        .body(Either::Left(Full::new(Bytes::new())))
        .ok()
}
