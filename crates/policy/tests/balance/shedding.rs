//! Calls compete for too few slots. Each test names a load, drives the balancers of several gateways with
//! it against a model of the targets' slots, and compares the answers with those of the same load under
//! the earlier order, which judged whether a call can be in time by its time at an idle target.

use crate::fixture::{Fixture, ms, record, route};
use azuretally_policy::balance::{
    AttemptOutcome, Call, CallDigests, Change, Decision, Failure, LoadReport, ProbeResult, Route,
    TargetRecord,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::VecDeque, net::IpAddr, sync::Arc, time::Duration};

const SLOTS: usize = 2;
/// Calls that a target queues; a further one is refused.
const TARGET_QUEUE: usize = 4;
/// Length of the phases in which a part of the targets is slow.
const PHASE_MS: u64 = 150;
const SLOWDOWN: f64 = 5.0;
/// Runs of each load, whose tallies are added.
const SEEDS: u64 = 4;

/// Calls of one route.
struct Stream {
    route: Arc<Route>,
    /// Mean run time at a target of the usual speed.
    work_ms: f64,
    /// Calls per second at all gateways.
    rate: f64,
    /// Factor on the rate between two times in ms.
    burst: (u64, u64, f64),
}

struct Scenario {
    gateways: usize,
    /// Targets in the failure domain of the gateways and in another one.
    targets: (u8, u8),
    streams: Vec<Stream>,
    /// Whether a third of the targets is slow in each phase.
    slow_phases: bool,
    /// Times that a caller comes back after a refusal.
    returns: u32,
    /// Whether callers come back at once, whatever delay they are given.
    impatient: bool,
    /// When the targets of the other failure domain end, with the calls that they run.
    gone_at: Option<u64>,
    /// When calls stop to arrive.
    end: u64,
}

impl Scenario {
    fn new(streams: Vec<Stream>) -> Self {
        Self {
            gateways: 10,
            targets: (20, 0),
            streams,
            slow_phases: false,
            returns: 2,
            impatient: false,
            gone_at: None,
            end: 20_000,
        }
    }
}

/// Calls by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Tally {
    const fn new(in_time: u32, late: u32, refused: u32) -> Self {
        Self { in_time, late, refused }
    }

    fn answered(self) -> u32 {
        self.in_time + self.late
    }

    fn all(self) -> u32 {
        self.answered() + self.refused
    }
}

#[derive(Clone)]
struct ModelCall {
    stream: usize,
    gateway: usize,
    caller: IpAddr,
    /// When the caller sent it for the first time.
    first: u64,
    returns: u32,
}

#[derive(Default)]
struct ModelTarget {
    /// Gateway, number and remaining work in ms of the running calls.
    running: Vec<(usize, u64, f64)>,
    waiting: VecDeque<(usize, u64, f64)>,
    is_slow: bool,
}

impl ModelTarget {
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown: Some(if self.is_slow { SLOWDOWN } else { 1.0 }),
        }
    }

    fn fill(&mut self) {
        while self.running.len() < SLOTS
            && let Some(call) = self.waiting.pop_front()
        {
            self.running.push(call);
        }
    }

    /// Works for one ms, and returns the calls that end.
    fn work(&mut self) -> Vec<(usize, u64)> {
        let done = if self.is_slow { 1.0 / SLOWDOWN } else { 1.0 };
        for (.., left) in &mut self.running {
            *left -= done;
        }
        let ended = self.running.extract_if(.., |(.., left)| *left <= 0.0);
        let ended = ended.map(|(gateway, id, _)| (gateway, id)).collect();
        self.fill();
        ended
    }
}

struct Model {
    scenario: Scenario,
    gateways: Vec<Fixture>,
    targets: IndexMap<Arc<str>, ModelTarget>,
    calls: IndexMap<(usize, u64), ModelCall>,
    returning: Vec<(u64, ModelCall)>,
    callers: u32,
    last_id: u64,
    random: Pcg64Mcg,
    tallies: IndexMap<u32, Tally>,
}

impl Model {
    /// Runs the scenario and adds its calls to the tallies by priority.
    fn run(scenario: Scenario, seed: u64, tallies: &mut IndexMap<u32, Tally>) {
        let (local, remote) = scenario.targets;
        let gateways =
            (0..scenario.gateways).map(|_| Fixture::before_first_answer(local, remote)).collect();
        let numbers = (0..local).chain((0..remote).map(|n| 100 + n));
        let targets =
            numbers.map(|n| (Arc::from(format!("target-{n}")), ModelTarget::default())).collect();
        let mut model = Self {
            gateways,
            targets,
            calls: IndexMap::new(),
            returning: Vec::new(),
            callers: 0,
            last_id: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            tallies: std::mem::take(tallies),
            scenario,
        };
        let mut at = 0;
        while at < model.scenario.end || !model.calls.is_empty() || !model.returning.is_empty() {
            model.step(at);
            at += 1;
        }
        *tallies = model.tallies;
    }

