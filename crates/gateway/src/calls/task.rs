//! Carries out the decisions of the balancer for one call.

use super::{
    body::{PrefixedBody, ResponseBody},
    call_guard::CallGuard,
    connection::Origin,
    exchange::{self, CompletedAttempt, ReceivedBody, ReceivedResponse},
    inbound::{InboundCall, RejectedCall, strip_hop_by_hop_headers},
    pool::ConnectionPool,
    relay::{RelayOutcome, relay},
};
use crate::{
    adapter::{CallAdapter, CallFailure, PlatformAdapter, header_text},
    budget::Holding,
    control::codec::MessageKind,
    gateway::Gateway,
};
use azuretally_api::headers::{DEPARTED, RELAYED, UNSENT};
use azuretally_policy::{
    Timestamp,
    balance::{
        AttemptOutcome, AttemptResult, Decision, GiveUpReason, HedgeDecision, NewAttempt,
        ProcessId, StreamEnd,
    },
};
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::{HeaderMap, HeaderValue, Request, Response, header::CONNECTION};
use http_body::Body;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use std::{
    convert::Infallible, future::pending, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};
use tokio::{sync::oneshot, task::yield_now, time::sleep};

/// Maximum number of gateways to which one call is relayed.
const MAX_RELAYS: usize = 2;

/// Serves one call.
pub(super) async fn handle_call<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    origin: Origin,
    holding: Rc<Holding>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let has_body = !request.body().is_end_stream();
    let (mut response, body_read) =
        match InboundCall::read(&gateway, origin, holding, request).await {
            Ok(inbound) => {
                let complete = inbound.body_complete_flag();
                let relayed_version = inbound.is_relayed.then_some(inbound.version);
                let mut response = CallTask::new(gateway, pool, inbound).run().await;
                if let Some(version) = relayed_version {
                    response.headers_mut().insert(RELAYED, HeaderValue::from(version));
                }
                (response, complete.is_none_or(|complete| complete.get()))
            }
            Err(rejected) => (rejection_response(&gateway, origin, &rejected), !has_body),
        };
    // The rest of the body stands where the next call would begin.
    if !body_read {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn rejection_response<Adapter>(
    gateway: &Gateway<Adapter>,
    origin: Origin,
    rejected: &RejectedCall,
) -> Response<ResponseBody>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let id = rejected.call_headers.id.as_deref();
    let failure = rejected.failure;
    let version = gateway.routes().map_or(0, |t| t.published().version);
    log::info!(
        "calls: rejected id={} outcome={} version={version} connection={}",
        id.unwrap_or("-"),
        failure.as_str(),
        origin.connection,
    );
    gateway.metrics.record_call(&"".into(), &"".into(), failure.as_str(), 0.0);
    gateway.adapter.failure_response(failure, id).map(|bytes| Either::Left(Full::new(bytes)))
}

/// Refusal of a call by another gateway that has sent it to no target.
struct RelayedRefusal {
    /// Time after which the caller may come back.
    delay: Duration,
    response: ReceivedResponse,
}

struct CallTask<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    inbound: Rc<InboundCall>,
    guard: CallGuard<Adapter>,
    attempts: FuturesUnordered<LocalBoxFuture<'static, CompletedAttempt>>,
    /// The call at another gateway, while this one is cut off from all targets.
    relay: Option<LocalBoxFuture<'static, RelayOutcome>>,
    /// Number of gateways to which the call was relayed.
    relays: usize,
    /// Gateways that may have received a part of the call.
    uncertain_relays: usize,
    /// Gateway to which the call was relayed last.
    peer: Option<SocketAddr>,
    /// Gateway that has refused the call, and its response with the shortest time to come back.
    refused_by: Option<SocketAddr>,
    refusal: Option<RelayedRefusal>,
    /// Whether the response comes from another gateway.
    has_relayed_response: bool,
    /// Whether a relay was considered while the call waited.
    considered_relay: bool,
    /// Attempts of which a part may have been sent.
    sent_attempts: u32,
    /// Whether a target may have run the call in an attempt that has ended.
    may_have_run: bool,
    /// Receives the next decision while the call waits in the balancer.
    pending_decision: Option<oneshot::Receiver<Decision>>,
    /// When the balancer next considers a hedge.
    hedge_at: Option<Timestamp>,
    /// Whether the next attempt is a hedge.
    next_is_hedge: bool,
    /// Latest response, delivered unless a further attempt replaces it.
    response: Option<ReceivedResponse>,
    /// What to tell of the end of its body, if it is passed on as it arrives.
    stream: Option<StreamEnd>,
    /// Target and status of the latest response, for the log.
    detail: String,
    /// Number of the process and name of the target of the latest response, if it says that it leaves.
    departed: Option<String>,
}

