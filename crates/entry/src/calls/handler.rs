//! Handles requests and executes the steps that the dispatcher decides for each call.

use super::{
    app::App,
    attempt::{Attempt, AttemptResult, Destination},
    body::ReplyBody,
    call_guard::CallGuard,
    connection::announce_close,
    copies,
    exchange::{ExchangeError, ResponseBody, UpstreamResponse},
    inbound::{Inbound, InboundError},
    keyed,
    limits::DEFAULT_RETRY_AFTER,
    mailbox::{Mailbox, Step},
    pool::ReusePolicy,
    reply::Reply,
    service::Service,
};
use azuretally_api::{
    headers,
    record::Outcome,
    retry_after::{RetryAfter, retry_after},
};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Call, CallId, Event, FailureKind, LoadReport, RefusalReason, TargetNotice, TargetRefusal,
    },
    fleet::PublishedRevision,
};
use futures_util::{
    StreamExt,
    future::{AbortHandle, Abortable, Aborted},
    stream::FuturesUnordered,
};
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{DATE, RETRY_AFTER},
};
use http_body::Body;
use hyper::body::Incoming;
use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

/// Handles one request.
///
/// # Errors
///
/// Never fails: every request gets a response.
pub(super) async fn handle(
    app: Arc<App>,
    client_ip: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    if request.uri().path() == headers::COPIES_PATH {
        return Ok(copies::receive(&app, request).await);
    }
    if request.uri().path() == headers::FENCE_PATH {
        let reply = keyed::fence(&app, request.headers()).await.unwrap_or_else(rejection);
        return Ok(reply.into_response(&app, app.context.view().revision.number()));
    }
    let router = app.router.load_full();
    let has_body = !request.body().is_end_stream();
    let inbound = match Inbound::read(&app.context, &router, client_ip, request).await {
        Ok(inbound) => inbound,
        Err(e) => {
            let mut response =
                rejection(e).into_response(&app, app.context.view().revision.number());
            if has_body {
                announce_close(&mut response);
            }
            return Ok(response);
        }
    };
    let revision = PublishedRevision::from_code(inbound.config.service.revision).number();
    let inbound = Arc::new(inbound);
    let guard = CallGuard::new(Arc::clone(&app), Arc::clone(&inbound));
    let reply = match &inbound.key {
        Some(key) => keyed::run(&app, &inbound, key, guard).await,
        None => dispatch(&app, Arc::clone(&inbound), guard).await,
    };
    let mut response = reply.into_response(&app, revision);
    // The rest of the body stands where the next call would begin.
    if !inbound.body.is_complete() {
        announce_close(&mut response);
    }
    Ok(response)
}

/// Returns the outcome that a peer reported, if it is a known one.
pub(super) fn reported_outcome(response: &UpstreamResponse) -> Option<Outcome> {
    match response.head.headers.get(headers::OUTCOME)?.to_str().ok()? {
        headers::ANSWERED => Some(Outcome::Answered),
        headers::NOT_RUN => Some(Outcome::NotRun),
        headers::UNKNOWN => Some(Outcome::Unknown),
        _ => None,
    }
}

/// Submits the call to its dispatcher and executes the steps until the call has ended.
pub(super) async fn dispatch(app: &Arc<App>, inbound: Arc<Inbound>, guard: CallGuard) -> Reply {
    let id = guard.call_id();
    let mailbox = Arc::new(Mailbox::default());
    let call = Call {
        id,
        caller: Arc::clone(&inbound.caller),
        operation: inbound.config.operation,
        deadline: inbound.deadline,
        relayable: !inbound.relayed && inbound.key.is_none(),
        replayable: inbound.is_replayable(),
    };
    inbound.route.service.submit(call, Arc::clone(&mailbox));
    let oldest_start = inbound.arrival;
    CallTask {
        app,
        inbound,
        id,
        mailbox,
        guard,
        abort_handles: Vec::new(),
        oldest_start,
        response_lost: false,
        cancelled: false,
    }
    .run()
    .await
}

/// Executes the steps of one call and tracks its attempts.
struct CallTask<'a> {
    app: &'a Arc<App>,
    inbound: Arc<Inbound>,
    id: CallId,
    mailbox: Arc<Mailbox>,
    guard: CallGuard,
    /// Attempts in progress, by target.
    abort_handles: Vec<(Arc<str>, AbortHandle)>,
    /// Start of the last attempt that began while no other attempt at a target was in progress. No
    /// attempt in progress is older.
    oldest_start: Timestamp,
    /// Whether an attempt was written whose response did not arrive.
    response_lost: bool,
    /// Whether an attempt was cancelled that may have been written.
    cancelled: bool,
}

