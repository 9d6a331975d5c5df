//! A single attempt to send a call to a target.

use super::{
    body::{BodySource, BufferLimits, BufferedBody, RequestBody, buffer_body},
    inbound::InboundCall,
    pool::{Connection, ConnectionPool},
    unread::{RequestedTarget, SentRequest},
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter, ResponseKind, TargetRequest, TargetResponse},
    gateway::Gateway,
};
use azuretally_policy::{
    Timestamp,
    balance::{Attempt, AttemptOutcome, Failure, LimitField, LoadReport, NewAttempt, ProcessId},
};
use bytes::Bytes;
use http::{Request, Response, header::CONTENT_ENCODING, response};
use hyper::body::Incoming;
use std::{net::SocketAddr, ops::RangeInclusive, rc::Rc, sync::Arc, time::Duration};

/// Size up to which a response body is read completely before the caller gets any part of it, so
/// that a truncated response can be replaced by that of another target.
const MAX_BUFFERED_BYTES: usize = 128 * 1_024;
/// Maximum time from the decision to send a call until its request is sent: the connect timeout and
/// a margin. A longer delay means that the process was paused.
const MAX_DECISION_AGE: Duration = Duration::from_millis(500);
/// Statuses that end an exchange, apart from a change of the protocol, which is never requested.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of connections tried for one attempt, since idle ones may turn out to be closed.
const MAX_SEND_TRIES: usize = 3;

/// Body of a target's response.
#[derive(Debug)]
pub(super) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body, the rest that is still being received, and its connection.
    Streaming(Bytes, Incoming, Connection),
}

/// A target's response.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// Body, complete if it fits into [`MAX_BUFFERED_BYTES`].
    pub(super) body: ReceivedBody,
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) struct CompletedAttempt {
    /// Call and target of the attempt.
    pub(super) attempt: Attempt,
    /// Process of the target that the platform listed.
    pub(super) process: ProcessId,
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// Load that the target reported, if any.
    pub(super) report: Option<LoadReport>,
    /// What the target said about its limit.
    pub(super) limit: LimitField,
    /// Whether the target says that it leaves.
    pub(super) leaving: bool,
    /// The response, if the target executed the call.
    pub(super) received: Option<ReceivedResponse>,
    /// Whether the target is in the failure domain of this gateway.
    pub(super) same_domain: bool,
    /// When the attempt started.
    pub(super) started_at: Timestamp,
}

/// Sends the call to the target of `new_attempt` and waits for the response.
pub(super) async fn run_attempt<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    inbound: Rc<InboundCall>,
    new_attempt: NewAttempt,
) -> CompletedAttempt
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let attempt = Attempt { call: inbound.id, target: new_attempt.target.clone() };
    let started_at = gateway.clock.now();
    let (mut sent, mut leaving) = (false, false);
    // There is no timeout here: the task of the call drops the exchange at the deadline.
    let result = exchange(&gateway, &pool, &inbound, &new_attempt, &mut sent, &mut leaving).await;
    let NewAttempt { same_domain, process, .. } = new_attempt;
    match result {
        Ok((target_response, received)) => {
            let ok = !received.head.status.is_server_error();
            let executed = match &received.body {
                ReceivedBody::Complete(bytes) => {
                    AttemptOutcome::Answered { ok, bytes: bytes.len() }
                }
                ReceivedBody::Streaming(..) => {
                    AttemptOutcome::Began { ok, bytes: MAX_BUFFERED_BYTES }
                }
            };
            let outcome = match target_response.kind {
                ResponseKind::Executed => executed,
                ResponseKind::Refused => AttemptOutcome::Refused,
                ResponseKind::Misdirected => AttemptOutcome::Moved,
                ResponseKind::Unverified => {
                    AttemptOutcome::Failed { failure: Failure::Broken, sent: true }
                }
            };
            let received = (target_response.kind == ResponseKind::Executed).then_some(received);
            CompletedAttempt {
                attempt,
                process,
                outcome,
                report: target_response.report,
                limit: target_response.limit,
                leaving,
                received,
                same_domain,
                started_at,
            }
        }
        Err(error) => {
            let outcome = match error {
                SendError::Failed(failure) => AttemptOutcome::Failed { failure, sent },
                SendError::Withheld => AttemptOutcome::Withheld,
            };
            CompletedAttempt {
                attempt,
                process,
                outcome,
                report: None,
                limit: LimitField::Unreadable,
                leaving,
                received: None,
                same_domain,
                started_at,
            }
        }
    }
}

