//! Callers that ask which entry to use, keep the answer and connect there themselves.

use super::{direct::Shape, drive::Sender};
use crate::{
    core::{sample::Verdict, schedule::Due},
    util::{
        client::{Pool, SendError},
        web,
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

/// Most groups of callers, each with connections and kept directions of its own.
const GROUPS_MAX: usize = 8;
/// How much longer than the time of the operation a caller waits for word.
const GRACE: Duration = Duration::from_secs(2);
/// Most addresses that a caller tries for one call.
const ATTEMPTS: usize = 4;

/// Directions as kept by one group of callers.
#[derive(Clone, Debug)]
struct Kept {
    directions: Arc<Directions>,
    until: Instant,
}

/// Callers that share connections and kept directions.
#[derive(Debug, Default)]
struct Group {
    kept: Mutex<IndexMap<Arc<str>, Kept>>,
    asking: tokio::sync::Mutex<()>,
    pools: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
}

/// All callers of one load.
#[derive(Debug)]
pub struct Callers {
    shape: Shape,
    groups: Vec<Group>,
    directions: Vec<SocketAddr>,
    next: AtomicU64,
    crossed: AtomicU64,
    asked: AtomicU64,
}

/// How one attempt ended.
enum Attempt {
    Told(Verdict),
    NotSent,
    Broken,
}

impl Callers {
    /// Callers that ask at any of `directions`.
    pub fn new(shape: Shape, callers: u32, directions: Vec<SocketAddr>) -> Self {
        let groups = (callers as usize).clamp(1, GROUPS_MAX);
        Self {
            shape,
            groups: (0..groups).map(|_| Group::default()).collect(),
            directions,
            next: AtomicU64::new(0),
            crossed: AtomicU64::new(0),
            asked: AtomicU64::new(0),
        }
    }

    /// Answers that belonged to another call.
    pub fn crossed(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Times that directions were asked for.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Asks for the directions of every group and service beforehand.
    pub async fn ask_all(&self) {
        for group in &self.groups {
            for operation in &self.shape.mix.operations {
                self.directions(group, &operation.service).await;
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

    /// Tries the directions in order. Once the call may have been written, its token stays with
    /// it: with the same key and token it runs at most once, wherever it arrives. Until then each
    /// address is used with its own token, because nothing can have been run.
    async fn attempts(&self, call: &Due) -> Verdict {
        let operation = &self.shape.mix.operations[call.operation];
        let group = &self.groups[call.caller as usize % self.groups.len()];
        let mut token: Option<String> = None;
        let mut was_sent = false;
        for i in 0..ATTEMPTS {
            let Some(directions) = self.directions(group, &operation.service).await else {
                break;
            };
            let entries = &directions.entries;
            let direction = &entries[i % entries.len()];
            let used = token.clone().unwrap_or_else(|| direction.token.clone());
            match self.attempt(group, call, direction, &used).await {
                Attempt::Told(verdict) if verdict.outcome == Outcome::NotRun && was_sent => {
                    // A key binds both attempts to one incarnation. Without one the refusal of
                    // the second attempt says nothing of the first.
                    if operation.idempotent {
                        return Verdict::unknown("broken");
                    }
                    return verdict;
                }
                Attempt::Told(verdict) => return verdict,
                Attempt::NotSent => {}
                Attempt::Broken => {
                    was_sent = true;
                    token = Some(used);
                }
            }
        }
        group.kept.lock().swap_remove(&operation.service);
        if was_sent { Verdict::unknown("broken") } else { Verdict::not_run("no-connection") }
    }

    async fn attempt(
        &self,
        group: &Group,
        call: &Due,
        direction: &Direction,
        token: &str,
    ) -> Attempt {
        let Ok(mut request) = self.shape.request(call, direction.address) else {
            return Attempt::Told(Verdict::not_run("bad-request"));
        };
        self.add_fields(&mut request, call, token);
        let pool = group.pool(direction.address);
        match pool.send(request).await {
            Ok(answer) => Attempt::Told(self.judge(group, call, &answer)),
            Err(SendError::NotSent) => Attempt::NotSent,
            Err(SendError::Broken) => Attempt::Broken,
        }
    }

    fn add_fields(&self, request: &mut Request<Full<Bytes>>, call: &Due, token: &str) {
        let operation = &self.shape.mix.operations[call.operation];
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
            add(headers::IDEMPOTENCY_KEY, &format!("{token}/{}", self.shape.key(call)));
        }
    }

    fn judge(&self, group: &Group, call: &Due, answer: &Response<Bytes>) -> Verdict {
        let field = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
        if field(headers::ASK_AGAIN).is_some() {
            let operation = &self.shape.mix.operations[call.operation];
            group.kept.lock().swap_remove(&operation.service);
        }
        let reason = field(headers::REASON).unwrap_or("unnamed");
        match field(headers::OUTCOME) {
            Some(headers::ANSWERED) => {
                let ok = answer.status().is_success();
                if ok && !self.shape.is_own(call, answer.body()) {
                    self.crossed.fetch_add(1, Ordering::Relaxed);
                }
                Verdict::answered(ok)
            }
            Some(headers::NOT_RUN) => Verdict::not_run(reason),
            Some(headers::UNKNOWN) => Verdict::unknown(reason),
            _ => Verdict::unknown("no-outcome"),
        }
    }

    async fn directions(&self, group: &Group, service: &Arc<str>) -> Option<Arc<Directions>> {
        if let Some(found) = group.fresh(service) {
            return Some(found);
        }
        // One question at a time: callers of a group wait for the answer to the first of them.
        let _asking = group.asking.lock().await;
        if let Some(found) = group.fresh(service) {
            return Some(found);
        }
        let path = format!("/directions?service={service}");
        for _ in 0..self.directions.len().min(ATTEMPTS) {
            let i = self.next.fetch_add(1, Ordering::Relaxed) as usize % self.directions.len();
            self.asked.fetch_add(1, Ordering::Relaxed);
            if let Ok(found) = web::get::<Directions>(self.directions[i], &path).await
                && !found.entries.is_empty()
            {
                let until = Instant::now() + Duration::from_millis(found.ttl_ms);
                let kept = Kept { directions: Arc::new(found), until };
                group.kept.lock().insert(Arc::clone(service), kept.clone());
                return Some(kept.directions);
            }
        }
        None
    }
}

impl Group {
    fn fresh(&self, service: &Arc<str>) -> Option<Arc<Directions>> {
        let kept = self.kept.lock();
        let found = kept.get(service).filter(|k| k.until > Instant::now())?;
        Some(Arc::clone(&found.directions))
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        Arc::clone(pools.entry(address).or_insert_with(|| Arc::new(Pool::new(address))))
    }
}

impl Sender for Callers {
    async fn send(&self, call: &Due) -> Verdict {
        let limit = self.shape.mix.operations[call.operation].timeout + GRACE;
        let ended = time::timeout(limit, self.attempts(call)).await;
        ended.unwrap_or_else(|_| Verdict::unknown("caller-timeout"))
    }
}
