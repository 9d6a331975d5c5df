//! Running deployment on loopback: stand-in platform, stand-in targets and real entries.

use crate::{
    core::{
        LoadError,
        deployment::{Deployment, EntryAddresses, LoopbackNetwork},
    },
    util::{process::Process, rest},
};
use azuretally_api::{admin::EntryStatus, directions::Directions, platform};
use azuretally_standin::target::GroupReport;
use error_stack::{Report, ResultExt};
use http::Method;
use rustix::process::Signal;
use std::{
    fs,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use tokio::{net::TcpStream, time};

/// Time within which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for entries to discover each other after all are ready.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Length of the key shared by the entries, in bytes.
const PEER_KEY_BYTES: usize = 32;

/// Running entry.
#[derive(Debug)]
pub struct Entry {
    /// Addresses of the entry.
    pub addresses: EntryAddresses,
    /// Process of the entry.
    pub process: Process,
}

/// Running targets of one service.
#[derive(Debug)]
pub struct RunningGroup {
    /// Addresses of the targets.
    pub addresses: Vec<SocketAddr>,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Process that runs all targets of the group.
    pub process: Process,
}

/// Running deployment. All processes are terminated on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Running entries.
    pub entries: Vec<Entry>,
    /// Running target groups, in the order of the deployment.
    pub groups: Vec<RunningGroup>,
    /// Address of the platform.
    pub platform: SocketAddr,
    _platform: Process,
    dir: TempDir,
}

impl Drop for Fleet {
    /// Sends SIGTERM to all entries and targets before their fields are dropped, so that they exit
    /// in parallel.
    fn drop(&mut self) {
        for entry in &self.entries {
            entry.process.signal(Signal::TERM);
        }
        for group in &self.groups {
            group.process.signal(Signal::TERM);
        }
    }
}

impl Fleet {
    /// Starts `deployment` and waits until every entry gives directions for every service.
    /// Deployments that run at the same time need different values of `deployment_number`.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if a process cannot be started or does not become ready in time.
    pub async fn start(
        deployment: &Deployment,
        deployment_number: u8,
    ) -> Result<Self, Report<LoadError>> {
        let network = LoopbackNetwork::new(std::process::id(), deployment_number);
        let dir = tempfile::tempdir().change_context(LoadError::StartProcess(
            "a deployment without a temporary directory",
        ))?;
        let path = dir.path();
        let platform_process = start_platform(deployment, network, path)?;
        let mut groups = Vec::new();
        for g in 0..deployment.target_groups.len() {
            groups.push(start_group(deployment, network, g, path)?);
        }
        wait_for_listener(network.platform()).await?;
        for group in &groups {
            wait_for_listener(group.control).await?;
        }
        let entries = start_entries(deployment, network, path)?;
        let fleet = Self {
            entries,
            groups,
            platform: network.platform(),
            _platform: platform_process,
            dir,
        };
        if let Err(report) = fleet.wait_until_ready(deployment).await {
            return Err(report.attach(log_excerpts(fleet.dir.path())));
        }
        time::sleep(PEER_DISCOVERY_TIME).await;
        Ok(fleet)
    }

    /// Returns the addresses at which callers look up directions.
    pub fn directions(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.addresses.directions).collect()
    }

    /// Returns the host name and the status of every entry, or `None` for entries that do not
    /// answer.
    pub async fn statuses(&self) -> Vec<(String, Option<EntryStatus>)> {
        let mut statuses = Vec::new();
        for entry in &self.entries {
            let status = rest::get(entry.addresses.admin, "/status").await.ok();
            statuses.push((entry.addresses.host.clone(), status));
        }
        statuses
    }

    /// Returns the counts of the targets of group `group`, with the executions by key if
    /// `with_runs`.
    ///
    /// # Errors
    ///
    /// [`LoadError::UnexpectedAnswer`] if the control port gives no valid answer.
    pub async fn group_report(
        &self,
        group: usize,
        with_runs: bool,
    ) -> Result<GroupReport, Report<LoadError>> {
        let path = if with_runs { "/runs" } else { "/stats" };
        rest::get(self.groups[group].control, path).await
    }

    /// Sets `faults`, as JSON, on the named target or on all targets of group `group`.
    ///
    /// # Errors
    ///
    /// [`LoadError::UnexpectedAnswer`] if the control port refuses them.
    pub async fn set_faults(
        &self,
        group: usize,
        target: Option<&str>,
        faults: String,
    ) -> Result<(), Report<LoadError>> {
        let path = target.map_or("/faults".to_owned(), |t| format!("/faults?target={t}"));
        rest::send(Method::POST, self.groups[group].control, &path, faults).await.map(|_| ())
    }

    /// Publishes the settings `document` through the platform and returns its revision.
    ///
    /// # Errors
    ///
    /// [`LoadError::UnexpectedAnswer`] if the platform refuses it or reports no revision.
    pub async fn publish(&self, document: String) -> Result<u64, Report<LoadError>> {
        let path = platform::SETTINGS_PATH;
        let answer = rest::send(Method::PUT, self.platform, path, document).await?;
        let revision = answer.headers().get(platform::REVISION).and_then(|v| v.to_str().ok());
        revision
            .and_then(|r| r.parse().ok())
            .ok_or_else(|| Report::new(LoadError::UnexpectedAnswer(self.platform)))
    }

    /// Returns the host name of the first entry in the directions of `service`.
    pub async fn preferred_entry(&self, service: &str) -> Option<String> {
        let address = self.entries.first()?.addresses.directions;
        let path = format!("/directions?service={service}");
        let found = rest::get::<Directions>(address, &path).await.ok()?;
        found.entries.into_iter().next().map(|d| d.host)
    }

    /// Returns the total CPU time of all entries, in s.
    pub fn cpu_s(&self) -> f64 {
        self.entries.iter().map(|e| e.process.cpu_s()).sum()
    }

    /// Waits until every entry gives directions with a full entry set for every service.
    async fn wait_until_ready(&self, deployment: &Deployment) -> Result<(), Report<LoadError>> {
        for entry in &self.entries {
            for (service, settings) in &deployment.published.services {
                let min_entries = settings.entry_set.min(deployment.entry_count.into()) as usize;
                wait_for_directions(entry.addresses.directions, service, min_entries).await?;
            }
        }
        Ok(())
    }
}

