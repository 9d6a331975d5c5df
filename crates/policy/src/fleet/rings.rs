//! Who monitors whom.
//!
//! Members are put on a few rings, each in an others of its own given by a hash. On each ring a
//! member monitors the next one. Every member thus monitors, and is monitored by, a constant
//! number of others whatever the size of the fleet. The rings of all members together are, with
//! high probability, an expander graph on which gossip reach everybody in a few hops (Suresh et al.,
//! "Stable and Consistent Membership at Scale with Rapid", 2018).

use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of rings.
pub const RING_COUNT: usize = 3;

/// Next members of `host` on the rings, each named once.
pub fn successors(host: &str, members: &[Arc<str>]) -> Vec<Arc<str>> {
    neighbours(host, members, |others, hash| {
        others.iter().filter(|(w, _)| *w > hash).min().or_else(|| others.iter().min()).cloned()
    })
}

/// Previous members of `host` on the rings, each named once: those that monitor it.
pub fn predecessors(host: &str, members: &[Arc<str>]) -> Vec<Arc<str>> {
    neighbours(host, members, |others, hash| {
        others.iter().filter(|(w, _)| *w < hash).max().or_else(|| others.iter().max()).cloned()
    })
}

type Hashed = (u64, Arc<str>);

fn neighbours<Pick>(host: &str, members: &[Arc<str>], pick: Pick) -> Vec<Arc<str>>
where
    Pick: Fn(&[Hashed], u64) -> Option<Hashed>,
{
    let mut found: Vec<Arc<str>> = Vec::with_capacity(RING_COUNT);
    for ring in 0..RING_COUNT as u64 {
        let hash = xxh3_64_with_seed(host.as_bytes(), ring);
        let others: Vec<Hashed> = members
            .iter()
            .filter(|m| &***m != host)
            .map(|m| (xxh3_64_with_seed(m.as_bytes(), ring), Arc::clone(m)))
            .collect();
        if let Some((_, member)) = pick(&others, hash)
            && !found.contains(&member)
        {
            found.push(member);
        }
    }
    found
}
