//! A balancer with targets, and the calls that tests send to it.

use azuretally_policy::{
    Timestamp,
    balance::{
        Attempt, AttemptOutcome, AttemptResult, Balancer, BalancerSettings, Call, Catalog, Change,
        Decision, LoadReport, NewAttempt, Probe, ProbeResult, Route, Share, Source, TargetRecord,
    },
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Failure domain of the balancer under test.
pub(crate) const NEAR: &str = "a";

pub(crate) fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub(crate) fn limits() -> BalancerSettings {
    BalancerSettings {
        retry_ratio: 0.2,
        retry_slack: 60.0,
        retry_window: Duration::from_secs(10),
        crossing_cost: 0.05,
        probe_rate: 20.0,
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

/// A balancer with its catalog.
pub(crate) struct World {
    pub(crate) balancer: Balancer,
    pub(crate) catalog: Catalog,
    revision: u64,
    calls: u64,
}

impl World {
    /// The same as [`Self::fresh`], but the targets are known to tell no pace.
    pub(crate) fn new(near: u8, far: u8) -> Self {
        let mut world = Self::fresh(near, far);
        let TargetRecord { service, name, address, .. } = record(0, NEAR);
        let probe = Probe { service, target: name, address };
        world.balancer.probe_ended(ms(0), &probe, ProbeResult::NoReport);
        world
    }

    /// `near` targets in the own failure domain, `far` ones in another. None has answered yet.
    pub(crate) fn fresh(near: u8, far: u8) -> Self {
        let mut world = Self {
            balancer: Balancer::new(Arc::from(NEAR), limits(), 1),
            catalog: Catalog::default(),
            revision: 0,
            calls: 0,
        };
        let near = (0..near).map(|n| record(n, NEAR));
        let far = (0..far).map(|n| record(100 + n, "b"));
        world.list(ms(0), near.chain(far).map(Change::Target).collect());
        world
    }

    /// The platform reports changes.
    pub(crate) fn list(&mut self, now: Timestamp, changes: Vec<Change>) {
        self.revision += 1;
        self.catalog.apply(now, self.revision, changes, Source::Platform);
        self.balancer.set_targets(now, &self.catalog);
    }

    /// A call of `route` arrives from a caller of its own.
    pub(crate) fn arrive(&mut self, now: Timestamp, route: &Arc<Route>) -> (u64, Decision) {
        let [.., high, low] = self.calls.to_be_bytes();
        self.arrive_from(now, route, [10, 1, high, low].into())
    }

    /// A call of `route` arrives from `caller`.
    pub(crate) fn arrive_from(
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
        };
        (self.calls, self.balancer.submit(now, call))
    }

    /// The attempt of call `id` at `target` ends.
    pub(crate) fn end(
        &mut self,
        now: Timestamp,
        id: u64,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> Decision {
        let attempt = Attempt { call: id, target: Arc::clone(target) };
        self.balancer.attempt_ended(now, &AttemptResult { attempt, outcome, report })
    }
}

pub(crate) fn started(order: Decision) -> NewAttempt {
    match order {
        Decision::Start(start) => start,
        other => panic!("expected a start, got {other:?}"),
    }
}

pub(crate) fn idle(pace: f64) -> LoadReport {
    LoadReport { running: 0, waiting: 0, slots: 2, slowdown: Some(pace) }
}
