//! Six gateways in three failure domains and twelve targets that are replaced when they end.

use super::{
    gateway::Gateway,
    network::Network,
    peer_link::{LINKED_PORTS, PEER_PORTS, PeerLink},
    run_log::RunLog,
    store::Store,
    target::{Behavior, Ending, PROBE_PATH, SLOTS, Target},
};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::http::listen;
use parking_lot::Mutex;
use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, SemaphorePermit},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

/// Number of gateways.
pub(crate) const GATEWAYS: u8 = 6;
/// Index of the gateway whose link to its peers can be cut.
pub(crate) const LINKED_GATEWAY: u8 = GATEWAYS - 1;
/// Route of calls that may run more than once, and of those that may not.
pub(crate) const LOOK_ROUTE: &str = "look";
pub(crate) const SALE_ROUTE: &str = "sale";
/// Time limit of all routes.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);
/// Number of targets.
const TARGETS: u8 = 12;
/// Failure domains of gateways and targets.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Service of all targets.
const SERVICE: &str = "service";
/// Host numbers of the first gateway, of the first target and of the store.
const FIRST_GATEWAY: u8 = 10;
const FIRST_TARGET: u8 = 100;
const STORE: u8 = 2;
/// Time after the end of a target without a planned stop at which its record disappears.
const RECORD_TIME: Duration = Duration::from_secs(2);
/// Time from the end of a target to the start of the next one at its address, in ms.
const REPLACE_MS: RangeInclusive<u64> = 1_200..=2_500;
/// Time for which a target serves calls after its planned stop has begun.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Number of deployments that run at the same time.
const DEPLOYMENTS: usize = 2;

/// Limits the number of processes that run at the same time.
static PERMITS: Semaphore = Semaphore::const_new(DEPLOYMENTS);

/// The seed of all tests.
pub(crate) fn seed() -> u64 {
    let seed = env::var("AZURETALLY_CRASH_SEED").ok().and_then(|text| text.parse().ok());
    seed.unwrap_or(1)
}

/// The targets, each of which is replaced when it ends.
#[derive(Debug)]
pub(crate) struct Targets {
    pub(crate) behavior: Arc<Behavior>,
    addresses: Vec<SocketAddr>,
    /// The process that serves at each address.
    current: Mutex<Vec<Option<Arc<Target>>>>,
    store: Arc<Store>,
    /// Start of the next process, which also numbers it.
    started: AtomicU64,
}

impl Targets {
    /// Returns a running process, chosen at random.
    pub(crate) fn pick(&self) -> Option<Arc<Target>> {
        use rand::RngExt;
        let running: Vec<_> = self.current.lock().iter().flatten().cloned().collect();
        let index = self.behavior.random.lock().random_range(0..running.len().max(1));
        running.get(index).cloned()
    }

    /// Ends the processes whose failure domain is among the first `domains`, all at once.
    pub(crate) fn end_domains(&self, domains: usize) {
        let is_ended =
            |target: &&Arc<Target>| DOMAINS[..domains].contains(&&*target.record.failure_domain);
        for target in self.current.lock().iter().flatten().filter(is_ended) {
            target.ended.cancel();
        }
    }

