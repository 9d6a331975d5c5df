//! The file descriptors of the soak itself.
//!
//! Each connection of a gateway to a target passes two proxies and takes five of them here. A run that
//! reaches the limit can neither accept connections nor write settings, so its findings tell nothing.

use crate::cluster::Cluster;
use rustix::process::{Resource, getrlimit};
use std::{
    error::Error,
    fmt::{self, Display, Formatter},
    fs,
    time::Duration,
};
use tokio::time::sleep;

/// Directory with an entry for each descriptor of this process.
const DESCRIPTOR_DIRECTORY: &str = "/proc/self/fd";
/// Interval between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the limit of the process that a run may use.
const MAX_USE: f64 = 0.9;

/// A run was ended since it had too many descriptors open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorError {
    /// Descriptors that were open.
    pub open: u64,
    /// Descriptors that a run may have open.
    pub limit: u64,
    /// Connections between gateways and targets. Each takes five descriptors.
    pub target_connections: u64,
    /// Connections of callers to gateways. Each takes three.
    pub caller_connections: u64,
    /// Connections of gateways to the platform. Each takes three.
    pub platform_connections: u64,
}

impl Display for DescriptorError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { open, limit, target_connections, caller_connections, platform_connections } =
            self;
        write!(
            f,
            "{open} file descriptors are open, at most {limit} may be: connections to targets \
             {target_connections}, of callers {caller_connections}, to the platform \
             {platform_connections}; use fewer gateways, targets or callers, or raise the limit"
        )
    }
}

impl Error for DescriptorError {}

/// Returns the number of descriptors that a run may have open by the limit of this process.
pub(crate) fn default_limit() -> u64 {
    match getrlimit(Resource::Nofile).current {
        Some(limit) => (limit as f64 * MAX_USE) as u64,
        None => u64::MAX,
    }
}

/// Waits until more than `limit` descriptors are open.
pub(crate) async fn until_too_many(cluster: &Cluster, limit: u64) -> DescriptorError {
    loop {
        let open = fs::read_dir(DESCRIPTOR_DIRECTORY).map_or(0, |entries| entries.count() as u64);
        if open > limit {
            return cluster.descriptor_error(open, limit);
        }
        sleep(COUNT_INTERVAL).await;
    }
}

impl Cluster {
    fn descriptor_error(&self, open: u64, limit: u64) -> DescriptorError {
        let gateways = || self.gateways.iter();
        DescriptorError {
            open,
            limit,
            target_connections: self.targets.lock().iter().map(|t| t.link.counts().open).sum(),
            caller_connections: gateways().map(|g| g.callers_link.counts().open).sum(),
            platform_connections: gateways().map(|g| g.platform_link.counts().open).sum(),
        }
    }
}
