//! Balancer with targets, and helpers that send calls to it.

use azuretally_policy::{
    Timestamp, UnixTime,
    balance::{
        AnswerTime, Attempt, AttemptOutcome, AttemptResult, Balancer, BalancerSettings, Build,
        Call, CallDigests, Catalog, Change, ColdBound, Decision, GatewayLoad, Heartbeat,
        HeartbeatExtension, KnownData, LimitField, LoadReport, MESSAGE_GENERATION, NewAttempt,
        Phase, Probe, ProbeResult, ProcessId, ReadState, Revision, Route, Share, Source,
        TargetRecord,
    },
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Failure domain of the balancer under test.
pub(crate) const LOCAL: &str = "a";

/// Time of day at `ms(0)`, in Unix ms.
const EPOCH_MS: u64 = 1_700_000_000_000;

pub(crate) fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns the time of an answer at `now` to a request that was sent at `sent`.
pub(crate) fn answered_at(now: Timestamp, sent: Timestamp) -> AnswerTime {
    AnswerTime { now, sent: UnixTime::from_millis(EPOCH_MS + sent.as_micros() / 1_000) }
}

/// Returns the record of a process that takes the place of target `number` and started at `ms`.
pub(crate) fn successor(number: u8, ms: u64) -> TargetRecord {
    TargetRecord { started: Some(EPOCH_MS + ms), ..record(number, LOCAL) }
}

pub(crate) fn settings() -> BalancerSettings {
    BalancerSettings {
        retry_ratio: 0.2,
        retry_slack: 60.0,
        retry_window: Duration::from_secs(10),
        crossing_cost: 0.05,
        probe_rate: 20.0,
        max_rest: Duration::from_secs(3_600),
        cold_bound: ColdBound { over: 1.5, slack: 8.0 },
    }
}

pub(crate) fn route(name: &str, idempotent: bool) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(name),
        host: Arc::from("host"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: Duration::from_millis(1_000),
        objective: Duration::from_millis(400),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from("service"), weight: 1 }],
    })
}

pub(crate) fn record(number: u8, domain: &str) -> TargetRecord {
    TargetRecord {
        name: Arc::from(format!("target-{number}")),
        started: Some(1),
        service: Arc::from("service"),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        failure_domain: Arc::from(domain),
        version: Arc::from("v1"),
        slots: 2,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

/// Returns how a target with this record is probed.
pub(crate) fn probe_of(record: TargetRecord) -> Probe {
    let TargetRecord { service, name, started, address, .. } = record;
    let process = ProcessId::new(&name, started);
    Probe { service, target: name, address, process, limit: None, resting: false, cold: false }
}

/// Balancer with its catalog.
pub(crate) struct Fixture {
    pub(crate) balancer: Balancer,
    pub(crate) catalog: Catalog,
    revision: u64,
    calls: u64,
}

impl Fixture {
    /// Like [`Self::before_first_answer`], but the targets are known not to report their slowdown.
    pub(crate) fn new(local: u8, remote: u8) -> Self {
        Self::before_first_answer(local, remote).without_slowdown()
    }

    /// Like [`Self::new`] with `targets` of the failure domain, and another seed.
    pub(crate) fn with_seed(targets: u8, seed: u64) -> Self {
        Self::seeded(targets, 0, seed).without_slowdown()
    }

    /// Creates `local` targets in the balancer's failure domain and `remote` ones in another. None
    /// has answered yet.
    pub(crate) fn before_first_answer(local: u8, remote: u8) -> Self {
        Self::seeded(local, remote, 1)
    }

    fn seeded(local: u8, remote: u8, seed: u64) -> Self {
        let mut fixture = Self {
            balancer: Balancer::new(Arc::from(LOCAL), settings(), seed),
            catalog: Catalog::default(),
            revision: 0,
            calls: 0,
        };
        let local = (0..local).map(|n| record(n, LOCAL));
        let remote = (0..remote).map(|n| record(100 + n, "b"));
        fixture.apply_changes(ms(0), local.chain(remote).map(Change::Target).collect());
        fixture
    }

    fn without_slowdown(mut self) -> Self {
        let probe = probe_of(record(0, LOCAL));
        self.balancer.probe_ended(ms(0), &probe, ProbeResult::NoReport);
        self
    }

    /// Applies changes reported by the platform.
    pub(crate) fn apply_changes(&mut self, now: Timestamp, changes: Vec<Change>) {
        self.revision += 1;
        let revision = Revision::new(0, self.revision);
        self.catalog.apply(now, revision, changes, Source::Platform);
        self.balancer.set_targets(now, &self.catalog);
    }

    /// Submits a call of `route` from a new caller.
    pub(crate) fn submit(&mut self, now: Timestamp, route: &Arc<Route>) -> (u64, Decision) {
        let [.., high, low] = self.calls.to_be_bytes();
        self.submit_from(now, route, [10, 1, high, low].into())
    }

    /// Submits a call of `route` from `caller`.
    pub(crate) fn submit_from(
        &mut self,
        now: Timestamp,
        route: &Arc<Route>,
        caller: IpAddr,
    ) -> (u64, Decision) {
        self.calls += 1;
        let call = Call {
            id: self.calls,
            route: Arc::clone(route),
            service: Arc::clone(&route.shares[0].service),
            objective: now + route.objective,
            deadline: now + route.timeout,
            caller,
            replayable: true,
            relayed: false,
            digests: CallDigests::default(),
        };
        (self.calls, self.balancer.submit(now, call))
    }

    /// Returns whether the request of call `id` is sent to `target` once it has a connection.
    pub(crate) fn begin_request(&mut self, now: Timestamp, id: u64, target: &Arc<str>) -> bool {
        self.balancer.begin_request(now, "service", target, id)
    }

    /// Ends the attempt of call `id` at `target`.
    pub(crate) fn end_attempt(
        &mut self,
        now: Timestamp,
        id: u64,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> Decision {
        let attempt = Attempt { call: id, target: Arc::clone(target) };
        let limit = LimitField::Absent;
        self.balancer.attempt_ended(now, &AttemptResult { attempt, outcome, report, limit })
    }
}

pub(crate) fn expect_start(decision: Decision) -> NewAttempt {
    match decision {
        Decision::Start(start) => start,
        other => panic!("expected a start, got {other:?}"),
    }
}

pub(crate) fn idle_report(slowdown: f64) -> LoadReport {
    LoadReport { running: 0, waiting: 0, slots: 2, slowdown: Some(slowdown) }
}

/// Returns the data of a gateway that knows changes up to `number` of a platform that names no era.
pub(crate) fn known(number: u64) -> KnownData {
    KnownData { revision: Revision::new(0, number), settings: 0 }
}

/// Returns what gateway `number` in failure domain `domain` reports at its start.
pub(crate) fn first_heartbeat(number: usize, domain: Arc<str>, ip: IpAddr) -> Heartbeat {
    Heartbeat {
        host: Arc::from(format!("gateway-{number}")),
        domain,
        incarnation: 1,
        sequence: 0,
        call_address: SocketAddr::new(ip, 80),
        capacity: 200,
        phase: Phase::Starting,
        settled: false,
        revision: 0,
        age_ms: None,
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        build: Build { generation: MESSAGE_GENERATION, version: Arc::from("") },
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    }
}
