//! A deployment on loopback: stand-in platform, stand-in targets and real entries.

use crate::{
    core::{
        LoadError,
        deployment::{Deployment, EntryAddresses, Network},
    },
    util::{process::Process, web},
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

/// Longest time in which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two looks.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Time that entries are given to hear of each other after all are ready.
const SETTLE: Duration = Duration::from_millis(700);
/// Length of the key that the entries share, in bytes.
const KEY_BYTES: usize = 32;

/// One running entry.
#[derive(Debug)]
pub struct Entry {
    /// Its addresses.
    pub addresses: EntryAddresses,
    /// Its process.
    pub process: Process,
}

/// The running targets of one service.
#[derive(Debug)]
pub struct Group {
    /// Addresses of the targets.
    pub addresses: Vec<SocketAddr>,
    /// Control port.
    pub control: SocketAddr,
    /// Their process.
    pub process: Process,
}

/// A running deployment. Every process ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Targets, in the order of the deployment.
    pub groups: Vec<Group>,
    /// Address of the platform.
    pub platform: SocketAddr,
    _platform: Process,
    folder: TempDir,
}

impl Drop for Fleet {
    /// Tells every process to end before any of them is waited for.
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
    ///
    /// # Errors
    ///
    /// [`LoadError`] when a process cannot be started or does not become ready.
    pub async fn start(deployment: &Deployment, number: u8) -> Result<Self, Report<LoadError>> {
        let network = Network::new(std::process::id(), number);
        let folder = tempfile::tempdir().change_context(LoadError::Start("a folder"))?;
        let path = folder.path();
        let platform_process = start_platform(deployment, network, path)?;
        let mut groups = Vec::new();
        for g in 0..deployment.groups.len() {
            groups.push(start_group(deployment, network, g, path)?);
        }
        connect(network.platform()).await?;
        for group in &groups {
            connect(group.control).await?;
        }
        let entries = start_entries(deployment, network, path)?;
        let fleet = Self {
            entries,
            groups,
            platform: network.platform(),
            _platform: platform_process,
            folder,
        };
        if let Err(report) = fleet.wait(deployment).await {
            return Err(report.attach(logs(fleet.folder.path())));
        }
        time::sleep(SETTLE).await;
        Ok(fleet)
    }

    /// Where callers ask which entry to use.
    pub fn directions(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.addresses.directions).collect()
    }

    /// What every entry says of itself; none where it does not answer.
    pub async fn statuses(&self) -> Vec<(String, Option<EntryStatus>)> {
        let mut statuses = Vec::new();
        for entry in &self.entries {
            let status = web::get(entry.addresses.admin, "/status").await.ok();
            statuses.push((entry.addresses.host.clone(), status));
        }
        statuses
    }

    /// What the targets of group `group` counted, with runs by key if asked for.
    ///
    /// # Errors
    ///
    /// [`LoadError::Answer`] when the control port does not answer.
    pub async fn ledger(&self, group: usize, runs: bool) -> Result<GroupReport, Report<LoadError>> {
        let path = if runs { "/runs" } else { "/stats" };
        web::get(self.groups[group].control, path).await
    }

    /// Sets faults, as JSON, of the named target or of all targets of group `group`.
    ///
    /// # Errors
    ///
    /// [`LoadError::Answer`] when the control port refuses them.
    pub async fn set_faults(
        &self,
        group: usize,
        target: Option<&str>,
        faults: String,
    ) -> Result<(), Report<LoadError>> {
        let path = target.map_or("/faults".to_owned(), |t| format!("/faults?target={t}"));
        web::send(Method::POST, self.groups[group].control, &path, faults).await.map(|_| ())
    }

    /// Publishes `document` as an operator would; gives its revision.
    ///
    /// # Errors
    ///
    /// [`LoadError::Answer`] when the platform refuses it.
    pub async fn publish(&self, document: String) -> Result<u64, Report<LoadError>> {
        let path = platform::SETTINGS_PATH;
        let answer = web::send(Method::PUT, self.platform, path, document).await?;
        let revision = answer.headers().get(platform::REVISION).and_then(|v| v.to_str().ok());
        revision
            .and_then(|r| r.parse().ok())
            .ok_or_else(|| Report::new(LoadError::Answer(self.platform)))
    }

    /// Host name of the entry that callers of `service` are sent to first.
    pub async fn first_of(&self, service: &str) -> Option<String> {
        let address = self.entries.first()?.addresses.directions;
        let path = format!("/directions?service={service}");
        let found = web::get::<Directions>(address, &path).await.ok()?;
        found.entries.into_iter().next().map(|d| d.host)
    }

    /// Processor time of all entries so far, in s.
    pub fn cpu_s(&self) -> f64 {
        self.entries.iter().map(|e| e.process.cpu_s()).sum()
    }

    async fn wait(&self, deployment: &Deployment) -> Result<(), Report<LoadError>> {
        for entry in &self.entries {
            for (service, settings) in &deployment.published.services {
                let least = settings.entry_set.min(deployment.entries.into()) as usize;
                wait_for(entry.addresses.directions, service, least).await?;
            }
        }
        Ok(())
    }
}

