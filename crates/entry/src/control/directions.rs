//! Which entries a caller is directed to.

use crate::view::{ClusterView, EntryView, ServiceView};
use azuretally_api::directions::{Direction, Directions};
use std::sync::Arc;

/// How long a caller may keep an answer, in ms.
pub const DIRECTIONS_TTL_MS: u64 = 5_000;

/// Directions for the request with number `ticket`.
///
/// Consecutive tickets begin with the members of the entry set in turn, which keeps their shares
/// equal. The entries of other failure domains come next, so that the second address does not fail
/// with the first one.
pub fn directions(view: &ClusterView, service: &str, ticket: u64) -> Option<Directions> {
    let service_view = view.services.get(service)?;
    let hosts = order(view, service_view, ticket);
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

fn order<'a>(view: &'a ClusterView, service: &'a ServiceView, ticket: u64) -> Vec<&'a Arc<str>> {
    let is_member = |host: &Arc<str>| service.entry_set.iter().any(|m| m.host == *host);
    let is_usable = |host: &Arc<str>| view.entries.get(host).is_some_and(|e| e.usable);
    let mut hosts: Vec<&Arc<str>> = service.directions.iter().collect();
    let members = hosts.iter().take_while(|h| is_member(h) && is_usable(h)).count();
    if members < 2 {
        return hosts;
    }
    let size = members as u64;
    hosts[..members].rotate_left((ticket % size) as usize);
    // Each round of tickets has another order after the first member, so that the callers of a
    // member that fails are spread over the others.
    hosts[1..members].rotate_left((ticket / size % (size - 1)) as usize);
    let first = domain(view, hosts[0]);
    hosts[1..members].sort_by_key(|host| domain(view, host) == first);
    hosts
}

fn domain<'a>(view: &'a ClusterView, host: &str) -> Option<&'a str> {
    view.entries.get(host).map(|e: &EntryView| &*e.failure_domain)
}
