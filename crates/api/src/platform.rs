//! Values that the platform publishes over HTTP.
//!
//! `GET /v1/settings` returns the settings document, as TOML, with its revision in [`REVISION`].
//! `?after=REV&wait_ms=N` makes it a long poll: the response waits until the revision exceeds
//! `REV`, and is 304 if that takes longer than `N` ms. `GET /v1/hosts` works the same way and
//! returns a [`HostList`], as JSON.
//!
//! A platform that may be restored from a copy names its era in all answers
//! ([`PLATFORM_ERA`](crate::headers::PLATFORM_ERA)), and with each value the era in which the value
//! was written ([`REVISION_ERA`]). Only that tells a value of the copy from one that was written
//! since: both may have the same revision and content. Values are ordered by era, then by revision.
//! `&era=ERA` in a long poll is the era that `REV` belongs to.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Header field with the revision of the returned value.
pub const REVISION: &str = "x-revision";
/// Header field with the era in which the returned value was written, a whole number above 0. Missing
/// if the platform knows no eras, which counts as 1.
pub const REVISION_ERA: &str = "x-revision-era";
/// Path of the settings document.
pub const SETTINGS_PATH: &str = "/v1/settings";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use and accepting work.
    Live,
    /// Being removed: accepts no new work.
    Leaving,
}

/// Role of a host in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// Runs a target of a service.
    Target {
        /// Name of the service.
        service: String,
        /// Address on which the target accepts calls.
        address: SocketAddr,
    },
    /// Runs an entry of azuretally.
    Entry {
        /// Address for calls.
        calls: SocketAddr,
        /// Address for callers that ask which entries to use.
        directions: SocketAddr,
        /// Address for messages from peers.
        peers: SocketAddr,
        /// Address of the administration API.
        admin: SocketAddr,
    },
}

/// One host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Incarnation of the process on the host, if the platform knows it.
    #[serde(default)]
    pub incarnation: Option<String>,
    /// Lifecycle state of the host.
    pub state: HostState,
    /// Role of the host.
    #[serde(flatten)]
    pub role: Role,
}

/// The platform's list of live and leaving hosts. It lags behind the actual state of the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Revision of the list; increases with every change.
    pub revision: u64,
    /// All live and leaving hosts.
    pub hosts: Vec<HostRecord>,
    /// Number of hosts that could not be read.
    #[serde(skip)]
    pub unreadable: usize,
}

impl HostList {
    /// Parses a list, each host by itself: one of an unknown form, which another program may have written, is
    /// counted and costs no other.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is no list of hosts at all.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        let raw: RawHostList<'_> = serde_json::from_str(text)?;
        let read = raw.hosts.iter().filter_map(|host| serde_json::from_str(host.get()).ok());
        let hosts: Vec<HostRecord> = read.collect();
        let unreadable = raw.hosts.len() - hosts.len();
        Ok(Self { revision: raw.revision, hosts, unreadable })
    }
}

#[derive(Deserialize)]
struct RawHostList<'a> {
    revision: u64,
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}
