//! Calls that are not idempotent: one incarnation runs each key, at most once.

use super::{
    app::App,
    attempt::relay_fields,
    body::Payload,
    ending::Ending,
    exchange::{Exchange, Received, request_from},
    handler,
    inbound::{Inbound, InboundError, KeptReply, read_key},
    limits::COME_BACK,
    pool::Trust,
    reply::Reply,
};
use azuretally_api::{headers, record::Outcome};
use azuretally_policy::idempotency::{BeginResult, FenceResult, IdempotencyKey, Token};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::{Either, Full};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time for a peer to tell what became of a key.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a call with a key.
pub(super) async fn run(
    app: &Arc<App>,
    inbound: &Arc<Inbound>,
    key: &IdempotencyKey,
    mut ending: Ending,
) -> Reply {
    ending.doubt();
    if !is_own(app, &key.token) {
        return forward(app, inbound, &key.token, ending).await;
    }
    let fingerprint = inbound.fingerprint();
    loop {
        let ended = app.key_ended.notified();
        tokio::pin!(ended);
        ended.as_mut().enable();
        let begun = app.keys.lock().begin(app.context.clock.now(), key, fingerprint);
        if begun == BeginResult::Run {
            return run_once(app, inbound, key, ending).await;
        }
        if let Some(reply) = reply_to(begun) {
            return ending.conclude(reply);
        }
        let wait = inbound.deadline - app.context.clock.now();
        if tokio::time::timeout(wait, ended).await.is_err() {
            return ending.conclude(Reply::unknown("still-running"));
        }
    }
}

/// The answer to a call that is not run now, or nothing when its key is running.
fn reply_to(begun: BeginResult<Arc<KeptReply>>) -> Option<Reply> {
    let reply = match begun {
        BeginResult::Run | BeginResult::InProgress => return None,
        BeginResult::Replay(kept) => Reply::replayed(&kept),
        BeginResult::Unknown => Reply::unknown("earlier-unknown"),
        BeginResult::Expired => Reply::unknown("token-expired"),
        BeginResult::Fenced => Reply::not_run(StatusCode::CONFLICT, "fenced", Duration::ZERO),
        BeginResult::Mismatch => {
            Reply::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", Duration::ZERO)
        }
        BeginResult::Full => {
            Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "keys-full", COME_BACK)
        }
    };
    Some(reply)
}

/// Tells what became of a key, and fences it when it has not run.
pub(super) async fn fence(app: &Arc<App>, fields: &HeaderMap) -> Result<Reply, InboundError> {
    let key = read_key(fields, &app.context.peer_key)?;
    if !is_own(app, &key.token) {
        return Ok(forward_fence(app, fields, &key).await);
    }
    let fenced = app.keys.lock().fence(app.context.clock.now(), &key);
    Ok(match fenced {
        FenceResult::Answered(kept) => Reply::replayed(&kept),
        FenceResult::NotRun => Reply::not_run(StatusCode::CONFLICT, "fenced", Duration::ZERO),
        FenceResult::Unknown => Reply::unknown("may-have-run"),
    })
}

/// Runs the call in a task of its own, so that it comes to its end when the caller goes away.
async fn run_once(
    app: &Arc<App>,
    inbound: &Arc<Inbound>,
    key: &IdempotencyKey,
    ending: Ending,
) -> Reply {
    let task = {
        let app = Arc::clone(app);
        let inbound = Arc::clone(inbound);
        let text = Arc::clone(&key.text);
        async move {
            let mut reply = handler::dispatch(&app, inbound, ending).await;
            settle(&app, &text, &mut reply);
            reply
        }
    };
    match app.tasks.spawn(task).await {
        Ok(reply) => reply,
        Err(_) => Reply::unknown("internal"),
    }
}

fn settle(app: &App, key: &str, reply: &mut Reply) {
    let mut keys = app.keys.lock();
    match (reply.outcome, reply.kept.take()) {
        (Outcome::Answered, Some(kept)) => keys.mark_answered(key, Arc::new(kept)),
        (Outcome::NotRun, _) => keys.mark_not_run(key),
        (Outcome::Answered | Outcome::Unknown, _) => keys.mark_unknown(key),
    }
    drop(keys);
    app.key_ended.notify_waiters();
}

fn is_own(app: &App, token: &Token) -> bool {
    token.host == app.context.local.host && token.incarnation == app.context.incarnation
}

/// Address of the incarnation that a token names, when it is known to be there.
fn holder(app: &App, token: &Token) -> Option<SocketAddr> {
    let view = app.context.view();
    let entry = view.entries.get(&token.host)?;
    let last = Token::verify(&entry.token, &app.context.peer_key).ok();
    last.is_none_or(|t| t.incarnation == token.incarnation).then_some(entry.call_address)
}

/// Lets the incarnation that the token names run the call. Without its word the outcome is
/// unknown, because an earlier call with the key may have reached it.
async fn forward(app: &Arc<App>, inbound: &Inbound, token: &Token, mut ending: Ending) -> Reply {
    let reason = match (inbound.relayed, holder(app, token)) {
        (false, Some(address)) => match ask(app, inbound, address, &mut ending, token).await {
            Some((outcome, received)) => return Reply::passed_on(outcome, received, ending),
            None => "holder-silent",
        },
        _ => "holder-gone",
    };
    ending.conclude(Reply::unknown(reason))
}

async fn ask(
    app: &App,
    inbound: &Inbound,
    address: SocketAddr,
    ending: &mut Ending,
    token: &Token,
) -> Option<(Outcome, Received)> {
    ending.relay(&token.host);
    let limit = inbound.deadline - app.context.clock.now();
    let exchange =
        Exchange { app, address, trust: Trust::Fresh, deadline: inbound.deadline, limit };
    let request = request_from(inbound, address, relay_fields(limit))?;
    let received = exchange.run(request).await.ok()?;
    let outcome = handler::outcome_of(&received)?;
    Some((outcome, received))
}

async fn forward_fence(app: &Arc<App>, fields: &HeaderMap, key: &IdempotencyKey) -> Reply {
    let relayed = fields.contains_key(headers::HOPS);
    let Some(address) = holder(app, &key.token).filter(|_| !relayed) else {
        return Reply::unknown("holder-gone");
    };
    let deadline = app.context.clock.now() + FENCE_TIMEOUT;
    let exchange = Exchange { app, address, trust: Trust::Fresh, deadline, limit: FENCE_TIMEOUT };
    let Some(request) = fence_request(address, key) else { return Reply::unknown("internal") };
    let Ok(received) = exchange.run(request).await else {
        return Reply::unknown("holder-silent");
    };
    match handler::outcome_of(&received) {
        Some(outcome) => Reply::told(outcome, received),
        None => Reply::unknown("holder-silent"),
    }
}

fn fence_request(address: SocketAddr, key: &IdempotencyKey) -> Option<Request<Payload>> {
    Request::post(headers::FENCE_PATH)
        .header(http::header::HOST, address.to_string())
        .header(headers::IDEMPOTENCY_KEY, &*key.text)
        .header(HeaderName::from_static(headers::HOPS), HeaderValue::from_static("1"))
        .body(Either::Left(Full::new(Bytes::new())))
        .ok()
}
