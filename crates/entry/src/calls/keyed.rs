//! Calls that are not idempotent.
//!
//! Each idempotency key belongs to the incarnation that issued its token. Only that incarnation
//! executes the call, and at most once; other entries forward the call to it.

use super::{
    app::App,
    attempt::relay_headers,
    body::RequestBody,
    call_guard::CallGuard,
    exchange::{Exchange, UpstreamResponse, request_from},
    handler,
    inbound::{Inbound, InboundError, StoredReply, read_key},
    limits::DEFAULT_RETRY_AFTER,
    pool::ReusePolicy,
    reply::Reply,
};
use azuretally_api::{headers, record::Outcome};
use azuretally_policy::idempotency::{BeginResult, FenceResult, IdempotencyKey, Token};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::{Either, Full};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Timeout for querying the outcome of a key at a peer.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a call with an idempotency key, or replies with the result of an earlier call with the key.
pub(super) async fn run(
    app: &Arc<App>,
    inbound: &Arc<Inbound>,
    key: &IdempotencyKey,
    mut guard: CallGuard,
) -> Reply {
    guard.mark_possibly_executed();
    if !is_local(app, &key.token) {
        return forward(app, inbound, &key.token, guard).await;
    }
    let fingerprint = inbound.fingerprint();
    loop {
        let finished = app.key_finished.notified();
        tokio::pin!(finished);
        finished.as_mut().enable();
        let begin_result = app.key_table.lock().begin(app.context.clock.now(), key, fingerprint);
        if begin_result == BeginResult::Run {
            return execute(app, inbound, key, guard).await;
        }
        if let Some(reply) = known_reply(begin_result) {
            return guard.end_with(reply);
        }
        let wait = inbound.deadline - app.context.clock.now();
        if tokio::time::timeout(wait, finished).await.is_err() {
            return guard.end_with(Reply::unknown("still-running"));
        }
    }
}

/// Returns the reply to a call that need not be executed, or `None` if a call with the same key is
/// still running.
fn known_reply(begin_result: BeginResult<Arc<StoredReply>>) -> Option<Reply> {
    let reply = match begin_result {
        BeginResult::Run | BeginResult::InProgress => return None,
        BeginResult::Replay(stored) => Reply::replayed(&stored),
        BeginResult::Unknown => Reply::unknown("earlier-unknown"),
        BeginResult::Expired => Reply::unknown("token-expired"),
        BeginResult::Fenced => Reply::not_run(StatusCode::CONFLICT, "fenced", Duration::ZERO),
        BeginResult::Mismatch => {
            Reply::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", Duration::ZERO)
        }
        BeginResult::Full => {
            Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "keys-full", DEFAULT_RETRY_AFTER)
        }
    };
    Some(reply)
}

/// Replies with the outcome of a key. A key that has not run is fenced, so that it never runs.
///
/// # Errors
///
/// Returns [`InboundError`] if the request has no valid key.
pub(super) async fn fence(app: &Arc<App>, header_map: &HeaderMap) -> Result<Reply, InboundError> {
    let key = read_key(header_map, &app.context.peer_key)?;
    if !is_local(app, &key.token) {
        return Ok(forward_fence(app, header_map, &key).await);
    }
    let fence_result = app.key_table.lock().fence(app.context.clock.now(), &key);
    Ok(match fence_result {
        FenceResult::Answered(stored) => Reply::replayed(&stored),
        FenceResult::NotRun => Reply::not_run(StatusCode::CONFLICT, "fenced", Duration::ZERO),
        FenceResult::Unknown => Reply::unknown("may-have-run"),
    })
}

/// Executes the call in a separate task, so that it completes even if the caller disconnects.
async fn execute(
    app: &Arc<App>,
    inbound: &Arc<Inbound>,
    key: &IdempotencyKey,
    guard: CallGuard,
) -> Reply {
    let task = {
        let app = Arc::clone(app);
        let inbound = Arc::clone(inbound);
        let text = Arc::clone(&key.text);
        async move {
            let mut reply = handler::dispatch(&app, inbound, guard).await;
            record_result(&app, &text, &mut reply);
            reply
        }
    };
    match app.tasks.spawn(task).await {
        Ok(reply) => reply,
        Err(_) => Reply::unknown("internal"),
    }
}

