//! The one end of every call: counters, record and dispatcher are told together.

use super::{app::App, inbound::Inbound, pool::Connection, reply::Reply};
use crate::trace::ActiveSpan;
use azuretally_api::record::{CallRecord, Outcome};
use azuretally_policy::{
    Timestamp,
    dispatch::{CallId, Event, FailureKind, LoadReport},
};
use opentelemetry::trace::SpanContext;
use std::{sync::Arc, time::Duration};

/// Answer of a target that is reported to the dispatcher when its body has ended.
#[derive(Debug)]
struct Pending {
    target: Arc<str>,
    ok: bool,
    elapsed: Duration,
    report: Option<LoadReport>,
}

/// Accompanies a call to its end. When it is dropped before [`Ending::end`], the caller went away.
#[derive(Debug)]
pub(super) struct Ending {
    app: Arc<App>,
    inbound: Arc<Inbound>,
    call: CallId,
    open: Vec<Arc<str>>,
    pending: Option<Pending>,
    dispatched: Option<Timestamp>,
    target: Option<Arc<str>>,
    peer: Option<Arc<str>>,
    attempts: u32,
    hop: Option<ActiveSpan>,
    doubtful: bool,
    ended: bool,
}

impl Ending {
    /// Counts the call as taken in.
    pub(super) fn new(app: Arc<App>, inbound: Arc<Inbound>) -> Self {
        let call = app.next_call();
        inbound.route.counts.record_arrival();
        let hop = app.context.tracing.as_ref().map(|t| {
            let plan = &inbound.admitted.plan;
            t.call(format!("{}.{}", plan.service, inbound.route.operation), &inbound.headers)
        });
        Self {
            app,
            inbound,
            call,
            open: Vec::new(),
            pending: None,
            dispatched: None,
            target: None,
            peer: None,
            attempts: 0,
            hop,
            doubtful: false,
            ended: false,
        }
    }

    /// Number of the call.
    pub(super) fn call(&self) -> CallId {
        self.call
    }

    /// Notes that an earlier call with the same key may run or have run.
    pub(super) fn doubt(&mut self) {
        self.doubtful = true;
    }

    /// Ends the call with the outcome of a reply.
    pub(super) fn conclude(mut self, reply: Reply) -> Reply {
        self.end(reply.outcome, reply.reason);
        reply
    }

    /// Names the span of the call towards its attempts.
    pub(super) fn trace(&self) -> Option<SpanContext> {
        self.hop.as_ref().map(ActiveSpan::context)
    }

    /// An attempt at a target begins.
    pub(super) fn dispatch(&mut self, target: &Arc<str>) {
        self.dispatched = Some(self.app.context.clock.now());
        self.target = Some(Arc::clone(target));
        self.attempts += 1;
        self.open.push(Arc::clone(target));
    }

    /// The call goes to a peer.
    pub(super) fn relay(&mut self, peer: &Arc<str>) {
        self.dispatched = Some(self.app.context.clock.now());
        self.peer = Some(Arc::clone(peer));
    }

    /// The attempt at the target is over.
    pub(super) fn close(&mut self, target: &str) {
        if let Some(at) = self.open.iter().position(|t| **t == *target) {
            self.open.swap_remove(at);
        }
    }

    /// The target answered; the dispatcher is told at the end of the call.
    pub(super) fn answered(
        &mut self,
        target: Arc<str>,
        ok: bool,
        elapsed: Duration,
        report: Option<LoadReport>,
    ) {
        self.close(&target);
        self.target = Some(Arc::clone(&target));
        self.pending = Some(Pending { target, ok, elapsed, report });
    }

    /// Keeps a connection for other calls.
    pub(super) fn keep(&self, connection: Connection) {
        self.app.pool.keep(connection);
    }

    /// Ends the call.
    pub(super) fn end(&mut self, outcome: Outcome, reason: Option<&str>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let service = &self.inbound.route.service;
        if let Some(Pending { target, ok, elapsed, report }) = self.pending.take() {
            let ok = ok && outcome == Outcome::Answered;
            service.handle(Event::Answered { call: self.call, target, ok, elapsed, report });
        }
        for target in self.open.drain(..) {
            let kind = FailureKind::Broken;
            service.handle(Event::Failed { call: self.call, target, kind, not_executed: false });
        }
        service.leave(self.call);
        let now = self.app.context.clock.now();
        self.inbound.route.counts.record_end(outcome, now <= self.inbound.deadline);
        if let Some(mut hop) = self.hop.take() {
            hop.note("outcome", outcome.as_str().to_owned());
            hop.note("reason", reason.unwrap_or_default().to_owned());
            hop.note("revision", self.inbound.admitted.plan.revision.to_string());
        }
        self.app.context.records.push(self.record(now, outcome, reason));
    }

    fn record(&self, now: Timestamp, outcome: Outcome, reason: Option<&str>) -> CallRecord {
        let inbound = &self.inbound;
        let plan = &inbound.admitted.plan;
        let operation = &plan.operations[inbound.admitted.operation];
        CallRecord {
            revision: plan.revision,
            service: plan.service.to_string(),
            operation: operation.name.to_string(),
            class: plan.classes[operation.class].name.to_string(),
            caller: inbound.caller.to_string(),
            key: inbound.key.as_ref().map(|k| k.text.to_string()),
            arrival_us: inbound.arrival.as_micros(),
            deadline_us: inbound.deadline.as_micros(),
            dispatch_us: self.dispatched.map(Timestamp::as_micros),
            end_us: now.as_micros(),
            target: self.target.as_deref().map(str::to_owned),
            peer: self.peer.as_deref().map(str::to_owned),
            attempts: self.attempts,
            outcome,
            reason: reason.map(str::to_owned),
        }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.inbound.route.service.handle(Event::CallerDisconnected(self.call));
        let outcome = match self.dispatched.is_some() || self.doubtful {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        self.end(outcome, Some("caller-gone"));
    }
}