impl CallTask<'_> {
    async fn run(mut self) -> Reply {
        let mailbox = Arc::clone(&self.mailbox);
        let exiting = self.app.abort.clone();
        let mut attempts = FuturesUnordered::new();
        loop {
            tokio::select! {
                biased;
                () = exiting.cancelled() => return self.abort(!attempts.is_empty()),
                step = mailbox.next() => match step {
                    Step::Dispatch { target, .. } => {
                        self.guard.start_attempt(&target);
                        if self.abort_handles.is_empty() {
                            self.oldest_start = self.app.context.clock.now();
                        }
                        let (abort_handle, registration) = AbortHandle::new_pair();
                        self.abort_handles.push((Arc::clone(&target), abort_handle));
                        let attempt = self.new_attempt(Destination::Target(target));
                        attempts.push(Abortable::new(attempt.run(), registration));
                    }
                    Step::Relay { peer } => {
                        self.guard.start_relay(&peer);
                        let (_, registration) = AbortHandle::new_pair();
                        let attempt = self.new_attempt(Destination::Peer(peer));
                        attempts.push(Abortable::new(attempt.run(), registration));
                    }
                    Step::Cancel { target } => self.cancel(&target),
                    Step::Refuse { reason, retry_after } => {
                        let reason = reason.as_str();
                        self.guard.end(Outcome::NotRun, Some(reason));
                        let status = StatusCode::SERVICE_UNAVAILABLE;
                        return Reply::not_run(status, reason, retry_after);
                    }
                    Step::Unknown { reason } => {
                        self.guard.end(Outcome::Unknown, Some(reason.as_str()));
                        return Reply::unanswered(reason);
                    }
                },
                Some(result) = attempts.next() => match result {
                    Ok(AttemptResult::Target { target, elapsed, result }) => {
                        match self.handle_target_result(target, elapsed, result) {
                            Some(response) => {
                                let outcome = Outcome::Answered;
                                return Reply::forwarded(outcome, response, self.guard);
                            }
                            None => continue,
                        }
                    }
                    Ok(AttemptResult::Peer { peer, result }) => {
                        match self.handle_peer_result(peer, result) {
                            Some((outcome, response)) => {
                                return Reply::forwarded(outcome, response, self.guard);
                            }
                            None => continue,
                        }
                    }
                    Err(Aborted) => {}
                },
            }
        }
    }

    fn new_attempt(&self, destination: Destination) -> Attempt {
        Attempt {
            app: Arc::clone(self.app),
            inbound: Arc::clone(&self.inbound),
            destination,
            reuse: self.reuse_policy(),
            call_span: self.guard.span_context(),
        }
    }

    /// Returns which idle connections the next attempt may use.
    ///
    /// While another attempt waits for its response, only connections that have answered since
    /// `oldest_start` are used. Otherwise, none are used after a response was lost.
    fn reuse_policy(&self) -> ReusePolicy {
        if self.abort_handles.len() > 1 {
            return ReusePolicy::AnsweredSince(self.oldest_start);
        }
        match (self.response_lost, self.inbound.is_idempotent()) {
            (true, _) => ReusePolicy::Never,
            (false, true) => ReusePolicy::Any,
            (false, false) => ReusePolicy::RecentlyActive,
        }
    }

    fn cancel(&mut self, target: &str) {
        if let Some(index) = self.abort_handles.iter().position(|(t, _)| **t == *target) {
            let (_, abort_handle) = self.abort_handles.swap_remove(index);
            abort_handle.abort();
            self.cancelled = true;
            self.guard.end_attempt(target);
        }
    }

    /// Ends the call because the entry is about to exit.
    fn abort(mut self, in_progress: bool) -> Reply {
        let reason = RefusalReason::Stopping.as_str();
        if in_progress || self.response_lost || self.cancelled {
            self.guard.end(Outcome::Unknown, Some(reason));
            return Reply::unknown(reason);
        }
        self.guard.end(Outcome::NotRun, Some(reason));
        Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, DEFAULT_RETRY_AFTER)
    }

    /// Returns the response to forward to the caller, or `None` if the dispatcher decides what
    /// happens next.
    fn handle_target_result(
        &mut self,
        target: Arc<str>,
        elapsed: Duration,
        result: Result<UpstreamResponse, ExchangeError>,
    ) -> Option<UpstreamResponse> {
        self.abort_handles.retain(|(t, _)| *t != target);
        let call = self.id;
        let service = Arc::clone(&self.inbound.route.service);
        match result {
            Ok(response) => {
                let report = load_report(&response);
                take_notice(self.app, &service, &target, &response);
                if let Some(refusal) = target_refusal(&response) {
                    self.guard.end_attempt(&target);
                    service.handle(Event::Refused { call, target, refusal, report });
                    return None;
                }
                let ok = !response.head.status.is_server_error();
                self.guard.record_response(target, ok, elapsed, report);
                Some(response)
            }
            Err(ExchangeError { kind, not_executed }) => {
                self.guard.end_attempt(&target);
                self.response_lost |= !not_executed;
                service.handle(Event::Failed { call, target, kind, not_executed });
                None
            }
        }
    }

    /// Returns the outcome and response to forward to the caller, or `None` if the dispatcher
    /// decides what happens next.
    fn handle_peer_result(
        &mut self,
        peer: Arc<str>,
        result: Result<UpstreamResponse, ExchangeError>,
    ) -> Option<(Outcome, UpstreamResponse)> {
        let call = self.id;
        let service = Arc::clone(&self.inbound.route.service);
        // Only idempotent calls are relayed, so a call whose outcome the peer does not know may be
        // retried here.
        let broken = ExchangeError { kind: FailureKind::Broken, not_executed: false };
        let result = result.and_then(|r| match reported_outcome(&r) {
            Some(Outcome::Unknown) | None => Err(broken),
            Some(outcome) => Ok((outcome, r)),
        });
        match result {
            Ok((Outcome::NotRun, _)) => {
                service.handle(Event::PeerRefused { call, peer });
                None
            }
            Ok((outcome, response)) => {
                service.handle(Event::PeerDone { call, peer });
                Some((outcome, response))
            }
            // Unless `not_executed` is set, the peer may have run the call, so its outcome can no
            // longer be "not run".
            Err(ExchangeError { kind, not_executed }) => {
                self.response_lost |= !not_executed;
                service.handle(Event::Failed { call, target: peer, kind, not_executed });
                None
            }
        }
    }
}