    fn step(&mut self, at: u64) {
        if self.scenario.gone_at == Some(at) {
            self.end_remote_targets(at);
        }
        self.end_runs(at);
        self.expire(at);
        self.arrive(at);
        for gateway in 0..self.gateways.len() {
            for probe in self.gateways[gateway].balancer.take_probes() {
                let result = ProbeResult::Report(self.targets[&probe.target].report());
                self.gateways[gateway].balancer.probe_ended(ms(at), &probe, result);
            }
            for (id, decision) in self.gateways[gateway].balancer.dispatch_waiting(ms(at)) {
                self.apply(at, gateway, id, decision);
            }
        }
    }

    fn end_remote_targets(&mut self, at: u64) {
        for number in 0..self.scenario.targets.1 {
            let gone = TargetRecord { leaving: true, ..record(100 + number, "b") };
            for gateway in &mut self.gateways {
                gateway.apply_changes(ms(at), vec![Change::Target(gone.clone())]);
            }
            let Some(target) = self.targets.get_mut(&gone.name) else { continue };
            let waiting = std::mem::take(&mut target.waiting);
            let lost = std::mem::take(&mut target.running).into_iter().chain(waiting);
            for (gateway, id, _) in lost.collect::<Vec<_>>() {
                if !self.calls.contains_key(&(gateway, id)) {
                    continue;
                }
                let outcome = AttemptOutcome::Failed { failure: Failure::Broken, sent: true };
                let fixture = &mut self.gateways[gateway];
                let decision = fixture.end_attempt(ms(at), id, &gone.name, outcome, None);
                self.apply(at, gateway, id, decision);
            }
        }
    }

    fn end_runs(&mut self, at: u64) {
        for index in 0..self.targets.len() {
            if self.scenario.slow_phases && at.is_multiple_of(PHASE_MS) {
                self.targets[index].is_slow = self.random.random_bool(1.0 / 3.0);
            }
            let ended = self.targets[index].work();
            let Some((name, target)) = self.targets.get_index(index) else { continue };
            let (name, report) = (Arc::clone(name), Some(target.report()));
            for (gateway, id) in ended {
                if !self.calls.contains_key(&(gateway, id)) {
                    continue;
                }
                let outcome = AttemptOutcome::Answered { ok: true, bytes: 500 };
                let fixture = &mut self.gateways[gateway];
                let decision = fixture.end_attempt(ms(at), id, &name, outcome, report);
                self.apply(at, gateway, id, decision);
            }
        }
    }

    /// Gives up the calls at their deadline. Targets go on with them.
    fn expire(&mut self, at: u64) {
        let is_due = |call: &ModelCall| {
            at >= call.first + self.scenario.streams[call.stream].route.timeout.as_millis() as u64
        };
        let due: Vec<_> = self.calls.iter().filter(|(_, c)| is_due(c)).map(|(k, _)| *k).collect();
        for (gateway, id) in due {
            let decision = self.gateways[gateway].balancer.expire(ms(at), id);
            self.apply(at, gateway, id, decision);
        }
    }

    fn arrive(&mut self, at: u64) {
        let due: Vec<_> = self.returning.extract_if(.., |(due, _)| *due <= at).collect();
        for (_, call) in due {
            self.submit(at, call);
        }
        if at >= self.scenario.end {
            return;
        }
        for stream in 0..self.scenario.streams.len() {
            let Stream { rate, burst: (from, to, factor), .. } = self.scenario.streams[stream];
            let rate = if (from..to).contains(&at) { rate * factor } else { rate };
            let mut expected = rate / 1_000.0;
            while self.random.random_bool(expected.min(1.0)) {
                expected -= 1.0;
                self.callers += 1;
                let [_, high, middle, low] = self.callers.to_be_bytes();
                let caller = [10, high, middle, low].into();
                let gateway = self.random.random_range(0..self.gateways.len());
                self.submit(at, ModelCall { stream, gateway, caller, first: at, returns: 0 });
                if expected <= 0.0 {
                    break;
                }
            }
        }
    }

