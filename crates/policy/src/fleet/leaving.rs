//! Targets that are leaving.
//!
//! The host list lags and may be stale, so a target also counts as leaving once any entry has seen
//! it drain and reported it. A report names an incarnation of the target and applies to that one
//! only: a list or a response that names another one clears it. A record that lapses and returns
//! without an incarnation proves nothing and does not. A report of an unknown incarnation is cleared
//! by a probe that finds the target serving. All reports end some time after the list has lost the
//! target.

use super::message::LeavingReport;
use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Maximum number of incarnations kept for one target.
const MAX_INCARNATIONS: usize = 8;
/// Time for which reports stay in force while the host list lacks the target.
const UNLISTED_MEMORY: Duration = Duration::from_secs(600);

/// A target in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Host name of the target.
    pub target: Arc<str>,
    /// Incarnation, if the platform knows it.
    pub incarnation: Option<Arc<str>>,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Reports of leaving targets, including those that were cleared.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    targets: IndexMap<Arc<str>, TargetReports>,
}

/// Reports of one target.
#[derive(Clone, Debug, Default)]
struct TargetReports {
    /// Reported incarnations, with whether the report is in force.
    incarnations: IndexMap<Arc<str>, bool>,
    /// Since when the host list has lacked the target, if it does.
    unlisted_since: Option<Timestamp>,
}

impl LeavingTargets {
    /// Records a report by any entry. Returns whether it is new.
    ///
    /// A report that was cleared is not accepted again from an entry that lags.
    pub fn add_report(&mut self, report: &LeavingReport) -> bool {
        let reports = self.targets.entry(Arc::clone(&report.target)).or_default();
        if reports.incarnations.contains_key(&report.incarnation) {
            return false;
        }
        if reports.incarnations.len() >= MAX_INCARNATIONS {
            reports.incarnations.shift_remove_index(0);
        }
        reports.incarnations.insert(Arc::clone(&report.incarnation), true);
        true
    }

    /// Applies a host list, which must be later than all lists applied before.
    pub fn apply_host_list(&mut self, listed: &IndexMap<Arc<str>, ListedTarget>) {
        for (target, reports) in &mut self.targets {
            let listed = listed.get(target).filter(|l| !l.leaving);
            if let Some(incarnation) = listed.and_then(|l| l.incarnation.as_deref()) {
                reports.clear(|reported| is_other_incarnation(reported, Some(incarnation)));
            }
        }
    }

    /// Records that a target answered a probe without being leaving. Returns whether this cleared a
    /// report.
    pub fn record_serving(&mut self, target: &str, incarnation: Option<&str>) -> bool {
        let Some(reports) = self.targets.get_mut(target) else { return false };
        reports.clear(|r| r.is_empty() || is_other_incarnation(r, incarnation))
    }

    /// Ends the reports of targets that the host list has lacked for too long.
    pub fn expire(&mut self, now: Timestamp, listed: &IndexMap<Arc<str>, ListedTarget>) {
        for (target, reports) in &mut self.targets {
            if listed.contains_key(target) {
                reports.unlisted_since = None;
            } else if now.since(*reports.unlisted_since.get_or_insert(now)) >= UNLISTED_MEMORY {
                reports.clear(|_| true);
            }
        }
    }

    /// Returns whether `listed` must not get new calls.
    pub fn is_leaving(&self, listed: &ListedTarget) -> bool {
        listed.leaving || self.is_reported(listed)
    }

    /// Returns whether a report that applies to `listed` is in force.
    pub fn is_reported(&self, listed: &ListedTarget) -> bool {
        self.targets.get(&listed.target).is_some_and(|reports| {
            let is_other = |r| is_other_incarnation(r, listed.incarnation.as_deref());
            reports.in_force().any(|reported| !is_other(reported))
        })
    }

    /// Iterates over the reports that are in force.
    pub fn reports(&self) -> impl Iterator<Item = LeavingReport> + '_ {
        self.targets.iter().flat_map(|(target, reports)| {
            reports.in_force().map(|incarnation| LeavingReport {
                target: Arc::clone(target),
                incarnation: Arc::clone(incarnation),
            })
        })
    }
}

impl TargetReports {
    fn in_force(&self) -> impl Iterator<Item = &Arc<str>> {
        self.incarnations.iter().filter_map(|(i, in_force)| in_force.then_some(i))
    }

    /// Clears the reports of incarnations for which `is_over` returns true. Returns whether one of
    /// them was in force.
    fn clear<IsOver>(&mut self, is_over: IsOver) -> bool
    where
        IsOver: Fn(&str) -> bool,
    {
        let mut cleared = false;
        for (incarnation, in_force) in &mut self.incarnations {
            if *in_force && is_over(incarnation) {
                *in_force = false;
                cleared = true;
            }
        }
        cleared
    }
}

/// Returns whether both incarnations are known and differ.
fn is_other_incarnation(reported: &str, incarnation: Option<&str>) -> bool {
    !reported.is_empty() && incarnation.is_some_and(|i| i != reported)
}
