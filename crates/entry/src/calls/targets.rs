//! Addresses of the targets of one service.

use crate::view::ServiceView;
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc};

/// Addresses by target name.
#[derive(Debug, Default)]
pub(super) struct Targets {
    addresses: IndexMap<Arc<str>, SocketAddr>,
}

impl Targets {
    /// The targets of a view.
    pub(super) fn new(view: &ServiceView) -> Self {
        let addresses = view.targets.iter().map(|(n, t)| (Arc::clone(n), t.address)).collect();
        Self { addresses }
    }

    /// Where the target takes calls, unless it has left.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}
