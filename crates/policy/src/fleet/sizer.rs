//! Sizes of entry sets that follow the load.
//!
//! A member of a set whose process is busy asks for a larger set, before it saturates, in the
//! record that every entry knows. Hysteresis and a pause keep the sets from following every change
//! of load, since each change moves callers.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Share of its processor time above which an entry asks for larger sets.
pub const GROW_THRESHOLD: f64 = 0.6;
/// Share that the members of a resized set are to have.
pub const RESIZE_GOAL: f64 = 0.45;
/// Share below which a set would still be after it lost a member.
pub const SHRINK_THRESHOLD: f64 = 0.35;

const GROW_INTERVAL: Duration = Duration::from_secs(3);
const SHRINK_INTERVAL: Duration = Duration::from_secs(30);

/// Load of one service at this entry, since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Arc<str>,
    /// Calls taken.
    pub calls: u64,
    /// Present size of the set.
    pub size: usize,
    /// Smallest size by the settings.
    pub minimum: usize,
}

/// Sizes that this entry asks for.
#[derive(Clone, Debug, Default)]
pub struct SetSizer {
    requested: IndexMap<Arc<str>, RequestedSize>,
}

#[derive(Clone, Copy, Debug)]
struct RequestedSize {
    size: usize,
    changed: Timestamp,
}

impl SetSizer {
    /// Takes in the share of processor time that this entry used, 0 to 1, with the load of the
    /// services whose set it belongs to. True when it asks for other sizes than before.
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

    /// Sizes asked for, where larger than the minimum.
    pub fn requested_sizes(&self) -> Vec<(Arc<str>, u16)> {
        let sizes = self.requested.iter();
        sizes.map(|(s, w)| (Arc::clone(s), u16::try_from(w.size).unwrap_or(u16::MAX))).collect()
    }

    fn resize(&mut self, now: Timestamp, busy: f64, service_busy: f64, load: &ServiceLoad) -> bool {
        let current = self.requested.get(&load.service).copied();
        let waited = |pause| current.is_none_or(|w| now.since(w.changed) >= pause);
        if busy > GROW_THRESHOLD && service_busy > busy / 4.0 && waited(GROW_INTERVAL) {
            let size = ((service_busy * load.size as f64 / RESIZE_GOAL).ceil() as usize)
                .max(load.size + 1);
            let size = size.min(load.size * 2);
            self.requested.insert(Arc::clone(&load.service), RequestedSize { size, changed: now });
            return true;
        }
        let Some(requested) = current else { return false };
        let smaller = requested.size.saturating_sub(1);
        let after = busy * load.size as f64 / load.size.saturating_sub(1).max(1) as f64;
        if after >= SHRINK_THRESHOLD || !waited(SHRINK_INTERVAL) {
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
