//! Listens for callers, and carries out the planned stop.

use super::{pool::Pool, probe, task::handle};
use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    socket::prepare,
};
use azuretally_policy::balance::Probe;
use error_stack::{Report, ResultExt};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a connection closes whose other end takes nothing in.
const SILENCE: Duration = Duration::from_secs(3);
/// Least read buffer that hyper takes.
const LEAST_BUFFER: usize = 8_192;
/// Bytes of a head and idle time before settings are known.
const FIRST_LIMITS: (usize, Duration) = (16_384, Duration::from_secs(15));
/// Memory that one connection may need, by which their number is limited.
const CONNECTION_KB: u64 = 16;
/// Part of the memory that connections may take.
const CONNECTION_PART: u64 = 4;
/// Descriptors kept for everything but callers' connections.
const KEPT_DESCRIPTORS: u64 = 1_200;
/// Part of the grace time in which new connections are still served, since callers keep directions
/// for a while.
const NOTICE: f64 = 0.45;
/// Time before the kill at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at waiting calls.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two looks at idle connections.
const SWEEP: Duration = Duration::from_secs(2);

/// Server of callers' calls.
#[derive(Debug)]
pub struct Server<Adapter> {
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<Pool>,
    listener: TcpListener,
    orders: mpsc::UnboundedReceiver<Probe>,
}

impl<Adapter> Server<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Listens on the address for calls.
    ///
    /// # Errors
    ///
    /// [`StartError::Bind`] when the address cannot be used.
    pub async fn bind(
        gateway: Rc<Gateway<Adapter>>,
        orders: mpsc::UnboundedReceiver<Probe>,
    ) -> Result<Self, Report<StartError>> {
        let address = gateway.settings().listen.calls;
        let listener =
            TcpListener::bind(address).await.change_context(StartError::Bind(address))?;
        let pool = Rc::new(Pool::new(gateway.clock));
        Ok(Self { gateway, pool, listener, orders })
    }

    /// Serves until the planned stop has finished every call in flight.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        let (_, none) = mpsc::unbounded_channel();
        let orders = std::mem::replace(&mut self.orders, none);
        let prober = probe::run(Rc::clone(&gateway), Rc::clone(&self.pool), orders);
        let house = keep_house(Rc::clone(&gateway), Rc::clone(&self.pool));
        tokio::select! {
            () = self.accept() => {}
            () = house => {}
            () = prober => {}
        }
        gateway.shutdown.cancel();
    }

    async fn accept(self) {
        let graceful = GracefulShutdown::new();
        let gateway = &self.gateway;
        loop {
            tokio::select! {
                () = gateway.drain.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, from)) => self.serve(stream, from, Some(&graceful)),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        }
        let grace = Duration::from_millis(gateway.settings().stop.grace_ms);
        let begun = Instant::now();
        log::info!("calls: planned stop, connections={}", graceful.count());
        gateway.refresh_membership();
        // Open connections end with the answer that is under way; new ones get one answer each.
        let finishing = graceful.shutdown();
        tokio::pin!(finishing);
        let notice = sleep_until(begun + grace.mul_f64(NOTICE));
        tokio::pin!(notice);
        let mut finished = false;
        loop {
            tokio::select! {
                () = &mut notice => break,
                () = &mut finishing, if !finished => finished = true,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, from)) => self.serve(stream, from, None),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        }
        let Self { gateway, listener, .. } = self;
        drop(listener);
        gateway.tasks.close();
        let end = begun + grace.saturating_sub(MARGIN);
        if timeout_at(end, gateway.tasks.wait()).await.is_err() {
            log::warn!("calls: connections={} did not end in time", gateway.tasks.len());
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr, graceful: Option<&GracefulShutdown>) {
        let gateway = &self.gateway;
        let size = gateway.settings().size;
        let by_memory = size.memory_mb * 1_024 / CONNECTION_PART / CONNECTION_KB;
        let most = by_memory.min(size.descriptors.saturating_sub(KEPT_DESCRIPTORS)).max(64);
        if gateway.tasks.len() as u64 >= most {
            log::warn!("calls: connection from {from} refused, open={most}");
            return;
        }
        if prepare(&stream, SILENCE).is_err() {
            return;
        }
        let limits = gateway.routes().map(|t| t.published().limits);
        let (head, idle) = limits.map_or(FIRST_LIMITS, |l| (l.head_bytes, l.idle_timeout));
        let service = {
            let gateway = Rc::clone(gateway);
            let pool = Rc::clone(&self.pool);
            service_fn(move |request| {
                handle(Rc::clone(&gateway), Rc::clone(&pool), from.ip(), request)
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The time also covers the wait for the next head.
            .header_read_timeout(idle)
            .max_buf_size(head.max(LEAST_BUFFER))
            .keep_alive(graceful.is_some())
            .serve_connection(TokioIo::new(stream), service);
        let watcher = graceful.map(GracefulShutdown::watcher);
        gateway.tasks.spawn_local(async move {
            let result = match watcher {
                Some(watcher) => watcher.watch(connection).await,
                None => connection.await,
            };
            if let Err(e) = result {
                log::debug!("calls: connection from {from} ended: {e}");
            }
        });
    }
}

/// Gives up waiting calls in time, and closes idle connections.
async fn keep_house<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<Pool>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        tokio::select! {
            () = gateway.call_queued.notified() => {}
            () = sleep(SWEEP) => {
                pool.sweep();
                continue;
            }
        }
        loop {
            let waiting = gateway.balancer.borrow().waiting_calls();
            gateway.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
            if waiting == 0 {
                break;
            }
            sleep(LOOK).await;
            gateway.dispatch_waiting();
        }
    }
}