    fn submit(&mut self, at: u64, call: ModelCall) {
        let route = Arc::clone(&self.scenario.streams[call.stream].route);
        let gateway = call.gateway;
        self.last_id += 1;
        let id = self.last_id;
        let balancer_call = Call {
            id,
            service: Arc::clone(&route.shares[0].service),
            objective: ms(at) + route.objective,
            // Callers state the time that they have left.
            deadline: ms(call.first) + route.timeout,
            caller: call.caller,
            replayable: true,
            relayed: false,
            digests: CallDigests::default(),
            route,
        };
        let decision = self.gateways[gateway].balancer.submit(ms(at), balancer_call);
        self.calls.insert((gateway, id), call);
        self.apply(at, gateway, id, decision);
    }

    fn apply(&mut self, at: u64, gateway: usize, id: u64, mut decision: Decision) {
        while let Decision::Start(start) = &decision {
            let stream = &self.scenario.streams[self.calls[&(gateway, id)].stream];
            // Runs have a long tail: half of them take less than 0.75 of the usual time, a tenth more than
            // 2.4 times.
            let long = if self.random.random_bool(0.15) { 4.0 } else { 0.8 };
            let spread = 0.6 - 0.4 * (1.0 - self.random.random::<f64>()).ln();
            let work_ms = stream.work_ms * spread * long;
            let target = &mut self.targets[&start.target];
            if target.waiting.len() < TARGET_QUEUE {
                target.waiting.push_back((gateway, id, work_ms));
                target.fill();
                return;
            }
            let report = Some(target.report());
            let name = Arc::clone(&start.target);
            let outcome = AttemptOutcome::Refused;
            decision = self.gateways[gateway].end_attempt(ms(at), id, &name, outcome, report);
        }
        match decision {
            Decision::Deliver => {
                self.gateways[gateway].balancer.forget(id);
                self.end(at, (gateway, id), true);
            }
            Decision::GiveUp { not_run, retry_after, .. } => {
                let call = self.calls[&(gateway, id)].clone();
                let timeout = self.scenario.streams[call.stream].route.timeout;
                let left = timeout.saturating_sub(Duration::from_millis(at - call.first));
                let Scenario { returns, impatient, .. } = self.scenario;
                let is_honoured = impatient || retry_after <= left / 3;
                if not_run && call.returns < returns && is_honoured && !left.is_zero() {
                    self.calls.swap_remove(&(gateway, id));
                    let delay = if impatient { 0 } else { retry_after.as_millis() as u64 };
                    let due = at + delay + 1;
                    let returns = call.returns + 1;
                    self.returning.push((due, ModelCall { returns, ..call }));
                } else {
                    self.end(at, (gateway, id), false);
                }
            }
            Decision::Start(_) | Decision::Wait => {}
        }
    }

    fn end(&mut self, at: u64, key: (usize, u64), answered: bool) {
        let Some(call) = self.calls.swap_remove(&key) else { return };
        let route = &self.scenario.streams[call.stream].route;
        let tally = self.tallies.entry(route.priority).or_default();
        let took = Duration::from_millis(at - call.first);
        match answered {
            true if took <= route.objective => tally.in_time += 1,
            true => tally.late += 1,
            false => tally.refused += 1,
        }
    }
}

fn stream(name: &str, priority: u32, objective_ms: u64, work_ms: f64, rate: f64) -> Stream {
    let route = Arc::new(Route {
        priority,
        objective: Duration::from_millis(objective_ms),
        timeout: Duration::from_millis(1_500),
        ..Route::clone(&route(name, priority > 0))
    });
    Stream { route, work_ms, rate, burst: (0, 0, 1.0) }
}

/// Runs the scenario with several seeds, and checks the tallies against those of the earlier order, `before`,
/// by priority: more calls are answered in time, hardly fewer are answered at all, and no priority is left
/// out.
fn check(scenario: fn() -> Scenario, before: &[Tally]) {
    let mut tallies = IndexMap::new();
    for seed in 0..SEEDS {
        Model::run(scenario(), seed, &mut tallies);
    }
    tallies.sort_unstable_keys();
    let now = |f: fn(Tally) -> u32| tallies.values().copied().map(f).sum::<u32>();
    let then = |f: fn(Tally) -> u32| before.iter().copied().map(f).sum::<u32>();
    let report = format!("now {tallies:?}, before {before:?}");
    println!("{report}");
    assert!(now(|t| t.in_time) > then(|t| t.in_time), "in time: {report}");
    assert!(now(Tally::answered) * 100 >= then(Tally::answered) * 95, "answered: {report}");
    let share = f64::from(now(Tally::answered)) / f64::from(now(Tally::all));
    for (priority, tally) in &tallies {
        let own = f64::from(tally.answered()) / f64::from(tally.all());
        assert!(own >= share / 4.0, "priority {priority}: {report}");
    }
}

