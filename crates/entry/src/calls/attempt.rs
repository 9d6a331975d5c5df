//! One attempt to execute a call at a target or peer.

use super::{
    app::App,
    exchange::{Exchange, ExchangeError, UpstreamResponse, request_from},
    inbound::Inbound,
    limits::MIN_ATTEMPT_TIMEOUT,
    pool::ReusePolicy,
};
use crate::trace::ActiveSpan;
use azuretally_api::headers;
use azuretally_policy::dispatch::FailureKind;
use http::{HeaderName, HeaderValue};
use opentelemetry::trace::SpanContext;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An attempt that another attempt may follow gets the remaining time of the call divided by this
/// number, if that is at least [`MIN_ATTEMPT_TIMEOUT`].
const REMAINING_TIME_DIVISOR: u32 = 2;

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub(super) enum Destination {
    /// The target with this name.
    Target(Arc<str>),
    /// The peer with this host name, which dispatches the call to a target.
    Peer(Arc<str>),
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The exchange with a target has finished.
    Target { target: Arc<str>, elapsed: Duration, result: Result<UpstreamResponse, ExchangeError> },
    /// The exchange with a peer has finished.
    Peer { peer: Arc<str>, result: Result<UpstreamResponse, ExchangeError> },
}

/// One attempt to execute a call.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Shared state.
    pub(super) app: Arc<App>,
    /// The call to execute.
    pub(super) inbound: Arc<Inbound>,
    /// Target or peer that gets the call.
    pub(super) destination: Destination,
    /// Which idle connections may be used.
    pub(super) reuse: ReusePolicy,
    /// Span of the call, if calls are traced.
    pub(super) call_span: Option<SpanContext>,
}

impl Attempt {
    /// Sends the call and waits for the response.
    pub(super) async fn run(self) -> AttemptResult {
        let started = self.app.context.clock.now();
        let remaining = self.inbound.deadline - started;
        match &self.destination {
            Destination::Target(target) => {
                let address = self.inbound.route.service.targets.load().address(target);
                let extra_headers = [
                    (HeaderName::from_static(headers::TARGET_TIMEOUT_MS), millis(remaining)),
                    (HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1")),
                    (HeaderName::from_static(headers::TARGET_ATTEMPT), self.app.next_attempt()),
                ];
                let timeout = self.timeout(remaining);
                let result = self.exchange(address, extra_headers, timeout).await;
                let elapsed = self.app.context.clock.now() - started;
                AttemptResult::Target { target: Arc::clone(target), elapsed, result }
            }
            Destination::Peer(peer) => {
                let address = self.app.context.view().entries.get(peer).map(|e| e.call_address);
                let timeout = self.timeout(remaining);
                let result = self.exchange(address, relay_headers(timeout), timeout).await;
                AttemptResult::Peer { peer: Arc::clone(peer), result }
            }
        }
    }

    /// Returns half of the remaining time, but at least [`MIN_ATTEMPT_TIMEOUT`], if another attempt
    /// may follow, otherwise all of it.
    fn timeout(&self, remaining: Duration) -> Duration {
        match self.inbound.is_idempotent() && self.inbound.is_replayable() {
            true => (remaining / REMAINING_TIME_DIVISOR).max(MIN_ATTEMPT_TIMEOUT).min(remaining),
            false => remaining,
        }
    }

    async fn exchange<const N: usize>(
        &self,
        address: Option<SocketAddr>,
        extra_headers: [(HeaderName, HeaderValue); N],
        timeout: Duration,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let unsent = ExchangeError { kind: FailureKind::Connect, not_executed: true };
        let address = address.ok_or(unsent)?;
        let mut request = request_from(&self.inbound, address, extra_headers).ok_or(unsent)?;
        let span = self.start_span();
        if let (Some(tracing), Some(span)) = (&self.app.context.tracing, &span) {
            tracing.inject(span, request.headers_mut());
        }
        let deadline = self.inbound.deadline;
        let exchange = Exchange { app: &self.app, address, reuse: self.reuse, deadline, timeout };
        exchange.run(request).await
    }

    fn start_span(&self) -> Option<ActiveSpan> {
        let call_span = self.call_span.as_ref()?;
        let name = match &self.destination {
            Destination::Target(target) => format!("target {target}"),
            Destination::Peer(peer) => format!("peer {peer}"),
        };
        Some(self.app.context.tracing.as_ref()?.start_attempt(name, call_span))
    }
}

/// Returns the header fields added to a call that is relayed to a peer with `timeout`.
pub(super) fn relay_headers(timeout: Duration) -> [(HeaderName, HeaderValue); 2] {
    [
        (HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1")),
        (HeaderName::from_static(headers::TIMEOUT_MS), millis(timeout)),
    ]
}

fn millis(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
