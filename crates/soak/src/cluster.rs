//! The cluster of one run: gateway processes, stand-ins, and the proxied links between them.

use crate::{
    added::{AddedCounts, added_route},
    callers::HOST_NAME,
    checker::{BUDGET_SLACK, Checker},
    crashes,
    partitions::Partitions,
    platform::Platform,
    process::Process,
    run::Options,
    targets::{Crash, PROBE_PATH, Target},
    workload::{MOVING, Operation, Workload},
};
use azuretally_gateway::clock::unix_ms;
use azuretally_policy::balance::{
    CallerLimits, PublishedSettings, Route, ServiceSettings, Share, TargetRecord,
};
use azuretally_standin::{http::listen, proxy::Link};
use azuretally_testsuite::binary;
use parking_lot::Mutex;
use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::mpsc, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// Binary of the gateways.
const GATEWAY_BINARY: &str = "azuretally-gateway";
/// Prefix of the names of the services behind the moving route. Each settings version routes to a
/// service of its own.
pub(crate) const MOVING_PREFIX: &str = "moving-";
/// Number of services behind the moving route.
pub(crate) const MOVING_SERVICES: u64 = 16;
/// Number of settings versions after which the moving route moves, while routes are added.
const ADDING_STEP: u64 = 4;
/// Service behind the routes that do not change with the settings version.
const MAIN_SERVICE: &str = "main";
/// Number of callers whose calls of the moving route keep about half of the slots of one target
/// busy.
const CALLERS_PER_TARGET: usize = 24;
/// Ports of a gateway and of its links.
const CALLS_PORT: u16 = 7_000;
const DIRECTIONS_PORT: u16 = 7_002;
const NEWS_PORT: u16 = 7_003;
const CALLERS_LINK_PORT: u16 = 7_100;
const PLATFORM_LINK_PORT: u16 = 7_101;
/// Last two bytes of the address at which the platform and the targets listen.
const SERVERS_HOST: [u8; 2] = [255, 254];
/// File descriptors of a gateway in its first settings file.
const DESCRIPTORS: u64 = 4_100;

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
    pub(crate) process: Mutex<Option<Process>>,
    /// Whether its next process is of the older build.
    pub(crate) is_older: AtomicBool,
    /// Number of processes started for this gateway.
    pub(crate) incarnation: AtomicU32,
    /// Open connections of callers.
    pub(crate) connections: Arc<AtomicUsize>,
    settings: PathBuf,
    /// Contents of the settings file without the number of descriptors.
    settings_text: String,
    /// Number of times that the settings file was written.
    revision: AtomicU64,
}

/// A target with its link.
#[derive(Debug)]
pub(crate) struct TargetLink {
    /// Start number of the target.
    number: u64,
    pub(crate) target: Arc<Target>,
    pub(crate) record: TargetRecord,
    pub(crate) link: Arc<Link>,
    /// Closes the listeners and connections before the target.
    closed: CancellationToken,
}

/// Gateways, targets and platform of one run.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) checker: Arc<Checker>,
    pub(crate) workload: Workload,
    pub(crate) platform: Arc<Platform>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Mutex<Vec<TargetLink>>,
    /// Between the gateways and the links of the targets.
    pub(crate) partitions: Arc<Partitions>,
    /// Latest published settings version.
    pub(crate) version: AtomicU64,
    /// Binary of the older build, if the run upgrades from one.
    pub(crate) older: Option<PathBuf>,
    /// Binary of the present build.
    present: PathBuf,
    /// Whether each settings version has a route that those before it do not have.
    pub(crate) adds_routes: bool,
    /// Answers to calls of added routes.
    pub(crate) added: Mutex<AddedCounts>,
    /// Number of failure domains.
    domains: usize,
    /// Second byte of all loopback addresses of the run.
    network: u8,
    pub(crate) stop: CancellationToken,
    tasks: Mutex<JoinSet<()>>,
    /// Sends the numbers of targets that crash.
    crashed: mpsc::UnboundedSender<u64>,
    directory: PathBuf,
    /// Number of targets added so far.
    target_count: AtomicU32,
}