fn streams(sale: f64, check: f64, browse: f64) -> Vec<Stream> {
    vec![
        stream("sale", 0, 250, 100.0, sale),
        stream("check", 1, 250, 100.0, check),
        stream("browse", 2, 400, 120.0, browse),
    ]
}

/// One route has five times its usual rate for five seconds, beside two other routes.
#[test]
fn burst_on_one_route() {
    let scenario = || {
        let mut streams = streams(60.0, 120.0, 75.0);
        streams[1].burst = (5_000, 10_000, 5.0);
        Scenario::new(streams)
    };
    check(
        scenario,
        &[
            Tally::new(3_805, 800, 172),
            Tally::new(9_927, 2_781, 6_558),
            Tally::new(3_961, 631, 1_293),
        ],
    );
}

/// Calls of one route exceed the capacity by a tenth for a long time. They must not all wait until the last
/// moment.
#[test]
fn demand_slightly_above_capacity() {
    let scenario = || {
        let streams = vec![stream("check", 1, 250, 100.0, 320.0)];
        Scenario::new(streams)
    };
    check(scenario, &[Tally::new(16_940, 7_465, 1_019)]);
}

/// A third of the targets is slow at any time, and demand exceeds what the others can run.
#[test]
fn slow_targets() {
    let scenario = || {
        let streams = streams(120.0, 160.0, 120.0);
        Scenario { slow_phases: true, ..Scenario::new(streams) }
    };
    check(
        scenario,
        &[
            Tally::new(5_042, 2_367, 2_123),
            Tally::new(4_266, 2_478, 6_082),
            Tally::new(2_542, 1_149, 6_091),
        ],
    );
}

/// Callers of a full service come back at once and often, whatever delay they are given. First attempts keep
/// their place.
#[test]
fn retries_on_top_of_a_full_service() {
    let scenario =
        || Scenario { returns: 6, impatient: true, ..Scenario::new(streams(80.0, 180.0, 140.0)) };
    check(
        scenario,
        &[
            Tally::new(4_725, 1_199, 509),
            Tally::new(8_166, 3_170, 3_081),
            Tally::new(4_890, 1_914, 4_443),
        ],
    );
}

/// Half of the targets are in another failure domain, which ends with the calls that run there.
#[test]
fn failure_domain_that_is_gone() {
    let scenario = || Scenario {
        targets: (12, 12),
        gone_at: Some(6_000),
        ..Scenario::new(streams(50.0, 100.0, 70.0))
    };
    check(
        scenario,
        &[
            Tally::new(2_833, 961, 213),
            Tally::new(5_036, 2_139, 1_022),
            Tally::new(3_444, 1_036, 1_053),
        ],
    );
}

/// Callers are in one failure domain, and three quarters of the targets in another.
#[test]
fn demand_in_one_domain_and_targets_in_another() {
    let scenario = || Scenario { targets: (5, 15), ..Scenario::new(streams(60.0, 120.0, 90.0)) };
    check(
        scenario,
        &[
            Tally::new(3_108, 1_054, 630),
            Tally::new(4_810, 2_188, 2_636),
            Tally::new(2_870, 1_163, 3_055),
        ],
    );
}

/// Downloads run four times as long as the other calls and have plenty of time.
#[test]
fn downloads_beside_short_calls() {
    let scenario = || {
        let mut streams = streams(80.0, 120.0, 50.0);
        streams.push(stream("download", 3, 1_200, 400.0, 25.0));
        Scenario::new(streams)
    };
    check(
        scenario,
        &[
            Tally::new(4_661, 1_369, 321),
            Tally::new(5_530, 2_758, 1_251),
            Tally::new(2_440, 807, 765),
            Tally::new(1_474, 98, 484),
        ],
    );
}

/// A target that reports no load was full, and its calls are cancelled. A late call that waits must not be
/// kept from its slots until its deadline.
#[test]
fn late_call_starts_after_other_calls_were_cancelled() {
    let mut fixture = Fixture::new(1, 0);
    let check = route("check", true);
    let running = [0; 2].map(|_| fixture.submit(ms(0), &check).0);
    let (late, decision) = fixture.submit(ms(1), &check);
    assert_eq!(decision, Decision::Wait);
    assert_eq!(fixture.balancer.dispatch_waiting(ms(390)), []);
    for id in running {
        fixture.balancer.forget(id);
    }
    let started = (390..600).find(|at| {
        let decisions = fixture.balancer.dispatch_waiting(ms(*at));
        matches!(decisions.as_slice(), [(id, Decision::Start(_))] if *id == late)
    });
    assert!(started.is_some(), "the call has until 1,001 ms");
}
