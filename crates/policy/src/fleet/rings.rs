//! Monitoring topology.
//!
//! Members are placed on a few rings, each ordered by a different hash of the host name. On each
//! ring a member monitors its successor, so that every member monitors, and is monitored by, a
//! constant number of others whatever the size of the fleet. The rings together form, with high
//! probability, an expander graph on which gossip reaches all members in a few hops (Suresh et al.,
//! "Stable and Consistent Membership at Scale with Rapid", 2018).

use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of monitoring rings.
pub const RING_COUNT: usize = 3;

/// Returns the successors of `host` on the rings, without duplicates.
pub fn successors(host: &str, members: &[Arc<str>]) -> Vec<Arc<str>> {
    neighbours(host, members, |others, position| {
        others.iter().filter(|(p, _)| *p > position).min().or_else(|| others.iter().min()).cloned()
    })
}

/// Returns the predecessors of `host` on the rings, without duplicates. They monitor it.
pub fn predecessors(host: &str, members: &[Arc<str>]) -> Vec<Arc<str>> {
    neighbours(host, members, |others, position| {
        others.iter().filter(|(p, _)| *p < position).max().or_else(|| others.iter().max()).cloned()
    })
}

/// Position on a ring, and host name.
type RingNode = (u64, Arc<str>);

fn neighbours<Pick>(host: &str, members: &[Arc<str>], pick: Pick) -> Vec<Arc<str>>
where
    Pick: Fn(&[RingNode], u64) -> Option<RingNode>,
{
    let mut found: Vec<Arc<str>> = Vec::with_capacity(RING_COUNT);
    for ring in 0..RING_COUNT as u64 {
        let position = xxh3_64_with_seed(host.as_bytes(), ring);
        let others: Vec<RingNode> = members
            .iter()
            .filter(|m| &***m != host)
            .map(|m| (xxh3_64_with_seed(m.as_bytes(), ring), Arc::clone(m)))
            .collect();
        if let Some((_, member)) = pick(&others, position)
            && !found.contains(&member)
        {
            found.push(member);
        }
    }
    found
}
