//! Which entries serve a service.
//!
//! Each place of a service's entry set is given by rendezvous hashing (Thaler and Ravishankar,
//! 1998) of its own, so that an entry that goes away is replaced in its place while the other
//! places keep their entries. Entries of the failure domains with the fewest places come first, so
//! that the loss of one domain leaves the set standing.

use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry that may serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Host name.
    pub host: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// Gives at most `size` places of the set of `service` to `candidates`.
///
/// The order of the candidates does not matter. Equal arguments give equal sets at every entry.
pub fn place(service: &str, size: usize, candidates: &[Candidate]) -> Vec<Arc<str>> {
    let key = xxh3_64_with_seed(service.as_bytes(), 0);
    let mut taken: IndexSet<&str> = IndexSet::new();
    let mut domain_counts: IndexMap<&str, usize> = IndexMap::new();
    for c in candidates {
        domain_counts.insert(&c.failure_domain, 0);
    }
    let mut places = Vec::with_capacity(size.min(candidates.len()));
    for slot in 0..size.min(candidates.len()) {
        let seed = key ^ (slot as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let best = candidates.iter().filter(|c| !taken.contains(&*c.host)).min_by_key(|c| {
            let weight = xxh3_64_with_seed(c.host.as_bytes(), seed);
            (domain_counts.get(&*c.failure_domain).copied(), u64::MAX - weight, &c.host)
        });
        let Some(best) = best else { break };
        taken.insert(&best.host);
        *domain_counts.entry(&best.failure_domain).or_default() += 1;
        places.push(Arc::clone(&best.host));
    }
    places
}