/// Stores the result of a call under its key and wakes the calls that wait for it.
fn record_result(app: &App, key: &str, reply: &mut Reply) {
    let mut key_table = app.key_table.lock();
    match (reply.outcome, reply.stored.take()) {
        (Outcome::Answered, Some(stored)) => key_table.mark_answered(key, Arc::new(stored)),
        (Outcome::NotRun, _) => key_table.mark_not_run(key),
        (Outcome::Answered | Outcome::Unknown, _) => key_table.mark_unknown(key),
    }
    drop(key_table);
    app.key_finished.notify_waiters();
}

/// Returns whether this incarnation issued the token.
fn is_local(app: &App, token: &Token) -> bool {
    token.host == app.context.local.host && token.incarnation == app.context.incarnation
}

/// Returns the address of the incarnation that issued the token, or `None` if its host is unknown
/// or the last token from the host was issued by another incarnation.
fn issuer_address(app: &App, token: &Token) -> Option<SocketAddr> {
    let view = app.context.view();
    let entry = view.entries.get(&token.host)?;
    let last = Token::verify(&entry.token, &app.context.peer_key).ok();
    last.is_none_or(|t| t.incarnation == token.incarnation).then_some(entry.call_address)
}

/// Forwards the call to the incarnation that issued the token. Without a response the outcome is
/// unknown, because an earlier call with the key may have reached that incarnation.
async fn forward(app: &Arc<App>, inbound: &Inbound, token: &Token, mut guard: CallGuard) -> Reply {
    let reason = match (inbound.relayed, issuer_address(app, token)) {
        (false, Some(address)) => match relay(app, inbound, address, &mut guard, token).await {
            Some((outcome, response)) => return Reply::forwarded(outcome, response, guard),
            None => "holder-silent",
        },
        _ => "holder-gone",
    };
    guard.end_with(Reply::unknown(reason))
}

/// Relays the call to the entry at `address`. Returns `None` if the entry reports no outcome.
async fn relay(
    app: &App,
    inbound: &Inbound,
    address: SocketAddr,
    guard: &mut CallGuard,
    token: &Token,
) -> Option<(Outcome, UpstreamResponse)> {
    guard.start_relay(&token.host);
    let timeout = inbound.deadline - app.context.clock.now();
    let exchange = Exchange {
        app,
        address,
        reuse: ReusePolicy::RecentlyActive,
        deadline: inbound.deadline,
        timeout,
    };
    let request = request_from(inbound, address, relay_headers(timeout))?;
    let response = tokio::select! {
        response = exchange.run(request) => response.ok()?,
        () = app.abort.cancelled() => return None,
    };
    let outcome = handler::reported_outcome(&response)?;
    Some((outcome, response))
}

/// Queries the outcome of a key at the incarnation that issued its token.
async fn forward_fence(app: &Arc<App>, header_map: &HeaderMap, key: &IdempotencyKey) -> Reply {
    let relayed = header_map.contains_key(headers::HOPS);
    let Some(address) = issuer_address(app, &key.token).filter(|_| !relayed) else {
        return Reply::unknown("holder-gone");
    };
    let deadline = app.context.clock.now() + FENCE_TIMEOUT;
    let exchange = Exchange {
        app,
        address,
        reuse: ReusePolicy::RecentlyActive,
        deadline,
        timeout: FENCE_TIMEOUT,
    };
    let Some(request) = fence_request(address, key) else { return Reply::unknown("internal") };
    let Ok(response) = exchange.run(request).await else {
        return Reply::unknown("holder-silent");
    };
    match handler::reported_outcome(&response) {
        Some(outcome) => Reply::key_result(outcome, response),
        None => Reply::unknown("holder-silent"),
    }
}

fn fence_request(address: SocketAddr, key: &IdempotencyKey) -> Option<Request<RequestBody>> {
    Request::post(headers::FENCE_PATH)
        .header(http::header::HOST, address.to_string())
        .header(headers::IDEMPOTENCY_KEY, &*key.text)
        .header(HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1"))
        .body(Either::Left(Full::new(Bytes::new())))
        .ok()
}
