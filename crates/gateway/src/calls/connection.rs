//! Accounting of callers' connections: the calls served on each, and how it ended.

use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    budget::Holding,
    gateway::Gateway,
    socket::ConnectionState,
};
use azuretally_policy::Timestamp;
use http::{HeaderValue, Response, header::CONNECTION};
use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
};

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Origin {
    /// Address of the caller.
    pub(super) caller: IpAddr,
    /// Number of the connection, unique within the process.
    pub(super) connection: u64,
}

/// Counts the calls of a caller's connection. Once dropped, which must be after the stream of the
/// connection, logs and counts how the connection ended.
#[derive(Debug)]
pub(super) struct CallerConnection<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway: Rc<Gateway<Adapter>>,
    number: u64,
    from: SocketAddr,
    opened_at: Timestamp,
    state: Arc<ConnectionState>,
    holding: Rc<Holding>,
    calls: Cell<u64>,
    in_progress: Cell<bool>,
    result: RefCell<Option<Result<(), hyper::Error>>>,
}

impl<Adapter> CallerConnection<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Creates the account of connection `number`, which was accepted from `from`.
    pub(super) fn new(
        gateway: Rc<Gateway<Adapter>>,
        number: u64,
        from: SocketAddr,
        state: Arc<ConnectionState>,
        holding: Rc<Holding>,
    ) -> Self {
        let opened_at = gateway.clock.now();
        Self {
            gateway,
            number,
            from,
            opened_at,
            state,
            holding,
            calls: Cell::new(0),
            in_progress: Cell::new(false),
            result: RefCell::default(),
        }
    }

    /// Returns the origin of the calls of the connection.
    pub(super) fn origin(&self) -> Origin {
        Origin { caller: self.from.ip(), connection: self.number }
    }

    /// Records that the head of a call with `fields` header fields was read.
    pub(super) fn call_started(&self, fields: usize) {
        self.holding.begin_request(fields);
        self.calls.set(self.calls.get() + 1);
        self.in_progress.set(true);
    }

    /// Records that the answer to the current call, of which `kept` bytes are kept, is ready to be written. If
    /// it is to be the last one on the connection, it announces that.
    pub(super) fn call_ended<Body>(&self, response: &mut Response<Body>, kept: u64) {
        self.holding.end_request(kept);
        self.in_progress.set(false);
        if self.gateway.ends_connection() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if response.headers().contains_key(CONNECTION) {
            self.state.announce_close();
        }
    }

    /// Records that the HTTP connection ended with `result`. Without this, the connection counts as
    /// interrupted by the end of the process.
    pub(super) fn ended(&self, result: Result<(), hyper::Error>) {
        *self.result.borrow_mut() = Some(result);
    }

    fn reason(&self) -> &'static str {
        match &*self.result.borrow() {
            None if self.holding.is_ended() => "ended",
            None => "interrupted",
            Some(Err(e)) if e.is_timeout() => "idle-timeout",
            Some(Err(e)) if e.is_parse() => "malformed",
            Some(_) if self.state.failure() == Some(ErrorKind::TimedOut) => "caller-timeout",
            Some(_) if self.state.failure().is_some() => "caller-reset",
            Some(_) if self.state.is_closed_by_peer() => "caller-closed",
            Some(Err(_)) => "failed",
            Some(Ok(())) => "closed",
        }
    }
}

impl<Adapter> Drop for CallerConnection<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let (reason, state) = (self.reason(), &self.state);
        let (unread, undelivered) = (state.unread_bytes(), state.undelivered_bytes());
        let in_progress = self.in_progress.get();
        let is_cut = in_progress || unread > 0 || undelivered > 0;
        let is_notable = gateway.drain.is_cancelled() || is_cut;
        log::log!(
            if is_notable { log::Level::Info } else { log::Level::Debug },
            "calls: connection ended connection={} from={} reason={reason} calls={} \
             in_progress={in_progress} unread_bytes={unread} undelivered_bytes={undelivered} ms={}",
            self.number,
            self.from,
            self.calls.get(),
            gateway.clock.now().since(self.opened_at).as_millis(),
        );
        gateway.metrics.record_connection_end(reason, unread > 0, undelivered > 0);
    }
}
