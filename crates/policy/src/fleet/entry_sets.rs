//! Entry sets of all services.

use super::placement::{Candidate, place};
use indexmap::IndexMap;
use std::sync::Arc;

/// Entry sets, and the services that this entry shares with each peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntrySets {
    /// Members by service, each in its place.
    pub services: IndexMap<Arc<str>, Vec<Arc<str>>>,
    /// Services by peer with which this entry shares their set.
    pub shared_services: IndexMap<Arc<str>, Vec<Arc<str>>>,
}

impl EntrySets {
    /// Places the sets of `sizes` on `candidates` as `host` sees them.
    pub fn new(host: &str, sizes: &IndexMap<Arc<str>, usize>, candidates: &[Candidate]) -> Self {
        let mut sets = Self::default();
        for (service, size) in sizes {
            let members = place(service, *size, candidates);
            if members.iter().any(|m| **m == *host) {
                for peer in members.iter().filter(|m| ***m != *host) {
                    sets.shared_services
                        .entry(Arc::clone(peer))
                        .or_default()
                        .push(Arc::clone(service));
                }
            }
            sets.services.insert(Arc::clone(service), members);
        }
        sets
    }
}
