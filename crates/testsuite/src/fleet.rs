//! A deployment of real processes on loopback addresses.

use crate::{
    addresses::Network,
    caller::{Call, CallError, Caller, Reply},
    child::Child,
    entry::Entry,
    eventually::{DEFAULT_TIMEOUT, eventually},
    settings::{PublishedSettings, ServiceSettings},
    web,
};
use azuretally_api::{
    directions::{Direction, Directions},
    platform::{HostList, HostRecord, HostState, REVISION, Role},
};
use azuretally_standin::{
    http::listen,
    platform::{Copied, CountsReport, Faults as PlatformFaults},
    proxy::Link,
    target::{Faults as TargetFaults, GroupReport},
};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::{fs, net::SocketAddr, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{
    net::TcpStream,
    sync::{Semaphore, SemaphorePermit},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Limit on the processes of all fleets that run at the same time.
const MAX_PROCESSES: usize = 24;
static PROCESSES: Semaphore = Semaphore::const_new(MAX_PROCESSES);

// Host numbers in the loopback network of a fleet, and ports on these hosts. Targets and their
// links have consecutive ports from the given one, as have the platform links of the entries.
const PLATFORM_HOST: u8 = 2;
const PLATFORM_PORT: u16 = 7_000;
const PLATFORM_LINK_PORT: u16 = 7_001;
const TARGETS_HOST: u8 = 100;
const TARGETS_PORT: u16 = 9_000;
const TARGETS_CONTROL_PORT: u16 = 8_999;
const TARGET_LINK_PORT: u16 = 10_000;
const PEERS_LINK_PORT: u16 = 8_183;
const CALLS_LINK_PORT: u16 = 8_180;

/// Configures and starts a fleet.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    entries: u8,
    targets: u16,
    slots: u32,
    service_ms: f64,
    fixed: bool,
    links: bool,
    published: PublishedSettings,
    target_args: Vec<String>,
    stop_timeout: Option<Duration>,
}

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Entries of the deployment.
    pub entries: Vec<Entry>,
    /// Settings that were published first.
    pub published: PublishedSettings,
    /// Process of the platform.
    pub platform: Child,
    /// Process that runs all targets.
    pub targets: Child,
    /// Links from the entries to each target, if links are enabled.
    pub target_links: Vec<Arc<Link>>,
    /// Links from each entry to the platform, if links are enabled.
    pub platform_links: Vec<Arc<Link>>,
    /// Links from the other entries to the peer address of each entry, if links are enabled.
    pub peer_links: Vec<Arc<Link>>,
    /// Links to the calls address of each entry, if links are enabled.
    pub call_links: Vec<Arc<Link>>,
    /// Client for single calls.
    pub caller: Caller,
    network: Network,
    hosts: Vec<HostRecord>,
    builder: FleetBuilder,
    running: JoinSet<()>,
    stop: CancellationToken,
    _directory: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Returns a builder for a fleet of 3 entries and 4 targets of the service `till` with 2 slots
    /// each.
    pub fn builder() -> FleetBuilder {
        let till =
            ServiceSettings { name: "till".to_owned(), slots: 2, entry_set: 2, queue: 1_024 };
        FleetBuilder {
            entries: 3,
            targets: 4,
            slots: 2,
            service_ms: 5.0,
            fixed: true,
            links: false,
            published: PublishedSettings {
                entries: 3,
                preset: "ordinary".to_owned(),
                probe_budget: 20.0,
                services: vec![till],
                urgent_ms: 2_000,
            },
            target_args: Vec::new(),
            stop_timeout: None,
        }
    }

    /// Returns directions for the service `till` from the first entry that provides them.
    pub async fn directions(&self) -> Directions {
        eventually("directions", DEFAULT_TIMEOUT, async || {
            for entry in &self.entries {
                let answer = self.caller.directions(entry.directions, "till").await;
                if let Ok(directions) = answer
                    && !directions.entries.is_empty()
                {
                    return Some(directions);
                }
            }
            None
        })
        .await
    }

    /// Returns the preferred entry for the service `till`.
    pub async fn direction(&self) -> Direction {
        self.directions().await.entries.remove(0)
    }

    /// Makes a call at the preferred entry.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
    pub async fn call(&self, call: &Call) -> Result<Reply, CallError> {
        let to = self.direction().await;
        self.caller.call(to.address, call).await
    }

    /// Returns the entry with the given host name.
    pub fn entry(&mut self, host: &str) -> &mut Entry {
        self.entries.iter_mut().find(|e| e.host == host).expect("host name of an entry")
    }

    /// Returns the counters of all targets.
    pub async fn target_report(&self) -> GroupReport {
        let control = self.targets_control();
        let (_, body) = web::exchange(control, Method::GET, "/runs", "").await.expect("run counts");
        serde_json::from_slice(&body).expect("valid target counters")
    }

    /// Returns how often a run for `key` was started, summed over all targets.
    pub async fn starts(&self, key: &str) -> u64 {
        self.target_report().await.runs.get(key).map_or(0, |r| r.starts)
    }

    /// Replaces the faults of target `number`, or of all targets without a number.
    pub async fn set_target_faults(&self, number: Option<usize>, faults: TargetFaults) {
        let path = match number {
            Some(n) => format!("/faults?target={}", self.target_name(n)),
            None => "/faults".to_owned(),
        };
        self.post(self.targets_control(), &path, &faults).await;
    }

    /// Replaces the faults of the platform.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        self.post(self.platform_address(), "/v1/faults", &faults).await;
    }

    /// Restores the platform from a copy, which begins a new era of its data.
    pub async fn restore_platform(&self, copied: Copied) {
        self.post(self.platform_address(), "/v1/restore", &copied).await;
    }

    /// Returns the read requests that the platform counted.
    pub async fn platform_counts(&self) -> CountsReport {
        let address = self.platform_address();
        let (_, body) =
            web::exchange(address, Method::GET, "/v1/counts", "").await.expect("counts");
        serde_json::from_slice(&body).expect("counts")
    }

    /// Publishes settings as an operator. Returns the new revision or, after a conflict with
    /// `expected`, the current one as error.
    pub async fn publish(&self, text: &str, expected: Option<u64>) -> Result<u64, u64> {
        let address = self.platform_address();
        let mut request = Request::put("/v1/settings").header("host", address.to_string());
        if let Some(expected) = expected {
            request = request.header("x-expected-revision", expected);
        }
        let request = request.body(Full::new(Bytes::from(text.to_owned()))).expect("valid request");
        let response = web::send(address, request).await.expect("the platform answers");
        let revision = response.headers()[REVISION].to_str().expect("text");
        let revision = revision.parse().expect("valid revision header");
        if response.status() == StatusCode::OK { Ok(revision) } else { Err(revision) }
    }

    /// Publishes the host list with the hosts in `leaving` marked as leaving and those in `gone`
    /// removed.
    pub async fn publish_hosts(&mut self, leaving: &[&str], gone: &[&str]) {
        let mut hosts = self.hosts.clone();
        hosts.retain(|h| !gone.contains(&h.host.as_str()));
        for host in &mut hosts {
            if leaving.contains(&host.host.as_str()) {
                host.state = HostState::Leaving;
            }
        }
        let list = HostList { hosts, ..HostList::default() };
        let body = serde_json::to_vec(&list).expect("JSON");
        let address = self.platform_address();
        let put = web::exchange(address, Method::PUT, "/v1/hosts", body).await;
        assert_eq!(put.expect("the platform answers").0, StatusCode::OK);
    }

    /// Returns the host name of target `number`.
    pub fn target_name(&self, number: usize) -> String {
        if self.builder.targets == 1 { "till".to_owned() } else { format!("till-{number}") }
    }

    /// Returns the address of target `number` itself, past its link.
    pub fn target_address(&self, number: u16) -> SocketAddr {
        self.network.address(TARGETS_HOST, TARGETS_PORT + number)
    }

    /// Starts a new incarnation of entry `number` on the same addresses.
    pub fn restart(&mut self, number: usize) {
        let seeds = self.seeds();
        self.entries[number].start(&seeds);
    }

    /// Waits until every entry answers calls.
    pub async fn wait_until_serving(&self) {
        for entry in &self.entries {
            self.wait_until_entry_serves(entry).await;
        }
    }

    /// Waits until the entry answers calls.
    pub async fn wait_until_entry_serves(&self, entry: &Entry) {
        eventually(&format!("{} serves", entry.host), DEFAULT_TIMEOUT, async || {
            let call = Call::get("/till/balance", "warm-up").client_timeout(Duration::from_secs(2));
            let reply = self.caller.call(entry.calls, &call).await.ok()?;
            reply.is_answered().then_some(())
        })
        .await;
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.advertised_peers).collect()
    }

    fn platform_address(&self) -> SocketAddr {
        self.network.address(PLATFORM_HOST, PLATFORM_PORT)
    }

    fn targets_control(&self) -> SocketAddr {
        self.network.address(TARGETS_HOST, TARGETS_CONTROL_PORT)
    }

    async fn post<T>(&self, address: SocketAddr, path: &str, body: &T)
    where
        T: serde::Serialize,
    {
        let body = serde_json::to_vec(body).expect("JSON");
        let answer = web::exchange(address, Method::POST, path, body).await;
        assert_eq!(answer.expect("the control port answers").0, StatusCode::OK);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
        self.running.abort_all();
    }
}

