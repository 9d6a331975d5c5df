//! Ends every call exactly once and updates counters, record, span and dispatcher together.

use super::{app::App, inbound::Inbound, pool::Connection, reply::Reply};
use crate::trace::ActiveSpan;
use azuretally_api::record::{CallRecord, Outcome};
use azuretally_policy::{
    Timestamp,
    dispatch::{CallId, Event, FailureKind, LoadReport},
    fleet::PublishedRevision,
};
use opentelemetry::trace::SpanContext;
use std::{sync::Arc, time::Duration};

/// Response of a target that is reported to the dispatcher once its body is complete.
#[derive(Debug)]
struct PendingResponse {
    target: Arc<str>,
    ok: bool,
    elapsed: Duration,
    report: Option<LoadReport>,
}

/// Guard that ends a call. Dropping it before [`CallGuard::end`] means that the caller
/// disconnected.
#[derive(Debug)]
pub(super) struct CallGuard {
    app: Arc<App>,
    inbound: Arc<Inbound>,
    call: CallId,
    /// Targets with an attempt in progress.
    open_attempts: Vec<Arc<str>>,
    pending_response: Option<PendingResponse>,
    /// Start of the last attempt or relay.
    dispatched_at: Option<Timestamp>,
    target: Option<Arc<str>>,
    peer: Option<Arc<str>>,
    attempts: u32,
    span: Option<ActiveSpan>,
    /// Whether an earlier call with the same key may have been executed.
    possibly_executed: bool,
    ended: bool,
}

impl CallGuard {
    /// Counts the call as accepted and starts its span.
    pub(super) fn new(app: Arc<App>, inbound: Arc<Inbound>) -> Self {
        let call = app.next_call_id();
        inbound.route.counts.record_arrival();
        let span = app.context.tracing.as_ref().map(|t| {
            let config = &inbound.config.service;
            t.start_call(
                format!("{}.{}", config.service, inbound.route.operation),
                &inbound.headers,
            )
        });
        Self {
            app,
            inbound,
            call,
            open_attempts: Vec::new(),
            pending_response: None,
            dispatched_at: None,
            target: None,
            peer: None,
            attempts: 0,
            span,
            possibly_executed: false,
            ended: false,
        }
    }

    /// Returns the time until the body of the response must end.
    pub(super) fn body_time_left(&self) -> Duration {
        self.inbound.body_deadline - self.app.context.clock.now()
    }

    /// Returns the id of the call.
    pub(super) fn call_id(&self) -> CallId {
        self.call
    }

    /// Records that an earlier call with the same key may be running or have been executed.
    pub(super) fn mark_possibly_executed(&mut self) {
        self.possibly_executed = true;
    }

    /// Ends the call with the outcome of `reply`.
    pub(super) fn end_with(mut self, reply: Reply) -> Reply {
        self.end(reply.outcome, reply.reason);
        reply
    }

    /// Returns the span of the call, as the parent of its attempts.
    pub(super) fn span_context(&self) -> Option<SpanContext> {
        self.span.as_ref().map(ActiveSpan::context)
    }

    /// Records the start of an attempt at `target`.
    pub(super) fn start_attempt(&mut self, target: &Arc<str>) {
        self.dispatched_at = Some(self.app.context.clock.now());
        self.target = Some(Arc::clone(target));
        self.attempts += 1;
        self.open_attempts.push(Arc::clone(target));
    }

    /// Records that the call is relayed to `peer`.
    pub(super) fn start_relay(&mut self, peer: &Arc<str>) {
        self.dispatched_at = Some(self.app.context.clock.now());
        self.peer = Some(Arc::clone(peer));
    }

    /// Records the end of the attempt at `target`.
    pub(super) fn end_attempt(&mut self, target: &str) {
        if let Some(index) = self.open_attempts.iter().position(|t| **t == *target) {
            self.open_attempts.swap_remove(index);
        }
    }

    /// Records the response of `target`, which is reported to the dispatcher when the call ends.
    pub(super) fn record_response(
        &mut self,
        target: Arc<str>,
        ok: bool,
        elapsed: Duration,
        report: Option<LoadReport>,
    ) {
        self.end_attempt(&target);
        self.target = Some(Arc::clone(&target));
        self.pending_response = Some(PendingResponse { target, ok, elapsed, report });
    }

    /// Returns a connection to the pool.
    pub(super) fn release(&self, connection: Connection) {
        self.app.pool.release(connection);
    }

    /// Ends the call. Has no effect on a call that has already ended.
    pub(super) fn end(&mut self, outcome: Outcome, reason: Option<&str>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let service = &self.inbound.route.service;
        if let Some(PendingResponse { target, ok, elapsed, report }) = self.pending_response.take()
        {
            let ok = ok && outcome == Outcome::Answered;
            service.handle(Event::Answered { call: self.call, target, ok, elapsed, report });
        }
        for target in self.open_attempts.drain(..) {
            let kind = FailureKind::Broken;
            service.handle(Event::Failed { call: self.call, target, kind, not_executed: false });
        }
        service.remove_call(self.call);
        let now = self.app.context.clock.now();
        self.inbound.route.counts.record_end(outcome, now <= self.inbound.deadline);
        if let Some(mut span) = self.span.take() {
            span.set_attribute("outcome", outcome.as_str().to_owned());
            span.set_attribute("reason", reason.unwrap_or_default().to_owned());
            let revision = PublishedRevision::from_code(self.inbound.config.service.revision);
            span.set_attribute("revision", revision.number().to_string());
        }
        self.app.context.records.push(self.record(now, outcome, reason));
    }

    fn record(&self, now: Timestamp, outcome: Outcome, reason: Option<&str>) -> CallRecord {
        let inbound = &self.inbound;
        let config = &inbound.config.service;
        let operation = &config.operations[inbound.config.operation];
        let revision = PublishedRevision::from_code(config.revision);
        CallRecord {
            revision: revision.number(),
            era: revision.later_era(),
            service: config.service.to_string(),
            operation: operation.name.to_string(),
            class: config.classes[operation.class].name.to_string(),
            caller: inbound.caller.to_string(),
            key: inbound.key.as_ref().map(|k| k.text.to_string()),
            arrival_us: inbound.arrival.as_micros(),
            deadline_us: inbound.deadline.as_micros(),
            dispatch_us: self.dispatched_at.map(Timestamp::as_micros),
            end_us: now.as_micros(),
            target: self.target.as_deref().map(str::to_owned),
            peer: self.peer.as_deref().map(str::to_owned),
            attempts: self.attempts,
            outcome,
            reason: reason.map(str::to_owned),
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.inbound.route.service.handle(Event::CallerDisconnected(self.call));
        let outcome = match self.dispatched_at.is_some() || self.possibly_executed {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        self.end(outcome, Some("caller-gone"));
    }
}