impl Cluster {
    /// Sets up the cluster and starts the gateways. The gateways use the loopback network that
    /// `options.network` selects, so that concurrent runs use distinct addresses.
    pub(crate) async fn start(options: &Options, directory: &Path) -> Arc<Self> {
        let checker = Arc::new(Checker::default());
        let workload =
            Workload::new(options.profile, options.gateways, options.targets, options.callers);
        let step = if options.adds_routes { ADDING_STEP } else { 1 };
        let platform = Arc::new(Platform::new(Arc::clone(&checker), step));
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        let platform_listener = bind_free_port(options.network).await;
        let platform_address = platform_listener.local_addr().expect("bound");
        tasks.spawn(Arc::clone(&platform).run(platform_listener, stop.clone()));
        let mut gateways = Vec::new();
        for number in 0..options.gateways {
            let links = GatewayLinks::new(options, number, platform_address, &mut tasks, &stop);
            gateways.push(Gateway::new(options, &workload, number, directory, links));
        }
        let (crashed, crashed_targets) = mpsc::unbounded_channel();
        let cluster = Arc::new(Self {
            checker,
            workload,
            platform,
            gateways,
            targets: Mutex::default(),
            partitions: Arc::default(),
            version: AtomicU64::new(0),
            older: options.older.clone(),
            present: binary(GATEWAY_BINARY),
            adds_routes: options.adds_routes,
            added: Mutex::default(),
            domains: options.domains,
            network: options.network,
            stop,
            tasks: Mutex::new(tasks),
            crashed,
            directory: directory.to_owned(),
            target_count: AtomicU32::new(0),
        });
        for _ in 0..options.targets {
            cluster.add_target(MAIN_SERVICE).await;
        }
        for service in 1..=MOVING_SERVICES {
            // One target serves the calls of the moving route of `CALLERS_PER_TARGET` callers.
            for _ in 0..options.callers.div_ceil(CALLERS_PER_TARGET) {
                cluster.add_target(&format!("{MOVING_PREFIX}{service}")).await;
            }
        }
        let replaced = Arc::clone(&cluster);
        cluster.spawn(crashes::replace_crashed(replaced, options.seed, crashed_targets));
        cluster.publish_next();
        for number in 0..cluster.gateways.len() {
            cluster.start_gateway(number);
        }
        cluster
    }

    /// Publishes the next settings version, if any is left.
    pub(crate) fn publish_next(&self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        if self.adds_routes || version <= MOVING_SERVICES {
            self.version.store(version, Ordering::SeqCst);
            self.platform.publish(self.settings_of(version));
        }
    }

    /// Returns the settings of `version`.
    fn settings_of(&self, version: u64) -> PublishedSettings {
        let moving = format!("{MOVING_PREFIX}{}", self.platform.moving_service(version));
        let route = |operation: &Operation| {
            let service = if operation.name == MOVING { &*moving } else { MAIN_SERVICE };
            route_to(service, operation.name, operation)
        };
        let added = if self.adds_routes { version } else { 0 };
        let checks = self.workload.added_operation();
        let added = (1..=added).map(|n| route_to(MAIN_SERVICE, &added_route(n), &checks));
        let service_settings = ServiceSettings {
            connections: 200,
            probe_path: Arc::from(PROBE_PATH),
            cold_rate: None,
        };
        let names = (1..=MOVING_SERVICES)
            .map(|v| format!("{MOVING_PREFIX}{v}"))
            .chain([MAIN_SERVICE.to_owned()]);
        PublishedSettings {
            version,
            routes: self.workload.operations.iter().map(route).chain(added).collect(),
            services: names.map(|name| (Arc::from(name), service_settings.clone())).collect(),
            limits: CallerLimits {
                head_bytes: 16_384,
                body_bytes: 1_000_000,
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            },
        }
    }

    /// Starts a new process for a gateway.
    pub(crate) fn start_gateway(&self, number: usize) {
        let gateway = &self.gateways[number];
        gateway.incarnation.fetch_add(1, Ordering::SeqCst);
        self.checker.record_start(number);
        let older = self.older.as_ref().filter(|_| gateway.is_older.load(Ordering::SeqCst));
        self.checker.record_build(number, older.is_some());
        let binary = older.unwrap_or(&self.present);
        let log = self.directory.join(format!("gateway-{number}.log"));
        *gateway.process.lock() = Some(Process::start(binary, &gateway.settings, log));
    }

    /// Starts a target of `service` with a name and an address of its own.
    pub(crate) async fn add_target(&self, service: &str) {
        self.start_target(service, None, None).await;
    }

