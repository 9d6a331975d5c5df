//! One attempt of a call at a target or a peer.

use super::{
    app::App,
    exchange::{Exchange, Failure, Received, request_from},
    inbound::Inbound,
    limits::ATTEMPT_MIN,
    pool::Trust,
};
use crate::trace::ActiveSpan;
use azuretally_api::headers;
use azuretally_policy::dispatch::FailureKind;
use http::{HeaderName, HeaderValue};
use opentelemetry::trace::SpanContext;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(super) enum Way {
    /// To a target.
    Target(Arc<str>),
    /// To a peer, which waits for a target itself.
    Peer(Arc<str>),
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum End {
    /// The exchange with a target is over.
    Target { target: Arc<str>, elapsed: Duration, result: Result<Received, Failure> },
    /// The exchange with a peer is over.
    Peer { peer: Arc<str>, result: Result<Received, Failure> },
}

/// One attempt of a call.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Shared parts.
    pub(super) app: Arc<App>,
    /// The call.
    pub(super) inbound: Arc<Inbound>,
    /// Where to.
    pub(super) way: Way,
    /// Connections that will do.
    pub(super) trust: Trust,
    /// Span of the call.
    pub(super) trace: Option<SpanContext>,
}

impl Attempt {
    /// Makes the attempt.
    pub(super) async fn run(self) -> End {
        let started = self.app.context.clock.now();
        let remaining = self.inbound.deadline - started;
        match &self.way {
            Way::Target(target) => {
                let address = self.inbound.route.service.targets.load().address(target);
                let fields = [
                    (HeaderName::from_static(headers::TARGET_TIMEOUT_MS), millis(remaining)),
                    (HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1")),
                ];
                let limit = self.half(remaining);
                let result = self.exchange(address, fields, limit).await;
                let elapsed = self.app.context.clock.now() - started;
                End::Target { target: Arc::clone(target), elapsed, result }
            }
            Way::Peer(peer) => {
                let address = self.app.context.view().entries.get(peer).map(|e| e.call_address);
                let limit = self.half(remaining);
                let result = self.exchange(address, relay_fields(limit), limit).await;
                End::Peer { peer: Arc::clone(peer), result }
            }
        }
    }

    /// Half of the time when another attempt may follow, all of it otherwise.
    fn half(&self, remaining: Duration) -> Duration {
        match self.inbound.is_idempotent() && self.inbound.is_replayable() {
            true => (remaining / 2).max(ATTEMPT_MIN).min(remaining),
            false => remaining,
        }
    }

    async fn exchange(
        &self,
        address: Option<SocketAddr>,
        fields: [(HeaderName, HeaderValue); 2],
        limit: Duration,
    ) -> Result<Received, Failure> {
        let unsent = Failure { kind: FailureKind::Connect, proof_not_run: true };
        let address = address.ok_or(unsent)?;
        let mut request = request_from(&self.inbound, address, fields).ok_or(unsent)?;
        let hop = self.open_hop();
        if let (Some(tracing), Some(hop)) = (&self.app.context.tracing, &hop) {
            tracing.inject(hop, request.headers_mut());
        }
        let deadline = self.inbound.deadline;
        let exchange = Exchange { app: &self.app, address, trust: self.trust, deadline, limit };
        exchange.run(request).await
    }

    fn open_hop(&self) -> Option<ActiveSpan> {
        let trace = self.trace.as_ref()?;
        let name = match &self.way {
            Way::Target(target) => format!("target {target}"),
            Way::Peer(peer) => format!("peer {peer}"),
        };
        Some(self.app.context.tracing.as_ref()?.attempt(name, trace))
    }
}

/// Field values with which a call goes to a peer.
pub(super) fn relay_fields(remaining: Duration) -> [(HeaderName, HeaderValue); 2] {
    [
        (HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1")),
        (HeaderName::from_static(headers::TIMEOUT_MS), millis(remaining)),
    ]
}

fn millis(d: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
