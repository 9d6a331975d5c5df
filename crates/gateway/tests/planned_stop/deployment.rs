//! A store, targets and gateways on loopback addresses of their own.

use super::{
    call::ROUTES,
    gateway::Gateway,
    network::Network,
    store::Store,
    target::{PROBE_PATH, Run, Runs, SLOTS, Target},
};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::http::listen;
use std::{fs, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

/// Time from SIGTERM until a gateway would be killed.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
/// Time after its last byte within which a call that is not passed on may be closed unanswered.
pub(crate) const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Part of the grace time after which a target that is still running a call excuses its loss.
pub(crate) const EXCUSED_FRACTION: f64 = 5.0 / 6.0;
/// Time after SIGTERM until which a call must have been sent for that.
pub(crate) const EXCUSED_SEND_TIME: Duration = Duration::from_secs(3);
/// Service of all targets.
const SERVICE: &str = "service";
/// Host numbers of the first gateway and of the first target in the network of a test.
const FIRST_GATEWAY: u8 = 10;
const FIRST_TARGET: u8 = 100;

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) store: Arc<Store>,
    runs: Arc<Runs>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    network: Network,
    directory: TempDir,
}

impl Deployment {
    /// Starts `gateways` gateways and `targets` targets and waits until the gateways are ready.
    pub(crate) async fn start(gateways: u8, targets: u8) -> Self {
        let mut deployment = Self {
            gateways: Vec::new(),
            targets: Vec::new(),
            store: Arc::default(),
            runs: Arc::default(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            network: Network::reserve(),
            directory: TempDir::new().expect("a temporary directory"),
        };
        deployment.start_store();
        for number in 0..targets {
            deployment.start_target(number);
        }
        for number in 0..gateways {
            let gateway = deployment.start_gateway(number, gateways);
            deployment.gateways.push(gateway);
        }
        for gateway in &deployment.gateways {
            gateway.wait_until_ready().await;
        }
        deployment
    }

    /// Returns what a target has done with the call `id`, if one has got it.
    pub(crate) fn run_of(&self, id: &str) -> Option<Run> {
        self.runs.lock().get(id).copied()
    }

    /// Returns whether a call that was sent early enough was still being run so late after `signal`
    /// that its loss is excused.
    pub(crate) fn is_excused(&self, id: &str, signal: Instant) -> bool {
        let late = signal + GRACE.mul_f64(EXCUSED_FRACTION);
        self.run_of(id).is_some_and(|run| run.answered.is_none_or(|answered| answered >= late))
    }

    /// Ends all processes and tasks.
    pub(crate) async fn shut_down(mut self) {
        self.gateways.clear();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    fn start_store(&mut self) {
        self.store.publish(Change::Published(published(1)));
        let listener = listen(self.network.address(2, 8_000)).expect("a free address");
        self.tasks.spawn(Arc::clone(&self.store).run(listener, self.stop.clone()));
    }

    fn start_target(&mut self, number: u8) {
        let address = self.network.address(FIRST_TARGET + number, 8_000);
        let name: Arc<str> = Arc::from(format!("target-{number}"));
        let target = Arc::new(Target::new(Arc::clone(&name), Arc::clone(&self.runs)));
        let listener = listen(address).expect("a free address");
        self.tasks.spawn(Arc::clone(&target).run(listener, self.stop.clone()));
        self.targets.push(target);
        self.store.publish(Change::Target(TargetRecord {
            name,
            started: Some(1),
            service: Arc::from(SERVICE),
            address,
            failure_domain: Arc::from("a"),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        }));
    }

    /// Starts a gateway of `count` without waiting until it is ready.
    pub(crate) fn start_gateway(&self, number: u8, count: u8) -> Gateway {
        let at = |port| self.network.address(FIRST_GATEWAY + number, port);
        let seeds = (0..count.min(3)).map(|n| self.network.address(FIRST_GATEWAY + n, 7_003));
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "host = \"gateway-{number}\"\nfailure_domain = \"a\"\nplatform = \"{}\"\n\
             seeds = [{}]\n\
             [listen]\ncalls = \"{}\"\nreadiness = \"{}\"\ndirections = \"{}\"\n\
             news = \"{}\"\nheartbeats = \"{}\"\n\
             [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
             [stop]\ngrace_ms = {}\n",
            self.network.address(2, 8_000),
            seeds.join(", "),
            at(7_000),
            at(7_001),
            at(7_002),
            at(7_003),
            at(7_004),
            GRACE.as_millis(),
        );
        let settings = self.directory.path().join(format!("gateway-{number}.toml"));
        fs::write(&settings, text).expect("a writable directory");
        let log = self.directory.path().join(format!("gateway-{number}.log"));
        Gateway::start(settings, log, at(7_000), at(7_001))
    }
}

/// Returns the published settings of `version`.
pub(crate) fn published(version: u64) -> PublishedSettings {
    let service = ServiceSettings { connections: 200, probe_path: Arc::from(PROBE_PATH) };
    let routes = ROUTES.iter().map(|(name, idempotent, timeout_ms)| Route {
        name: Arc::from(*name),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent: *idempotent,
        timeout: Duration::from_millis(*timeout_ms),
        objective: Duration::from_millis(timeout_ms / 2),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from(SERVICE), weight: 1 }],
    });
    PublishedSettings {
        version,
        routes: routes.collect(),
        services: [(Arc::from(SERVICE), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