/// Sends the request and receives the response. If that fails, `sent` tells whether the target may
/// have received a part of the request. `leaving` tells whether the target says that it leaves.
async fn exchange<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &ConnectionPool,
    inbound: &InboundCall,
    new_attempt: &NewAttempt,
    sent: &mut bool,
    leaving: &mut bool,
) -> Result<(TargetResponse, ReceivedResponse), SendError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let sent_at = gateway.clock.now();
    let timeout = inbound.deadline.since(sent_at);
    let target_request = TargetRequest { target: new_attempt.target.clone(), timeout };
    let adapter = &gateway.adapter;
    let request = inbound.build_request(adapter, &target_request).ok_or(Failure::Broken)?;
    let address = new_attempt.address;
    let target = RequestedTarget {
        service: Arc::clone(&inbound.service),
        name: Arc::clone(&new_attempt.target),
        process: new_attempt.process,
        sent_at,
    };
    let upstream = Upstream { gateway, pool, inbound, address, target: Some(&target) };
    let (response, connection) = upstream.send(request, sent).await?;
    *leaving = target.record_notice(gateway, &response);
    Ok(receive(adapter, pool, inbound, response, connection).await?)
}

/// Why there is no response to a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum SendError {
    /// The exchange failed.
    Failed(Failure),
    /// Nothing was sent, since the target wants no requests now.
    Withheld,
}

impl From<Failure> for SendError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Target or other gateway that a call is sent to.
#[derive(Debug)]
pub(super) struct Upstream<'a, Adapter> {
    pub(super) gateway: &'a Gateway<Adapter>,
    pub(super) pool: &'a ConnectionPool,
    pub(super) inbound: &'a InboundCall,
    pub(super) address: SocketAddr,
    /// The target, `None` for another gateway.
    pub(super) target: Option<&'a RequestedTarget>,
}

impl<Adapter> Upstream<'_, Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Sends `request` on an idle or a new connection and waits for the head of the response. If that
    /// fails, `sent` tells whether a part of the request may have been received.
    pub(super) async fn send(
        &self,
        mut request: Request<RequestBody>,
        sent: &mut bool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let Self { gateway, pool, inbound, address, .. } = *self;
        let decided_at = gateway.clock.now();
        for _ in 0..MAX_SEND_TRIES {
            let idle = pool.take(address, !inbound.route.idempotent);
            let connection = match idle {
                Some(connection) => connection,
                None => {
                    if self.target.is_some() {
                        gateway.metrics.target_connections.inc();
                    }
                    pool.connect(address).await.map_err(|_| Failure::Connect)?
                }
            };
            // After a pause of the process, the decision may be out of date.
            let now = gateway.clock.now();
            let is_old = now.since(decided_at) > MAX_DECISION_AGE;
            if now >= inbound.deadline || is_old || !gateway.is_serving() {
                return Err(Failure::Connect.into());
            }
            if !self.begin_request(now) {
                return Err(SendError::Withheld);
            }
            *sent = true;
            let sent_request =
                SentRequest::send(connection, request, self.target, pool.unread_answers());
            match sent_request.head().await {
                Ok(answer) => return Ok(answer),
                Err(mut error) => request = error.take_message().ok_or(Failure::Broken)?,
            }
            *sent = false;
        }
        Err(Failure::Connect.into())
    }

    /// Returns whether the request may be sent now: the target may have asked for rest since the attempt
    /// was decided.
    fn begin_request(&self, now: Timestamp) -> bool {
        self.target.is_none_or(|RequestedTarget { service, name, .. }| {
            self.gateway.balancer.borrow_mut().begin_request(now, service, name, self.inbound.id)
        })
    }
}

/// Receives the body of `response`, as a whole if it is short, and returns the connection to the
/// pool.
pub(super) async fn receive<Adapter>(
    adapter: &Adapter,
    pool: &ConnectionPool,
    inbound: &InboundCall,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(TargetResponse, ReceivedResponse), Failure>
where
    Adapter: CallAdapter,
{
    let (head, body) = response.into_parts();
    let target_response = adapter.parse_response(&head, inbound.call_headers.id.as_deref());
    // Callers never request a content encoding, so an encoded response is not the target's.
    if target_response.kind == ResponseKind::Unverified
        || !FINAL_STATUSES.contains(&head.status.as_u16())
        || head.headers.contains_key(CONTENT_ENCODING)
    {
        return Err(Failure::Broken);
    }
    connection.allowance.renew();
    let limits = BufferLimits { complete: MAX_BUFFERED_BYTES, partial: 0 };
    let source = BodySource::Upstream(&inbound.holding, &connection.allowance);
    let buffered = buffer_body(body, limits, source).await;
    let body = match buffered {
        Ok(BufferedBody::Complete(bytes)) => {
            pool.release(connection, &head.headers);
            ReceivedBody::Complete(bytes)
        }
        Ok(BufferedBody::Partial(first, rest)) => ReceivedBody::Streaming(first, rest, connection),
        Err(_) => return Err(Failure::Broken),
    };
    Ok((target_response, ReceivedResponse { head, body }))
}
