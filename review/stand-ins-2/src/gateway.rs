//! Processes of the gateway, started with the command of the deploy file.

use crate::http::{call, free_port};
use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Command of the role in `deploy/system.toml`.
const COMMAND: &str = "target/release/azuretally-platform";

pub struct Settings {
    pub host: String,
    pub zone: String,
    pub ip: IpAddr,
    pub ports: Ports,
    pub platform: SocketAddr,
    pub seeds: Vec<IpAddr>,
    /// The bounds of the settings file, such as `grace=6s`.
    pub bounds: &'static [&'static str],
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub calls: u16,
    pub readiness: u16,
    pub directions: u16,
    pub news: u16,
    pub heartbeats: u16,
}

impl Ports {
    pub fn choose(hosts: &[IpAddr]) -> Self {
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_port(hosts);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        Self {
            calls: ports[0],
            readiness: ports[1],
            directions: ports[2],
            news: ports[3],
            heartbeats: ports[4],
        }
    }
}

pub struct Gateway {
    child: Child,
    pub host: String,
    pub calls: SocketAddr,
    pub directions: SocketAddr,
    readiness: SocketAddr,
}

impl Gateway {
    /// Starts a process in the root of the repository; its files go to `folder`.
    pub fn start(root: &Path, folder: &Path, settings: &Settings) -> Self {
        let path = folder.join(format!("{}.toml", settings.host));
        fs::write(&path, render(settings)).expect("a settings file");
        let log = File::create(folder.join(format!("{}.log", settings.host))).expect("a log file");
        let program: PathBuf = root.join(COMMAND);
        let child = Command::new(program)
            .current_dir(root)
            .env_clear()
            .env("AZURETALLY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway");
        let address = |port| SocketAddr::new(settings.ip, port);
        Self {
            child,
            host: settings.host.clone(),
            calls: address(settings.ports.calls),
            directions: address(settings.ports.directions),
            readiness: address(settings.ports.readiness),
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        call(self.readiness, head, b"", Duration::from_millis(500)).is_some_and(|r| r.status == 200)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all gateways are ready. Returns false if they are not within `limit`.
pub fn all_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Renders the settings as `deploy/gateway.toml.template` does, with the size of a small deployment.
fn render(settings: &Settings) -> String {
    let Settings { host, zone, ip, ports, platform, seeds, bounds } = settings;
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{}\"", ports.news)).collect();
    let bounds: Vec<String> = bounds.iter().map(|bound| format!("\"{bound}\"")).collect();
    format!(
        "host = \"{host}\"\nfailure_domain = \"{zone}\"\nplatform = \"{platform}\"\ntarget_source = \"{ip}\"\nseeds = [{}]\nadapter = [{}]\n\n\
         [listen]\ncalls = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\ndirections = \"{ip}:{}\"\nnews = \"{ip}:{}\"\nheartbeats = \"{ip}:{}\"\n\n\
         [size]\ncores = 0.2\nmemory_mb = 260\ndescriptors = 4100\nlink_mbps = 1000.0\n",
        seeds.join(", "),
        bounds.join(", "),
        ports.calls,
        ports.readiness,
        ports.directions,
        ports.news,
        ports.heartbeats,
    )
}
