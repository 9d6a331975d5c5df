//! What the platform publishes, and the updates by which gateways pass it on.

use super::routes::PublishedSettings;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Record of a target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target, which may stay the same across restarts.
    pub name: Arc<str>,
    /// Start of the process, in Unix ms by the clock of its host. Tells processes of one name apart.
    pub started: Option<u64>,
    /// Service that the target provides.
    pub service: Arc<str>,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: Arc<str>,
    /// Software version of the target.
    pub version: Arc<str>,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new calls.
    pub leaving: bool,
    /// Time until the end of its warm-up, counted from when the target reported it.
    pub warmup: Duration,
}

impl TargetRecord {
    /// Returns whether `other` describes the same process in the same state, ignoring warm-up.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        Self { warmup: other.warmup, ..self.clone() } == *other
    }
}

/// Change reported by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// New settings were published.
    Published(PublishedSettings),
    /// A target wrote its record.
    Target(TargetRecord),
    /// The record of a target was removed or is malformed.
    Gone(Arc<str>),
    /// The operator has evacuated a failure domain or ended its evacuation. Never sent to other gateways:
    /// builds before it cannot read an update with this variant.
    Evacuation {
        /// Name of the failure domain.
        domain: Arc<str>,
        /// Whether it is evacuated from now on.
        active: bool,
    },
}

/// Complete contents of a catalog, sent to a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the platform revision up to which the data is complete.
    pub revision: u64,
    /// Current settings.
    pub published: Option<PublishedSettings>,
    /// Records of all listed targets.
    pub targets: Vec<TargetRecord>,
}

/// Update sent to a peer that knows everything up to some revision. The era is sent beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatalogUpdate {
    /// Complete contents of the catalog.
    Full(Snapshot),
    /// Changes since the peer's revision.
    Changes {
        /// Number of the platform revision up to which the data is complete.
        revision: u64,
        /// Changes to apply.
        changes: Vec<Change>,
    },
}
