//! One entry under test.

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
};

const CALLS_PORT: u16 = 8_080;
const DIRECTIONS_PORT: u16 = 8_081;
const ADMIN_PORT: u16 = 8_082;
const PEERS_PORT: u16 = 8_083;

/// Number of the first entry's host in the network.
const FIRST_HOST: u8 = 10;

/// An entry with its process, while there is one.
#[derive(Debug)]
pub struct Entry {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Where it takes calls.
    pub calls: SocketAddr,
    /// Where callers and peers are told to reach it.
    pub advertised_calls: SocketAddr,
    /// Where it gives directions.
    pub directions: SocketAddr,
    /// Administration API.
    pub admin: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where peers are told to reach it.
    pub advertised_peers: SocketAddr,
    /// Where it is told to reach the platform.
    pub platform: SocketAddr,
    folder: PathBuf,
    process: Option<Child>,
}

impl Entry {
    pub(crate) fn new(network: &Network, folder: &Path, number: u8, platform: SocketAddr) -> Self {
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
            folder: folder.to_owned(),
            process: None,
        }
    }

    /// The entry in the platform's list.
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

    /// Starts a new incarnation. `seeds` are peer addresses to ask at start.
    pub fn start(&mut self, seeds: &[SocketAddr]) {
        let settings = self.folder.join(format!("{}.toml", self.host));
        fs::write(&settings, self.local_text(seeds)).expect("settings file");
        let args = ["--settings".to_owned(), settings.display().to_string()];
        self.process = Some(Child::start(&self.folder, &self.host, "azuretally-entry", &args));
    }

    /// The process.
    ///
    /// # Panics
    ///
    /// When it was not started.
    pub fn process(&mut self) -> &mut Child {
        self.process.as_mut().expect("the entry was started")
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.process().kill();
    }

    /// State as the administration API tells it.
    ///
    /// # Errors
    ///
    /// When there is no sound answer.
    pub async fn status(&self) -> Result<EntryStatus, CallError> {
        let (code, body) = web::exchange(self.admin, Method::GET, "/status", "").await?;
        if code != StatusCode::OK {
            return Err(CallError::Broken);
        }
        serde_json::from_slice(&body).map_err(|_| CallError::Broken)
    }

    fn local_text(&self, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            "host = \"{}\"\nfailure_domain = \"{}\"\nplatform = [\"{}\"]\nseeds = [{}]\n\
             peer_key_file = \"{}\"\nlog_level = \"info\"\ncall_threads = 2\n\n\
             [listen]\ncalls = \"{}\"\ndirections = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\n",
            self.host,
            self.failure_domain,
            self.platform,
            seeds.join(", "),
            self.folder.join("peer.key").display(),
            self.calls,
            self.directions,
            self.admin,
            self.peers,
        )
    }
}
