//! One call from its dispatcher's first step to its answer.

use super::{
    app::App,
    attempt::{Attempt, End, Way},
    body::Answer,
    copies,
    ending::Ending,
    exchange::{Arrived, Failure, Received},
    inbound::{Inbound, InboundError},
    keyed,
    limits::COME_BACK,
    mailbox::{Mailbox, Step},
    pool::Trust,
    reply::Reply,
};
use azuretally_api::{headers, record::Outcome};
use azuretally_policy::{
    Timestamp,
    dispatch::{Call, CallId, Event, FailureKind, LoadReport, TargetRefusal},
};
use futures_util::{
    StreamExt,
    future::{AbortHandle, Abortable, Aborted},
    stream::FuturesUnordered,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

/// Answers one request.
///
/// # Errors
///
/// None: every request gets an answer.
pub(super) async fn handle(
    app: Arc<App>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
    if request.uri().path() == headers::COPIES_PATH {
        return Ok(copies::take(&app, request).await);
    }
    if request.uri().path() == headers::FENCE_PATH {
        let reply = keyed::fence(&app, request.headers()).await.unwrap_or_else(refuse);
        return Ok(reply.finish(&app, app.context.view().revision));
    }
    let router = app.router.load_full();
    let inbound = match Inbound::read(&app.context, &router, from, request).await {
        Ok(inbound) => inbound,
        Err(e) => return Ok(refuse(e).finish(&app, app.context.view().revision)),
    };
    let revision = inbound.admitted.plan.revision;
    let inbound = Arc::new(inbound);
    let ending = Ending::new(Arc::clone(&app), Arc::clone(&inbound));
    let reply = match &inbound.key {
        Some(key) => keyed::run(&app, &inbound, key, ending).await,
        None => dispatch(&app, inbound, ending).await,
    };
    Ok(reply.finish(&app, revision))
}

/// Outcome that a peer tells, if it is one.
pub(super) fn outcome_of(received: &Received) -> Option<Outcome> {
    match received.head.headers.get(headers::OUTCOME)?.to_str().ok()? {
        headers::ANSWERED => Some(Outcome::Answered),
        headers::NOT_RUN => Some(Outcome::NotRun),
        headers::UNKNOWN => Some(Outcome::Unknown),
        _ => None,
    }
}

/// Waits for the dispatcher and obeys it until the call has ended.
pub(super) async fn dispatch(app: &Arc<App>, inbound: Arc<Inbound>, ending: Ending) -> Reply {
    let id = ending.call();
    let mailbox = Arc::new(Mailbox::default());
    let call = Call {
        id,
        caller: Arc::clone(&inbound.caller),
        operation: inbound.admitted.operation,
        deadline: inbound.deadline,
        relayable: !inbound.relayed && inbound.key.is_none(),
        replayable: inbound.is_replayable(),
    };
    inbound.route.service.arrive(call, Arc::clone(&mailbox));
    let began = inbound.arrival;
    Run { app, inbound, id, mailbox, ending, handles: Vec::new(), began, lost: false }
        .finish()
        .await
}

struct Run<'a> {
    app: &'a Arc<App>,
    inbound: Arc<Inbound>,
    id: CallId,
    mailbox: Arc<Mailbox>,
    ending: Ending,
    handles: Vec<(Arc<str>, AbortHandle)>,
    /// When the oldest open attempt began.
    began: Timestamp,
    /// Whether an attempt was written and its answer lost.
    lost: bool,
}

