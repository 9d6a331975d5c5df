//! Answers to those who ask for directions, readiness, news or metrics.

use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::serve,
    settings::Listen,
};
use azuretally_policy::balance::Phase;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use std::{future::pending, net::SocketAddr, rc::Rc, sync::Arc};
use tokio::net::TcpListener;

/// Path at which a gateway tells another one what it knows beyond a revision, `?after=REV`.
pub(super) const NEWS_PATH: &str = "/news";
/// Begins the query of such a question.
pub(super) const AFTER: &str = "after=";
/// Path whose answer never comes: the end of the connection tells of the end of the process.
pub(super) const LIFE_PATH: &str = "/life";

/// Sockets of the small servers.
#[derive(Debug)]
pub struct ControlServers {
    directions: TcpListener,
    readiness: TcpListener,
    news: TcpListener,
    metrics: Option<TcpListener>,
}

impl ControlServers {
    /// Listens on the addresses.
    ///
    /// # Errors
    ///
    /// [`StartError::Bind`] when one cannot be used.
    pub async fn bind(listen: &Listen) -> Result<Self, Report<StartError>> {
        let metrics = match listen.metrics {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        Ok(Self {
            directions: bind(listen.directions).await?,
            readiness: bind(listen.readiness).await?,
            news: bind(listen.news).await?,
            metrics,
        })
    }

    pub(super) async fn run<Adapter>(self, gateway: Rc<Gateway<Adapter>>)
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        let end = || gateway.shutdown.clone();
        let directions = serve(self.directions, end(), {
            let gateway = Rc::clone(&gateway);
            move |request| {
                let response = direct(&gateway, &request);
                async move { response }
            }
        });
        let readiness = serve(self.readiness, end(), {
            let gateway = Rc::clone(&gateway);
            move |request| {
                let response = readiness(&gateway, &request);
                async move { response }
            }
        });
        let news = serve(self.news, end(), {
            let gateway = Rc::clone(&gateway);
            move |request: Request<()>| news(Rc::clone(&gateway), request)
        });
        let metrics = async {
            let Some(listener) = self.metrics else { return };
            let gateway = Rc::clone(&gateway);
            let answer = move |_: Request<()>| {
                let text = gateway.metrics_text();
                async move { Response::new(Bytes::from(text)) }
            };
            serve(listener, end(), answer).await;
        };
        tokio::join!(directions, readiness, news, metrics);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(address).await.change_context(StartError::Bind(address))
}

fn plain(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn direct<Adapter>(gateway: &Gateway<Adapter>, request: &Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let Some(query) = gateway.adapter.parse_directions_query(request) else {
        return plain(StatusCode::NOT_FOUND);
    };
    let own = Arc::clone(&gateway.settings().failure_domain);
    let domain = if query.failure_domain.is_empty() { own } else { query.failure_domain };
    let directions = gateway.membership.borrow().directions(&domain);
    gateway.adapter.directions_response(&directions)
}

fn readiness<Adapter>(gateway: &Gateway<Adapter>, request: &Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    if !gateway.adapter.is_readiness_query(request) {
        return plain(StatusCode::NOT_FOUND);
    }
    match gateway.membership.borrow().phase() {
        Phase::Ready => plain(StatusCode::OK),
        Phase::Starting | Phase::Leaving => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn news<Adapter>(gateway: Rc<Gateway<Adapter>>, request: Request<()>) -> Response<Bytes>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    match request.uri().path() {
        LIFE_PATH => pending().await,
        NEWS_PATH => {
            let now = gateway.clock.now();
            let query = request.uri().query().unwrap_or_default();
            let after = query.strip_prefix(AFTER).and_then(|a| a.parse().ok()).unwrap_or(0);
            let (age, told) = {
                let catalog = gateway.catalog.borrow();
                (catalog.age(now), catalog.update_since(after))
            };
            match postcard::to_allocvec(&(age, told)) {
                Ok(bytes) => {
                    let mut response = Response::new(Bytes::from(bytes));
                    let kind = http::HeaderValue::from_static("application/octet-stream");
                    response.headers_mut().insert(CONTENT_TYPE, kind);
                    response
                }
                Err(e) => {
                    log::error!("control: news cannot be encoded: {e}");
                    plain(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        _ => plain(StatusCode::NOT_FOUND),
    }
}
