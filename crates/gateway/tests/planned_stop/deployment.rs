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
/// Memory that a gateway may use, in MB.
pub(crate) const MEMORY_MB: u64 = 260;
/// Service of all targets.
const SERVICE: &str = "service";
/// Host numbers of the first gateway and of the first target in the network of a test.
const FIRST_GATEWAY: u8 = 10;
const FIRST_TARGET: u8 = 100;
/// Number of host addresses for targets; further targets use the next port.
const TARGET_HOSTS: u16 = 150;
/// Port of the first targets.
const TARGET_PORT: u16 = 8_000;

/// The processes and stand-ins of one test.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) store: Arc<Store>,
    runs: Arc<Runs>,
    /// Latest published version of the settings.
    version: u64,
    /// Number of the next target.
    next_target: u16,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    network: Network,
    directory: TempDir,
}

impl Deployment {
    /// Starts `gateways` gateways and `targets` targets and waits until the gateways are ready.
    pub(crate) async fn start(gateways: u8, targets: u16) -> Self {
        let mut deployment = Self {
            gateways: Vec::new(),
            targets: Vec::new(),
            store: Arc::default(),
            runs: Arc::default(),
            version: 0,
            next_target: 0,
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

    /// Returns whether the loss of a call at `ended` is excused: the call was sent early enough after
    /// `signal`, and its target was still at work in the last part of the grace time.
    pub(crate) fn is_excused(
        &self,
        id: &str,
        signal: Instant,
        sent: Instant,
        ended: Instant,
    ) -> bool {
        let late = signal + GRACE.mul_f64(EXCUSED_FRACTION);
        let was_at_work =
            |run: Run| ended >= late && run.answered.is_none_or(|answered| answered >= late);
        sent <= signal + EXCUSED_SEND_TIME && self.run_of(id).is_some_and(was_at_work)
    }

    /// Ends all processes and tasks.
    pub(crate) async fn shut_down(mut self) {
        self.gateways.clear();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Publishes the next version of the settings.
    pub(crate) fn publish_next(&mut self) {
        self.version += 1;
        self.store.publish(Change::Published(published(self.version)));
    }

    /// Begins the planned stop of the target at `index` and starts another one in its place.
    pub(crate) fn replace_target(&mut self, index: usize) {
        let target = &self.targets[index];
        self.store.publish(Change::Target(TargetRecord { leaving: true, ..target.record.clone() }));
        target.leaving.cancel();
        let number = self.next_target;
        self.start_target(number);
        self.targets.swap_remove(index);
    }

    fn start_store(&mut self) {
        self.publish_next();
        let listener = listen(self.network.address(2, 8_000)).expect("a free address");
        self.tasks.spawn(Arc::clone(&self.store).run(listener, self.stop.clone()));
    }

    fn start_target(&mut self, number: u16) {
        self.next_target = number + 1;
        let host = FIRST_TARGET + (number % TARGET_HOSTS) as u8;
        let port = TARGET_PORT + number / TARGET_HOSTS;
        let record = TargetRecord {
            name: Arc::from(format!("target-{number}")),
            started: Some(1),
            service: Arc::from(SERVICE),
            address: self.network.address(host, port),
            failure_domain: Arc::from("a"),
            version: Arc::from("v1"),
            slots: SLOTS,
            leaving: false,
            warmup: Duration::ZERO,
        };
        let listener = listen(record.address).expect("a free address");
        self.store.publish(Change::Target(record.clone()));
        let target = Arc::new(Target::new(record, Arc::clone(&self.runs)));
        self.tasks.spawn(Arc::clone(&target).run(listener, self.stop.clone()));
        self.targets.push(target);
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
             [size]\ncores = 0.2\nmemory_mb = {MEMORY_MB}\ndescriptors = 4100\n\
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
    let service =
        ServiceSettings { connections: 200, probe_path: Arc::from(PROBE_PATH), cold_rate: None };
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
