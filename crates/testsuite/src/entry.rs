//! An entry under test.

use crate::{addresses::Network, caller::CallError, child::Child, web};
use azuretally_api::{
    admin::EntryStatus,
    platform::{HostRecord, HostState, Role},
};
use http::{Method, StatusCode};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

const CALLS_PORT: u16 = 8_080;
const DIRECTIONS_PORT: u16 = 8_081;
const ADMIN_PORT: u16 = 8_082;
const PEERS_PORT: u16 = 8_083;

/// Host number of the first entry in the network.
const FIRST_HOST: u8 = 10;

/// An entry with its addresses and its process, if it was started.
#[derive(Debug)]
pub struct Entry {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address on which it listens for calls.
    pub calls: SocketAddr,
    /// Address for calls that it has in the host list.
    pub advertised_calls: SocketAddr,
    /// Address on which it serves directions.
    pub directions: SocketAddr,
    /// Address of its administration API.
    pub admin: SocketAddr,
    /// Address on which it listens for peers.
    pub peers: SocketAddr,
    /// Address for peers that it has in the host list.
    pub advertised_peers: SocketAddr,
    /// Address at which it reaches the platform.
    pub platform: SocketAddr,
    /// Time that the planned stop allows calls in progress to finish, if not the default.
    pub stop_timeout: Option<Duration>,
    directory: PathBuf,
    process: Option<Child>,
}

impl Entry {
    pub(crate) fn new(
        network: &Network,
        directory: &Path,
        number: u8,
        platform: SocketAddr,
    ) -> Self {
        let address = |port| network.address(FIRST_HOST + number, port);
        Self {
            host: format!("entry-{number}"),
            failure_domain: format!("domain-{}", number % 3),
            calls: address(CALLS_PORT),
            advertised_calls: address(CALLS_PORT),
            directions: address(DIRECTIONS_PORT),
            admin: address(ADMIN_PORT),
            peers: address(PEERS_PORT),
            advertised_peers: address(PEERS_PORT),
            platform,
            stop_timeout: None,
            directory: directory.to_owned(),
            process: None,
        }
    }

    /// Returns the record of the entry in the host list of the platform.
    pub fn host_record(&self, state: HostState) -> HostRecord {
        HostRecord {
            host: self.host.clone(),
            failure_domain: self.failure_domain.clone(),
            incarnation: None,
            state,
            role: Role::Entry {
                calls: self.advertised_calls,
                directions: self.directions,
                peers: self.advertised_peers,
                admin: self.admin,
            },
        }
    }

    /// Starts a new incarnation. `seeds` are the peer addresses that it contacts first.
    pub fn start(&mut self, seeds: &[SocketAddr]) {
        let settings = self.directory.join(format!("{}.toml", self.host));
        fs::write(&settings, self.settings_toml(seeds)).expect("settings file");
        let args = ["--settings".to_owned(), settings.display().to_string()];
        self.process = Some(Child::start(&self.directory, &self.host, "azuretally-entry", &args));
    }

    /// Returns the process.
    ///
    /// # Panics
    ///
    /// Panics if the entry was not started.
    pub fn process(&mut self) -> &mut Child {
        self.process.as_mut().expect("entry was not started")
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.process().kill();
    }

    /// Returns the status from the administration API.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
    pub async fn status(&self) -> Result<EntryStatus, CallError> {
        let (code, body) = web::exchange(self.admin, Method::GET, "/status", "").await?;
        if code != StatusCode::OK {
            return Err(CallError::Broken);
        }
        serde_json::from_slice(&body).map_err(|_| CallError::Broken)
    }

    /// Returns the metrics from the administration API.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
    pub async fn metrics(&self) -> Result<String, CallError> {
        let (code, body) = web::exchange(self.admin, Method::GET, "/metrics", "").await?;
        if code != StatusCode::OK {
            return Err(CallError::Broken);
        }
        String::from_utf8(body.to_vec()).map_err(|_| CallError::Broken)
    }

    fn settings_toml(&self, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let stop_timeout =
            self.stop_timeout.map(|t| format!("stop_timeout_ms = {}\n", t.as_millis()));
        format!(
            "host = \"{}\"\nfailure_domain = \"{}\"\nplatform = [\"{}\"]\nseeds = [{}]\n\
             peer_key_file = \"{}\"\nlog_level = \"info\"\ncall_threads = 2\n{}\n\
             [listen]\ncalls = \"{}\"\ndirections = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\n",
            self.host,
            self.failure_domain,
            self.platform,
            seeds.join(", "),
            self.directory.join("peer.key").display(),
            stop_timeout.unwrap_or_default(),
            self.calls,
            self.directions,
            self.admin,
            self.peers,
        )
    }
}
