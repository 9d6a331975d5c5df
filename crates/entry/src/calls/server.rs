//! Listens for callers, and carries out the planned stop.

use super::{
    app::App,
    feed, handler,
    limits::{
        CALLER_CONNECTIONS, CALLER_SILENCE, HEAD_BYTES, HEAD_FIELDS, HEAD_TIMEOUT, HOUSE_INTERVAL,
        PAUSE_GAP, STOP_LIMIT, STOP_NOTICE,
    },
    probe,
    service::ProbeOrder,
};
use crate::{StartError, context::Context, socket::configure};
use azuretally_policy::dispatch::Event;
use error_stack::{Report, ResultExt};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout},
};

/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Server of callers' calls.
#[derive(Debug)]
pub struct Server {
    app: Arc<App>,
    listener: TcpListener,
    orders: mpsc::UnboundedReceiver<ProbeOrder>,
}

impl Server {
    /// Listens on the address for calls.
    ///
    /// # Errors
    ///
    /// [`StartError::Bind`] when the address cannot be used.
    pub async fn bind(context: Arc<Context>) -> Result<Self, Report<StartError>> {
        let address = context.local.listen.calls;
        let listener =
            TcpListener::bind(address).await.change_context(StartError::Bind(address))?;
        let (probes, orders) = mpsc::unbounded_channel();
        Ok(Self { app: Arc::new(App::new(context, probes)), listener, orders })
    }

    /// Serves until the planned stop has finished every call in flight.
    pub async fn run(self) {
        let Self { app, listener, orders } = self;
        let feed = tokio::spawn(feed::run(Arc::clone(&app)));
        let prober = tokio::spawn(probe::run(Arc::clone(&app), orders));
        let keeper = tokio::spawn(keep_house(Arc::clone(&app)));
        let graceful = GracefulShutdown::new();
        accept(&app, &listener, &graceful).await;
        drop(listener);
        log::info!("calls: listener closed, {} connections left", graceful.count());
        if timeout(STOP_LIMIT, finish(&app, graceful)).await.is_err() {
            log::warn!("calls: some calls did not end in {STOP_LIMIT:?}");
        }
        app.context.end.cancel();
        for task in [feed, prober, keeper] {
            if task.await.is_err() {
                log::error!("calls: a task panicked");
            }
        }
    }
}

/// Takes connections until the planned stop and a notice after it.
async fn accept(app: &Arc<App>, listener: &TcpListener, graceful: &GracefulShutdown) {
    let permits = Arc::new(Semaphore::new(CALLER_CONNECTIONS));
    let notice = async {
        app.context.stop.cancelled().await;
        sleep_until(Instant::now() + STOP_NOTICE).await;
    };
    tokio::pin!(notice);
    loop {
        let accepted = tokio::select! {
            () = &mut notice => return,
            accepted = async {
                let permit = Arc::clone(&permits).acquire_owned().await;
                (listener.accept().await, permit)
            } => accepted,
        };
        let (Ok((stream, from)), permit) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve(Arc::clone(app), stream, from, graceful);
        app.tasks.spawn(async move {
            let _permit = permit;
            connection.await;
        });
    }
}

fn serve(
    app: Arc<App>,
    stream: TcpStream,
    from: SocketAddr,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    let watcher = graceful.watcher();
    async move {
        if configure(&stream, CALLER_SILENCE).is_err() {
            return;
        }
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_BYTES)
            .max_headers(HEAD_FIELDS);
        builder.http2().timer(TokioTimer::new()).max_header_list_size(HEAD_BYTES as u32);
        let service = service_fn(|r| handler::handle(Arc::clone(&app), from.ip(), r));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(e) = watcher.watch(connection).await {
            log::debug!("calls: connection from {from} ended: {e}");
        }
    }
}

async fn finish(app: &App, graceful: GracefulShutdown) {
    graceful.shutdown().await;
    log::info!("calls: connections of callers ended");
    app.pool.close();
    app.tasks.close();
    app.tasks.wait().await;
}

/// Tells every dispatcher of pauses of the process, closes connections that were idle for long and
/// notes the age of the oldest waiting call.
async fn keep_house(app: Arc<App>) {
    let mut pauses = app.context.control.pauses();
    let mut ticks = interval(HOUSE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = pauses.changed() => {
                for service in app.router.load().services() {
                    service.handle(Event::ProcessPaused(PAUSE_GAP));
                }
            }
            () = app.context.end.cancelled() => return,
        }
        app.pool.sweep();
        let oldest = app.router.load().services().filter_map(|s| s.look()).min();
        let now = app.context.clock.now();
        app.context.counts.set_oldest_waiting(oldest.map_or(Duration::ZERO, |at| now - at));
    }
}
