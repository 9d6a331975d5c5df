//! Assignment of slots to the entries of a set.
//!
//! Rendezvous hashing with bounded loads: each slot goes to the entry with the highest hash among
//! those that own fewer slots than their even share, rounded up. Entries with the same view of
//! hosts and targets compute the same assignment. If views differ, entries may use the same slot,
//! which costs no more than a refusal by the target.

use super::config::{PeerSlots, TargetInfo};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of slots considered per target; further slots are not assigned.
const MAX_SLOTS: u32 = 1024;
/// Byte that ends the target name in the hashed bytes; it never occurs in UTF-8.
const NAME_END: u8 = 0xff;

/// Returns the number of slots of each target that `host` owns, in the order of `targets`, or
/// `None` if `host` is not in the set. Slots of leaving targets are not assigned.
pub(super) fn owned_slots(
    host: &str,
    set: &[PeerSlots],
    targets: &[&TargetInfo],
) -> Option<Vec<u32>> {
    let mut hosts: Vec<&Arc<str>> = set.iter().map(|p| &p.host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let own_index = hosts.iter().position(|h| ***h == *host)?;
    let mut slots = hashed_slots(targets);
    slots.sort_unstable();
    let mut quotas = vec![slots.len().div_ceil(hosts.len()); hosts.len()];
    let mut owned = vec![0; targets.len()];
    for (_, target, index) in slots {
        let name = &targets[target].name;
        let candidates = (0..hosts.len()).filter(|h| quotas[*h] > 0);
        let Some(owner) = candidates.max_by_key(|h| (hash(name, index, hosts[*h]), *h)) else {
            break;
        };
        quotas[owner] -= 1;
        owned[target] += u32::from(owner == own_index);
    }
    Some(owned)
}

/// Returns all slots as (hash, target index, slot index). The hash determines the order of
/// assignment and does not depend on hosts.
fn hashed_slots(targets: &[&TargetInfo]) -> Vec<(u64, usize, u32)> {
    let mut slots = Vec::new();
    for (target, info) in targets.iter().enumerate().filter(|(_, t)| !t.is_leaving()) {
        slots.extend(
            (0..info.slots.min(MAX_SLOTS))
                .map(|index| (hash(&info.name, index, ""), target, index)),
        );
    }
    slots
}

fn hash(target: &str, index: u32, host: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(target.as_bytes());
    hasher.update(&[NAME_END]);
    hasher.update(&index.to_le_bytes());
    hasher.update(host.as_bytes());
    hasher.digest()
}