    /// Starts a target of `service` behind a link and registers it with the platform. A name and an
    /// address may be those of a target that has crashed.
    pub(crate) async fn start_target(
        &self,
        service: &str,
        name: Option<Arc<str>>,
        address: Option<SocketAddr>,
    ) {
        let number = self.target_count.fetch_add(1, Ordering::SeqCst);
        let started = unix_ms();
        let listener = bind_free_port(self.network).await;
        let target_address = listener.local_addr().expect("bound");
        let link_listener = bind_free_port(self.network).await;
        let link_address = link_listener.local_addr().expect("bound");
        let outer_listener = match address.map(listen) {
            Some(Ok(listener)) => listener,
            // Another socket may have the port by now.
            _ => bind_free_port(self.network).await,
        };
        let address = outer_listener.local_addr().expect("bound");
        let link = Arc::new(Link::new(target_address).keeping_source());
        let name = name.unwrap_or_else(|| Arc::from(format!("target-{number}")));
        let closed = self.stop.child_token();
        let service: Arc<str> = Arc::from(service);
        let target = Arc::new(Target::new(
            Arc::clone(&name),
            Arc::clone(&service),
            self.workload,
            Arc::clone(&self.checker),
            Crash { number: u64::from(number), sender: self.crashed.clone() },
        ));
        {
            let mut tasks = self.tasks.lock();
            tasks.spawn(Arc::clone(&target).run(listener));
            tasks.spawn(Arc::clone(&link).run(link_listener, closed.clone()));
            let partitions = Arc::clone(&self.partitions);
            tasks.spawn(partitions.forward(outer_listener, link_address, closed.clone()));
        }
        let record = TargetRecord {
            name,
            started: Some(started),
            service,
            address,
            failure_domain: failure_domain_name(number as usize, self.domains),
            version: Arc::from("v1"),
            slots: self.workload.slots,
            leaving: false,
            warmup: Duration::ZERO,
        };
        self.platform.put_target(record.clone());
        let number = u64::from(number);
        self.targets.lock().push(TargetLink { number, target, record, link, closed });
    }

    /// Closes all that belongs to a target that has crashed, by its start number. Returns its last
    /// record and whether it was leaving.
    pub(crate) fn close_target(&self, number: u64) -> Option<(TargetRecord, bool)> {
        let mut targets = self.targets.lock();
        let old = targets.iter_mut().find(|t| t.number == number)?;
        old.closed.cancel();
        let was_leaving = std::mem::replace(&mut old.record.leaving, true);
        Some((old.record.clone(), was_leaving))
    }

    /// Ends all processes and tasks that the run started.
    pub(crate) async fn shut_down(&self) {
        for gateway in &self.gateways {
            if let Some(mut process) = gateway.process.lock().take() {
                process.kill();
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

    /// Returns whether two gateways are in the same failure domain.
    pub(crate) fn is_same_domain(&self, one: usize, other: usize) -> bool {
        one % self.domains == other % self.domains
    }

    /// Returns the indexes of the targets of the main service that are not leaving.
    pub(crate) fn main_targets(&self) -> Vec<usize> {
        let targets = self.targets.lock();
        let main = targets.iter().enumerate().filter(|(_, t)| &*t.record.service == MAIN_SERVICE);
        main.filter(|(_, t)| !t.record.leaving).map(|(index, _)| index).collect()
    }
}

fn failure_domain_name(number: usize, domains: usize) -> Arc<str> {
    Arc::from(format!("domain-{}", number % domains))
}

/// Returns a route to a service for calls like those of `operation` below `name`.
fn route_to(service: &str, name: &str, operation: &Operation) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(HOST_NAME),
        prefix: Arc::from(format!("/{name}/")),
        idempotent: operation.idempotent,
        timeout: operation.timeout,
        objective: operation.timeout / 5,
        priority: u32::from(operation.idempotent),
        attempts: 2,
        shares: vec![Share { service: Arc::from(service), weight: 1 }],
    }
}

/// Binds a free port of the host of the platform and the targets. Connections of all callers on the
/// machine use up the ports of `127.0.0.1`.
async fn bind_free_port(network: u8) -> TcpListener {
    let [high, low] = SERVERS_HOST;
    let host = Ipv4Addr::new(127, network, high, low);
    TcpListener::bind((host, 0)).await.expect("failed to bind a loopback port")
}

/// Returns the address of a port of a gateway.
fn gateway_address(options: &Options, number: usize, port: u16) -> SocketAddr {
    let number = u16::try_from(number + 1).expect("gateway number does not fit in 16 bits");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, options.network, high, low), port))
}

