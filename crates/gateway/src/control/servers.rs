//! HTTP servers for directions, readiness, catalog synchronization and metrics.

use super::codec::{SyncAnswer, SyncQuery};
use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::{NoAnswer, PortBudget, serve},
    settings::Listen,
    stop::StopTimes,
};
use azuretally_policy::{balance::Phase, budget::Port};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use std::{future::ready, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::net::TcpListener;

/// Path that returns the catalog changes after what a [`SyncQuery`] says.
pub(super) const SYNC_PATH: &str = "/news";
/// Path whose requests are never answered: a peer holds a request open and learns from the closed
/// connection that this process has ended.
pub(super) const LIVENESS_PATH: &str = "/life";
/// Maximum number of such requests that are held open. Only the gateways of one failure domain hold them, one
/// each; the other connections of the port are left to catalog updates.
const MAX_LIVENESS_REQUESTS: usize = 384;

/// Listening sockets of the control servers.
#[derive(Debug)]
pub struct ControlServers {
    directions: TcpListener,
    readiness: TcpListener,
    sync: TcpListener,
    metrics: Option<TcpListener>,
}

impl ControlServers {
    /// Binds all listening sockets.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Bind`] if an address cannot be used.
    pub async fn bind(listen: &Listen) -> Result<Self, Report<StartError>> {
        let metrics = match listen.metrics {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        Ok(Self {
            directions: bind(listen.directions).await?,
            readiness: bind(listen.readiness).await?,
            sync: bind(listen.news).await?,
            metrics,
        })
    }

    pub(super) async fn run<Adapter>(self, gateway: Rc<Gateway<Adapter>>)
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        let shutdown = || gateway.shutdown.clone();
        let grace = Duration::from_millis(gateway.settings().stop.grace_ms);
        let close_timeout = StopTimes::new(grace).closing;
        let budget = |port| PortBudget { budget: Rc::clone(&gateway.budget), port };
        let directions =
            serve(self.directions, shutdown(), close_timeout, budget(Port::Directions), {
                let gateway = Rc::clone(&gateway);
                move |request| ready(Ok(answer_directions(&gateway, &request)))
            });
        let readiness =
            serve(self.readiness, shutdown(), close_timeout, budget(Port::Readiness), {
                let gateway = Rc::clone(&gateway);
                move |request| ready(Ok(answer_readiness(&gateway, &request)))
            });
        let sync = serve(self.sync, shutdown(), close_timeout, budget(Port::Peers), {
            let gateway = Rc::clone(&gateway);
            let held = Rc::new(());
            move |request: Request<()>| answer_sync(Rc::clone(&gateway), Rc::clone(&held), request)
        });
        let metrics = async {
            let Some(listener) = self.metrics else { return };
            let gateway = Rc::clone(&gateway);
            let handler =
                move |_: Request<()>| ready(Ok(Response::new(Bytes::from(gateway.metrics_text()))));
            serve(listener, shutdown(), close_timeout, budget(Port::Metrics), handler).await;
        };
        tokio::join!(directions, readiness, sync, metrics);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(address).await.change_context(StartError::Bind(address))
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn answer_directions<Adapter>(gateway: &Gateway<Adapter>, request: &Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let Some(query) = gateway.adapter.parse_directions_query(request) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let own_domain = Arc::clone(&gateway.settings().failure_domain);
    let domain = if query.failure_domain.is_empty() { own_domain } else { query.failure_domain };
    let directions = gateway.membership.borrow().directions(&domain);
    gateway.adapter.directions_response(&directions)
}

fn answer_readiness<Adapter>(gateway: &Gateway<Adapter>, request: &Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    if !gateway.adapter.is_readiness_query(request) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match gateway.membership.borrow().phase() {
        Phase::Ready | Phase::Detached => empty_response(StatusCode::OK),
        Phase::Starting | Phase::Leaving => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers a request of another gateway. `held` is shared by all requests in progress.
async fn answer_sync<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    held: Rc<()>,
    request: Request<()>,
) -> Result<Response<Bytes>, NoAnswer>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    match request.uri().path() {
        // An answer does not say that the process has ended, as a closed connection would.
        LIVENESS_PATH if Rc::strong_count(&held) > MAX_LIVENESS_REQUESTS => {
            Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE))
        }
        LIVENESS_PATH => {
            gateway.shutdown.cancelled().await;
            Err(NoAnswer)
        }
        SYNC_PATH => Ok(sync_response(&gateway, &request)),
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn sync_response<Adapter>(gateway: &Gateway<Adapter>, request: &Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let query = SyncQuery::parse(request.uri().query().unwrap_or_default());
    let answer = {
        let catalog = gateway.catalog.borrow();
        let mut update = catalog.update_since(query.revision, query.settings);
        catalog.update_warmups(now, &mut update);
        SyncAnswer {
            age: catalog.age(now),
            era: catalog.revision().era,
            update,
            evacuations: catalog.evacuation_notice(),
            cold_rates: catalog.cold_rates(),
        }
    };
    match answer.encode() {
        Ok(bytes) => {
            let mut response = Response::new(Bytes::from(bytes));
            let content_type = http::HeaderValue::from_static("application/octet-stream");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(e) => {
            log::error!("control: cannot encode catalog update: {e}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
