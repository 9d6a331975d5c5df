//! The world of one run: gateways as processes, links between them and the stand-ins.

use crate::{
    callers::HOST_NAME,
    ledger::{BUDGET_SLACK, Ledger},
    platform::Platform,
    run::Options,
    targets::{PROBE_PATH, SLOTS, Target},
};
use azuretally_policy::balance::{
    CallerLimits, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::{http::listen, proxy::Link};
use azuretally_testsuite::Child;
use parking_lot::Mutex;
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// Beginning of the names of services to which the moving route goes, one for each version.
pub(crate) const MOVING: &str = "moving-";
/// Versions of the settings in one run.
pub(crate) const VERSIONS: u64 = 16;
const MAIN: &str = "main";
/// Callers whose calls of the moving route one target carries at half of its slots.
const CALLERS_EACH: usize = 24;
const DOMAINS: usize = 3;
const GRACE_MS: u64 = 3_000;

/// One gateway with its links.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) number: usize,
    /// Where it takes calls, and where callers connect: the link before it.
    pub(crate) calls: SocketAddr,
    pub(crate) front: SocketAddr,
    pub(crate) directions: SocketAddr,
    pub(crate) callers_link: Arc<Link>,
    pub(crate) platform_link: Arc<Link>,
    pub(crate) child: Mutex<Option<Child>>,
    /// Counts its processes.
    pub(crate) process: AtomicU32,
    settings: PathBuf,
}

/// One target with its link.
#[derive(Debug)]
pub(crate) struct TargetLink {
    pub(crate) target: Arc<Target>,
    pub(crate) record: TargetRecord,
    pub(crate) link: Arc<Link>,
}

/// Everything of one run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Mutex<Vec<TargetLink>>,
    pub(crate) version: AtomicU64,
    pub(crate) stop: CancellationToken,
    tasks: Mutex<JoinSet<()>>,
    folder: PathBuf,
    started: AtomicU32,
}

impl World {
    /// Builds the world and starts the gateways. Addresses are taken from loopback networks that
    /// `options.network` selects, so that runs do not meet.
    pub(crate) async fn start(options: &Options, folder: &Path) -> Arc<Self> {
        let ledger = Arc::new(Ledger::default());
        let platform = Arc::new(Platform::new(Arc::clone(&ledger)));
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        let store = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let store_at = store.local_addr().expect("bound");
        tasks.spawn(Arc::clone(&platform).run(store, stop.clone()));
        let mut gateways = Vec::new();
        for number in 0..options.gateways {
            let gateway = gateway(options, number, store_at, folder, &mut tasks, &stop).await;
            gateways.push(gateway);
        }
        let world = Arc::new(Self {
            ledger,
            platform,
            gateways,
            targets: Mutex::default(),
            version: AtomicU64::new(0),
            stop,
            tasks: Mutex::new(tasks),
            folder: folder.to_owned(),
            started: AtomicU32::new(0),
        });
        for _ in 0..options.targets {
            world.add_target(MAIN).await;
        }
        for version in 1..=VERSIONS {
            // One target carries the calls of the moving route of so many callers.
            for _ in 0..options.callers.div_ceil(CALLERS_EACH) {
                world.add_target(&format!("{MOVING}{version}")).await;
            }
        }
        world.publish_next();
        for number in 0..world.gateways.len() {
            world.start_gateway(number);
        }
        world
    }

    /// Publishes the next version of the settings.
    pub(crate) fn publish_next(&self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        if version <= VERSIONS {
            self.version.store(version, Ordering::SeqCst);
            self.platform.publish(published(version));
        }
    }

    /// Starts a process of a gateway.
    pub(crate) fn start_gateway(&self, number: usize) {
        let gateway = &self.gateways[number];
        gateway.process.fetch_add(1, Ordering::SeqCst);
        self.ledger.fault(number);
        let args = ["--settings".to_owned(), gateway.settings.display().to_string()];
        let name = format!("gateway-{number}");
        let child = Child::start(&self.folder, &name, "azuretally-gateway", &args);
        *gateway.child.lock() = Some(child);
    }

