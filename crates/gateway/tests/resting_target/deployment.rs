//! A platform, targets, gateways in several failure domains and callers of all gateways.

use super::{
    caller::{Records, call, keep_calling},
    gateway::Gateway,
    network::Network,
    platform::{Platform, Variant},
    target::{PROBE_PATH, Shared, Target},
};
use azuretally_gateway::clock::unix_ms;
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::http::listen;
use std::{fs, net::IpAddr, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Time limit and latency objective of all routes.
const TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(200);
/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Service of all targets.
const SERVICE: &str = "service";
/// Number of tests that run at the same time.
const MAX_DEPLOYMENTS: usize = 2;
/// Time for which callers make calls before a test begins.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time within which each gateway must serve calls once targets take them.
const SERVE_TIME: Duration = Duration::from_secs(3);
/// Time between the end of a target process and the start of the next one.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Host numbers of the first gateway, of the first target and of the platform.
const FIRST_GATEWAY: u8 = 10;
const FIRST_TARGET: u8 = 100;
const PLATFORM: u8 = 2;

static DEPLOYMENTS: Semaphore = Semaphore::const_new(MAX_DEPLOYMENTS);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) gateways: u8,
    pub(crate) targets: u8,
    /// Calls that a target runs concurrently.
    pub(crate) slots: u32,
    pub(crate) callers: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self { seed: 1, gateways: 4, targets: 12, slots: 2, callers: 24 }
    }
}

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) records: Arc<Records>,
    pub(crate) shared: Arc<Shared>,
    plan: Plan,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    callers: JoinSet<()>,
    network: Network,
    directory: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Deployment {
    /// Starts everything and waits until calls are served.
    pub(crate) async fn start(plan: Plan) -> Self {
        let permit = DEPLOYMENTS.acquire().await.expect("an open semaphore");
        let platform = Arc::new(Platform::new(Variant::default()));
        let mut deployment = Self {
            gateways: Vec::new(),
            targets: Vec::new(),
            platform: Arc::clone(&platform),
            records: Arc::default(),
            shared: Arc::new(Shared::new(plan.seed)),
            plan,
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            callers: JoinSet::new(),
            network: Network::reserve(),
            directory: TempDir::new().expect("a temporary directory"),
            _permit: permit,
        };
        let listener = listen(deployment.network.address(PLATFORM, 8_000)).expect("free");
        deployment.tasks.spawn(Arc::clone(&platform).run(listener, deployment.stop.clone()));
        assert!(platform.publish(Change::Published(published())), "the platform is away");
        for index in 0..plan.targets {
            let target = deployment.start_target(index);
            deployment.targets.push(target);
            deployment.publish_record(index.into());
        }
        for number in 0..plan.gateways {
            let gateway = deployment.start_gateway(number);
            deployment.gateways.push(gateway);
        }
        for gateway in &deployment.gateways {
            gateway.wait_until_ready().await;
        }
        for number in 0..plan.callers {
            let gateway = &deployment.gateways[number % deployment.gateways.len()];
            let records = Arc::clone(&deployment.records);
            deployment.callers.spawn(keep_calling(gateway.calls, records));
        }
        sleep(WARM_UP).await;
        deployment
    }

    /// Replaces the target `index` with a new process at the same address and with the same name.
    pub(crate) async fn replace_target(&mut self, index: usize) {
        self.replace_target_unseen(index).await;
        self.publish_record(index);
    }

    /// Like [`replace_target`](Self::replace_target), but the new process has no record yet.
    pub(crate) async fn replace_target_unseen(&mut self, index: usize) {
        self.targets[index].stop.cancel();
        sleep(RESTART_TIME).await;
        let number = u8::try_from(index).expect("few targets");
        self.targets[index] = self.start_target(number);
    }

    /// Removes the record of the target `index`.
    pub(crate) fn withdraw_record(&self, index: usize) {
        let name = Arc::clone(&self.targets[index].record.name);
        assert!(self.platform.publish(Change::Gone(name)), "the platform is away");
    }

    /// Publishes the record of the target `index`.
    pub(crate) fn publish_record(&self, index: usize) {
        let record = self.targets[index].record.clone();
        assert!(self.platform.publish(Change::Target(record)), "the platform is away");
    }

    /// Returns the IP address of the gateway `number`.
    pub(crate) fn gateway_host(&self, number: u8) -> IpAddr {
        self.network.address(FIRST_GATEWAY + number, 0).ip()
    }

    /// Ends the calls of all callers.
    pub(crate) async fn end_calls(&mut self) {
        self.callers.shutdown().await;
    }

    /// Asserts that each gateway serves a call.
    pub(crate) async fn assert_calls_are_served(&self) {
        for gateway in &self.gateways {
            let start = Instant::now();
            loop {
                let record = call(gateway.calls, &mut None).await;
                if record.is_served() {
                    break;
                }
                let log = gateway.log();
                assert!(start.elapsed() < SERVE_TIME, "calls are not served: {record:?}\n{log}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Ends all processes and tasks.
    pub(crate) async fn shut_down(mut self) {
        self.callers.shutdown().await;
        self.gateways.clear();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Starts a process for the target `index`, which has no record yet.
    fn start_target(&mut self, index: u8) -> Arc<Target> {
        let record = TargetRecord {
            name: Arc::from(format!("target-{index}")),
            started: Some(unix_ms()),
            service: Arc::from(SERVICE),
            address: self.network.address(FIRST_TARGET + index, 8_000),
            failure_domain: Arc::from(DOMAINS[usize::from(index) % DOMAINS.len()]),
            version: Arc::from("v1"),
            slots: self.plan.slots,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let listener = listen(record.address).expect("a free address");
        let target = Arc::new(Target::new(record, Arc::clone(&self.shared)));
        self.tasks.spawn(Arc::clone(&target).run(listener, self.stop.clone()));
        target
    }

    fn start_gateway(&self, number: u8) -> Gateway {
        let at = |port| self.network.address(FIRST_GATEWAY + number, port);
        let seeds = (0..3).map(|n| self.network.address(FIRST_GATEWAY + n, 7_003));
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "host = \"gateway-{number}\"\nfailure_domain = \"{}\"\nplatform = \"{}\"\n\
             seeds = [{}]\ntarget_source = \"{}\"\n\
             [listen]\ncalls = \"{}\"\nreadiness = \"{}\"\ndirections = \"{}\"\n\
             news = \"{}\"\nheartbeats = \"{}\"\n\
             [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n",
            DOMAINS[usize::from(number) % DOMAINS.len()],
            self.network.address(PLATFORM, 8_000),
            seeds.join(", "),
            self.gateway_host(number),
            at(7_000),
            at(7_001),
            at(7_002),
            at(7_003),
            at(7_004),
        );
        let settings = self.directory.path().join(format!("gateway-{number}.toml"));
        fs::write(&settings, text).expect("a writable directory");
        let log = self.directory.path().join(format!("gateway-{number}.log"));
        Gateway::start(settings, log, at(7_000), at(7_001))
    }
}

fn published() -> PublishedSettings {
    let service =
        ServiceSettings { connections: 200, probe_path: Arc::from(PROBE_PATH), cold_rate: None };
    let route = Route {
        name: Arc::from("look"),
        host: Arc::from("test"),
        prefix: Arc::from("/look/"),
        idempotent: true,
        timeout: TIMEOUT,
        objective: OBJECTIVE,
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from(SERVICE), weight: 1 }],
    };
    PublishedSettings {
        version: 1,
        routes: vec![route],
        services: [(Arc::from(SERVICE), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
