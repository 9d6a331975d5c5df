//! Entry sets of all services: which entries serve which service.

use super::placement::{Candidate, place};
use indexmap::IndexMap;
use std::sync::Arc;

/// Entry sets, and the services that this entry serves together with each peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntrySets {
    /// Host names of the set members by service, in the order of their places.
    pub services: IndexMap<Arc<str>, Vec<Arc<str>>>,
    /// Services that this entry and a peer both serve, by peer.
    pub shared_services: IndexMap<Arc<str>, Vec<Arc<str>>>,
}

impl EntrySets {
    /// Computes the entry sets of the services in `sizes` from `candidates`, as seen by `host`.
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