/// Returns the number of the gateway that connects to targets from `source`, if it has an address of
/// its own there.
pub(crate) fn gateway_number(source: IpAddr) -> Option<usize> {
    let IpAddr::V4(address) = source else { return None };
    let [_, network, high, low] = address.octets();
    let number = usize::from(u16::from_be_bytes([high, low]));
    number.checked_sub(1).filter(|_| network > 0)
}

/// Links to and from a gateway.
struct GatewayLinks {
    callers: Arc<Link>,
    platform: Arc<Link>,
}

impl GatewayLinks {
    fn new(
        options: &Options,
        number: usize,
        platform_address: SocketAddr,
        tasks: &mut JoinSet<()>,
        stop: &CancellationToken,
    ) -> Self {
        let mut start = |port, target| {
            let listener = listen(gateway_address(options, number, port))
                .expect("failed to bind a gateway link address");
            let link = Arc::new(Link::new(target));
            tasks.spawn(Arc::clone(&link).run(listener, stop.clone()));
            link
        };
        let callers = start(CALLERS_LINK_PORT, gateway_address(options, number, CALLS_PORT));
        let platform = start(PLATFORM_LINK_PORT, platform_address);
        Self { callers, platform }
    }
}

impl Gateway {
    /// Sets up a gateway with its settings file without starting it.
    fn new(
        options: &Options,
        workload: &Workload,
        number: usize,
        directory: &Path,
        links: GatewayLinks,
    ) -> Self {
        let at = |port| gateway_address(options, number, port);
        let gateway = Self {
            number,
            calls_address: at(CALLS_PORT),
            link_address: at(CALLERS_LINK_PORT),
            directions_address: at(DIRECTIONS_PORT),
            callers_link: links.callers,
            platform_link: links.platform,
            process: Mutex::new(None),
            is_older: AtomicBool::new(options.older.is_some()),
            incarnation: AtomicU32::new(0),
            connections: Arc::default(),
            settings: directory.join(format!("gateway-{number}.toml")),
            settings_text: settings_text(options, workload, number),
            revision: AtomicU64::new(0),
        };
        gateway.write_settings();
        gateway
    }

    /// Writes the settings file. Each time it has another number of descriptors.
    pub(crate) fn write_settings(&self) {
        let descriptors = DESCRIPTORS + self.revision.fetch_add(1, Ordering::SeqCst);
        let text = format!("{}descriptors = {descriptors}\n", self.settings_text);
        fs::write(&self.settings, text).expect("failed to write the settings file");
    }
}

/// Returns the contents of the settings file of a gateway without the number of descriptors.
fn settings_text(options: &Options, workload: &Workload, number: usize) -> String {
    let seed = |n| format!("\"{}\"", gateway_address(options, n, NEWS_PORT));
    let seeds: Vec<String> = (0..options.gateways.min(3)).map(seed).collect();
    let ip = gateway_address(options, number, CALLS_PORT).ip();
    let source = match options.partitions {
        true => format!("target_source = \"{ip}\"\n"),
        false => String::new(),
    };
    format!(
        "{source}host = \"gateway-{number}\"\nfailure_domain = \"{}\"\n\
         platform = \"{ip}:{PLATFORM_LINK_PORT}\"\nseeds = [{}]\n\
         [listen]\ncalls = \"{ip}:{CALLS_PORT}\"\nreadiness = \"{ip}:7001\"\n\
         directions = \"{ip}:{DIRECTIONS_PORT}\"\nnews = \"{ip}:{NEWS_PORT}\"\n\
         heartbeats = \"{ip}:7004\"\n\
         [directions]\ngateways = {}\n\
         [retries]\nratio = 0.2\nslack = {BUDGET_SLACK}\nwindow_ms = 10000\n\
         [stop]\ngrace_ms = {}\n\
         [size]\ncores = 0.2\nmemory_mb = 260\n",
        failure_domain_name(number, options.domains),
        seeds.join(", "),
        workload.directed,
        workload.grace.as_millis(),
    )
}