impl<Adapter> CallTask<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    fn new(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>, inbound: InboundCall) -> Self {
        let inbound = Rc::new(inbound);
        Self {
            guard: CallGuard::new(Rc::clone(&gateway), Rc::clone(&inbound)),
            gateway,
            pool,
            inbound,
            attempts: FuturesUnordered::new(),
            relay: None,
            relays: 0,
            uncertain_relays: 0,
            peer: None,
            refused_by: None,
            refusal: None,
            has_relayed_response: false,
            considered_relay: false,
            sent_attempts: 0,
            may_have_run: false,
            pending_decision: None,
            hedge_at: None,
            next_is_hedge: false,
            response: None,
            stream: None,
            detail: String::new(),
            departed: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        let mut decision = match self.start_relay() {
            true => Decision::Wait,
            false => self.submit(),
        };
        loop {
            self.gateway.forward_probes();
            match decision {
                Decision::Start(new_attempt) => self.start_attempt(new_attempt),
                Decision::Wait if self.relay.is_some() => {}
                Decision::Wait if self.attempts.is_empty() => {
                    self.log_wait();
                    self.pending_decision = Some(self.gateway.await_decision(self.inbound.id));
                }
                Decision::Wait => {}
                Decision::Deliver => return self.deliver(),
                Decision::GiveUp { reason, not_run, retry_after } => {
                    if self.response.is_some() {
                        return self.deliver();
                    }
                    let is_ended = self.is_ended();
                    if !is_ended && (self.relay.is_some() || (not_run && self.start_relay())) {
                        decision = self.next_decision().await;
                        continue;
                    }
                    let not_run = not_run && !self.may_have_run() && self.uncertain_relays == 0;
                    let failure = match (not_run, reason) {
                        (true, _) => CallFailure::NotRun(retry_after),
                        (false, GiveUpReason::Deadline) => CallFailure::TimedOut,
                        (false, _) => CallFailure::Broken,
                    };
                    return self.fail(failure, reason);
                }
            }
            decision = self.next_decision().await;
        }
    }

    fn submit(&self) -> Decision {
        let now = self.gateway.clock.now();
        self.gateway.balancer.borrow_mut().submit(now, self.inbound.balancer_call())
    }

    /// Returns whether a target may have run the call in an attempt of this gateway.
    fn may_have_run(&self) -> bool {
        self.may_have_run || !self.attempts.is_empty()
    }

    /// Returns whether the call can no longer be answered in time.
    fn is_ended(&self) -> bool {
        self.gateway.clock.now() >= self.inbound.deadline || !self.gateway.is_serving()
    }

    /// Relays the call to another gateway if this one is cut off from all targets. Returns whether it
    /// was sent on its way.
    fn start_relay(&mut self) -> bool {
        let inbound = &self.inbound;
        if self.relay.is_some() || inbound.is_relayed || self.relays >= MAX_RELAYS {
            return false;
        }
        let is_quarantined = {
            let balancer = self.gateway.balancer.borrow();
            inbound.digests.iter().any(|digest| balancer.is_quarantined(&digest))
        };
        if is_quarantined {
            return false;
        }
        let peers = match self.refused_by {
            Some(peer) => self.gateway.further_relay_peers(peer),
            None => self.gateway.relay_peers(),
        };
        let attempts = inbound.route.attempts.saturating_sub(self.sent_attempts);
        if peers.is_empty() || attempts == 0 {
            return false;
        }
        let peer = peers[(inbound.id as usize + self.relays) % peers.len()];
        self.peer = Some(peer);
        self.relays += 1;
        self.uncertain_relays += 1;
        self.detail = format!("peer={peer}");
        log::info!("calls: relayed id={} peer={peer} attempts={attempts}", inbound.log_id());
        self.gateway.metrics.relayed_calls.inc();
        let (gateway, pool) = (Rc::clone(&self.gateway), Rc::clone(&self.pool));
        self.relay = Some(Box::pin(relay(gateway, pool, Rc::clone(inbound), peer, attempts)));
        true
    }

