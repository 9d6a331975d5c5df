//! Listens for callers and drains their connections on a planned stop.

use super::{
    body::kept_bytes,
    connection::CallerConnection,
    crash,
    pool::ConnectionPool,
    probe, reach, streams,
    task::handle_call,
    unread::{self, UnreadAnswer},
};
use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    socket::{CallerStream, accept_backlog},
    stop::StopTimes,
};
use azuretally_policy::{
    balance::{Probe, StreamEnd},
    budget::Port,
};
use error_stack::{Report, ResultExt};
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

/// Delay after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after which a connection is closed if the caller acknowledges nothing of what was sent.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum size of the read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum size of a request head in bytes and idle timeout, until settings are known.
const DEFAULT_LIMITS: (usize, Duration) = (16_384, Duration::from_secs(15));
/// Memory that one connection is assumed to use, in kB.
const CONNECTION_MEMORY_KB: u64 = 16;
/// Connections may use the memory of the process divided by this number, which limits how many may
/// be open.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// File descriptors reserved for everything except connections of callers.
const RESERVED_DESCRIPTORS: u64 = 1_200;
/// Lower bound of the limit of open connections, however little memory and however few descriptors
/// the process has.
const MIN_CONNECTION_LIMIT: u64 = 64;
/// Time after the last accept within which a call may still arrive on an open connection.
const LAST_CALL_TIME: Duration = Duration::from_millis(100);
/// Interval at which waiting calls are dispatched or given up.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are removed while no calls wait.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Accepts connections of callers and serves their calls.
#[derive(Debug)]
pub struct Server<Adapter> {
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    listener: TcpListener,
    probes: mpsc::UnboundedReceiver<Probe>,
    unread: mpsc::UnboundedReceiver<UnreadAnswer>,
    stream_ends: mpsc::UnboundedReceiver<StreamEnd>,
    /// Number of connections accepted so far.
    accepted: Cell<u64>,
}

