//! Many callers at once, and the check of what became of every one of their calls.

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

const ASK_PAUSE: Duration = Duration::from_millis(20);

/// What the callers of a crowd do.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Callers.
    pub callers: usize,
    /// Pause of one caller between two calls.
    pub pause: Duration,
    /// Every n-th call is a sale, none at 0.
    pub sale_every: usize,
    /// Time that each call is allowed.
    pub timeout: Duration,
}

/// A call with its result.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The call.
    pub call: Call,
    /// When it was sent.
    pub sent: Instant,
    /// Time to the result.
    pub elapsed: Duration,
    /// What the caller got.
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

/// Calls by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered by a target.
    pub answered: usize,
    /// Sales among the answered ones.
    pub sales: usize,
    /// Refused as not run.
    pub not_run: usize,
    /// Outcome unknown.
    pub unknown: usize,
    /// No connection was made.
    pub connect: usize,
    /// Cut off without an outcome.
    pub broken: usize,
    /// Without any answer until the caller lost patience.
    pub timeout: usize,
}

impl OutcomeCounts {
    /// Calls of which the caller does not know whether they ran.
    pub fn indeterminate(&self) -> usize {
        self.unknown + self.broken + self.timeout
    }
}

/// Callers that make calls until told to stop.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: CancellationToken,
    callers: JoinSet<Vec<CompletedCall>>,
}

impl LoadGenerator {
    /// Starts the callers.
    pub fn start(fleet: &Fleet, mix: Workload) -> Self {
        let stop = CancellationToken::new();
        let ask: Vec<_> = fleet.entries.iter().map(|e| e.directions).collect();
        let mut callers = JoinSet::new();
        for number in 0..mix.callers {
            let ask = ask.clone();
            let stop = stop.clone();
            let member =
                Member { number, mix, ask, caller: Caller::default(), kept: None, asked: 0 };
            callers.spawn(member.run(stop));
        }
        Self { stop, callers }
    }

    /// Stops the callers and returns all calls that they made.
    pub async fn finish(self) -> Vec<CompletedCall> {
        self.stop.cancel();
        self.callers.join_all().await.into_iter().flatten().collect()
    }
}

#[derive(Debug)]
struct Member {
    number: usize,
    mix: Workload,
    ask: Vec<SocketAddr>,
    caller: Caller,
    kept: Option<(Directions, Instant)>,
    asked: usize,
}

impl Member {
    async fn run(mut self, stop: CancellationToken) -> Vec<CompletedCall> {
        let mut made = Vec::new();
        let mut count = 0;
        while !stop.is_cancelled() {
            let Some(to) = self.direction().await else {
                time::sleep(ASK_PAUSE).await;
                continue;
            };
            count += 1;
            let id = format!("c{}-{count}", self.number);
            let call = match self.mix.sale_every {
                0 => Call::get("/till/balance", id),
                n if count % n == 0 => Call::sale(id, &to),
                _ => Call::get("/till/balance", id),
            };
            let call = call.timeout(self.mix.timeout).caller(format!("caller-{}", self.number));
            let sent = Instant::now();
            let result = self.caller.call(to.address, &call).await;
            let ask_again = match &result {
                Ok(reply) => reply.header(headers::ASK_AGAIN).is_some() || !reply.is_answered(),
                Err(_) => true,
            };
            if ask_again {
                self.kept = None;
            }
            made.push(CompletedCall { call, sent, elapsed: sent.elapsed(), result });
            time::sleep(self.mix.pause).await;
        }
        made
    }

    async fn direction(&mut self) -> Option<Direction> {
        let is_kept = self.kept.as_ref().is_some_and(|(_, until)| Instant::now() < *until);
        if !is_kept {
            self.asked += 1;
            let address = self.ask[(self.number + self.asked) % self.ask.len()];
            let directions = self.caller.directions(address, "till").await.ok()?;
            let until = Instant::now() + Duration::from_millis(directions.ttl_ms);
            self.kept = Some((directions, until));
        }
        let (directions, _) = self.kept.as_ref()?;
        directions.entries.first().cloned()
    }
}

impl Fleet {
    /// Checks every call against what the targets counted: an answer is whole and the caller's
    /// own, an answered sale ran once, a call refused as not run has not run, and no sale ran
    /// twice.
    ///
    /// # Panics
    ///
    /// When one of these does not hold.
    pub async fn verify(&self, made: &[CompletedCall]) -> OutcomeCounts {
        let ledger = self.target_report().await;
        let mut tally = OutcomeCounts::default();
        for made in made {
            let CompletedCall { call, result, .. } = made;
            let (answered, unclear) = (tally.answered, tally.indeterminate());
            let starts = ledger.runs.get(call.run_key()).map_or(0, |r| r.starts);
            if call.is_sale() {
                assert!(starts <= 1, "{starts} runs of {call:?}: {result:?}");
            }
            match result {
                Ok(reply) => check_reply(call, reply, starts, &mut tally),
                Err(CallError::Connect) => {
                    assert_eq!(starts, 0, "ran without a connection: {call:?}");
                    tally.connect += 1;
                }
                Err(CallError::Broken) => tally.broken += 1,
                Err(CallError::Timeout) => tally.timeout += 1,
            }
            tally.sales += usize::from(call.is_sale() && tally.answered > answered);
            if tally.indeterminate() > unclear {
                println!("{made}");
            }
        }
        tally
    }
}

fn check_reply(call: &Call, reply: &Reply, starts: u64, tally: &mut OutcomeCounts) {
    match reply.outcome() {
        Some(Outcome::Answered) => {
            tally.answered += 1;
            if reply.status.is_success() {
                assert!(starts >= 1, "answered without a run: {call:?} {reply:?}");
                assert!(call.is_own_response(&reply.body), "not its own: {call:?} {reply:?}");
            }
        }
        Some(Outcome::NotRun) => {
            tally.not_run += 1;
            assert_eq!(starts, 0, "refused as not run, yet it ran: {call:?} {reply:?}");
            assert!(reply.retry_after().is_some(), "no Retry-After: {reply:?}");
        }
        Some(Outcome::Unknown) => tally.unknown += 1,
        None => panic!("an answer without an outcome: {call:?} {reply:?}"),
    }
}
