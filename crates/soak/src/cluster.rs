//! The cluster of one run: gateway processes, stand-ins, and the proxied links between them.

use crate::{
    callers::HOST_NAME,
    checker::{BUDGET_SLACK, Checker},
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

/// Prefix of the names of the services behind the moving route. Each settings version routes to a
/// service of its own.
pub(crate) const MOVING_PREFIX: &str = "moving-";
/// Number of settings versions in one run.
pub(crate) const SETTINGS_VERSIONS: u64 = 16;
/// Service behind the routes that do not change with the settings version.
const MAIN_SERVICE: &str = "main";
/// Number of callers whose calls of the moving route keep about half of the slots of one target
/// busy.
const CALLERS_PER_TARGET: usize = 24;
/// Number of failure domains.
const FAILURE_DOMAINS: usize = 3;
/// Grace period of a planned stop, in ms.
const GRACE_MS: u64 = 3_000;

/// A gateway with its links.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) number: usize,
    /// Address at which the gateway accepts calls.
    pub(crate) calls_address: SocketAddr,
    /// Address of the callers' link, which forwards to `calls_address`.
    pub(crate) link_address: SocketAddr,
    pub(crate) directions_address: SocketAddr,
    pub(crate) callers_link: Arc<Link>,
    pub(crate) platform_link: Arc<Link>,
    pub(crate) child: Mutex<Option<Child>>,
    /// Number of processes started for this gateway.
    pub(crate) incarnation: AtomicU32,
    settings: PathBuf,
}

/// A target with its link.
#[derive(Debug)]
pub(crate) struct TargetLink {
    pub(crate) target: Arc<Target>,
    pub(crate) record: TargetRecord,
    pub(crate) link: Arc<Link>,
}

/// Gateways, targets and platform of one run.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) checker: Arc<Checker>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Mutex<Vec<TargetLink>>,
    /// Latest published settings version.
    pub(crate) version: AtomicU64,
    pub(crate) stop: CancellationToken,
    tasks: Mutex<JoinSet<()>>,
    directory: PathBuf,
    /// Number of targets added so far.
    target_count: AtomicU32,
}

impl Cluster {
    /// Sets up the cluster and starts the gateways. The gateways use the loopback network that
    /// `options.network` selects, so that concurrent runs use distinct addresses.
    pub(crate) async fn start(options: &Options, directory: &Path) -> Arc<Self> {
        let checker = Arc::new(Checker::default());
        let platform = Arc::new(Platform::new(Arc::clone(&checker)));
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        let platform_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("failed to bind a loopback port");
        let platform_address = platform_listener.local_addr().expect("bound");
        tasks.spawn(Arc::clone(&platform).run(platform_listener, stop.clone()));
        let mut gateways = Vec::new();
        for number in 0..options.gateways {
            let gateway =
                set_up_gateway(options, number, platform_address, directory, &mut tasks, &stop)
                    .await;
            gateways.push(gateway);
        }
        let cluster = Arc::new(Self {
            checker,
            platform,
            gateways,
            targets: Mutex::default(),
            version: AtomicU64::new(0),
            stop,
            tasks: Mutex::new(tasks),
            directory: directory.to_owned(),
            target_count: AtomicU32::new(0),
        });
        for _ in 0..options.targets {
            cluster.add_target(MAIN_SERVICE).await;
        }
        for version in 1..=SETTINGS_VERSIONS {
            // One target serves the calls of the moving route of `CALLERS_PER_TARGET` callers.
            for _ in 0..options.callers.div_ceil(CALLERS_PER_TARGET) {
                cluster.add_target(&format!("{MOVING_PREFIX}{version}")).await;
            }
        }
        cluster.publish_next();
        for number in 0..cluster.gateways.len() {
            cluster.start_gateway(number);
        }
        cluster
    }

    /// Publishes the next settings version, if any is left.
    pub(crate) fn publish_next(&self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        if version <= SETTINGS_VERSIONS {
            self.version.store(version, Ordering::SeqCst);
            self.platform.publish(settings_of(version));
        }
    }

    /// Starts a new process for a gateway.
    pub(crate) fn start_gateway(&self, number: usize) {
        let gateway = &self.gateways[number];
        gateway.incarnation.fetch_add(1, Ordering::SeqCst);
        self.checker.record_fault(number);
        let args = ["--settings".to_owned(), gateway.settings.display().to_string()];
        let name = format!("gateway-{number}");
        let child = Child::start(&self.directory, &name, "azuretally-gateway", &args);
        *gateway.child.lock() = Some(child);
    }

