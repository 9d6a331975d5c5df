//! Selects the entries that a caller is directed to.

use crate::view::{ClusterView, EntryView, ServiceView};
use azuretally_api::directions::{Direction, Directions};
use std::sync::Arc;

/// How long a caller may cache directions, in ms.
pub const DIRECTIONS_TTL_MS: u64 = 5_000;

/// Returns the directions to `service`, or `None` if the view has no such service.
///
/// Consecutive values of `rotation` start with the members of the entry set in turn (round robin),
/// so that all members get equal shares. The members in other failure domains than the first entry
/// come next, so that the second address does not fail together with the first one.
pub fn directions(view: &ClusterView, service: &str, rotation: u64) -> Option<Directions> {
    let service_view = view.services.get(service)?;
    let hosts = order_entries(view, service_view, rotation);
    let entries = hosts
        .into_iter()
        .filter_map(|host| {
            let entry = view.entries.get(host)?;
            Some(Direction {
                host: host.to_string(),
                failure_domain: entry.failure_domain.to_string(),
                address: entry.call_address,
                token: entry.token.clone(),
            })
        })
        .collect();
    Some(Directions { service: service.to_owned(), ttl_ms: DIRECTIONS_TTL_MS, entries })
}

/// Orders the entries for one request. Only the usable members of the entry set are rotated.
fn order_entries<'a>(
    view: &'a ClusterView,
    service: &'a ServiceView,
    rotation: u64,
) -> Vec<&'a Arc<str>> {
    let is_member = |host: &Arc<str>| service.entry_set.iter().any(|m| m.host == *host);
    let is_usable = |host: &Arc<str>| view.entries.get(host).is_some_and(|e| e.usable);
    let mut hosts: Vec<&Arc<str>> = service.directions.iter().collect();
    let member_count = hosts.iter().take_while(|h| is_member(h) && is_usable(h)).count();
    if member_count < 2 {
        return hosts;
    }
    let size = member_count as u64;
    hosts[..member_count].rotate_left((rotation % size) as usize);
    // Each round has a different order after the first member, so that the callers of a failed
    // member spread over the other members.
    hosts[1..member_count].rotate_left((rotation / size % (size - 1)) as usize);
    let first_domain = failure_domain(view, hosts[0]);
    hosts[1..member_count].sort_by_key(|host| failure_domain(view, host) == first_domain);
    hosts
}

fn failure_domain<'a>(view: &'a ClusterView, host: &str) -> Option<&'a str> {
    view.entries.get(host).map(|e: &EntryView| &*e.failure_domain)
}