impl Run<'_> {
    async fn finish(mut self) -> Reply {
        let mailbox = Arc::clone(&self.mailbox);
        let mut attempts = FuturesUnordered::new();
        loop {
            tokio::select! {
                step = mailbox.next() => match step {
                    Step::Dispatch { target, .. } => {
                        self.ending.dispatch(&target);
                        if self.handles.is_empty() {
                            self.began = self.app.context.clock.now();
                        }
                        let (handle, registration) = AbortHandle::new_pair();
                        self.handles.push((Arc::clone(&target), handle));
                        let attempt = self.attempt(Way::Target(target));
                        attempts.push(Abortable::new(attempt.run(), registration));
                    }
                    Step::Relay { peer } => {
                        self.ending.relay(&peer);
                        let (_, registration) = AbortHandle::new_pair();
                        let attempt = self.attempt(Way::Peer(peer));
                        attempts.push(Abortable::new(attempt.run(), registration));
                    }
                    Step::Cancel { target } => self.cancel(&target),
                    Step::Refuse { reason, retry_after } => {
                        let reason = reason.as_str();
                        self.ending.end(Outcome::NotRun, Some(reason));
                        let status = StatusCode::SERVICE_UNAVAILABLE;
                        return Reply::not_run(status, reason, retry_after);
                    }
                    Step::Unknown { reason } => {
                        self.ending.end(Outcome::Unknown, Some(reason.as_str()));
                        return Reply::unknown(reason.as_str());
                    }
                },
                Some(end) = attempts.next() => match end {
                    Ok(End::Target { target, elapsed, result }) => {
                        match self.take_target(target, elapsed, result) {
                            Some(received) => {
                                let outcome = Outcome::Answered;
                                return Reply::passed_on(outcome, received, self.ending);
                            }
                            None => continue,
                        }
                    }
                    Ok(End::Peer { peer, result }) => match self.take_peer(peer, result) {
                        Some((outcome, received)) => {
                            return Reply::passed_on(outcome, received, self.ending);
                        }
                        None => continue,
                    },
                    Err(Aborted) => {}
                },
            }
        }
    }

    fn attempt(&self, way: Way) -> Attempt {
        Attempt {
            app: Arc::clone(self.app),
            inbound: Arc::clone(&self.inbound),
            way,
            trust: self.trust(),
            trace: self.ending.trace(),
        }
    }

    /// Connections that will do for the next attempt. After a silent one no kept one is trusted,
    /// and beside one that is silent so far only those that answered meanwhile.
    fn trust(&self) -> Trust {
        if self.handles.len() > 1 {
            return Trust::Since(self.began);
        }
        match (self.lost, self.inbound.is_idempotent()) {
            (true, _) => Trust::New,
            (false, true) => Trust::Any,
            (false, false) => Trust::Fresh,
        }
    }

    fn cancel(&mut self, target: &str) {
        if let Some(at) = self.handles.iter().position(|(t, _)| **t == *target) {
            let (_, handle) = self.handles.swap_remove(at);
            handle.abort();
            self.ending.close(target);
        }
    }

    /// The answer to pass on, or nothing when the dispatcher decides on.
    fn take_target(
        &mut self,
        target: Arc<str>,
        elapsed: Duration,
        result: Result<Received, Failure>,
    ) -> Option<Received> {
        self.handles.retain(|(t, _)| *t != target);
        let call = self.id;
        let service = Arc::clone(&self.inbound.route.service);
        match result {
            Ok(received) => {
                let report = report_of(&received);
                self.sight(&target, &received, report);
                if let Some(refusal) = refusal_of(&received) {
                    self.ending.close(&target);
                    service.handle(Event::Refused { call, target, refusal, report });
                    return None;
                }
                let ok = !received.head.status.is_server_error();
                self.ending.answered(target, ok, elapsed, report);
                Some(received)
            }
            Err(Failure { kind, proof_not_run }) => {
                self.ending.close(&target);
                self.lost |= !proof_not_run;
                service.handle(Event::Failed { call, target, kind, not_executed: proof_not_run });
                None
            }
        }
    }

    /// Tells control of a target that is leaving.
    fn sight(&self, target: &Arc<str>, received: &Received, report: Option<LoadReport>) {
        if report.is_some_and(|r| r.draining)
            || refusal_of(received) == Some(TargetRefusal::Draining)
        {
            let incarnation = received.head.headers.get(headers::TARGET_INCARNATION);
            let incarnation = incarnation.and_then(|v| v.to_str().ok()).unwrap_or_default();
            self.app.context.control.report_leaving(target, incarnation);
        }
    }

    fn take_peer(
        &mut self,
        peer: Arc<str>,
        result: Result<Received, Failure>,
    ) -> Option<(Outcome, Received)> {
        let call = self.id;
        let service = Arc::clone(&self.inbound.route.service);
        // Only idempotent calls are relayed: what a peer could not tell may be tried again here.
        let broken = Failure { kind: FailureKind::Broken, proof_not_run: false };
        let result = result.and_then(|r| match outcome_of(&r) {
            Some(Outcome::Unknown) | None => Err(broken),
            Some(outcome) => Ok((outcome, r)),
        });
        match result {
            Ok((Outcome::NotRun, _)) => {
                service.handle(Event::PeerRefused { call, peer });
                None
            }
            Ok((outcome, received)) => {
                service.handle(Event::PeerDone { call, peer });
                Some((outcome, received))
            }
            // The peer may have run the call, so it may never be called not run from here on.
            Err(Failure { kind, proof_not_run }) => {
                self.lost |= !proof_not_run;
                service.handle(Event::Failed {
                    call,
                    target: peer,
                    kind,
                    not_executed: proof_not_run,
                });
                None
            }
        }
    }
}

fn refuse(error: InboundError) -> Reply {
    Reply::not_run(error.status(), error.as_str(), COME_BACK)
}

fn refusal_of(received: &Received) -> Option<TargetRefusal> {
    if received.head.status != StatusCode::SERVICE_UNAVAILABLE
        || matches!(received.body, Arrived::Coming(..))
    {
        return None;
    }
    match received.head.headers.get(headers::TARGET_REFUSED)?.as_bytes() {
        b"draining" => Some(TargetRefusal::Draining),
        _ => Some(TargetRefusal::Busy),
    }
}

/// Load that a target reported on its answer.
pub(super) fn report_of(received: &Received) -> Option<LoadReport> {
    let fields = &received.head.headers;
    let busy = fields.get(headers::TARGET_BUSY)?.to_str().ok()?.parse().ok()?;
    let draining = fields.get(headers::TARGET_STATE).is_some_and(|v| v == "draining");
    Some(LoadReport { busy, draining })
}
