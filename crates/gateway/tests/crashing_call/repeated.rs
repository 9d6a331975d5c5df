//! Crashing calls that come again and again at all gateways.

use super::{
    caller::{Arrival, Caller, RepeatedCall, count_statuses, served_share},
    deployment::{DOMAINS, Deployment, GATEWAYS, LINKED_GATEWAY, seed},
    peer_link::{PeerLink, Traffic},
    run_log::{Counts, Disturbance, MAX_LATE_SENDS},
    target::{CRASH_BODY, Ending},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{fmt::Write as _, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time for which crashing calls come.
const RUN_TIME: Duration = Duration::from_secs(15);
/// Time at the end of a run in which proper calls must be served.
const FINAL_TIME: Duration = Duration::from_secs(4);
/// Part of the proper calls in that time that must be served when they are sent first.
const MIN_SERVED: f64 = 0.9;
/// Number of proper callers.
const CALLERS: u8 = 24;
/// Time after the crashing calls within which each gateway must serve a proper call.
const SERVE_TIME: Duration = Duration::from_secs(2);
/// Size of a body that is streamed to the target, in bytes.
const BODY_BYTES: usize = 300_000;
/// Pauses between the kills of gateways, and from a kill to the next start, in ms.
const KILL_PAUSE_MS: std::ops::RangeInclusive<u64> = 900..=1_800;
const START_PAUSE_MS: std::ops::RangeInclusive<u64> = 200..=900;
/// When the link of a gateway to its peers is cut, and for how long.
const CUT_TIME: Duration = Duration::from_secs(2);
const CUT_DURATION: Duration = Duration::from_secs(6);

/// Calls that are made in a run, and what becomes of them.
pub(crate) struct Scenario {
    pub(crate) crashing: Vec<RepeatedCall>,
    pub(crate) proper: Arc<[RepeatedCall]>,
}

/// Arrivals of a run.
pub(crate) struct Outcome {
    pub(crate) crashing: Vec<Arrival>,
    pub(crate) proper: Vec<Arrival>,
    end: Instant,
}

impl Scenario {
    pub(crate) fn new<Crashing, Proper>(crashing: Crashing, proper: Proper) -> Self
    where
        Crashing: IntoIterator<Item = RepeatedCall>,
        Proper: IntoIterator<Item = RepeatedCall>,
    {
        let proper = proper.into_iter().collect();
        Self { crashing: crashing.into_iter().collect(), proper }
    }

    /// Three crashing calls beside look-ups that differ from each other.
    fn looks() -> Self {
        Self::new(
            (0..3).map(|n| RepeatedCall::get(&format!("/look/crash/{n}"))),
            (0..400).map(|n| RepeatedCall::get(&format!("/look/proper/{n}"))),
        )
    }

    /// Makes the calls for [`RUN_TIME`].
    pub(crate) fn spawn(&self, deployment: &Deployment) -> RunningScenario {
        let end = Instant::now() + RUN_TIME;
        let addresses = deployment.call_addresses();
        let caller = |number: u8| {
            let seed = seed() * 1_000 + u64::from(number);
            Caller::new(deployment.caller_host(number), Arc::clone(&addresses), seed)
        };
        let (mut crashing, mut proper) = (JoinSet::new(), JoinSet::new());
        for number in 0..CALLERS {
            proper.spawn(caller(number).keep_calling(Arc::clone(&self.proper), end));
        }
        for (number, call) in (CALLERS..).zip(&self.crashing) {
            crashing.spawn(caller(number).keep_crashing(call.clone(), end));
        }
        RunningScenario { crashing, proper, end }
    }

    /// Returns the figures of each crashing call.
    pub(crate) fn counts(
        &self,
        deployment: &Deployment,
        disturbances: &[Disturbance],
    ) -> Vec<Counts> {
        let keys = self.crashing.iter().map(RepeatedCall::key);
        keys.map(|key| deployment.log().counts(&key, disturbances)).collect()
    }

    /// Makes each proper call at each gateway until it is served. Returns those that are not.
    pub(crate) async fn unserved(&self, deployment: &Deployment, calls: usize) -> Vec<Arrival> {
        let end = Instant::now() + SERVE_TIME;
        let addresses = deployment.call_addresses();
        let caller = Caller::new(deployment.caller_host(CALLERS), addresses, seed());
        let mut tasks = JoinSet::new();
        for call in self.proper.iter().take(calls) {
            for gateway in 0..usize::from(GATEWAYS) {
                let (caller, call) = (caller.clone(), call.clone());
                tasks.spawn(async move { caller.call_until_served(&call, gateway, end).await });
            }
        }
        let last = tasks.join_all().await;
        last.into_iter().flatten().filter(|arrival| !arrival.is_served()).collect()
    }
}

/// Calls in progress.
pub(crate) struct RunningScenario {
    crashing: JoinSet<Vec<Arrival>>,
    proper: JoinSet<Vec<Arrival>>,
    end: Instant,
}

impl RunningScenario {
    pub(crate) async fn join(self) -> Outcome {
        let crashing = self.crashing.join_all().await.concat();
        let proper = self.proper.join_all().await.concat();
        Outcome { crashing, proper, end: self.end }
    }
}

impl Outcome {
    /// Returns the proper calls that were sent first in the last part of the run.
    fn final_firsts(&self) -> impl Iterator<Item = &Arrival> {
        let start = self.end - FINAL_TIME;
        self.proper.iter().filter(move |a| a.sent >= start && !a.is_repeat)
    }

    /// Returns the number of proper calls that were not served although they were sent again.
    pub(crate) fn unserved_count(&self) -> usize {
        let firsts = self.proper.iter().filter(|a| !a.is_repeat).count();
        firsts - self.proper.iter().filter(|a| a.is_served()).count()
    }

    /// Describes the arrivals of the proper calls that were not served although they were sent again.
    fn describe_unserved(&self) -> String {
        let sends = self.proper.chunk_by(|_, next| next.is_repeat);
        let unserved = sends.filter(|sends| !sends.iter().any(Arrival::is_served));
        unserved.flatten().map(|arrival| arrival.describe() + "\n").collect()
    }

    /// Describes what became of the calls.
    pub(crate) fn describe(&self, deployment: &Deployment, counts: &[Counts]) -> String {
        let mut text = String::new();
        for counts in counts {
            let _ = writeln!(text, "{counts}");
        }
        let firsts = || self.proper.iter().filter(|a| !a.is_repeat);
        let _ = writeln!(
            text,
            "seed={} targets crashed={}\ncrashing: arrivals={} by status {:?}\n\
             proper: first sends={} served={:.4}, in the last {FINAL_TIME:?} served={:.4}, \
             never served={}, all sends by status {:?}",
            seed(),
            deployment.log().crash_count(),
            self.crashing.len(),
            count_statuses(&self.crashing),
            firsts().count(),
            served_share(firsts()),
            served_share(self.final_firsts()),
            self.unserved_count(),
            count_statuses(&self.proper),
        );
        text + &self.describe_unserved()
    }

    /// Asserts that proper calls are served at the end of the run.
    pub(crate) fn assert_proper_calls_are_served(&self, text: &str) {
        let share = served_share(self.final_firsts());
        assert!(share >= MIN_SERVED, "only {share:.4} of the proper calls are served\n{text}");
    }
}

/// Asserts that the late sends of each call are within the limit.
pub(crate) fn assert_few_late_sends(counts: &[Counts], text: &str) {
    let is_limited = counts.iter().all(|counts| counts.late <= MAX_LATE_SENDS);
    assert!(is_limited, "more than {MAX_LATE_SENDS} sends after the third crash\n{text}");
}

async fn check_calls(scenario: Scenario, ending: Ending) {
    let deployment = Deployment::start(ending, seed()).await;
    let outcome = scenario.spawn(&deployment).join().await;
    let counts = scenario.counts(&deployment, &[]);
    let text = outcome.describe(&deployment, &counts);
    println!("{text}");
    deployment.shut_down().await;
    assert_few_late_sends(&counts, &text);
    outcome.assert_proper_calls_are_served(&text);
    assert!(outcome.unserved_count() == 0, "not served when sent again\n{text}");
}

/// Calls that crash their targets were sent to further targets for as long as they came.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_reach_few_targets_when_connections_are_reset() {
    check_calls(Scenario::looks(), Ending::Reset).await;
}

/// The same when the connections of a target that crashes end in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_reach_few_targets_when_connections_end_in_order() {
    check_calls(Scenario::looks(), Ending::Orderly).await;
}