fn start_platform(
    deployment: &Deployment,
    network: LoopbackNetwork,
    dir: &Path,
) -> Result<Process, Report<LoadError>> {
    let settings = write_file(dir, "settings.toml", &deployment.document)?;
    let hosts = serde_json::to_string(&deployment.host_list(network))
        .change_context(LoadError::StartProcess("the platform"))?;
    let hosts = write_file(dir, "hosts.json", &hosts)?;
    let listen = network.platform().to_string();
    let arguments = ["--listen", &listen, "--settings", &settings, "--hosts", &hosts];
    Process::start("azuretally-standin-platform", arguments, &dir.join("platform.log"))
}

fn start_group(
    deployment: &Deployment,
    network: LoopbackNetwork,
    g: usize,
    dir: &Path,
) -> Result<RunningGroup, Report<LoadError>> {
    let group = &deployment.target_groups[g];
    let control = network.control(g);
    let addresses: Vec<SocketAddr> = (0..group.count).map(|i| network.target(g, i)).collect();
    let pairs = [
        ("--name", group.service.to_string()),
        ("--listen", network.target(g, 0).to_string()),
        ("--control", control.to_string()),
        ("--count", group.count.to_string()),
        ("--slots", group.slots.to_string()),
    ];
    let mut arguments: Vec<String> = Vec::new();
    for (option, value) in pairs {
        arguments.extend([option.to_owned(), value]);
    }
    arguments.extend(group.options.iter().cloned());
    let log = dir.join(format!("targets-{g}.log"));
    let process = Process::start("azuretally-standin-target", arguments, &log)?;
    Ok(RunningGroup { addresses, control, process })
}

fn start_entries(
    deployment: &Deployment,
    network: LoopbackNetwork,
    dir: &Path,
) -> Result<Vec<Entry>, Report<LoadError>> {
    let key: String = hex::encode(rand::random::<[u8; PEER_KEY_BYTES]>());
    let key = write_file(dir, "peer.key", &key)?;
    let mut entries = Vec::new();
    for i in 0..deployment.entry_count {
        let local = deployment.local_settings(network, i, &key);
        let local = write_file(dir, &format!("entry-{i}.toml"), &local)?;
        let log = dir.join(format!("entry-{i}.log"));
        let process = Process::start("azuretally-entry", ["--settings", &local], &log)?;
        entries.push(Entry { addresses: network.entry(i, deployment.domain_count), process });
    }
    Ok(entries)
}

/// Writes a file to `dir` and returns its path.
fn write_file(dir: &Path, name: &str, text: &str) -> Result<String, Report<LoadError>> {
    let path = dir.join(name);
    fs::write(&path, text).change_context_lazy(|| LoadError::WriteFile(path.clone()))?;
    Ok(path.display().to_string())
}

/// Returns the first lines of every log file, for the error report of a failed start.
fn log_excerpts(dir: &Path) -> String {
    let mut text = String::new();
    let Ok(files) = fs::read_dir(dir) else { return text };
    for file in files.flatten().filter(|f| f.path().extension().is_some_and(|e| e == "log")) {
        let log = fs::read_to_string(file.path()).unwrap_or_default();
        for line in log.lines().take(5) {
            text.push_str(&format!("{}: {line}\n", file.file_name().display()));
        }
    }
    text
}

/// Waits until `address` accepts connections.
async fn wait_for_listener(address: SocketAddr) -> Result<(), Report<LoadError>> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if TcpStream::connect(address).await.is_ok() {
            return Ok(());
        }
        time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(Report::new(LoadError::NotReady(address)))
}

/// Waits until the entry at `address` gives directions with at least `min_entries` entries.
async fn wait_for_directions(
    address: SocketAddr,
    service: &str,
    min_entries: usize,
) -> Result<(), Report<LoadError>> {
    let path = format!("/directions?service={service}");
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let found = rest::get::<Directions>(address, &path).await;
        if found.is_ok_and(|d| d.entries.len() >= min_entries.max(1)) {
            return Ok(());
        }
        time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(Report::new(LoadError::NotReady(address)))
}
