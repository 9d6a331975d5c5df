//! Description of a deployment on loopback and its addresses.
//!
//! Every deployment has its own loopback addresses, so that it conflicts neither with earlier
//! deployments of the same process nor with another process on the same machine, unless the ids of
//! the two processes differ by a multiple of `NETWORK_COUNT`.

use super::LoadError;
use azuretally_api::platform::{HostList, HostRecord, HostState, Role};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
};

/// Port on which an entry accepts calls.
const CALLS_PORT: u16 = 7000;
/// Port on which an entry tells callers which entries to use.
const DIRECTIONS_PORT: u16 = 7001;
/// Port of an entry's administration API.
const ADMIN_PORT: u16 = 7002;
/// Port on which an entry receives messages from its peers.
const PEERS_PORT: u16 = 7003;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7100;
/// Control port of a target group.
const CONTROL_PORT: u16 = 7200;
/// Port of the first target of a target group.
const FIRST_TARGET_PORT: u16 = 7300;
/// Last octet of the address of the platform.
const PLATFORM_OCTET: u8 = 200;
/// Last octet of the address of the first target group.
const FIRST_TARGETS_OCTET: u8 = 201;
/// Number of loopback networks. The process id selects one of them.
const NETWORK_COUNT: u32 = 200;
/// Second octet of the first of these networks.
const FIRST_NETWORK_OCTET: u32 = 20;

/// Targets of one service.
#[derive(Clone, Debug)]
pub struct TargetGroup {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of targets.
    pub count: u16,
    /// Slots of each target.
    pub slots: u32,
    /// Additional command line options of the stand-in.
    pub options: Vec<String>,
}

/// Deployment to start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Published settings as a TOML document.
    pub document: String,
    /// The parsed `document`.
    pub published: PublishedSettings,
    /// Number of entries.
    pub entry_count: u16,
    /// Number of failure domains.
    pub domain_count: u16,
    /// Worker threads for calls in each entry.
    pub call_threads: u16,
    /// Targets by service.
    pub target_groups: Vec<TargetGroup>,
}

/// Loopback addresses of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackNetwork {
    second_octet: u8,
    third_octet: u8,
}

/// Addresses of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Address for calls.
    pub calls: SocketAddr,
    /// Address for lookups of directions.
    pub directions: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for messages from peers.
    pub peers: SocketAddr,
}

impl LoopbackNetwork {
    /// Returns the addresses of deployment number `deployment` of the process `process_id`.
    pub fn new(process_id: u32, deployment: u8) -> Self {
        Self {
            second_octet: (FIRST_NETWORK_OCTET + process_id % NETWORK_COUNT) as u8,
            third_octet: deployment,
        }
    }

    fn address(self, last_octet: u8, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, last_octet)),
            port,
        )
    }

    /// Returns the address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(PLATFORM_OCTET, PLATFORM_PORT)
    }

    /// Returns the address of the control port of target group `group`.
    pub fn control(self, group: usize) -> SocketAddr {
        self.address(FIRST_TARGETS_OCTET + group as u8, CONTROL_PORT)
    }

    /// Returns the address of target `target` of target group `group`.
    pub fn target(self, group: usize, target: u16) -> SocketAddr {
        self.address(FIRST_TARGETS_OCTET + group as u8, FIRST_TARGET_PORT + target)
    }

    /// Returns the addresses of entry `entry` in a deployment with `domain_count` failure domains.
    pub fn entry(self, entry: u16, domain_count: u16) -> EntryAddresses {
        let last_octet = entry as u8 + 1;
        EntryAddresses {
            host: format!("entry-{entry}"),
            domain: domain_name(entry, domain_count),
            calls: self.address(last_octet, CALLS_PORT),
            directions: self.address(last_octet, DIRECTIONS_PORT),
            admin: self.address(last_octet, ADMIN_PORT),
            peers: self.address(last_octet, PEERS_PORT),
        }
    }
}

fn domain_name(index: u16, domain_count: u16) -> String {
    format!("domain-{}", index % domain_count.max(1))
}

impl TargetGroup {
    /// Returns the name of the target with index `index`.
    pub fn target_name(&self, index: u16) -> String {
        if self.count == 1 { self.service.to_string() } else { format!("{}-{index}", self.service) }
    }
}

impl Deployment {
    /// Creates a deployment without targets from the settings `document`. Errors refer to the
    /// document as `source`.
    ///
    /// # Errors
    ///
    /// [`LoadError::InvalidDocument`] if the document is refused.
    pub fn new(source: &str, document: String) -> Result<Self, Report<LoadError>> {
        let published = PublishedSettings::parse(source, &document)
            .change_context_lazy(|| LoadError::InvalidDocument(PathBuf::from(source)))?;
        Ok(Self {
            document,
            published,
            entry_count: 16,
            domain_count: 3,
            call_threads: 1,
            target_groups: Vec::new(),
        })
    }

    /// Returns the list of hosts for the platform.
    pub fn host_list(&self, network: LoopbackNetwork) -> HostList {
        let mut hosts = Vec::new();
        for i in 0..self.entry_count {
            let addresses = network.entry(i, self.domain_count);
            let role = Role::Entry {
                calls: addresses.calls,
                directions: addresses.directions,
                peers: addresses.peers,
                admin: addresses.admin,
            };
            hosts.push(host_record(addresses.host, addresses.domain, role));
        }
        for (g, group) in self.target_groups.iter().enumerate() {
            for i in 0..group.count {
                let service = group.service.to_string();
                let role = Role::Target { service, address: network.target(g, i) };
                hosts.push(host_record(
                    group.target_name(i),
                    domain_name(i, self.domain_count),
                    role,
                ));
            }
        }
        HostList { revision: 1, hosts, unreadable: 0 }
    }

    /// Returns the local settings of entry `entry`. The peer key is read from `key_path`.
    pub fn local_settings(&self, network: LoopbackNetwork, entry: u16, key_path: &str) -> String {
        let addresses = network.entry(entry, self.domain_count);
        let threads = self.call_threads;
        let platform = network.platform();
        format!(
            "host = \"{}\"\nfailure_domain = \"{}\"\nplatform = [\"{platform}\"]\n\
             peer_key_file = \"{key_path}\"\ncall_threads = {threads}\nlog_level = \"warn\"\n\n\
             [listen]\ncalls = \"{}\"\ndirections = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\n",
            addresses.host,
            addresses.domain,
            addresses.calls,
            addresses.directions,
            addresses.admin,
            addresses.peers
        )
    }
}

fn host_record(host: String, failure_domain: String, role: Role) -> HostRecord {
    HostRecord { host, failure_domain, incarnation: None, state: HostState::Live, role }
}