/// A call whose body is streamed was sent to further targets for as long as it came.
///
/// Bodies of the same length on the same path that crash no target are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_with_large_bodies_reach_few_targets() {
    let body = |beginning: &[u8]| {
        let mut body = beginning.to_vec();
        body.resize(BODY_BYTES, b'.');
        body
    };
    let path = "/look/upload";
    let scenario = Scenario::new(
        [
            RepeatedCall::post(path, body(CRASH_BODY)),
            RepeatedCall::post(path, body(b"crash-2")).chunked(),
        ],
        (0..4).map(|n| {
            let call = RepeatedCall::post(path, body(format!("proper{n}").as_bytes()));
            if n % 2 == 0 { call } else { call.chunked() }
        }),
    );
    check_calls(scenario, Ending::Reset).await;
}

/// A gateway that had just started, or had been cut off from its peers, did not know which calls
/// crash targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_reach_few_targets_while_gateways_end_and_start() {
    let mut deployment = Deployment::start(Ending::Reset, seed()).await;
    let scenario = Scenario::looks();
    let running = scenario.spawn(&deployment);
    let start = Instant::now();
    let link = Arc::clone(&deployment.link);
    let mut disturbances = Vec::new();
    let kills = kill_gateways(&mut deployment, start + RUN_TIME, &mut disturbances);
    let (cut, ()) = tokio::join!(cut_link(&link), kills);
    let gateway = deployment.gateway_host(LINKED_GATEWAY);
    disturbances.push(Disturbance { gateway, start: cut.start, end: cut.end });
    let outcome = running.join().await;
    let counts = scenario.counts(&deployment, &disturbances);
    let text = outcome.describe(&deployment, &counts);
    println!("{text}gateways killed: {}\n{cut:?}", disturbances.len() - 1);
    deployment.shut_down().await;
    assert!(cut.last.is_withheld_since(&cut.first), "nothing was withheld: {cut:?}");
    assert!(cut.last.is_silent_since(&cut.first), "messages passed the cut: {cut:?}");
    assert!(cut.after.is_passed_since(&cut.last), "the cut did not end: {cut:?}");
    assert_few_late_sends(&counts, &text);
}

