//! Concurrent callers, and the verification of all their calls.

use crate::{
    caller::{Call, CallError, Caller, Reply},
    fleet::Fleet,
};
use azuretally_api::{
    directions::{Direction, Directions},
    headers,
    record::Outcome,
};
use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

/// Pause of a caller that got no directions before it requests them again.
const LOOKUP_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Workload of a [`LoadGenerator`].
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of callers.
    pub callers: usize,
    /// Pause of a caller between two calls.
    pub pause: Duration,
    /// Every n-th call of a caller is a sale; 0 means no sales.
    pub sale_every: usize,
    /// Timeout sent with each call.
    pub timeout: Duration,
}

/// A call with its result.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The call.
    pub call: Call,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time from sending to the result.
    pub elapsed: Duration,
    /// Response or error that the caller got.
    pub result: Result<Reply, CallError>,
}

impl fmt::Display for CompletedCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.call.run_key();
        match &self.result {
            Ok(reply) => {
                let outcome = reply.header(headers::OUTCOME).unwrap_or("none");
                let reason = reply.header(headers::REASON).unwrap_or("none");
                let entry = reply.header(headers::ENTRY).unwrap_or("none");
                write!(f, "{key}: {outcome}, reason {reason}, entry {entry}")?;
            }
            Err(e) => write!(f, "{key}: {e}")?,
        }
        write!(f, ", after {:?}", self.elapsed)
    }
}

/// Numbers of calls by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered by a target.
    pub answered: usize,
    /// Sales among the answered calls.
    pub sales: usize,
    /// Refused as not run.
    pub not_run: usize,
    /// Outcome unknown.
    pub unknown: usize,
    /// No connection could be established.
    pub connect: usize,
    /// The connection failed before an outcome was received.
    pub broken: usize,
    /// No complete response within the client timeout.
    pub timeout: usize,
}

impl OutcomeCounts {
    /// Returns the number of calls of which the caller does not know whether they ran.
    pub fn indeterminate(&self) -> usize {
        self.unknown + self.broken + self.timeout
    }
}

/// Runs concurrent callers until it is stopped.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: CancellationToken,
    callers: JoinSet<Vec<CompletedCall>>,
}

impl LoadGenerator {
    /// Starts the callers.
    pub fn start(fleet: &Fleet, workload: Workload) -> Self {
        let stop = CancellationToken::new();
        let addresses: Vec<_> = fleet.entries.iter().map(|e| e.directions).collect();
        let mut callers = JoinSet::new();
        for number in 0..workload.callers {
            let addresses = addresses.clone();
            let stop = stop.clone();
            let simulated = SimulatedCaller {
                number,
                workload,
                addresses,
                caller: Caller::default(),
                cached: None,
                lookups: 0,
            };
            callers.spawn(simulated.run(stop));
        }
        Self { stop, callers }
    }

    /// Stops the callers and returns all calls that they made.
    pub async fn finish(self) -> Vec<CompletedCall> {
        self.stop.cancel();
        self.callers.join_all().await.into_iter().flatten().collect()
    }
}

/// A caller that requests directions and makes calls in a loop.
#[derive(Debug)]
struct SimulatedCaller {
    number: usize,
    workload: Workload,
    addresses: Vec<SocketAddr>,
    caller: Caller,
    /// Directions and the time at which they expire.
    cached: Option<(Directions, Instant)>,
    /// Requests for directions so far.
    lookups: usize,
}

impl SimulatedCaller {
    async fn run(mut self, stop: CancellationToken) -> Vec<CompletedCall> {
        let mut completed = Vec::new();
        let mut count = 0;
        while !stop.is_cancelled() {
            let Some(direction) = self.direction().await else {
                time::sleep(LOOKUP_RETRY_PAUSE).await;
                continue;
            };
            count += 1;
            let id = format!("c{}-{count}", self.number);
            let call = match self.workload.sale_every {
                0 => Call::get("/till/balance", id),
                n if count % n == 0 => Call::sale(id, &direction),
                _ => Call::get("/till/balance", id),
            };
            let call =
                call.timeout(self.workload.timeout).caller(format!("caller-{}", self.number));
            let sent = Instant::now();
            let result = self.caller.call(direction.address, &call).await;
            let look_up_again = match &result {
                Ok(reply) => reply.header(headers::ASK_AGAIN).is_some() || !reply.is_answered(),
                Err(_) => true,
            };
            if look_up_again {
                self.cached = None;
            }
            completed.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
            time::sleep(self.workload.pause).await;
        }
        completed
    }

    async fn direction(&mut self) -> Option<Direction> {
        let is_cached =
            self.cached.as_ref().is_some_and(|(_, expires_at)| Instant::now() < *expires_at);
        if !is_cached {
            self.lookups += 1;
            let address = self.addresses[(self.number + self.lookups) % self.addresses.len()];
            let directions = self.caller.directions(address, "till").await.ok()?;
            let expires_at = Instant::now() + Duration::from_millis(directions.ttl_ms);
            self.cached = Some((directions, expires_at));
        }
        let (directions, _) = self.cached.as_ref()?;
        directions.entries.first().cloned()
    }
}

impl Fleet {
    /// Verifies every call against the counters of the targets: a successful response is complete
    /// and belongs to its call, which ran; a call that was refused as not run or got no connection
    /// did not run; and no sale ran twice. Prints the calls of which the caller does not know
    /// whether they ran.
    ///
    /// # Panics
    ///
    /// Panics if one of these conditions does not hold.
    pub async fn verify(&self, completed: &[CompletedCall]) -> OutcomeCounts {
        let report = self.target_report().await;
        let mut outcomes = OutcomeCounts::default();
        for completed in completed {
            let CompletedCall { call, result, .. } = completed;
            let (answered, indeterminate) = (outcomes.answered, outcomes.indeterminate());
            let starts = report.runs.get(call.run_key()).map_or(0, |r| r.starts);
            if call.is_sale() {
                assert!(starts <= 1, "{starts} runs of {call:?}: {result:?}");
            }
            match result {
                Ok(reply) => check_reply(call, reply, starts, &mut outcomes),
                Err(CallError::Connect) => {
                    assert_eq!(starts, 0, "ran without a connection: {call:?}");
                    outcomes.connect += 1;
                }
                Err(CallError::Broken) => outcomes.broken += 1,
                Err(CallError::Timeout) => outcomes.timeout += 1,
            }
            outcomes.sales += usize::from(call.is_sale() && outcomes.answered > answered);
            if outcomes.indeterminate() > indeterminate {
                println!("{completed}");
            }
        }
        outcomes
    }
}

fn check_reply(call: &Call, reply: &Reply, starts: u64, outcomes: &mut OutcomeCounts) {
    match reply.outcome() {
        Some(Outcome::Answered) => {
            outcomes.answered += 1;
            if reply.status.is_success() {
                assert!(starts >= 1, "answered without a run: {call:?} {reply:?}");
                assert!(call.is_own_response(&reply.body), "not its own: {call:?} {reply:?}");
            }
        }
        Some(Outcome::NotRun) => {
            outcomes.not_run += 1;
            assert_eq!(starts, 0, "refused as not run, yet it ran: {call:?} {reply:?}");
            assert!(reply.retry_after().is_some(), "no Retry-After: {reply:?}");
        }
        Some(Outcome::Unknown) => outcomes.unknown += 1,
        None => panic!("an answer without an outcome: {call:?} {reply:?}"),
    }
}
