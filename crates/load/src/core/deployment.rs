//! What a deployment on loopback consists of.
//!
//! Every deployment of one run of the tool gets loopback addresses of its own, so that neither an
//! earlier one nor another run on the same machine is in its way.

use super::LoadError;
use azuretally_api::platform::{HostList, HostRecord, HostState, Role};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
};

/// Port on which an entry takes calls.
const CALLS_PORT: u16 = 7000;
/// Port on which an entry answers callers that ask which entry to use.
const DIRECTIONS_PORT: u16 = 7001;
/// Port of an entry's administration API.
const ADMIN_PORT: u16 = 7002;
/// Port on which an entry takes messages from peers.
const PEERS_PORT: u16 = 7003;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7100;
/// Control port of a group of targets.
const CONTROL_PORT: u16 = 7200;
/// Port of the first target of a group.
const TARGETS_PORT: u16 = 7300;
/// Last byte of the platform's address.
const PLATFORM_HOST: u8 = 200;
/// Last byte of the address of the first group of targets.
const TARGETS_HOST: u8 = 201;
/// Loopback networks between which runs of the tool choose by their process id.
const NETWORKS: u32 = 200;
/// First of these networks.
const FIRST_NETWORK: u32 = 20;

/// Targets of one service.
#[derive(Clone, Debug)]
pub struct TargetGroup {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of targets.
    pub count: u16,
    /// Slots of each.
    pub slots: u32,
    /// Further options of the stand-in.
    pub options: Vec<String>,
}

/// A deployment to be started.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings document.
    pub document: String,
    /// The same, parsed.
    pub published: PublishedSettings,
    /// Number of entries.
    pub entries: u16,
    /// Number of failure domains.
    pub domains: u16,
    /// Worker threads of the request path of each entry.
    pub threads: u16,
    /// Targets by service.
    pub groups: Vec<TargetGroup>,
}

/// Loopback addresses of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    second: u8,
    third: u8,
}

/// Addresses of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Calls.
    pub calls: SocketAddr,
    /// Directions.
    pub directions: SocketAddr,
    /// Administration API.
    pub admin: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

impl Network {
    /// Addresses of deployment number `deployment` of the process `id`.
    pub fn new(id: u32, deployment: u8) -> Self {
        Self { second: (FIRST_NETWORK + id % NETWORKS) as u8, third: deployment }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host)), port)
    }

    /// Address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(PLATFORM_HOST, PLATFORM_PORT)
    }

    /// Control port of group `group`.
    pub fn control(self, group: usize) -> SocketAddr {
        self.address(TARGETS_HOST + group as u8, CONTROL_PORT)
    }

    /// Address of target `target` of group `group`.
    pub fn target(self, group: usize, target: u16) -> SocketAddr {
        self.address(TARGETS_HOST + group as u8, TARGETS_PORT + target)
    }

    /// Addresses of entry `entry` in a deployment with `domains` failure domains.
    pub fn entry(self, entry: u16, domains: u16) -> EntryAddresses {
        let host = entry as u8 + 1;
        EntryAddresses {
            host: format!("entry-{entry}"),
            domain: domain(entry, domains),
            calls: self.address(host, CALLS_PORT),
            directions: self.address(host, DIRECTIONS_PORT),
            admin: self.address(host, ADMIN_PORT),
            peers: self.address(host, PEERS_PORT),
        }
    }
}

fn domain(i: u16, domains: u16) -> String {
    format!("domain-{}", i % domains.max(1))
}

impl TargetGroup {
    /// Name of target `i`.
    pub fn name(&self, i: u16) -> String {
        if self.count == 1 { self.service.to_string() } else { format!("{}-{i}", self.service) }
    }
}

impl Deployment {
    /// A deployment with the settings `document`, which came from `source`.
    ///
    /// # Errors
    ///
    /// [`LoadError::Settings`] when the document is refused.
    pub fn new(source: &str, document: String) -> Result<Self, Report<LoadError>> {
        let published = PublishedSettings::parse(source, &document)
            .change_context_lazy(|| LoadError::Settings(PathBuf::from(source)))?;
        Ok(Self { document, published, entries: 16, domains: 3, threads: 1, groups: Vec::new() })
    }

    /// The platform's list of hosts.
    pub fn hosts(&self, network: Network) -> HostList {
        let mut hosts = Vec::new();
        for i in 0..self.entries {
            let a = network.entry(i, self.domains);
            let role = Role::Entry {
                calls: a.calls,
                directions: a.directions,
                peers: a.peers,
                admin: a.admin,
            };
            hosts.push(record(a.host, a.domain, role));
        }
        for (g, group) in self.groups.iter().enumerate() {
            for i in 0..group.count {
                let service = group.service.to_string();
                let role = Role::Target { service, address: network.target(g, i) };
                hosts.push(record(group.name(i), domain(i, self.domains), role));
            }
        }
        HostList { revision: 1, hosts }
    }

    /// The local settings of entry `entry`. The key is in the file `key`.
    pub fn local(&self, network: Network, entry: u16, key: &str) -> String {
        let a = network.entry(entry, self.domains);
        let threads = self.threads;
        let platform = network.platform();
        format!(
            "host = \"{}\"\nfailure_domain = \"{}\"\nplatform = [\"{platform}\"]\n\
             peer_key_file = \"{key}\"\ncall_threads = {threads}\nlog_level = \"warn\"\n\n\
             [listen]\ncalls = \"{}\"\ndirections = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\n",
            a.host, a.domain, a.calls, a.directions, a.admin, a.peers
        )
    }
}

fn record(host: String, failure_domain: String, role: Role) -> HostRecord {
    HostRecord { host, failure_domain, incarnation: None, state: HostState::Live, role }
}