/// A cut of the link, with the figures of the link at its start, at its end and afterwards.
#[derive(Debug)]
struct LinkCut {
    start: Instant,
    end: Instant,
    first: Traffic,
    last: Traffic,
    after: Traffic,
}

/// Cuts the link for [`CUT_DURATION`], and until messages of both directions were withheld. Returns once
/// messages of both directions have passed again.
async fn cut_link(link: &PeerLink) -> LinkCut {
    sleep(CUT_TIME).await;
    let start = Instant::now();
    let first = link.cut().await;
    sleep(CUT_DURATION).await;
    link.wait_for("messages are withheld", |t| t.is_withheld_since(&first)).await;
    let last = link.restore();
    let end = Instant::now();
    link.wait_for("messages pass again", |t| t.is_passed_since(&last)).await;
    LinkCut { start, end, first, last, after: link.traffic() }
}

/// Returns whether the gateway `number` is in the failure domain of the one whose link is cut, and so
/// sends heartbeats to it even if it takes it for dead.
fn is_in_linked_domain(number: u8) -> bool {
    usize::from(number) % DOMAINS.len() == usize::from(LINKED_GATEWAY) % DOMAINS.len()
}

/// Kills and starts one gateway after the other, except the one whose link is cut.
async fn kill_gateways(
    deployment: &mut Deployment,
    end: Instant,
    disturbances: &mut Vec<Disturbance>,
) {
    let mut random = Pcg64::seed_from_u64(seed());
    let mut random_ms = |range| Duration::from_millis(random.random_range(range));
    let mut order = (0..LINKED_GATEWAY).cycle();
    loop {
        let next = Instant::now() + random_ms(KILL_PAUSE_MS);
        if next >= end {
            break;
        }
        sleep_until(next).await;
        let number = order.next().unwrap_or_default();
        // Its next process would not know the one whose link is cut.
        if is_in_linked_domain(number) {
            let is_withheld = |t: &Traffic| t.is_withheld_since(&Traffic::default());
            deployment.link.wait_for("messages are withheld", is_withheld).await;
        }
        let gateway = &mut deployment.gateways[usize::from(number)];
        let start = Instant::now();
        gateway.signal(rustix::process::Signal::KILL);
        gateway.wait_for_exit(Duration::from_secs(5)).await;
        sleep(random_ms(START_PAUSE_MS)).await;
        gateway.restart();
        gateway.wait_until_ready().await;
        let gateway = deployment.gateway_host(number);
        disturbances.push(Disturbance { gateway, start, end: Instant::now() });
    }
}
