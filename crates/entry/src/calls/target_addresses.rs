//! Addresses of the targets of one service.

use crate::view::ServiceView;
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc};

/// Addresses of targets, by target name.
#[derive(Debug, Default)]
pub(super) struct TargetAddresses {
    addresses: IndexMap<Arc<str>, SocketAddr>,
}

impl TargetAddresses {
    /// Collects the addresses of the targets in a view.
    pub(super) fn new(view: &ServiceView) -> Self {
        let addresses = view.targets.iter().map(|(n, t)| (Arc::clone(n), t.address)).collect();
        Self { addresses }
    }

    /// Returns the address of the target, or `None` if it is no longer listed.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}
