//! Carries out the orders of the balancer for one call.

use super::{
    body::{Answer, Joined},
    exchange::{self, Arrived, Ended, Received},
    inbound::{Inbound, Rejected, strip},
    pool::Pool,
    ticket::Ticket,
};
use crate::{
    adapter::{CallAdapter, CallFailure, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::{
    Timestamp,
    balance::{AttemptResult, Decision, GiveUpReason, HedgeDecision, NewAttempt},
};
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use std::{convert::Infallible, future::pending, net::IpAddr, rc::Rc};
use tokio::{sync::oneshot, time::sleep};

/// Answers one call.
pub(super) async fn handle<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<Pool>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    match Inbound::read(&gateway, caller, request).await {
        Ok(inbound) => Ok(Task::new(gateway, pool, inbound).run().await),
        Err(rejected) => Ok(reject(&gateway, &rejected)),
    }
}

fn reject<Adapter>(gateway: &Gateway<Adapter>, rejected: &Rejected) -> Response<Answer>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let id = rejected.head.id.as_deref();
    let failing = rejected.failing;
    let version = gateway.routes().map_or(0, |t| t.published().version);
    log::info!(
        "calls: rejected id={} outcome={} version={version}",
        id.unwrap_or("-"),
        failing.as_str(),
    );
    gateway.metrics.call_ended(&"".into(), &"".into(), failing.as_str(), 0.0);
    gateway.adapter.failure_response(failing, id).map(|bytes| Either::Left(Full::new(bytes)))
}

struct Task<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<Pool>,
    inbound: Rc<Inbound>,
    ticket: Ticket<Adapter>,
    attempts: FuturesUnordered<LocalBoxFuture<'static, Ended>>,
    /// Order that the balancer owes.
    owed: Option<oneshot::Receiver<Decision>>,
    hedge_at: Option<Timestamp>,
    /// Whether the next attempt is one beside another.
    hedging: bool,
    /// An answer that is delivered unless a better one comes.
    held: Option<Received>,
    detail: String,
}

