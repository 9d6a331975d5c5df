//! Processor time that the calls of a failure domain need, which decides to how many of its gateways
//! callers are directed.
//!
//! With one gateway each target has one user that knows its slots without asking, so callers are
//! directed to as few as can bear the load. Each gateway tells in its heartbeats how much processor
//! time its calls use. Callers spread evenly over the gateways that they are directed to, so the
//! smallest of these limits how much all can bear, and gateways that are much smaller than the first
//! ones come in only when those can bear no more.
//!
//! The load of a gateway that ends is remembered for some seconds, since its callers come to the others.
//!
//! Callers keep their connections, so directions alone move few of them: a gateway that is busier than the
//! others asks its callers to connect anew.

use super::Membership;
use crate::{Timestamp, balance::heartbeat::Heartbeat};
use std::{iter, time::Duration};

/// Time constant with which the demand is forgotten once it has fallen.
const DEMAND_DECAY: Duration = Duration::from_secs(5);
/// Fraction of its capacity that a gateway may use before more gateways are directed to: beyond it, the
/// time for which a call waits for the processor grows quickly.
const MAX_BUSY: f64 = 0.6;
/// The same before much smaller gateways are directed to.
const SATURATED: f64 = 0.9;
/// Gateways whose capacity is less than that of the first one divided by this are much smaller.
const SMALLER: u32 = 2;
/// How many times as busy as the others a gateway is that asks its callers to connect anew.
const MIN_IMBALANCE: f64 = 1.25;
/// Maximum number of gateways that callers are directed to.
const MAX_DIRECTED: usize = 64;

/// Processor time that the calls of the local failure domain need, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainDemand {
    value: f64,
    at: Timestamp,
}

impl DomainDemand {
    fn update(&mut self, now: Timestamp, current: f64) {
        let age = now.since(self.at).as_secs_f64() / DEMAND_DECAY.as_secs_f64();
        self.value = current.max(self.value * (-age).exp());
        self.at = now;
    }
}

impl Membership {
    /// Sets the processor time that the calls of this gateway use, in thousandths of a core. It is announced at once if
    /// the gateway has become saturated.
    pub fn set_load(&mut self, used: u32) {
        let was_saturated = is_saturated(&self.own);
        self.own.load.used = used;
        if is_saturated(&self.own) && !was_saturated {
            self.next_local = Timestamp::default();
        }
    }

    /// Returns whether callers should leave their connections to this gateway: it is busier than a gateway
    /// should be, and clearly busier than the others that callers are directed to.
    pub fn sheds_callers(&self) -> bool {
        let busy = f64::from(self.own.load.used) / f64::from(self.own.capacity.max(1));
        if busy < MAX_BUSY {
            return false;
        }
        let directed = self.directed(&self.own.domain);
        let others = || directed.iter().filter(|h| h.host != self.own.host);
        let used: f64 = others().map(|h| f64::from(h.load.used)).sum();
        let capacity: f64 = others().map(|h| f64::from(h.capacity)).sum();
        capacity > 0.0 && busy > MIN_IMBALANCE * used / capacity
    }

    /// Brings the demand of the local failure domain up to date.
    pub(super) fn update_demand(&mut self, now: Timestamp) {
        let peers = self.local_peers().filter(|p| p.alive).map(|p| &p.heartbeat);
        let gateways = peers.chain(iter::once(&self.own));
        let current = gateways.map(|h| f64::from(h.load.used)).sum();
        self.demand.update(now, current);
    }

    /// Returns how many of the gateways in `ranked`, at least `min_count`, can bear the demand. If all
    /// together cannot, returns the number that bears most of it.
    pub(super) fn count_for_demand(&self, ranked: &[&Heartbeat], min_count: usize) -> usize {
        let Some(first) = ranked.first() else { return min_count };
        let is_large = |h: &&&Heartbeat| h.capacity >= first.capacity / SMALLER;
        let large = ranked.iter().take_while(is_large).count().max(min_count);
        let (count, bears) = self.fewest(&ranked[..large], min_count);
        if bears * SATURATED >= self.demand.value || large == ranked.len() {
            return count;
        }
        self.fewest(ranked, min_count).0
    }

    /// Returns the smallest number of gateways from the start of `ranked`, at least `min_count`, of which
    /// none is busier than [`MAX_BUSY`], or the number that bears most, and how much these bear.
    fn fewest(&self, ranked: &[&Heartbeat], min_count: usize) -> (usize, f64) {
        let mut smallest = u32::MAX;
        let mut best = (min_count, 0.0);
        for (index, heartbeat) in ranked.iter().take(MAX_DIRECTED).enumerate() {
            smallest = smallest.min(heartbeat.capacity);
            let count = index + 1;
            let bears = f64::from(smallest) * count as f64;
            if count < min_count || bears <= best.1 {
                continue;
            }
            best = (count, bears);
            if bears * MAX_BUSY >= self.demand.value {
                break;
            }
        }
        best
    }
}

fn is_saturated(heartbeat: &Heartbeat) -> bool {
    f64::from(heartbeat.load.used) >= f64::from(heartbeat.capacity) * SATURATED
}
