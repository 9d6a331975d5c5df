//! Immutable snapshots of the settings and of the cluster, under which calls are handled.
//!
//! The control thread publishes a new [`ClusterView`] whenever settings, hosts, membership or free
//! slots change. A call keeps the service configuration under which it was accepted, so that its
//! record can name one revision.

pub use azuretally_policy::fleet::Lifecycle;

use azuretally_api::admin::RefusedRevision;
use azuretally_policy::{
    Timestamp,
    dispatch::{PeerSlots, ServiceConfig, TargetInfo},
    fleet::PublishedRevision,
};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc};

/// A target and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Properties of the target that the dispatcher uses.
    pub info: TargetInfo,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
}

/// An entry of the deployment, possibly this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryView {
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address at which the entry accepts calls.
    pub call_address: SocketAddr,
    /// Last token received from the entry, or empty if there is none.
    pub token: String,
    /// Whether callers may be directed to the entry.
    pub usable: bool,
}

/// A service with its configuration, targets and entry set.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Configuration under the active preset.
    pub config: Arc<ServiceConfig>,
    /// Targets, by name.
    pub targets: IndexMap<Arc<str>, TargetView>,
    /// Members of the entry set, with the free slots that they reported.
    pub entry_set: Vec<PeerSlots>,
    /// Host names of the entries that callers are directed to, in order of preference.
    pub directions: Vec<Arc<str>>,
}

/// Settings and cluster state under which calls are handled.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Lifecycle state of this entry.
    pub state: Lifecycle,
    /// Revision of the active settings, with the number 0 before the first.
    pub revision: PublishedRevision,
    /// Time at which the revision took effect at this entry.
    pub settings_since: Timestamp,
    /// Active settings, or `None` before the first.
    pub settings: Option<Arc<PublishedSettings>>,
    /// Last revision of the settings that was refused.
    pub refused_revision: Option<RefusedRevision>,
    /// Services, by name.
    pub services: IndexMap<Arc<str>, Arc<ServiceView>>,
    /// Entries, by host name.
    pub entries: IndexMap<Arc<str>, EntryView>,
}
