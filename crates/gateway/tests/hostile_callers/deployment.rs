//! A store, a target and a gateway whose settings name little memory.

use super::{
    gateway::Gateway,
    network::Network,
    ordinary,
    store::Store,
    target::{PROBE_PATH, SLOTS, Target},
    usage::{Usage, UsageWatch},
};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::http::listen;
use std::{fs, net::SocketAddr, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{
    sync::{Mutex, MutexGuard},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Memory that the gateway may use, in MB.
pub(crate) const MEMORY_MB: u64 = 64;
/// Descriptors that the gateway may use.
pub(crate) const DESCRIPTORS: u64 = 2_400;
/// Largest body that callers may send.
pub(crate) const MAX_BODY_BYTES: u64 = 64 * 1_024 * 1_024;
/// Route that targets may run more than once.
pub(crate) const ROUTE: &str = "look";
/// Time limit of the route, longer than any test keeps its crowd.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
const SERVICE: &str = "service";
/// Targets that the store lists besides the one that runs, so that catalog updates are large.
const LISTED_TARGETS: u16 = 1_000;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) gateway: Gateway,
    watch: UsageWatch,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    network: Network,
    _directory: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts a gateway that may use [`DESCRIPTORS`].
    pub(crate) async fn start() -> Self {
        Self::start_with(DESCRIPTORS).await
    }

    /// Waits for the turn of the test, then starts a gateway that may use `descriptors` and waits until
    /// it serves calls.
    pub(crate) async fn start_with(descriptors: u64) -> Self {
        let turn = TURN.lock().await;
        let network = Network::reserve();
        let directory = TempDir::new().expect("a temporary directory");
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let store = Arc::new(Store::default());
        store.publish(Change::Published(published()));
        let record = target_record(0, "service", network.address(100, 8_000));
        store.publish(Change::Target(record.clone()));
        for number in 1..=LISTED_TARGETS {
            let address = network.address(101, 8_000 + number);
            store.publish(Change::Target(target_record(number, "other", address)));
        }
        let listener = listen(network.address(2, 8_000)).expect("a free address");
        tasks.spawn(store.run(listener, stop.clone()));
        let listener = listen(record.address).expect("a free address");
        let target = Arc::new(Target::new(record, Arc::default()));
        tasks.spawn(target.run(listener, stop.clone()));
        let at = |port| network.address(10, port);
        let text = format!(
            "host = \"gateway\"\nfailure_domain = \"a\"\nplatform = \"{}\"\n\
             [listen]\ncalls = \"{}\"\nreadiness = \"{}\"\ndirections = \"{}\"\n\
             news = \"{}\"\nheartbeats = \"{}\"\n\
             [size]\ncores = 0.2\nmemory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n",
            network.address(2, 8_000),
            at(7_000),
            at(7_001),
            at(7_002),
            at(7_003),
            at(7_004),
        );
        let settings = directory.path().join("gateway.toml");
        fs::write(&settings, text).expect("a writable directory");
        let log = directory.path().join("gateway.log");
        let gateway = Gateway::start(settings, log, at(7_000), at(7_001));
        gateway.wait_until_ready().await;
        let watch = UsageWatch::start(gateway.process_id());
        let deployment =
            Self { gateway, watch, stop, tasks, network, _directory: directory, _turn: turn };
        ordinary::assert_served(&deployment).await;
        deployment
    }

    /// Returns the address of the gateway for directions.
    pub(crate) fn directions(&self) -> SocketAddr {
        self.network.address(10, 7_002)
    }

    /// Returns the address of the gateway for readiness checks.
    pub(crate) fn readiness(&self) -> SocketAddr {
        self.network.address(10, 7_001)
    }

    /// Returns the address of the gateway for other gateways.
    pub(crate) fn peers(&self) -> SocketAddr {
        self.network.address(10, 7_003)
    }

    /// Checks what the process has used since its start against its settings, and ends everything.
    pub(crate) async fn finish(mut self, descriptors: u64) {
        let Usage { memory_kb, open_descriptors } = self.watch.usage();
        println!("memory_kb={memory_kb} open_descriptors={open_descriptors}");
        let log = self.gateway.notable_log();
        assert!(memory_kb <= MEMORY_MB * 1_024, "memory: {memory_kb} kB of {MEMORY_MB} MB\n{log}");
        assert!(open_descriptors <= descriptors, "{open_descriptors} of {descriptors} descriptors");
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

fn target_record(number: u16, service: &str, address: SocketAddr) -> TargetRecord {
    TargetRecord {
        name: Arc::from(format!("target-{number}")),
        started: Some(1),
        service: Arc::from(service),
        address,
        failure_domain: Arc::from("a"),
        version: Arc::from("v1"),
        slots: SLOTS,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

fn published() -> PublishedSettings {
    let service =
        ServiceSettings { connections: 1_000, cold_rate: None, probe_path: Arc::from(PROBE_PATH) };
    let route = Route {
        name: Arc::from(ROUTE),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{ROUTE}/")),
        idempotent: true,
        timeout: ROUTE_TIMEOUT,
        objective: ROUTE_TIMEOUT,
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
            body_bytes: MAX_BODY_BYTES,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
