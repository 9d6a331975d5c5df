//! One attempt of a call at a target.

use super::{
    body::{Part, read},
    inbound::Inbound,
    pool::{Connection, Pool},
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter, ResponseKind, TargetRequest, TargetResponse},
    gateway::Gateway,
};
use azuretally_policy::{
    Timestamp,
    balance::{Attempt, AttemptOutcome, Failure, LoadReport, NewAttempt},
};
use bytes::Bytes;
use http::{Response, header::CONTENT_ENCODING, response};
use hyper::body::Incoming;
use std::{rc::Rc, time::Duration};

/// Answers up to this size are read whole before any of it is passed on, so that an answer that is
/// cut short can be replaced by one from another target.
const WHOLE_BYTES: usize = 128 * 1_024;
/// Age of a decision to send from which it is not acted upon: the time to make a connection and a
/// little more.
const OLDEST: Duration = Duration::from_millis(500);
/// Idle connections tried that turn out to be closed.
const STALE: usize = 3;

/// Body of an answer.
#[derive(Debug)]
pub(super) enum Arrived {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still coming.
    Coming(Bytes, Incoming, Connection),
}

/// An answer of a target.
#[derive(Debug)]
pub(super) struct Received {
    /// Head of the answer.
    pub(super) head: response::Parts,
    /// Body of the answer.
    pub(super) body: Arrived,
}

/// End of an attempt.
#[derive(Debug)]
pub(super) struct Ended {
    /// The attempt.
    pub(super) attempt: Attempt,
    /// What came of it.
    pub(super) verdict: AttemptOutcome,
    /// Load that the target reported.
    pub(super) report: Option<LoadReport>,
    /// The answer, where there is one.
    pub(super) received: Option<Received>,
    /// Whether the target is in the failure domain of this gateway.
    pub(super) near: bool,
    /// When it began.
    pub(super) started: Timestamp,
}

/// Makes the attempt that `start` orders.
pub(super) async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<Pool>,
    inbound: Rc<Inbound>,
    start: NewAttempt,
) -> Ended
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let attempt = Attempt { call: inbound.number, target: start.target.clone() };
    let started = gateway.clock.now();
    let mut sent = false;
    // The task of the call ends the exchange at the deadline.
    let result = exchange(&gateway, &pool, &inbound, &start, &mut sent).await;
    let near = start.same_domain;
    match result {
        Ok((head, received)) => {
            let ok = !received.head.status.is_server_error();
            let bytes = match &received.body {
                Arrived::Whole(bytes) => bytes.len(),
                Arrived::Coming(..) => WHOLE_BYTES,
            };
            let verdict = match head.kind {
                ResponseKind::Executed => AttemptOutcome::Answered { ok, bytes },
                ResponseKind::Refused => AttemptOutcome::Refused,
                ResponseKind::Misdirected => AttemptOutcome::Moved,
                ResponseKind::Unverified => {
                    AttemptOutcome::Failed { failure: Failure::Broken, sent: true }
                }
            };
            let received = (head.kind == ResponseKind::Executed).then_some(received);
            Ended { attempt, verdict, report: head.report, received, near, started }
        }
        Err(failure) => {
            let verdict = AttemptOutcome::Failed { failure, sent };
            Ended { attempt, verdict, report: None, received: None, near, started }
        }
    }
}

async fn exchange<Adapter>(
    gateway: &Gateway<Adapter>,
    pool: &Pool,
    inbound: &Inbound,
    start: &NewAttempt,
    sent: &mut bool,
) -> Result<(TargetResponse, Received), Failure>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let timeout = inbound.deadline.since(gateway.clock.now());
    let outbound = TargetRequest { target: start.target.clone(), timeout };
    let adapter = &gateway.adapter;
    let decided = gateway.clock.now();
    let mut request = inbound.request(adapter, &outbound).ok_or(Failure::Broken)?;
    for _ in 0..STALE {
        let idle = pool.take(start.address, !inbound.route.idempotent);
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                gateway.metrics.connections.inc();
                pool.connect(start.address).await.map_err(|_| Failure::Connect)?
            }
        };
        // A process that was paused acts on nothing that it decided before.
        let now = gateway.clock.now();
        if now >= inbound.deadline || now.since(decided) > OLDEST {
            return Err(Failure::Connect);
        }
        *sent = true;
        match connection.sender.try_send_request(request).await {
            Ok(response) => return receive(adapter, pool, inbound, response, connection).await,
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(Failure::Broken),
            },
        }
        *sent = false;
    }
    Err(Failure::Connect)
}

async fn receive<Adapter>(
    adapter: &Adapter,
    pool: &Pool,
    inbound: &Inbound,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(TargetResponse, Received), Failure>
where
    Adapter: CallAdapter,
{
    let (head, body) = response.into_parts();
    let said = adapter.parse_response(&head, inbound.head.id.as_deref());
    // Callers ask for bodies without encoding, so an encoded one is none of the target's.
    if said.kind == ResponseKind::Unverified || head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Broken);
    }
    let body = match read(body, WHOLE_BYTES).await {
        Ok(Part::Whole(bytes)) => {
            pool.keep_after(connection, &head.headers);
            Arrived::Whole(bytes)
        }
        Ok(Part::Begun(first, rest)) => Arrived::Coming(first, rest, connection),
        Err(_) => return Err(Failure::Broken),
    };
    Ok((said, Received { head, body }))
}
