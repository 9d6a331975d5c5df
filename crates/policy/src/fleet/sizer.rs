//! Autoscaling of entry sets.
//!
//! A set member whose process is busy requests a larger set before it saturates. The request is
//! part of its record, which every entry receives. Hysteresis and minimum intervals keep the sets
//! from following every change of load, since each resize moves callers.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// CPU utilization (0 to 1) above which an entry requests larger sets.
pub const GROW_THRESHOLD: f64 = 0.6;
/// CPU utilization (0 to 1) that a larger set should bring its members to.
pub const RESIZE_GOAL: f64 = 0.45;
/// A set shrinks if the utilization would stay below this (0 to 1) with one member less.
pub const SHRINK_THRESHOLD: f64 = 0.35;

/// Divisor of the CPU utilization of an entry; the set of a service grows only if the service
/// causes more than the quotient.
const GROW_LOAD_DIVISOR: f64 = 4.0;
/// Maximum ratio of the new size of a set to the current one when it grows.
const MAX_GROWTH: usize = 2;
/// Minimum time from a resize to the next growth.
const GROW_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum time from a resize to the next reduction.
const SHRINK_INTERVAL: Duration = Duration::from_secs(30);

/// Load of one service at this entry, since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Arc<str>,
    /// Calls accepted.
    pub calls: u64,
    /// Current size of the entry set.
    pub size: usize,
    /// Minimum size of the entry set, from the settings.
    pub minimum: usize,
}

/// Counts the calls of each service between reports.
#[derive(Clone, Debug, Default)]
pub struct CallMeter {
    /// Calls up to the previous report.
    totals: IndexMap<Arc<str>, u64>,
}

impl CallMeter {
    /// Returns the calls since the previous report of the services for which `is_member` returns
    /// true, given the running totals of all services.
    pub fn report<IsMember>(
        &mut self,
        totals: IndexMap<Arc<str>, u64>,
        is_member: IsMember,
    ) -> IndexMap<Arc<str>, u64>
    where
        IsMember: Fn(&str) -> bool,
    {
        let previous = std::mem::replace(&mut self.totals, totals);
        let members = self.totals.iter().filter(|(service, _)| is_member(service));
        let calls = members.map(|(service, total)| {
            let before = previous.get(service).copied().unwrap_or_default();
            (Arc::clone(service), total.saturating_sub(before))
        });
        calls.collect()
    }
}

/// Entry set sizes that this entry requests.
#[derive(Clone, Debug, Default)]
pub struct SetSizer {
    requested: IndexMap<Arc<str>, RequestedSize>,
}

/// Requested size of one entry set, and when it last changed.
#[derive(Clone, Copy, Debug)]
struct RequestedSize {
    size: usize,
    changed: Timestamp,
}

impl SetSizer {
    /// Updates the requested sizes from the CPU utilization `busy` of this entry (0 to 1) and the
    /// load of the services that it serves. Returns whether any requested size changed.
    pub fn report(&mut self, now: Timestamp, busy: f64, loads: &[ServiceLoad]) -> bool {
        let calls: u64 = loads.iter().map(|l| l.calls).sum();
        let before = self.requested.len();
        self.requested.retain(|service, _| loads.iter().any(|l| l.service == *service));
        let mut changed = self.requested.len() != before;
        for load in loads {
            let share = if calls == 0 { 0.0 } else { load.calls as f64 / calls as f64 };
            changed |= self.resize(now, busy, busy * share, load);
        }
        changed
    }

    /// Returns the requested sizes, for services that need more than the minimum.
    pub fn requested_sizes(&self) -> Vec<(Arc<str>, u16)> {
        let sizes = self.requested.iter();
        sizes.map(|(s, r)| (Arc::clone(s), u16::try_from(r.size).unwrap_or(u16::MAX))).collect()
    }

    fn resize(&mut self, now: Timestamp, busy: f64, service_busy: f64, load: &ServiceLoad) -> bool {
        let current = self.requested.get(&load.service).copied();
        let waited = |interval| current.is_none_or(|r| now.since(r.changed) >= interval);
        if busy > GROW_THRESHOLD && service_busy > busy / GROW_LOAD_DIVISOR && waited(GROW_INTERVAL)
        {
            let size = ((service_busy * load.size as f64 / RESIZE_GOAL).ceil() as usize)
                .max(load.size + 1);
            let size = size.min(load.size * MAX_GROWTH);
            self.requested.insert(Arc::clone(&load.service), RequestedSize { size, changed: now });
            return true;
        }
        let Some(requested) = current else { return false };
        let smaller = requested.size.saturating_sub(1);
        let busy_after = busy * load.size as f64 / load.size.saturating_sub(1).max(1) as f64;
        if busy_after >= SHRINK_THRESHOLD || !waited(SHRINK_INTERVAL) {
            return false;
        }
        if smaller <= load.minimum {
            self.requested.shift_remove(&load.service);
        } else {
            let requested = RequestedSize { size: smaller, changed: now };
            self.requested.insert(Arc::clone(&load.service), requested);
        }
        true
    }
}
