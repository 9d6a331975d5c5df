//! The immutable picture under which calls are decided.
//!
//! The control thread publishes a new [`ClusterView`] whenever settings, hosts or membership change. A
//! call takes one view when it arrives and keeps it, so that its record can name one revision.

pub use azuretally_policy::fleet::Lifecycle;

use azuretally_api::admin::RefusedRevision;
use azuretally_policy::{
    Timestamp,
    dispatch::{PeerSlots, ServiceConfig, TargetInfo},
};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc};

/// A target with its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// What the dispatcher knows of the target.
    pub info: TargetInfo,
    /// Where it takes calls.
    pub address: SocketAddr,
}

/// An entry of the deployment, this one included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryView {
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Where it takes calls.
    pub call_address: SocketAddr,
    /// Last token heard from it, empty when none was.
    pub token: String,
    /// Whether callers may be directed to it.
    pub usable: bool,
}

/// One service: its plan, targets and entry set.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Settings under the preset in force.
    pub config: Arc<ServiceConfig>,
    /// Targets by name.
    pub targets: IndexMap<Arc<str>, TargetView>,
    /// Members of the entry set, with the slots that they told to be free.
    pub entry_set: Vec<PeerSlots>,
    /// Host names of entries in the order in which callers should use them.
    pub directions: Vec<Arc<str>>,
}

/// Everything a call is decided under.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Lifecycle of this entry.
    pub state: Lifecycle,
    /// Revision of the settings in force, 0 before the first.
    pub revision: u64,
    /// When the revision came into force here.
    pub settings_since: Timestamp,
    /// Settings in force.
    pub settings: Option<Arc<PublishedSettings>>,
    /// Last refused revision.
    pub refused_revision: Option<RefusedRevision>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, Arc<ServiceView>>,
    /// Entries by host name.
    pub entries: IndexMap<Arc<str>, EntryView>,
}