/// Returns the reply to a request that was not accepted.
fn rejection(error: InboundError) -> Reply {
    Reply::not_run(error.status(), error.as_str(), DEFAULT_RETRY_AFTER)
}

/// Returns why the target refused the call without running it, or `None` if it did not refuse it.
fn target_refusal(response: &UpstreamResponse) -> Option<TargetRefusal> {
    if response.head.status != StatusCode::SERVICE_UNAVAILABLE
        || matches!(response.body, ResponseBody::Streaming(..))
    {
        return None;
    }
    match response.head.headers.get(headers::TARGET_REFUSED)?.as_bytes() {
        b"draining" => Some(TargetRefusal::Draining),
        _ => Some(TargetRefusal::Busy),
    }
}

/// Passes what the head of a response of a target says about the target to the dispatcher, and to the
/// control thread if the target is draining.
pub(super) fn take_notice(
    app: &App,
    service: &Arc<Service>,
    target: &Arc<str>,
    response: &UpstreamResponse,
) {
    let notice = target_notice(response);
    if notice.draining {
        app.context.control.report_leaving(target, notice.incarnation.as_deref().unwrap_or(""));
    }
    service.notice(target, notice);
}

/// Returns what the response of a target says about the target, beside its load.
fn target_notice(response: &UpstreamResponse) -> TargetNotice {
    TargetNotice {
        incarnation: target_incarnation(response),
        rest: requested_rest(response),
        draining: is_draining(response),
    }
}

/// Returns the incarnation of the target, if the response names it.
pub(super) fn target_incarnation(response: &UpstreamResponse) -> Option<Arc<str>> {
    let value = response.head.headers.get(headers::TARGET_INCARNATION)?;
    value.to_str().ok().map(Arc::from)
}

/// Returns whether the response shows that the target is draining.
fn is_draining(response: &UpstreamResponse) -> bool {
    response.head.headers.get(headers::TARGET_STATE).is_some_and(|v| v == "draining")
        || target_refusal(response) == Some(TargetRefusal::Draining)
}

/// Returns the rest that a target asks for in its response.
fn requested_rest(response: &UpstreamResponse) -> Option<Duration> {
    if response.head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let header_map = &response.head.headers;
    let values = header_map.get_all(RETRY_AFTER).iter().map(HeaderValue::as_bytes);
    match retry_after(values, header_map.get(DATE).map(HeaderValue::as_bytes)) {
        RetryAfter::After(rest) => Some(rest),
        RetryAfter::Absent | RetryAfter::Unreadable => None,
    }
}

/// Returns the load that a target reported in its response.
pub(super) fn load_report(response: &UpstreamResponse) -> Option<LoadReport> {
    let header_map = &response.head.headers;
    let busy = header_map.get(headers::TARGET_BUSY)?.to_str().ok()?.parse().ok()?;
    Some(LoadReport { busy, draining: is_draining(response) })
}
