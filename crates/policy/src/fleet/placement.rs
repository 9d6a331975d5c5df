//! Placement of services on entries.
//!
//! Each place of a service's entry set is assigned by its own rendezvous hash (Thaler and
//! Ravishankar, 1998), so that an entry that goes away is replaced in its place while most other
//! places keep their entries. Entries in the failure domains with the fewest places are preferred,
//! so that the set survives the loss of one domain.

use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Multiplier that spreads the numbers of the places over the hash seeds: 2^64 divided by the
/// golden ratio.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// An entry that can be placed in an entry set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Host name.
    pub host: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// Returns the entry set of `service`: at most `size` of the candidates, by place.
///
/// The result does not depend on the order of the candidates, and every entry computes the same
/// set from the same arguments.
pub fn place(service: &str, size: usize, candidates: &[Candidate]) -> Vec<Arc<str>> {
    let key = xxh3_64_with_seed(service.as_bytes(), 0);
    let mut taken: IndexSet<&str> = IndexSet::new();
    let mut domain_counts: IndexMap<&str, usize> = IndexMap::new();
    for c in candidates {
        domain_counts.insert(&c.failure_domain, 0);
    }
    let mut places = Vec::with_capacity(size.min(candidates.len()));
    for index in 0..size.min(candidates.len()) {
        let seed = key ^ (index as u64 + 1).wrapping_mul(SEED_MULTIPLIER);
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