    /// Handles the end of a relay.
    fn relay_ended(&mut self, outcome: RelayOutcome) -> Decision {
        self.relay = None;
        match outcome {
            RelayOutcome::Answered(received) => match unsent_delay(&received) {
                Some(delay) => self.relay_refused(delay, *received),
                // A refusal by the other gateway speaks for its own attempts alone, not for those of this
                // one or of a gateway before it.
                None if received.head.status.is_success()
                    || (!self.may_have_run() && self.uncertain_relays == 1) =>
                {
                    return self.deliver_relayed(*received);
                }
                None => {}
            },
            RelayOutcome::Unsent => self.uncertain_relays -= 1,
            RelayOutcome::Broken => {}
        }
        let is_certain = self.uncertain_relays == 0 && !self.may_have_run();
        let may_repeat = is_certain || self.inbound.route.idempotent;
        let may_relay = may_repeat && (self.refusal.is_none() || !self.is_ended());
        if !self.attempts.is_empty() || (may_relay && self.start_relay()) {
            return Decision::Wait;
        }
        if !is_certain {
            let retry_after = Duration::ZERO;
            return Decision::GiveUp { reason: GiveUpReason::Lost, not_run: false, retry_after };
        }
        if let Some(refusal) = self.refusal.take() {
            return self.deliver_relayed(refusal.response);
        }
        self.gateway.forget_call(self.inbound.id);
        self.submit()
    }

    /// Records that the other gateway refuses the call, which it has sent to no target.
    fn relay_refused(&mut self, delay: Duration, response: ReceivedResponse) {
        self.uncertain_relays -= 1;
        self.refused_by = self.peer;
        if self.refusal.as_ref().is_none_or(|known| delay < known.delay) {
            self.refusal = Some(RelayedRefusal { delay, response });
        }
    }

    /// Makes `received`, the response of another gateway, the one that the caller gets.
    fn deliver_relayed(&mut self, mut received: ReceivedResponse) -> Decision {
        self.detail = format!("{} status={}", self.detail, received.head.status.as_u16());
        self.record_departure(&received.head.headers);
        self.record_version(&mut received.head.headers);
        self.response = Some(received);
        self.has_relayed_response = true;
        Decision::Deliver
    }

