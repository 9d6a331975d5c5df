//! The one end of every call: counters, record and dispatcher are told together.

use super::{app::App, inbound::Inbound, pool::Connection};
use azuretally_api::record::{CallRecord, Outcome};
use azuretally_policy::{
    Timestamp,
    dispatch::{CallId, Event, FailureKind, LoadReport},
};
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
    ended: bool,
}

impl Ending {
    /// Counts the call as taken in.
    pub(super) fn new(app: Arc<App>, inbound: Arc<Inbound>, call: CallId) -> Self {
        inbound.route.counts.take();
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
            ended: false,
        }
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
            service.handle(Event::Failed { call: self.call, target, kind, proof_not_run: false });
        }
        service.leave(self.call);
        let now = self.app.context.clock.now();
        self.inbound.route.counts.end(outcome, now <= self.inbound.deadline);
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
        self.inbound.route.service.handle(Event::CallerGone(self.call));
        let outcome = match self.dispatched {
            Some(_) => Outcome::Unknown,
            None => Outcome::NotRun,
        };
        self.end(outcome, Some("caller-gone"));
    }
}