    /// Runs one process after the other at the address `index`.
    async fn run_place(
        self: Arc<Self>,
        index: usize,
        first: (TcpListener, Arc<Target>),
        stop: CancellationToken,
    ) {
        let mut next = Some(first);
        let mut endings = JoinSet::new();
        while let Some((listener, target)) = next.take() {
            let drain = self.drain(&target);
            tokio::select! {
                () = Arc::clone(&target).run(listener, stop.clone()) => {}
                () = drain => {}
            }
            self.current.lock()[index] = None;
            if stop.is_cancelled() {
                break;
            }
            let is_planned = target.leaving.is_cancelled();
            let removal = if is_planned { Duration::ZERO } else { RECORD_TIME };
            let gone_at = Instant::now() + removal;
            let (store, name) = (Arc::clone(&self.store), Arc::clone(&target.record.name));
            endings.spawn(async move {
                sleep_until(gone_at).await;
                store.publish(Change::Gone(name));
            });
            let pause = self.behavior.random_ms(REPLACE_MS);
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {}
            }
            next = Some(self.start(index));
        }
        endings.shutdown().await;
    }

    /// Ends a target after its planned stop.
    async fn drain(&self, target: &Target) {
        target.leaving.cancelled().await;
        let leaving = TargetRecord { leaving: true, ..target.record.clone() };
        self.store.publish(Change::Target(leaving));
        sleep(DRAIN_TIME).await;
        target.ended.cancel();
        std::future::pending::<()>().await;
    }

    /// Starts and registers a process at the address `index`.
    fn start(&self, index: usize) -> (TcpListener, Arc<Target>) {
        let started = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        let address = self.addresses[index];
        let record = TargetRecord {
            name: Arc::from(format!("target-{started}")),
            started: Some(started),
            service: Arc::from(SERVICE),
            address,
            failure_domain: Arc::from(DOMAINS[index % DOMAINS.len()]),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let listener = listen(address).expect("a free address");
        self.store.publish(Change::Target(record.clone()));
        let target = Arc::new(Target::new(record, Arc::clone(&self.behavior)));
        self.current.lock()[index] = Some(Arc::clone(&target));
        (listener, target)
    }
}

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Arc<Targets>,
    pub(crate) link: Arc<PeerLink>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    network: Network,
    directory: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Deployment {
    /// Starts gateways and targets and waits until the gateways are ready.
    pub(crate) async fn start(ending: Ending, seed: u64) -> Self {
        let permit = PERMITS.acquire().await.expect("an open semaphore");
        let network = Network::reserve();
        let store = Arc::<Store>::default();
        store.publish(Change::Published(published()));
        let targets = Arc::new(Targets {
            behavior: Arc::new(Behavior::new(ending, seed)),
            addresses: (0..TARGETS).map(|n| network.address(FIRST_TARGET + n, 8_000)).collect(),
            current: Mutex::new(vec![None; usize::from(TARGETS)]),
            store: Arc::clone(&store),
            started: AtomicU64::new(0),
        });
        let mut deployment = Self {
            gateways: Vec::new(),
            targets: Arc::clone(&targets),
            link: Arc::default(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            network,
            directory: TempDir::new().expect("a temporary directory"),
            _permit: permit,
        };
        let stop = &deployment.stop;
        let listener = listen(deployment.network.address(STORE, 8_000)).expect("a free address");
        deployment.tasks.spawn(store.run(listener, stop.clone()));
        for index in 0..usize::from(TARGETS) {
            let first = targets.start(index);
            let place = Arc::clone(&targets).run_place(index, first, stop.clone());
            deployment.tasks.spawn(place);
        }
        let peers = (0..LINKED_GATEWAY).map(|number| deployment.gateway_host(number)).collect();
        let linked = deployment.gateway_host(LINKED_GATEWAY);
        let link = Arc::clone(&deployment.link).run(linked, peers, stop.clone());
        deployment.tasks.spawn(link);
        for number in 0..GATEWAYS {
            let gateway = deployment.start_gateway(number);
            deployment.gateways.push(gateway);
        }
        for gateway in &deployment.gateways {
            gateway.wait_until_ready().await;
        }
        deployment
    }

    pub(crate) fn log(&self) -> &RunLog {
        &self.targets.behavior.log
    }

    /// Returns the addresses at which gateways accept calls.
    pub(crate) fn call_addresses(&self) -> Arc<[SocketAddr]> {
        self.gateways.iter().map(|gateway| gateway.calls).collect()
    }

    /// Returns the IP address of the gateway `number`.
    pub(crate) fn gateway_host(&self, number: u8) -> IpAddr {
        self.network.address(FIRST_GATEWAY + number, 0).ip()
    }

    /// Returns the IP address of the caller `number`.
    pub(crate) fn caller_host(&self, number: u8) -> IpAddr {
        self.network.address(FIRST_TARGET + TARGETS + number, 0).ip()
    }

    /// Ends all processes and tasks.
    pub(crate) async fn shut_down(mut self) {
        self.gateways.clear();
        self.keep_logs();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Copies the logs of the gateways to the directory that `AZURETALLY_CRASH_LOGS` names, if it is set.
    fn keep_logs(&self) {
        let Some(kept) = env::var_os("AZURETALLY_CRASH_LOGS").map(PathBuf::from) else { return };
        fs::create_dir_all(&kept).expect("a directory for logs");
        for number in 0..GATEWAYS {
            let name = format!("gateway-{number}.log");
            fs::copy(self.directory.path().join(&name), kept.join(name)).expect("a log");
        }
    }

    fn start_gateway(&self, number: u8) -> Gateway {
        let host = self.gateway_host(number);
        let at = |port| SocketAddr::new(host, port);
        let seeds = (0..3).map(|n| format!("\"{}\"", self.network.address(FIRST_GATEWAY + n, 1)));
        let (news, heartbeats) = match number {
            LINKED_GATEWAY => LINKED_PORTS,
            _ => PEER_PORTS,
        };
        let text = format!(
            "host = \"gateway-{number}\"\nfailure_domain = \"{}\"\nplatform = \"{}\"\n\
             seeds = [{}]\ntarget_source = \"{host}\"\n\
             [listen]\ncalls = \"{}\"\nreadiness = \"{}\"\ndirections = \"{}\"\n\
             news = \"{}\"\nheartbeats = \"{}\"\n\
             [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n",
            DOMAINS[usize::from(number) % DOMAINS.len()],
            self.network.address(STORE, 8_000),
            seeds.collect::<Vec<_>>().join(", "),
            at(7_000),
            at(7_001),
            at(7_002),
            at(news),
            at(heartbeats),
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
    let routes = [(LOOK_ROUTE, true), (SALE_ROUTE, false)].map(|(name, idempotent)| Route {
        name: Arc::from(name),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: TIMEOUT,
        objective: TIMEOUT / 2,
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from(SERVICE), weight: 1 }],
    });
    PublishedSettings {
        version: 1,
        routes: routes.into(),
        services: [(Arc::from(SERVICE), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
