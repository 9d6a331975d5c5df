//! Distribution of a route's calls among its services by weight.
//!
//! Smooth weighted round robin: in any sequence of calls the number that a service receives differs
//! from its share by less than the number of services, so that the proportions hold in every short
//! window.

use super::routes::{Route, Share};
use indexmap::IndexMap;
use std::sync::Arc;

/// Round-robin state of all routes at one gateway.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    routes: IndexMap<Arc<str>, RouteCredits>,
}

/// Shares of one route with the current credit of each.
#[derive(Clone, Debug)]
struct RouteCredits {
    shares: Vec<Share>,
    credits: Vec<i64>,
}

impl TrafficSplit {
    /// Returns the service for the next call of `route`.
    pub fn next_service(&mut self, route: &Route) -> Arc<str> {
        if let [only] = route.shares.as_slice() {
            return Arc::clone(&only.service);
        }
        let fresh =
            || RouteCredits { shares: route.shares.clone(), credits: vec![0; route.shares.len()] };
        let credits = self.routes.entry(Arc::clone(&route.name)).or_insert_with(fresh);
        if credits.shares != route.shares {
            *credits = fresh();
        }
        credits.next_service()
    }

    /// Removes the state of routes for which `is_known` returns false.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| is_known(name));
    }
}

impl RouteCredits {
    fn next_service(&mut self) -> Arc<str> {
        let total: i64 = self.shares.iter().map(|s| i64::from(s.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let chosen = (0..self.credits.len()).max_by_key(|i| (self.credits[*i], -(*i as i64)));
        let chosen = chosen.unwrap_or_default();
        self.credits[chosen] -= total;
        Arc::clone(&self.shares[chosen].service)
    }
}