fn start_platform(
    deployment: &Deployment,
    network: Network,
    folder: &Path,
) -> Result<Process, Report<LoadError>> {
    let settings = write(folder, "settings.toml", &deployment.document)?;
    let hosts = serde_json::to_string(&deployment.hosts(network))
        .change_context(LoadError::Start("the platform"))?;
    let hosts = write(folder, "hosts.json", &hosts)?;
    let listen = network.platform().to_string();
    let arguments = ["--listen", &listen, "--settings", &settings, "--hosts", &hosts];
    Process::start("azuretally-standin-platform", arguments, &folder.join("platform.log"))
}

fn start_group(
    deployment: &Deployment,
    network: Network,
    g: usize,
    folder: &Path,
) -> Result<Group, Report<LoadError>> {
    let group = &deployment.groups[g];
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
    let log = folder.join(format!("targets-{g}.log"));
    let process = Process::start("azuretally-standin-target", arguments, &log)?;
    Ok(Group { addresses, control, process })
}

fn start_entries(
    deployment: &Deployment,
    network: Network,
    folder: &Path,
) -> Result<Vec<Entry>, Report<LoadError>> {
    let key: String = hex::encode(rand::random::<[u8; KEY_BYTES]>());
    let key = write(folder, "peer.key", &key)?;
    let mut entries = Vec::new();
    for i in 0..deployment.entries {
        let local = deployment.local(network, i, &key);
        let local = write(folder, &format!("entry-{i}.toml"), &local)?;
        let log = folder.join(format!("entry-{i}.log"));
        let process = Process::start("azuretally-entry", ["--settings", &local], &log)?;
        entries.push(Entry { addresses: network.entry(i, deployment.domains), process });
    }
    Ok(entries)
}

fn write(folder: &Path, name: &str, text: &str) -> Result<String, Report<LoadError>> {
    let path = folder.join(name);
    fs::write(&path, text).change_context_lazy(|| LoadError::Write(path.clone()))?;
    Ok(path.display().to_string())
}

/// The first lines of every log, for the report of a failed start.
fn logs(folder: &Path) -> String {
    let mut text = String::new();
    let Ok(files) = fs::read_dir(folder) else { return text };
    for file in files.flatten().filter(|f| f.path().extension().is_some_and(|e| e == "log")) {
        let log = fs::read_to_string(file.path()).unwrap_or_default();
        for line in log.lines().take(5) {
            text.push_str(&format!("{}: {line}\n", file.file_name().display()));
        }
    }
    text
}

async fn connect(address: SocketAddr) -> Result<(), Report<LoadError>> {
    let end = Instant::now() + READY_TIMEOUT;
    while Instant::now() < end {
        if TcpStream::connect(address).await.is_ok() {
            return Ok(());
        }
        time::sleep(READY_PAUSE).await;
    }
    Err(Report::new(LoadError::NotReady(address)))
}

async fn wait_for(
    address: SocketAddr,
    service: &str,
    least: usize,
) -> Result<(), Report<LoadError>> {
    let path = format!("/directions?service={service}");
    let end = Instant::now() + READY_TIMEOUT;
    while Instant::now() < end {
        let found = web::get::<Directions>(address, &path).await;
        if found.is_ok_and(|d| d.entries.len() >= least.max(1)) {
            return Ok(());
        }
        time::sleep(READY_PAUSE).await;
    }
    Err(Report::new(LoadError::NotReady(address)))
}
