//! A platform, targets, gateways in several failure domains and callers of all gateways.

use super::{
    caller::{Answer, Records, keep_calling},
    gateway::Gateway,
    network::Network,
    node::Node,
    operator::Operator,
    platform::{Platform, Variant},
    target::{CutHosts, SLOTS, Service, Target},
    verdict::Verdict,
};
use azuretally_policy::balance::{Change, TargetRecord};
use azuretally_standin::http::listen;
use std::{fs, net::IpAddr, path::PathBuf, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Number of gateways at the start.
pub(crate) const GATEWAYS: u8 = 6;
/// Number of tests that run at the same time.
const MAX_DEPLOYMENTS: usize = 3;
/// Time for which the platform is away before it is restored.
pub(crate) const AWAY_TIME: Duration = Duration::from_millis(400);
/// Host number and port of the platform in the network of a test.
const PLATFORM_HOST: u8 = 2;
const PLATFORM_PORT: u16 = 8_000;
/// Port at which nothing listens.
const CLOSED_PORT: u16 = 8_001;
/// Host numbers of the first gateway and of the first target.
const FIRST_GATEWAY: u8 = 10;
const FIRST_TARGET: u8 = 100;

static DEPLOYMENTS: Semaphore = Semaphore::const_new(MAX_DEPLOYMENTS);

/// Settings of a deployment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) variant: Variant,
    /// Numbers of gateways whose connections to the platform are refused.
    pub(crate) refused: Vec<u8>,
    /// Binary of the gateways at the start, instead of that of the present build.
    pub(crate) binary: Option<PathBuf>,
}

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) operator: Arc<Operator>,
    records: Arc<Records>,
    cut_hosts: Arc<CutHosts>,
    plan: Plan,
    start: Instant,
    next_target: u8,
    /// Cancelled to end the publishing of settings.
    publishing: CancellationToken,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    callers: JoinSet<()>,
    network: Network,
    directory: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Deployment {
    /// Starts everything and waits until the gateways are ready. Callers make calls from then on.
    pub(crate) async fn start(plan: Plan) -> Self {
        let permit = DEPLOYMENTS.acquire().await.expect("an open semaphore");
        let platform = Arc::new(Platform::new(plan.variant));
        let mut deployment = Self {
            nodes: Vec::new(),
            operator: Arc::new(Operator::new(Arc::clone(&platform), plan.seed)),
            platform,
            records: Arc::default(),
            cut_hosts: Arc::default(),
            plan,
            start: Instant::now(),
            next_target: 0,
            publishing: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            callers: JoinSet::new(),
            network: Network::reserve(),
            directory: TempDir::new().expect("a temporary directory"),
            _permit: permit,
        };
        let address = deployment.network.address(PLATFORM_HOST, PLATFORM_PORT);
        let listener = listen(address).expect("a free address");
        let platform = Arc::clone(&deployment.platform);
        deployment.tasks.spawn(platform.run(listener, deployment.stop.clone()));
        for domain in DOMAINS {
            deployment.start_target(Service::First, domain);
            deployment.start_target(Service::Second, domain);
        }
        for number in 0..GATEWAYS {
            let node = deployment.start_node(number);
            deployment.nodes.push(node);
        }
        for node in &deployment.nodes {
            node.wait_until_ready().await;
        }
        for index in 0..deployment.nodes.len() {
            deployment.start_caller(index);
        }
        deployment
    }

    /// Starts another gateway with a caller, which makes calls before the gateway is ready.
    pub(crate) async fn add_gateway(&mut self) {
        let number = u8::try_from(self.nodes.len()).expect("few gateways");
        let node = self.start_node(number);
        self.nodes.push(node);
        self.start_caller(usize::from(number));
        self.nodes[usize::from(number)].wait_until_ready().await;
    }

    /// Starts a target of `service` and publishes its record.
    pub(crate) fn start_target(&mut self, service: Service, domain: &str) -> Arc<Target> {
        let number = self.next_target;
        self.next_target += 1;
        let record = TargetRecord {
            name: Arc::from(format!("target-{number}")),
            started: Some(1),
            service: Arc::from(service.name()),
            address: self.network.address(FIRST_TARGET + number, 8_000),
            failure_domain: Arc::from(domain),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let listener = listen(record.address).expect("a free address");
        assert!(self.platform.publish(Change::Target(record.clone())), "the platform is away");
        let target = Arc::new(Target::new(record, Arc::clone(&self.cut_hosts)));
        self.tasks.spawn(Arc::clone(&target).run(listener, self.stop.clone()));
        target
    }

    /// Cuts the gateway `number` off from all targets.
    pub(crate) fn cut_off(&self, number: u8) {
        self.cut_hosts.lock().insert(self.host(number), 0);
    }

    /// Returns the number of requests of the gateway `number` that targets did not answer.
    pub(crate) fn cut_requests(&self, number: u8) -> usize {
        self.cut_hosts.lock().get(&self.host(number)).copied().unwrap_or(0)
    }

    /// Begins to publish a new version of the settings at intervals.
    pub(crate) fn begin_publishing(&mut self) {
        self.publishing = CancellationToken::new();
        let (operator, stop) = (Arc::clone(&self.operator), self.publishing.clone());
        self.tasks.spawn(async move { operator.keep_publishing(stop).await });
    }

    /// Ends the publishing of new versions.
    pub(crate) fn end_publishing(&self) {
        self.publishing.cancel();
    }

    /// Lets the platform be away and come back from a copy that lacks the last `lost` changes, which
    /// are returned.
    pub(crate) async fn restore(&self, lost: usize) -> Vec<Change> {
        self.platform.leave();
        sleep(AWAY_TIME).await;
        self.operator.restore(lost)
    }

    /// Returns when the deployment was started.
    pub(crate) fn start_time(&self) -> Instant {
        self.start
    }

    /// Judges the calls made so far.
    pub(crate) fn verdict(&self) -> Verdict {
        Verdict::new(&self.records.lock(), &self.operator, self.start)
    }

    /// Returns the number of calls that were sent to the gateway `number` from `from` until `until` and
    /// that a target ran.
    pub(crate) fn served_by(&self, number: u8, from: Instant, until: Instant) -> usize {
        let records = self.records.lock();
        let calls = records.iter().filter(|r| r.node.number == number);
        let calls = calls.filter(|r| (from..until).contains(&r.sent));
        calls.filter(|r| matches!(r.answer, Answer::Served(_))).count()
    }

    /// Returns the calls of `route` that were sent from `from` until `until`: answered by a target, and
    /// in total.
    pub(crate) fn calls_of(&self, route: &str, from: Instant, until: Instant) -> (usize, usize) {
        let records = self.records.lock();
        let calls =
            records.iter().filter(|r| &*r.route == route && (from..until).contains(&r.sent));
        let calls: Vec<_> = calls.collect();
        let is_served = |answer| matches!(answer, Answer::Served(_));
        (calls.iter().filter(|r| is_served(r.answer)).count(), calls.len())
    }

    /// Ends all processes and tasks.
    pub(crate) async fn shut_down(mut self) {
        self.callers.shutdown().await;
        self.nodes.clear();
        self.publishing.cancel();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    fn host(&self, number: u8) -> IpAddr {
        self.network.address(FIRST_GATEWAY + number, 0).ip()
    }

    fn start_caller(&mut self, index: usize) {
        let node = Arc::clone(&self.nodes[index].state);
        let (operator, records) = (Arc::clone(&self.operator), Arc::clone(&self.records));
        self.callers.spawn(keep_calling(node, operator, records, self.plan.seed));
    }

    fn start_node(&self, number: u8) -> Node {
        let at = |port| self.network.address(FIRST_GATEWAY + number, port);
        let seeds = (0..3).map(|n| self.network.address(FIRST_GATEWAY + n, 7_003));
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let is_refused = self.plan.refused.contains(&number);
        let port = if is_refused { CLOSED_PORT } else { PLATFORM_PORT };
        let text = format!(
            "host = \"gateway-{number}\"\nfailure_domain = \"{}\"\nplatform = \"{}\"\n\
             seeds = [{}]\ntarget_source = \"{}\"\n\
             [listen]\ncalls = \"{}\"\nreadiness = \"{}\"\ndirections = \"{}\"\n\
             news = \"{}\"\nheartbeats = \"{}\"\n\
             [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\n",
            DOMAINS[usize::from(number) % DOMAINS.len()],
            self.network.address(PLATFORM_HOST, port),
            seeds.join(", "),
            self.host(number),
            at(7_000),
            at(7_001),
            at(7_002),
            at(7_003),
            at(7_004),
        );
        let settings = self.directory.path().join(format!("gateway-{number}.toml"));
        fs::write(&settings, text).expect("a writable directory");
        let log = self.directory.path().join(format!("gateway-{number}.log"));
        let (calls, readiness) = (at(7_000), at(7_001));
        let gateway = match self.plan.binary.clone() {
            Some(binary) => Gateway::start_build(binary, settings, log, calls, readiness),
            None => Gateway::start(settings, log, calls, readiness),
        };
        Node::new(number, gateway)
    }
}