    /// Adds a target of `service` behind a link and lists it.
    pub(crate) async fn add_target(&self, service: &str) {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let behind = listener.local_addr().expect("bound");
        let before = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = before.local_addr().expect("bound");
        let link = Arc::new(Link::new(behind));
        let name: Arc<str> = Arc::from(format!("target-{number}"));
        let service: Arc<str> = Arc::from(service);
        let target = Arc::new(Target::new(
            Arc::clone(&name),
            Arc::clone(&service),
            Arc::clone(&self.ledger),
        ));
        {
            let mut tasks = self.tasks.lock();
            tasks.spawn(Arc::clone(&target).run(listener));
            tasks.spawn(Arc::clone(&link).run(before, self.stop.clone()));
        }
        let record = TargetRecord {
            name,
            started: Some(u64::from(number)),
            service,
            address,
            failure_domain: domain(number as usize),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        self.platform.list(record.clone());
        self.targets.lock().push(TargetLink { target, record, link });
    }

    /// Ends every process and task that the run started.
    pub(crate) async fn close(&self) {
        for gateway in &self.gateways {
            if let Some(mut child) = gateway.child.lock().take() {
                child.resume();
                child.kill();
            }
        }
        self.stop.cancel();
        for target in self.targets.lock().iter() {
            target.target.stop.cancel();
        }
        let mut tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.shutdown().await;
    }

    /// Runs `task` until the end of the run.
    pub(crate) fn spawn<Task>(&self, task: Task)
    where
        Task: Future<Output = ()> + Send + 'static,
    {
        self.tasks.lock().spawn(task);
    }

    /// Targets of the main service.
    pub(crate) fn main_targets(&self) -> Vec<usize> {
        let targets = self.targets.lock();
        let main = targets.iter().enumerate().filter(|(_, t)| &*t.record.service == MAIN);
        main.filter(|(_, t)| !t.record.leaving).map(|(index, _)| index).collect()
    }
}

fn domain(number: usize) -> Arc<str> {
    Arc::from(format!("domain-{}", number % DOMAINS))
}

fn published(version: u64) -> PublishedSettings {
    let route = |name: &str, idempotent, service: String| Route {
        name: Arc::from(name),
        host: Arc::from(HOST_NAME),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: Duration::from_millis(1_000),
        objective: Duration::from_millis(200),
        priority: u32::from(idempotent),
        attempts: 2,
        shares: vec![Share { service: Arc::from(service), weight: 1 }],
    };
    let rule = ServiceSettings { connections: 200, probe_path: Arc::from(PROBE_PATH) };
    let names = (1..=VERSIONS).map(|v| format!("{MOVING}{v}")).chain([MAIN.to_owned()]);
    PublishedSettings {
        version,
        routes: vec![
            route("check", true, MAIN.to_owned()),
            route("sale", false, MAIN.to_owned()),
            route("moving", true, format!("{MOVING}{version}")),
        ],
        services: names.map(|name| (Arc::from(name), rule.clone())).collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

async fn gateway(
    options: &Options,
    number: usize,
    store: SocketAddr,
    folder: &Path,
    tasks: &mut JoinSet<()>,
    stop: &CancellationToken,
) -> Gateway {
    let host = |number: usize| {
        let number = u16::try_from(number + 1).expect("few gateways");
        let [high, low] = number.to_be_bytes();
        Ipv4Addr::new(127, options.network, high, low)
    };
    let at = |port| SocketAddr::from((host(number), port));
    let front_listener = listen(at(7_100)).expect("an address of this run");
    let platform_listener = listen(at(7_101)).expect("an address of this run");
    let callers_link = Arc::new(Link::new(at(7_000)));
    let platform_link = Arc::new(Link::new(store));
    tasks.spawn(Arc::clone(&callers_link).run(front_listener, stop.clone()));
    tasks.spawn(Arc::clone(&platform_link).run(platform_listener, stop.clone()));
    let seeds: Vec<String> =
        (0..options.gateways.min(3)).map(|n| format!("\"{}:7003\"", host(n))).collect();
    let ip = host(number);
    let text = format!(
        "host = \"gateway-{number}\"\nfailure_domain = \"{}\"\nplatform = \"{}\"\nseeds = [{}]\n\
         [listen]\ncalls = \"{ip}:7000\"\nreadiness = \"{ip}:7001\"\ndirections = \"{ip}:7002\"\n\
         news = \"{ip}:7003\"\nheartbeats = \"{ip}:7004\"\n\
         [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
         [retries]\nratio = 0.2\nslack = {BUDGET_SLACK}\nwindow_ms = 10000\n\
         [stop]\ngrace_ms = {GRACE_MS}\n",
        domain(number),
        at(7_101),
        seeds.join(", "),
    );
    let settings = folder.join(format!("gateway-{number}.toml"));
    fs::write(&settings, text).expect("a settings file");
    Gateway {
        number,
        calls: at(7_000),
        front: at(7_100),
        directions: at(7_002),
        callers_link,
        platform_link,
        child: Mutex::new(None),
        process: AtomicU32::new(0),
        settings,
    }
}

impl Gateway {
    /// Time from the signal of a planned stop to the kill.
    pub(crate) fn grace() -> Duration {
        Duration::from_millis(GRACE_MS)
    }
}