impl<Adapter> Task<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    fn new(gateway: Rc<Gateway<Adapter>>, pool: Rc<Pool>, inbound: Inbound) -> Self {
        let inbound = Rc::new(inbound);
        Self {
            ticket: Ticket::new(Rc::clone(&gateway), Rc::clone(&inbound)),
            gateway,
            pool,
            inbound,
            attempts: FuturesUnordered::new(),
            owed: None,
            hedge_at: None,
            hedging: false,
            held: None,
            detail: String::new(),
        }
    }

    async fn run(mut self) -> Response<Answer> {
        let now = self.gateway.clock.now();
        let mut order = self.gateway.balancer.borrow_mut().submit(now, self.inbound.call());
        loop {
            self.gateway.forward_probes();
            match order {
                Decision::Start(start) => self.start(start),
                Decision::Wait if self.attempts.is_empty() => {
                    self.log_wait();
                    self.owed = Some(self.gateway.await_decision(self.inbound.number));
                }
                Decision::Wait => {}
                Decision::Deliver => return self.deliver(),
                Decision::GiveUp { reason, not_run, retry_after } => {
                    if self.held.is_some() {
                        return self.deliver();
                    }
                    let failing = match (not_run, reason) {
                        (true, _) => CallFailure::NotRun(retry_after),
                        (false, GiveUpReason::Deadline) => CallFailure::TimedOut,
                        (false, _) => CallFailure::Broken,
                    };
                    return self.fail(failing, reason);
                }
            }
            order = self.next().await;
        }
    }

    async fn next(&mut self) -> Decision {
        loop {
            let now = self.gateway.clock.now();
            let deadline = sleep(self.inbound.deadline.since(now));
            let hedge_in = self.hedge_at.map(|at| at.since(now));
            tokio::select! {
                order = owed(&mut self.owed) => {
                    self.owed = None;
                    return order;
                }
                Some(ended) = self.attempts.next() => return self.ended(ended),
                () = async { match hedge_in { Some(d) => sleep(d).await, None => pending().await } } => {
                    self.hedge_at = None;
                    let now = self.gateway.clock.now();
                    let hedge = self
                        .gateway
                        .balancer
                        .borrow_mut()
                        .consider_hedge(now, self.inbound.number);
                    self.gateway.forward_probes();
                    match hedge {
                        HedgeDecision::Start(start) => {
                            self.hedging = true;
                            return Decision::Start(start);
                        }
                        HedgeDecision::Later(at) => self.hedge_at = Some(at),
                        HedgeDecision::Never => {}
                    }
                }
                () = deadline => {
                    let now = self.gateway.clock.now();
                    return self.gateway.balancer.borrow_mut().expire(now, self.inbound.number);
                }
            }
        }
    }

    /// The call waits for a place, or for what targets tell of their load.
    fn log_wait(&self) {
        let now = self.gateway.clock.now();
        log::info!(
            "calls: waits id={} service={} waiting={} left_ms={}",
            self.inbound.id(),
            self.inbound.service,
            self.gateway.balancer.borrow().waiting_calls(),
            self.inbound.deadline.since(now).as_millis(),
        );
    }

    fn start(&mut self, start: NewAttempt) {
        let inbound = &self.inbound;
        let now = self.gateway.clock.now();
        let kind = match (start.number, std::mem::take(&mut self.hedging)) {
            (1, _) => "first",
            (_, true) => "hedge",
            (_, false) => "again",
        };
        log::info!(
            "calls: sent id={} target={} near={} attempt={} kind={kind} waited_ms={} expected_ms={} \
             report_ms={} left_ms={} caller={} belief_ms={}",
            inbound.id(),
            start.target,
            start.same_domain,
            start.number,
            now.since(inbound.arrival).as_millis(),
            start.expected_ms,
            start.report_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            inbound.deadline.since(now).as_millis(),
            inbound.caller,
            self.gateway.catalog.borrow().age(now).unwrap_or_default().as_millis(),
        );
        self.gateway.metrics.attempt(&inbound.service, kind);
        self.hedge_at = start.hedge_at;
        let gateway = Rc::clone(&self.gateway);
        let run = exchange::run(gateway, Rc::clone(&self.pool), Rc::clone(inbound), start);
        self.attempts.push(Box::pin(run));
    }

    fn ended(&mut self, ended: Ended) -> Decision {
        let now = self.gateway.clock.now();
        let Ended { attempt, verdict, report, received, near, started } = ended;
        log::info!(
            "calls: attempt id={} target={} verdict={} load={} ms={}",
            self.inbound.id(),
            attempt.target,
            verdict.as_str(),
            report.map_or_else(|| "-".to_owned(), |r| r.to_string()),
            now.since(started).as_millis(),
        );
        if let Some(received) = received {
            if let Arrived::Whole(bytes) = &received.body
                && !near
            {
                self.gateway.metrics.far_bytes.inc_by(bytes.len() as u64);
            }
            let status = received.head.status.as_u16();
            self.detail = format!("target={} status={status}", attempt.target);
            self.held = Some(received);
        }
        let ending = AttemptResult { attempt, outcome: verdict, report };
        let order = self.gateway.balancer.borrow_mut().attempt_ended(now, &ending);
        self.gateway.dispatch_waiting();
        order
    }

    fn deliver(mut self) -> Response<Answer> {
        let Some(received) = self.held.take() else {
            return self.fail(CallFailure::Broken, GiveUpReason::Lost);
        };
        let Received { mut head, body } = received;
        strip(&mut head.headers);
        self.gateway.adapter.prepare_response_headers(&mut head.headers);
        let body = match body {
            Arrived::Whole(bytes) => Either::Left(Full::new(bytes)),
            Arrived::Coming(first, rest, connection) => {
                Either::Right(Joined::new(first, rest, u64::MAX, Some(connection)))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        // Attempts that are still under way end with the task.
        let detail = format!("{} cancelled={}", self.detail, self.attempts.len());
        self.ticket.end("answered", &detail);
        response
    }

    fn fail(mut self, failing: CallFailure, reason: GiveUpReason) -> Response<Answer> {
        let id = self.inbound.head.id.as_deref();
        let response = self.gateway.adapter.failure_response(failing, id);
        let detail = match failing {
            CallFailure::NotRun(after) => {
                format!("reason={} retry_after_ms={}", reason.as_str(), after.as_millis())
            }
            _ => format!("reason={} cancelled={}", reason.as_str(), self.attempts.len()),
        };
        self.ticket.end(failing.as_str(), &detail);
        response.map(|bytes| Either::Left(Full::new(bytes)))
    }
}

async fn owed(owed: &mut Option<oneshot::Receiver<Decision>>) -> Decision {
    match owed {
        // The sender is dropped only together with the call.
        Some(receiver) => match receiver.await {
            Ok(order) => order,
            Err(_) => pending().await,
        },
        None => pending().await,
    }
}
