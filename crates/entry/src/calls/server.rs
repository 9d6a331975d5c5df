//! Accepts connections from callers and carries out the planned stop.

use super::{
    app::App,
    connection::{CallerConnection, EndCounts},
    handler,
    limits::{
        ABORT_TIMEOUT, CALLER_STALL_TIMEOUT, DEFAULT_STOP_TIMEOUT, HEAD_TIMEOUT, LAST_CALL_TIME,
        MAINTENANCE_INTERVAL, MAX_CALLER_CONNECTIONS, MAX_HEAD_BYTES, MAX_HEADERS, MIN_PAUSE,
        STOP_NOTICE_PERIOD,
    },
    probe,
    service::ProbeRequest,
    view_updates,
};
use crate::{
    StartError,
    context::Context,
    socket::{CallerStream, accept_backlog},
};
use azuretally_policy::dispatch::Event;
use error_stack::{Report, ResultExt};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout},
};

/// Delay after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP server for callers.
#[derive(Debug)]
pub struct Server {
    app: Arc<App>,
    listener: TcpListener,
    probes: mpsc::UnboundedReceiver<ProbeRequest>,
}

impl Server {
    /// Binds the call address of the local settings.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Bind`] if the address cannot be bound.
    pub async fn bind(context: Arc<Context>) -> Result<Self, Report<StartError>> {
        let address = context.local.listen.calls;
        let listener =
            TcpListener::bind(address).await.change_context(StartError::Bind(address))?;
        let (probe_sender, probes) = mpsc::unbounded_channel();
        Ok(Self { app: Arc::new(App::new(context, probe_sender)), listener, probes })
    }

    /// Serves calls until the planned stop. Returns once the calls in flight have finished, or when
    /// the time allowed for that has passed.
    pub async fn run(self) {
        let Self { app, listener, probes } = self;
        let view_updates = tokio::spawn(view_updates::run(Arc::clone(&app)));
        let prober = tokio::spawn(probe::run(Arc::clone(&app), probes));
        let maintenance = tokio::spawn(run_maintenance(Arc::clone(&app)));
        let metrics = &app.context.metrics;
        let ends_before = async {
            app.context.stop.cancelled().await;
            EndCounts::read(metrics)
        };
        let acceptor = Acceptor::new(Arc::clone(&app), listener);
        let (ends_before, ()) = tokio::join!(ends_before, acceptor.run());
        log::info!("calls: listener closed, connections={}", app.connections.len());
        let stop_timeout = app.context.local.stop_timeout_ms;
        let stop_timeout =
            stop_timeout.map_or(DEFAULT_STOP_TIMEOUT, |ms| Duration::from_millis(ms.into()));
        finish_calls(&app, stop_timeout).await;
        log::info!(
            "calls: connections ended during the stop: {} open={}",
            EndCounts::read(metrics).since(&ends_before),
            app.connections.len()
        );
        app.context.shutdown.cancel();
        for task in [view_updates, prober, maintenance] {
            if task.await.is_err() {
                log::error!("calls: background task panicked");
            }
        }
    }
}

/// Accepts connections from callers.
struct Acceptor {
    app: Arc<App>,
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl Acceptor {
    fn new(app: Arc<App>, listener: TcpListener) -> Self {
        Self { app, listener, permits: Arc::new(Semaphore::new(MAX_CALLER_CONNECTIONS)) }
    }

    /// Accepts connections until [`STOP_NOTICE_PERIOD`] after the planned stop was requested, then
    /// closes the listener.
    async fn run(self) {
        let stop_accepting = async {
            self.app.context.stop.cancelled().await;
            sleep_until(Instant::now() + STOP_NOTICE_PERIOD).await;
        };
        tokio::pin!(stop_accepting);
        loop {
            let accepted = tokio::select! {
                () = &mut stop_accepting => break,
                accepted = self.accept() => accepted,
            };
            match accepted {
                Some((stream, client, permit)) => self.spawn(stream, client, permit),
                None => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        for (stream, client) in accept_backlog(&self.listener) {
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { break };
            self.spawn(stream, client, permit);
        }
    }

    async fn accept(&self) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok()?;
        let (stream, client) = self.listener.accept().await.ok()?;
        Some((stream, client, permit))
    }

    fn spawn(&self, stream: TcpStream, client: SocketAddr, permit: OwnedSemaphorePermit) {
        let connection = serve(Arc::clone(&self.app), stream, client);
        self.app.connections.spawn(async move {
            let _permit = permit;
            connection.await;
        });
    }
}

async fn serve(app: Arc<App>, stream: TcpStream, client: SocketAddr) {
    let Ok(stream) = CallerStream::new(stream, CALLER_STALL_TIMEOUT) else { return };
    let account = CallerConnection::new(Arc::clone(&app), client, stream.state());
    let account = Arc::new(account);
    let service = service_fn(|request| {
        let (app, account) = (Arc::clone(&app), Arc::clone(&account));
        async move {
            account.call_started(request.version());
            let mut response = handler::handle(app, client.ip(), request).await?;
            account.call_ended(&mut response);
            Ok::<_, Infallible>(response)
        }
    });
    let builder = connection_builder();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = app.close.cancelled() => {
            account.closing();
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = &result {
        log::debug!("calls: connection from {client} failed: {e}");
    }
    account.ended(result.is_err());
}

fn connection_builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEAD_BYTES as u32);
    builder
}

/// Waits for the calls in flight for at most `stop_timeout`, then aborts them and waits until their
/// answers have been delivered, for at most [`ABORT_TIMEOUT`].
async fn finish_calls(app: &App, stop_timeout: Duration) {
    let mut drained = pin!(drain(app));
    if timeout(stop_timeout, drained.as_mut()).await.is_ok() {
        return;
    }
    log::warn!("calls: connections={} open after {stop_timeout:?}", app.connections.len());
    app.abort.cancel();
    if timeout(ABORT_TIMEOUT, drained).await.is_err() {
        log::warn!("calls: connections={} still open at the exit", app.connections.len());
    }
}

/// Waits until the calls in flight have finished and the connections from callers are closed, then
/// closes the connections to targets and peers and waits for the remaining tasks.
async fn drain(app: &App) {
    sleep(LAST_CALL_TIME).await;
    app.close.cancel();
    app.connections.close();
    app.connections.wait().await;
    log::info!("calls: all connections from callers are closed");
    app.pool.close();
    app.tasks.close();
    app.tasks.wait().await;
}

/// Reports pauses of the process to every dispatcher, closes expired idle connections and updates
/// the free slots and the age of the oldest waiting call.
async fn run_maintenance(app: Arc<App>) {
    let mut pauses = app.context.control.subscribe_pauses();
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = pauses.changed() => {
                for service in app.router.load().services() {
                    service.handle(Event::ProcessPaused(MIN_PAUSE));
                }
            }
            () = app.context.shutdown.cancelled() => return,
        }
        app.pool.close_expired();
        let samples: Vec<_> = app.router.load().services().map(|s| s.sample()).collect();
        let oldest = samples.iter().filter_map(|s| s.oldest).min();
        let rests = samples.iter().map(|s| s.rests).sum();
        let resting = samples.iter().map(|s| s.resting).sum();
        app.context.metrics.observe_rests(rests, resting);
        let now = app.context.clock.now();
        app.context.counts.set_oldest_waiting(oldest.map_or(Duration::ZERO, |at| now - at));
    }
}
