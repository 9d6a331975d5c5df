//! Callers that look up the directions of a service, cache them and connect to the entries
//! themselves.

use super::{direct::RequestTemplate, open_loop::CallSender};
use crate::{
    core::{sample::CallResult, schedule::ScheduledCall},
    util::{
        client::{Pool, SendError},
        rest,
    },
};
use azuretally_api::{
    directions::{Direction, Directions},
    headers,
    record::Outcome,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time;

/// Largest number of caller groups. Each group has its own connections and cached directions.
const MAX_GROUPS: usize = 8;
/// Time that a caller waits for an answer beyond the timeout of the operation.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Largest number of addresses that a caller tries for one call or lookup.
const MAX_ATTEMPTS: usize = 4;

/// Directions of one service in the cache of a caller group.
#[derive(Clone, Debug)]
struct CachedDirections {
    directions: Arc<Directions>,
    /// Time at which the directions expire.
    until: Instant,
}

/// Group of callers that share connections and cached directions.
#[derive(Debug, Default)]
struct CallerGroup {
    /// Cached directions by service.
    cached: Mutex<IndexMap<Arc<str>, CachedDirections>>,
    /// Held during a lookup, so that the group sends one at a time.
    lookup_lock: tokio::sync::Mutex<()>,
    pools: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
}

/// All callers of one load.
#[derive(Debug)]
pub struct Callers {
    template: RequestTemplate,
    groups: Vec<CallerGroup>,
    directions_addresses: Vec<SocketAddr>,
    next_address: AtomicU64,
    mismatched_answers: AtomicU64,
    lookups: AtomicU64,
}

/// Result of one attempt to send a call.
enum Attempt {
    /// The attempt gave a result.
    Finished(CallResult),
    /// No part of the request was written.
    NotSent,
    /// The exchange was interrupted after the request may have reached the entry.
    Interrupted,
}

impl Callers {
    /// Creates `callers` callers that look up directions at `directions_addresses` in turn.
    pub fn new(
        template: RequestTemplate,
        callers: u32,
        directions_addresses: Vec<SocketAddr>,
    ) -> Self {
        let group_count = (callers as usize).clamp(1, MAX_GROUPS);
        Self {
            template,
            groups: (0..group_count).map(|_| CallerGroup::default()).collect(),
            directions_addresses,
            next_address: AtomicU64::new(0),
            mismatched_answers: AtomicU64::new(0),
            lookups: AtomicU64::new(0),
        }
    }

    /// Returns the number of successful answers that belonged to another call.
    pub fn mismatched_answers(&self) -> u64 {
        self.mismatched_answers.load(Ordering::Relaxed)
    }

    /// Returns the number of lookups of directions that were sent.
    pub fn lookups(&self) -> u64 {
        self.lookups.load(Ordering::Relaxed)
    }

    /// Looks up the directions of every service for every group, to fill the caches.
    pub async fn prefetch_directions(&self) {
        for group in &self.groups {
            for operation in &self.template.mix.operations {
                self.resolve_directions(group, &operation.service).await;
            }
        }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        for group in &self.groups {
            let pools: Vec<_> = group.pools.lock().drain(..).map(|(_, pool)| pool).collect();
            for pool in pools {
                pool.close().await;
            }
        }
    }

    /// Sends the call to the entries of the directions in order until one attempt gives a result.
    ///
    /// Until the call may have been written, each attempt uses the token of its own direction,
    /// because the call cannot have been executed. From then on all attempts use the same token:
    /// with the same key and token the call runs at most once, whichever entry receives it.
    async fn send_with_failover(&self, call: &ScheduledCall) -> CallResult {
        let operation = &self.template.mix.operations[call.operation];
        let group = &self.groups[call.caller as usize % self.groups.len()];
        let mut token: Option<String> = None;
        let mut may_have_run = false;
        for i in 0..MAX_ATTEMPTS {
            let Some(directions) = self.resolve_directions(group, &operation.service).await else {
                break;
            };
            let entries = &directions.entries;
            let direction = &entries[i % entries.len()];
            let attempt_token = token.clone().unwrap_or_else(|| direction.token.clone());
            match self.send_once(group, call, direction, &attempt_token).await {
                Attempt::Finished(result) if result.outcome == Outcome::NotRun && may_have_run => {
                    // A key binds both attempts to one incarnation. Idempotent calls have no key,
                    // so the refusal of this attempt does not apply to the earlier one.
                    if operation.idempotent {
                        return CallResult::unknown("broken");
                    }
                    return result;
                }
                Attempt::Finished(result) => return result,
                Attempt::NotSent => {}
                Attempt::Interrupted => {
                    may_have_run = true;
                    token = Some(attempt_token);
                }
            }
        }
        group.cached.lock().swap_remove(&operation.service);
        if may_have_run {
            CallResult::unknown("broken")
        } else {
            CallResult::not_run("no-connection")
        }
    }

    /// Sends the call to one entry.
    async fn send_once(
        &self,
        group: &CallerGroup,
        call: &ScheduledCall,
        direction: &Direction,
        token: &str,
    ) -> Attempt {
        let Ok(mut request) = self.template.request(call, direction.address) else {
            return Attempt::Finished(CallResult::not_run("bad-request"));
        };
        self.add_headers(&mut request, call, token);
        let pool = group.pool(direction.address);
        match pool.send(request).await {
            Ok(answer) => Attempt::Finished(self.classify_answer(group, call, &answer)),
            Err(SendError::NotSent) => Attempt::NotSent,
            Err(SendError::Interrupted) => Attempt::Interrupted,
        }
    }

    /// Adds the headers that only entries read.
    fn add_headers(&self, request: &mut Request<Full<Bytes>>, call: &ScheduledCall, token: &str) {
        let operation = &self.template.mix.operations[call.operation];
        let timeout = operation.timeout.as_millis().to_string();
        let caller = format!("caller-{}", call.caller);
        let mut add = |name, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                request.headers_mut().insert(HeaderName::from_static(name), value);
            }
        };
        add(headers::CALLER, &caller);
        add(headers::TIMEOUT_MS, &timeout);
        if !operation.idempotent {
            add(headers::IDEMPOTENCY_KEY, &format!("{token}/{}", self.template.call_id(call)));
        }
    }

    /// Returns the result that the headers of `answer` report. Drops the cached directions if the
    /// entry asks for a new lookup.
    fn classify_answer(
        &self,
        group: &CallerGroup,
        call: &ScheduledCall,
        answer: &Response<Bytes>,
    ) -> CallResult {
        let header = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
        if header(headers::ASK_AGAIN).is_some() {
            let operation = &self.template.mix.operations[call.operation];
            group.cached.lock().swap_remove(&operation.service);
        }
        let reason = header(headers::REASON).unwrap_or("unnamed");
        match header(headers::OUTCOME) {
            Some(headers::ANSWERED) => {
                let ok = answer.status().is_success();
                if ok && !self.template.is_answer_to(call, answer.body()) {
                    self.mismatched_answers.fetch_add(1, Ordering::Relaxed);
                }
                CallResult::answered(ok)
            }
            Some(headers::NOT_RUN) => CallResult::not_run(reason),
            Some(headers::UNKNOWN) => CallResult::unknown(reason),
            _ => CallResult::unknown("no-outcome"),
        }
    }

    /// Returns cached directions of `service`, or looks them up.
    async fn resolve_directions(
        &self,
        group: &CallerGroup,
        service: &Arc<str>,
    ) -> Option<Arc<Directions>> {
        if let Some(found) = group.cached_directions(service) {
            return Some(found);
        }
        // One lookup at a time: the other callers of the group wait and use its result.
        let _lookup = group.lookup_lock.lock().await;
        if let Some(found) = group.cached_directions(service) {
            return Some(found);
        }
        let path = format!("/directions?service={service}");
        for _ in 0..self.directions_addresses.len().min(MAX_ATTEMPTS) {
            let i = self.next_address.fetch_add(1, Ordering::Relaxed) as usize
                % self.directions_addresses.len();
            self.lookups.fetch_add(1, Ordering::Relaxed);
            if let Ok(found) = rest::get::<Directions>(self.directions_addresses[i], &path).await
                && !found.entries.is_empty()
            {
                let until = Instant::now() + Duration::from_millis(found.ttl_ms);
                let cached = CachedDirections { directions: Arc::new(found), until };
                group.cached.lock().insert(Arc::clone(service), cached.clone());
                return Some(cached.directions);
            }
        }
        None
    }
}

impl CallerGroup {
    /// Returns the cached directions of `service` unless they have expired.
    fn cached_directions(&self, service: &Arc<str>) -> Option<Arc<Directions>> {
        let cached = self.cached.lock();
        let found = cached.get(service).filter(|c| c.until > Instant::now())?;
        Some(Arc::clone(&found.directions))
    }

    /// Returns the connection pool for `address`.
    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        Arc::clone(pools.entry(address).or_insert_with(|| Arc::new(Pool::new(address))))
    }
}

impl CallSender for Callers {
    async fn send(&self, call: &ScheduledCall) -> CallResult {
        let timeout = self.template.mix.operations[call.operation].timeout + ANSWER_GRACE;
        let ended = time::timeout(timeout, self.send_with_failover(call)).await;
        ended.unwrap_or_else(|_| CallResult::unknown("caller-timeout"))
    }
}
