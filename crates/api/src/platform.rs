//! What the platform publishes, as JSON.
//!
//! `GET /v1/settings` answers the settings text with its revision in [`REVISION`].
//! With `?after=REV&wait_ms=N` the answer waits until the revision exceeds `REV`, at most `N` ms,
//! then 304. `GET /v1/hosts` works alike and answers [`HostList`].

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header field that carries the revision of a value.
pub const REVISION: &str = "x-revision";
/// Path of the settings document.
pub const SETTINGS_PATH: &str = "/v1/settings";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Whether a host is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// Going away: no new work.
    Leaving,
}

/// What a host is there for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// Runs a server of a service.
    Target {
        /// Name of the service.
        service: String,
        /// Where the target takes calls.
        address: SocketAddr,
    },
    /// Runs an entry of azuretally.
    Entry {
        /// Where it takes calls.
        calls: SocketAddr,
        /// Where it answers callers that ask which entry to use.
        directions: SocketAddr,
        /// Where it takes messages from peers.
        peers: SocketAddr,
        /// Where it serves the administration API.
        admin: SocketAddr,
    },
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Incarnation of the process on it, when the platform knows it.
    #[serde(default)]
    pub incarnation: Option<String>,
    /// Whether it is to be used.
    pub state: HostState,
    /// What it is there for.
    #[serde(flatten)]
    pub role: Role,
}

/// The platform's list of live and leaving hosts. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Grows with every change.
    pub revision: u64,
    /// All hosts.
    pub hosts: Vec<HostRecord>,
}