    /// Starts a target of `service` behind a link and registers it with the platform.
    pub(crate) async fn add_target(&self, service: &str) {
        let number = self.target_count.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("failed to bind a loopback port");
        let target_address = listener.local_addr().expect("bound");
        let link_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("failed to bind a loopback port");
        let address = link_listener.local_addr().expect("bound");
        let link = Arc::new(Link::new(target_address));
        let name: Arc<str> = Arc::from(format!("target-{number}"));
        let service: Arc<str> = Arc::from(service);
        let target = Arc::new(Target::new(
            Arc::clone(&name),
            Arc::clone(&service),
            Arc::clone(&self.checker),
        ));
        {
            let mut tasks = self.tasks.lock();
            tasks.spawn(Arc::clone(&target).run(listener));
            tasks.spawn(Arc::clone(&link).run(link_listener, self.stop.clone()));
        }
        let record = TargetRecord {
            name,
            started: Some(u64::from(number)),
            service,
            address,
            failure_domain: failure_domain_name(number as usize),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        self.platform.put_target(record.clone());
        self.targets.lock().push(TargetLink { target, record, link });
    }

    /// Ends all processes and tasks that the run started.
    pub(crate) async fn shut_down(&self) {
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

    /// Runs `task` until it completes or the run ends.
    pub(crate) fn spawn<Task>(&self, task: Task)
    where
        Task: Future<Output = ()> + Send + 'static,
    {
        self.tasks.lock().spawn(task);
    }

    /// Returns the indexes of the targets of the main service that are not leaving.
    pub(crate) fn main_targets(&self) -> Vec<usize> {
        let targets = self.targets.lock();
        let main = targets.iter().enumerate().filter(|(_, t)| &*t.record.service == MAIN_SERVICE);
        main.filter(|(_, t)| !t.record.leaving).map(|(index, _)| index).collect()
    }
}

fn failure_domain_name(number: usize) -> Arc<str> {
    Arc::from(format!("domain-{}", number % FAILURE_DOMAINS))
}

/// Returns the settings of `version`.
fn settings_of(version: u64) -> PublishedSettings {
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
    let service_settings = ServiceSettings { connections: 200, probe_path: Arc::from(PROBE_PATH) };
    let names = (1..=SETTINGS_VERSIONS)
        .map(|v| format!("{MOVING_PREFIX}{v}"))
        .chain([MAIN_SERVICE.to_owned()]);
    PublishedSettings {
        version,
        routes: vec![
            route("check", true, MAIN_SERVICE.to_owned()),
            route("sale", false, MAIN_SERVICE.to_owned()),
            route("moving", true, format!("{MOVING_PREFIX}{version}")),
        ],
        services: names.map(|name| (Arc::from(name), service_settings.clone())).collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Sets up the links and the settings file of a gateway without starting it.
async fn set_up_gateway(
    options: &Options,
    number: usize,
    platform_address: SocketAddr,
    directory: &Path,
    tasks: &mut JoinSet<()>,
    stop: &CancellationToken,
) -> Gateway {
    let loopback_ip = |number: usize| {
        let number = u16::try_from(number + 1).expect("gateway number does not fit in 16 bits");
        let [high, low] = number.to_be_bytes();
        Ipv4Addr::new(127, options.network, high, low)
    };
    let at = |port| SocketAddr::from((loopback_ip(number), port));
    let callers_listener = listen(at(7_100)).expect("failed to bind a gateway link address");
    let platform_listener = listen(at(7_101)).expect("failed to bind a gateway link address");
    let callers_link = Arc::new(Link::new(at(7_000)));
    let platform_link = Arc::new(Link::new(platform_address));
    tasks.spawn(Arc::clone(&callers_link).run(callers_listener, stop.clone()));
    tasks.spawn(Arc::clone(&platform_link).run(platform_listener, stop.clone()));
    let seeds: Vec<String> =
        (0..options.gateways.min(3)).map(|n| format!("\"{}:7003\"", loopback_ip(n))).collect();
    let ip = loopback_ip(number);
    let text = format!(
        "host = \"gateway-{number}\"\nfailure_domain = \"{}\"\nplatform = \"{}\"\nseeds = [{}]\n\
         [listen]\ncalls = \"{ip}:7000\"\nreadiness = \"{ip}:7001\"\ndirections = \"{ip}:7002\"\n\
         news = \"{ip}:7003\"\nheartbeats = \"{ip}:7004\"\n\
         [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
         [retries]\nratio = 0.2\nslack = {BUDGET_SLACK}\nwindow_ms = 10000\n\
         [stop]\ngrace_ms = {GRACE_MS}\n",
        failure_domain_name(number),
        at(7_101),
        seeds.join(", "),
    );
    let settings = directory.join(format!("gateway-{number}.toml"));
    fs::write(&settings, text).expect("failed to write the settings file");
    Gateway {
        number,
        calls_address: at(7_000),
        link_address: at(7_100),
        directions_address: at(7_002),
        callers_link,
        platform_link,
        child: Mutex::new(None),
        incarnation: AtomicU32::new(0),
        settings,
    }
}

impl Gateway {
    /// Time that a gateway has to exit after the signal of a planned stop before it is killed.
    pub(crate) fn grace_period() -> Duration {
        Duration::from_millis(GRACE_MS)
    }
}