impl<Adapter> Server<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Binds the address for calls. `probes` receives the probes that the balancer requests.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Bind`] if the address cannot be bound.
    pub async fn bind(
        gateway: Rc<Gateway<Adapter>>,
        probes: mpsc::UnboundedReceiver<Probe>,
    ) -> Result<Self, Report<StartError>> {
        let address = gateway.settings().listen.calls;
        let listener =
            TcpListener::bind(address).await.change_context(StartError::Bind(address))?;
        let source = gateway.settings().target_source;
        let (unread_sender, unread) = mpsc::unbounded_channel();
        let (end_sender, stream_ends) = mpsc::unbounded_channel();
        let pool = ConnectionPool::new(gateway.clock, source, unread_sender, end_sender);
        let (pool, accepted) = (Rc::new(pool), Cell::new(0));
        Ok(Self { gateway, pool, listener, probes, unread, stream_ends, accepted })
    }

    /// Serves calls until the planned stop is complete, then cancels the shutdown token.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        let (_, closed) = mpsc::unbounded_channel();
        let probes = std::mem::replace(&mut self.probes, closed);
        let (_, closed) = mpsc::unbounded_channel();
        let unread = std::mem::replace(&mut self.unread, closed);
        let unread_task = unread::run(Rc::clone(&gateway), unread);
        let (_, closed) = mpsc::unbounded_channel();
        let stream_ends = std::mem::replace(&mut self.stream_ends, closed);
        let stream_task = streams::run(Rc::clone(&gateway), stream_ends);
        let probe_task = probe::run(Rc::clone(&gateway), Rc::clone(&self.pool), probes);
        let reach_task = reach::run(Rc::clone(&gateway), Rc::clone(&self.pool));
        let crash_task = crash::run(Rc::clone(&gateway), Rc::clone(&self.pool));
        let maintenance = run_maintenance(Rc::clone(&gateway), Rc::clone(&self.pool));
        let budget = Rc::clone(&gateway.budget);
        tokio::select! {
            () = self.accept_and_drain() => {}
            () = maintenance => {}
            () = probe_task => {}
            () = unread_task => {}
            () = stream_task => {}
            () = reach_task => {}
            () = crash_task => {}
            () = budget.run() => {}
        }
        gateway.shutdown.cancel();
    }

    /// Accepts connections until the planned stop, then drains them within the grace time.
    ///
    /// Callers learn of the stop from directions and from the next answer on their connection. Until
    /// that had time, new connections are accepted and open ones kept, each for one more call. Then
    /// idle connections are closed, and calls in progress are finished.
    async fn accept_and_drain(self) {
        let graceful = GracefulShutdown::new();
        let gateway = &self.gateway;
        self.accept_until(gateway.drain.cancelled(), &graceful).await;
        let grace = Duration::from_millis(gateway.settings().stop.grace_ms);
        let drain_start = Instant::now();
        let stop_times = StopTimes::new(grace);
        gateway.serve_until_stop(&stop_times);
        log::info!("calls: planned stop, connections={}", graceful.count());
        gateway.refresh_membership();
        self.accept_until(sleep_until(drain_start + stop_times.accepting), &graceful).await;
        for (stream, from) in accept_backlog(&self.listener) {
            self.serve(stream, from, &graceful);
        }
        let Self { gateway, listener, .. } = self;
        drop(listener);
        gateway.tasks.close();
        let serving_end = drain_start + stop_times.serving;
        sleep_until(serving_end.min(Instant::now() + LAST_CALL_TIME)).await;
        log::info!("calls: idle connections close, connections={}", graceful.count());
        let closed = async {
            graceful.shutdown().await;
            gateway.tasks.wait().await;
        };
        tokio::pin!(closed);
        let is_closed = timeout_at(serving_end, &mut closed).await.is_ok();
        // Counted from now: after a pause of the process, answers are still to be written.
        if !is_closed && timeout(stop_times.flush, closed).await.is_err() {
            log::warn!(
                "calls: connections={} still open at the end of the grace time",
                gateway.tasks.len()
            );
        }
    }

    /// Accepts connections until `end` completes.
    async fn accept_until<End>(&self, end: End, graceful: &GracefulShutdown)
    where
        End: Future<Output = ()>,
    {
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, from)) => self.serve(stream, from, graceful),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr, graceful: &GracefulShutdown) {
        let gateway = &self.gateway;
        let size = gateway.settings().size;
        let memory_limit =
            size.memory_mb * 1_024 / CONNECTION_MEMORY_DIVISOR / CONNECTION_MEMORY_KB;
        let limit = memory_limit
            .min(size.descriptors.saturating_sub(RESERVED_DESCRIPTORS))
            .max(MIN_CONNECTION_LIMIT);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        if !gateway.budget.make_place(limit, |port| port == Port::Calls) {
            return;
        }
        let limits = gateway.routes().map(|t| t.published().limits);
        let (head_bytes, idle_timeout) =
            limits.map_or(DEFAULT_LIMITS, |l| (l.head_bytes, l.idle_timeout));
        let Ok(stream) = CallerStream::new(stream, STALL_TIMEOUT) else { return };
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        let holding = Rc::new(gateway.budget.open(Port::Calls, stream.state()));
        let account = CallerConnection::new(
            Rc::clone(gateway),
            number,
            from,
            stream.state(),
            Rc::clone(&holding),
        );
        let account = Rc::new(account);
        let service = {
            let gateway = Rc::clone(gateway);
            let pool = Rc::clone(&self.pool);
            let account = Rc::clone(&account);
            let holding = Rc::clone(&holding);
            service_fn(move |request: Request<Incoming>| {
                account.call_started(request.headers().len());
                let origin = account.origin();
                let (gateway, pool) = (Rc::clone(&gateway), Rc::clone(&pool));
                let (account, holding) = (Rc::clone(&account), Rc::clone(&holding));
                async move {
                    holding.written().await;
                    let mut response = handle_call(gateway, pool, origin, holding, request).await?;
                    let kept = kept_bytes(response.body());
                    account.call_ended(&mut response, kept);
                    Ok::<_, Infallible>(response)
                }
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // This timeout also covers the idle time before the next request.
            .header_read_timeout(idle_timeout)
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        gateway.tasks.spawn_local(async move {
            let result = tokio::select! {
                result = connection => result,
                () = holding.ended() => return,
            };
            if let Err(e) = &result {
                log::debug!("calls: connection from {from} ended: {e}");
            }
            account.ended(result);
        });
    }
}

/// Dispatches or gives up waiting calls at regular intervals. While no calls wait, removes expired
/// connections instead.
async fn run_maintenance<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        tokio::select! {
            () = gateway.call_queued.notified() => {}
            () = sleep(POOL_CLEANUP_INTERVAL) => {
                pool.remove_expired();
                continue;
            }
        }
        loop {
            let waiting = gateway.balancer.borrow().waiting_calls();
            gateway.metrics.waiting_calls.set(i64::try_from(waiting).unwrap_or(i64::MAX));
            if waiting == 0 {
                break;
            }
            let due = gateway.clock.now() + DISPATCH_INTERVAL;
            sleep(DISPATCH_INTERVAL).await;
            gateway.record_timer(due);
            gateway.dispatch_waiting();
        }
    }
}