impl FleetBuilder {
    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: u8) -> Self {
        self.entries = entries;
        self.published.entries = entries.into();
        let service = &mut self.published.services[0];
        service.entry_set = service.entry_set.min(entries.into());
        self
    }

    /// Sets the number of targets.
    #[must_use]
    pub fn targets(mut self, targets: u16) -> Self {
        self.targets = targets;
        self
    }

    /// Sets the number of slots of each target.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self.published.services[0].slots = slots;
        self
    }

    /// Sets the service time of the targets, in ms.
    #[must_use]
    pub fn service_ms(mut self, ms: f64) -> Self {
        self.service_ms = ms;
        self
    }

    /// Routes all connections to targets, peers, platform and entries through fault-injecting
    /// links.
    #[must_use]
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Modifies the settings that are published first.
    #[must_use]
    pub fn published(mut self, change: impl FnOnce(&mut PublishedSettings)) -> Self {
        change(&mut self.published);
        self
    }

    /// Adds command-line options of the process that runs the targets.
    #[must_use]
    pub fn target_args(mut self, args: &[&str]) -> Self {
        self.target_args.extend(args.iter().map(|a| (*a).to_owned()));
        self
    }

    /// Sets the time that the planned stop of an entry allows calls in progress to finish.
    #[must_use]
    pub fn stop_timeout(mut self, stop_timeout: Duration) -> Self {
        self.stop_timeout = Some(stop_timeout);
        self
    }

    /// Starts all processes and waits until every entry answers calls.
    pub async fn start(self) -> Fleet {
        let fleet = self.start_processes().await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Starts all processes without waiting until the entries answer calls.
    pub async fn start_processes(self) -> Fleet {
        let permits = u32::from(self.entries) + 2;
        let permit = PROCESSES.acquire_many(permits).await.expect("never closed");
        let network = Network::reserve();
        let directory = tempfile::Builder::new().prefix("azuretally-").tempdir().expect("folder");
        fs::write(directory.path().join("peer.key"), "key of the peers in tests").expect("key");

        let platform = network.address(PLATFORM_HOST, PLATFORM_PORT);
        let mut entries: Vec<_> = (0..self.entries)
            .map(|i| Entry::new(&network, directory.path(), i, platform))
            .collect();
        entries.iter_mut().for_each(|e| e.stop_timeout = self.stop_timeout);
        let mut links = Links::default();
        let mut target_addresses: Vec<_> =
            (0..self.targets).map(|i| network.address(TARGETS_HOST, TARGETS_PORT + i)).collect();
        if self.links {
            links.open(&network, &mut entries, &mut target_addresses);
        }
        let hosts = self.hosts(&entries, &target_addresses);
        let targets = self.start_targets(&network, &directory);
        let platform = self.start_platform(&directory, platform, &hosts);
        let mut fleet = Fleet {
            entries,
            published: self.published.clone(),
            platform,
            targets,
            target_links: links.targets,
            platform_links: links.platform,
            peer_links: links.peers,
            call_links: links.calls,
            caller: Caller::default(),
            network,
            hosts,
            builder: self,
            running: links.running,
            stop: links.stop,
            _directory: directory,
            _permit: permit,
        };
        fleet.wait_for_standins().await;
        for i in 0..fleet.entries.len() {
            fleet.restart(i);
        }
        fleet
    }

    fn hosts(&self, entries: &[Entry], targets: &[SocketAddr]) -> Vec<HostRecord> {
        let mut hosts: Vec<_> = entries.iter().map(|e| e.host_record(HostState::Live)).collect();
        for (i, address) in targets.iter().enumerate() {
            let host = if targets.len() == 1 { "till".to_owned() } else { format!("till-{i}") };
            hosts.push(HostRecord {
                host,
                failure_domain: format!("domain-{}", i % 3),
                incarnation: None,
                state: HostState::Live,
                role: Role::Target { service: "till".to_owned(), address: *address },
            });
        }
        hosts
    }

    fn start_targets(&self, network: &Network, directory: &TempDir) -> Child {
        let mut args: Vec<String> = [
            ("--listen", network.address(TARGETS_HOST, TARGETS_PORT).to_string()),
            ("--control", network.address(TARGETS_HOST, TARGETS_CONTROL_PORT).to_string()),
            ("--name", "till".to_owned()),
            ("--count", self.targets.to_string()),
            ("--slots", self.slots.to_string()),
            ("--service-ms", self.service_ms.to_string()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        if self.fixed {
            args.push("--fixed".to_owned());
        }
        args.extend(self.target_args.iter().cloned());
        Child::start(directory.path(), "targets", "azuretally-standin-target", &args)
    }

    fn start_platform(&self, directory: &TempDir, at: SocketAddr, hosts: &[HostRecord]) -> Child {
        let settings = directory.path().join("published.toml");
        fs::write(&settings, self.published.to_toml()).expect("settings");
        let list = HostList { revision: 1, hosts: hosts.to_vec(), unreadable: 0 };
        let hosts = directory.path().join("hosts.json");
        fs::write(&hosts, serde_json::to_vec(&list).expect("JSON")).expect("hosts");
        let args = [
            "--listen".to_owned(),
            at.to_string(),
            "--settings".to_owned(),
            settings.display().to_string(),
            "--hosts".to_owned(),
            hosts.display().to_string(),
        ];
        Child::start(directory.path(), "platform", "azuretally-standin-platform", &args)
    }
}

impl Fleet {
    async fn wait_for_standins(&self) {
        for address in [self.platform_address(), self.targets_control()] {
            eventually("the stand-ins listen", DEFAULT_TIMEOUT, async || {
                TcpStream::connect(address).await.ok().map(drop)
            })
            .await;
        }
    }
}

#[derive(Debug, Default)]
struct Links {
    targets: Vec<Arc<Link>>,
    platform: Vec<Arc<Link>>,
    peers: Vec<Arc<Link>>,
    calls: Vec<Arc<Link>>,
    running: JoinSet<()>,
    stop: CancellationToken,
}

impl Links {
    fn open(&mut self, network: &Network, entries: &mut [Entry], targets: &mut [SocketAddr]) {
        for (i, entry) in entries.iter_mut().enumerate() {
            let i = i as u16;
            let peers = with_port(entry.peers, PEERS_LINK_PORT);
            let link = self.link(peers, entry.peers);
            self.peers.push(link);
            entry.advertised_peers = peers;
            let calls = with_port(entry.calls, CALLS_LINK_PORT);
            let link = self.link(calls, entry.calls);
            self.calls.push(link);
            entry.advertised_calls = calls;
            let platform = network.address(PLATFORM_HOST, PLATFORM_LINK_PORT + i);
            let link = self.link(platform, entry.platform);
            self.platform.push(link);
            entry.platform = platform;
        }
        for (i, target) in targets.iter_mut().enumerate() {
            let advertised = network.address(TARGETS_HOST, TARGET_LINK_PORT + i as u16);
            let link = self.link(advertised, *target);
            self.targets.push(link);
            *target = advertised;
        }
    }

    fn link(&mut self, listening: SocketAddr, target: SocketAddr) -> Arc<Link> {
        let link = Arc::new(Link::new(target));
        let listener = listen(listening).expect("link address is free");
        self.running.spawn(Arc::clone(&link).run(listener, self.stop.clone()));
        link
    }
}

fn with_port(mut address: SocketAddr, port: u16) -> SocketAddr {
    address.set_port(port);
    address
}
