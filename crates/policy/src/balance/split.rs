//! Exact shares of a route's calls among its services.
//!
//! Smooth weighted round robin: over any stretch the number of calls that a share got differs from
//! its part by less than the number of shares, so the proportions hold in every short window.

use super::routes::{Route, Share};
use indexmap::IndexMap;
use std::sync::Arc;

/// Turns of all routes at one gateway.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    routes: IndexMap<Arc<str>, Turns>,
}

#[derive(Clone, Debug)]
struct Turns {
    shares: Vec<Share>,
    credits: Vec<i64>,
}

impl TrafficSplit {
    /// The service for the next call of `route`.
    pub fn next_service(&mut self, route: &Route) -> Arc<str> {
        if let [only] = route.shares.as_slice() {
            return Arc::clone(&only.service);
        }
        let fresh = || Turns { shares: route.shares.clone(), credits: vec![0; route.shares.len()] };
        let turns = self.routes.entry(Arc::clone(&route.name)).or_insert_with(fresh);
        if turns.shares != route.shares {
            *turns = fresh();
        }
        turns.next()
    }

    /// Forgets routes that `is_known` denies.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.routes.retain(|name, _| is_known(name));
    }
}

impl Turns {
    fn next(&mut self) -> Arc<str> {
        let total: i64 = self.shares.iter().map(|s| i64::from(s.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let due = (0..self.credits.len()).max_by_key(|i| (self.credits[*i], -(*i as i64)));
        let due = due.unwrap_or_default();
        self.credits[due] -= total;
        Arc::clone(&self.shares[due].service)
    }
}