    /// Records the version of the settings that the response of another gateway names.
    fn record_version(&self, headers: &mut HeaderMap) {
        let Some(value) = headers.remove(RELAYED) else { return };
        match value.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(version) => self.gateway.record_relayed_version(version),
            None => self.record_unreadable(MessageKind::Relay),
        }
    }

    /// Records what the response of another gateway says of a target that leaves.
    fn record_departure(&self, headers: &HeaderMap) {
        if !headers.contains_key(DEPARTED) {
            return;
        }
        let parsed = header_text(headers, DEPARTED).and_then(|text| {
            let (number, name) = text.split_once(',')?;
            Some((ProcessId::from_number(number.parse().ok()?), name))
        });
        match parsed {
            Some((process, name)) => self.gateway.record_relayed_departure(name, process),
            None => self.record_unreadable(MessageKind::Departure),
        }
    }

    fn record_unreadable(&self, kind: MessageKind) {
        if let Some(peer) = self.peer {
            self.gateway.record_unreadable_message(kind, peer.ip());
        }
    }

    async fn next_decision(&mut self) -> Decision {
        loop {
            let now = self.gateway.clock.now();
            let expired = wait_for_end(Rc::clone(&self.gateway), self.inbound.deadline);
            let hedge_in = self.hedge_at.map(|at| at.since(now));
            let waits = self.pending_decision.is_some();
            tokio::select! {
                biased;
                decision = recv_decision(&mut self.pending_decision) => {
                    self.pending_decision = None;
                    return decision;
                }
                Some(completed) = self.attempts.next() => return self.attempt_completed(completed),
                outcome = poll_relay(&mut self.relay) => return self.relay_ended(outcome),
                () = self.gateway.until_relay_possible(), if waits && !self.considered_relay => {
                    self.considered_relay = true;
                    if self.start_relay() {
                        self.pending_decision = None;
                        self.gateway.forget_call(self.inbound.id);
                    }
                }
                () = async { match hedge_in { Some(d) => sleep(d).await, None => pending().await } } => {
                    self.hedge_at = None;
                    if self.inbound.route.idempotent && self.start_relay() {
                        continue;
                    }
                    let now = self.gateway.clock.now();
                    let hedge = self
                        .gateway
                        .balancer
                        .borrow_mut()
                        .consider_hedge(now, self.inbound.id);
                    self.gateway.forward_probes();
                    self.gateway.target_failed.notify_one();
                    match hedge {
                        HedgeDecision::Start(new_attempt) => {
                            self.next_is_hedge = true;
                            return Decision::Start(new_attempt);
                        }
                        HedgeDecision::Later(at) => self.hedge_at = Some(at),
                        HedgeDecision::Never => {}
                    }
                }
                () = expired => {
                    let now = self.gateway.clock.now();
                    return self.gateway.balancer.borrow_mut().expire(now, self.inbound.id);
                }
            }
        }
    }

    /// Logs that the call waits for a free slot or for load reports of targets.
    fn log_wait(&self) {
        let now = self.gateway.clock.now();
        log::info!(
            "calls: waits id={} service={} waiting={} left_ms={}",
            self.inbound.log_id(),
            self.inbound.service,
            self.gateway.balancer.borrow().waiting_calls(),
            self.inbound.deadline.since(now).as_millis(),
        );
    }

    fn start_attempt(&mut self, new_attempt: NewAttempt) {
        let inbound = &self.inbound;
        let now = self.gateway.clock.now();
        let kind = match (new_attempt.number, std::mem::take(&mut self.next_is_hedge)) {
            (1, _) => "first",
            (_, true) => "hedge",
            (_, false) => "again",
        };
        log::info!(
            "calls: sent id={} target={} near={} attempt={} kind={kind} waited_ms={} expected_ms={} \
             report_ms={} left_ms={} caller={} belief_ms={} limit={} digest={}",
            inbound.log_id(),
            new_attempt.target,
            new_attempt.same_domain,
            new_attempt.number,
            now.since(inbound.arrived_at).as_millis(),
            new_attempt.expected_ms,
            new_attempt.report_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            inbound.deadline.since(now).as_millis(),
            inbound.caller,
            self.gateway.catalog.borrow().age(now).unwrap_or_default().as_millis(),
            new_attempt.limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string()),
            inbound.digests.content,
        );
        self.gateway.metrics.record_attempt(&inbound.service, kind);
        if new_attempt.limit.is_some() {
            self.gateway.metrics.record_limited_request(&inbound.service, kind);
        }
        self.hedge_at = new_attempt.hedge_at;
        self.sent_attempts += 1;
        let gateway = Rc::clone(&self.gateway);
        let attempt =
            exchange::run_attempt(gateway, Rc::clone(&self.pool), Rc::clone(inbound), new_attempt);
        self.attempts.push(Box::pin(attempt));
    }

    fn attempt_completed(&mut self, completed: CompletedAttempt) -> Decision {
        let now = self.gateway.clock.now();
        let CompletedAttempt {
            attempt,
            process,
            outcome,
            report,
            limit,
            leaving,
            received,
            same_domain,
            started_at,
        } = completed;
        log::info!(
            "calls: attempt id={} target={} verdict={} load={} ms={}",
            self.inbound.log_id(),
            attempt.target,
            outcome.as_str(),
            report.map_or_else(|| "-".to_owned(), |r| r.to_string()),
            now.since(started_at).as_millis(),
        );
        if let Some(received) = received {
            if let ReceivedBody::Complete(bytes) = &received.body
                && !same_domain
            {
                self.gateway.metrics.remote_bytes.inc_by(bytes.len() as u64);
            }
            let status = received.head.status.as_u16();
            self.detail = format!("target={} status={status}", attempt.target);
            self.departed = leaving.then(|| format!("{},{}", process.number(), attempt.target));
            self.stream = matches!(received.body, ReceivedBody::Streaming(..)).then(|| StreamEnd {
                digests: self.inbound.digests,
                service: Arc::clone(&self.inbound.service),
                target: Arc::clone(&attempt.target),
                process,
                sent: started_at,
                is_complete: false,
            });
            self.response = Some(received);
        }
        let result = AttemptResult { attempt, outcome, report, limit };
        match outcome {
            AttemptOutcome::Failed { sent, .. } => {
                self.sent_attempts -= u32::from(!sent);
                self.may_have_run |= sent;
                self.gateway.target_failed.notify_one();
                self.gateway.attempt_broken.notify_one();
            }
            AttemptOutcome::Answered { .. } | AttemptOutcome::Began { .. } => {
                self.may_have_run = true;
            }
            AttemptOutcome::Withheld => self.sent_attempts -= 1,
            AttemptOutcome::Refused | AttemptOutcome::Moved => {}
        }
        let decision = self.gateway.balancer.borrow_mut().attempt_ended(now, &result);
        self.gateway.dispatch_waiting();
        decision
    }

    fn deliver(mut self) -> Response<ResponseBody> {
        let Some(received) = self.response.take() else {
            return self.fail(CallFailure::Broken, GiveUpReason::Lost);
        };
        let ReceivedResponse { mut head, body } = received;
        strip_hop_by_hop_headers(&mut head.headers);
        // Only gateways say these to each other.
        for name in [DEPARTED, UNSENT] {
            head.headers.remove(name);
        }
        // The other gateway has prepared the headers of a relayed response.
        if !self.has_relayed_response {
            self.gateway.adapter.prepare_response_headers(&mut head.headers);
            let departed = self.departed.take().filter(|_| self.inbound.is_relayed);
            if let Some(value) = departed.and_then(|text| HeaderValue::try_from(text).ok()) {
                head.headers.insert(DEPARTED, value);
            }
        }
        let body = match body {
            ReceivedBody::Complete(bytes) => Either::Left(Full::new(bytes)),
            ReceivedBody::Streaming(first, rest, connection) => {
                let left = self.inbound.body_deadline().since(self.gateway.clock.now());
                let watch = self.stream.take().filter(|_| !self.has_relayed_response);
                let watch = watch.map(|end| self.pool.watch_stream(end, left));
                Either::Right(PrefixedBody::of_response(first, rest, connection, left, watch))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        // Attempts that are still in flight are cancelled when the task is dropped.
        let detail = format!("{} cancelled={}", self.detail, self.attempts.len());
        let outcome = if self.has_relayed_response { "relayed" } else { "answered" };
        self.guard.complete(outcome, &detail);
        response
    }

    fn fail(mut self, failure: CallFailure, reason: GiveUpReason) -> Response<ResponseBody> {
        if reason == GiveUpReason::Quarantined {
            self.gateway.metrics.quarantined_calls.inc();
        }
        let id = self.inbound.call_headers.id.as_deref();
        let mut response = self.gateway.adapter.failure_response(failure, id);
        if let CallFailure::NotRun(delay) = failure
            && self.inbound.is_relayed
            && self.sent_attempts == 0
            && reason != GiveUpReason::Quarantined
        {
            let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            response.headers_mut().insert(UNSENT, HeaderValue::from(ms));
        }
        let detail = match failure {
            CallFailure::NotRun(retry_after) => {
                format!("reason={} retry_after_ms={}", reason.as_str(), retry_after.as_millis())
            }
            _ => format!("reason={} cancelled={}", reason.as_str(), self.attempts.len()),
        };
        self.guard.complete(failure.as_str(), &detail);
        response.map(|bytes| Either::Left(Full::new(bytes)))
    }
}

/// Waits until the deadline of a call, or until a stopping gateway no longer serves it.
async fn wait_for_end<Adapter>(gateway: Rc<Gateway<Adapter>>, deadline: Timestamp)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    tokio::select! {
        () = sleep(deadline.since(gateway.clock.now())) => {}
        () = gateway.serving_ended() => {}
    }
    // After a pause of the process, an answer may have arrived that is still to be read.
    yield_now().await;
}

/// Returns the time after which the caller may come back if `received` says that another gateway has refused
/// the call and sent it to no target.
fn unsent_delay(received: &ReceivedResponse) -> Option<Duration> {
    let ms = header_text(&received.head.headers, UNSENT)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

async fn poll_relay(relay: &mut Option<LocalBoxFuture<'static, RelayOutcome>>) -> RelayOutcome {
    match relay {
        Some(relay) => relay.await,
        None => pending().await,
    }
}

async fn recv_decision(pending_decision: &mut Option<oneshot::Receiver<Decision>>) -> Decision {
    match pending_decision {
        // The sender is only dropped when the call is removed, that is, when this task ends.
        Some(receiver) => match receiver.await {
            Ok(decision) => decision,
            Err(_) => pending().await,
        },
        None => pending().await,
    }
}
