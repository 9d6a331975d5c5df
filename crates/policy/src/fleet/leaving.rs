//! Targets that are leaving.
//!
//! The host list lags and may be stale, so a target also counts as leaving once any entry has seen
//! it drain and reported it. A report names an incarnation of the target and applies to that one
//! only: a list that still marks the host as live does not clear it, a list with another
//! incarnation does. If the list has no incarnations, a report is cleared by a list that marks the
//! host as live after an earlier list marked it as leaving or left it out.

use super::message::LeavingReport;
use indexmap::IndexMap;
use std::sync::Arc;

/// Maximum number of incarnations kept for one target.
const MAX_INCARNATIONS: usize = 8;

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
    targets: IndexMap<Arc<str>, Incarnations>,
}

type Incarnations = IndexMap<Arc<str>, ReportState>;

/// Progress of a report, given the host lists that came after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    /// Reported by an entry.
    Reported,
    /// A later list marked the host as leaving or left it out.
    Confirmed,
    /// A later list named another incarnation, or marked the host as live again after confirming.
    Cleared,
}

impl LeavingTargets {
    /// Records a report by any entry. Returns whether it is new.
    ///
    /// A report that was cleared is not accepted again from an entry that lags.
    pub fn add_report(&mut self, report: &LeavingReport) -> bool {
        let incarnations = self.targets.entry(Arc::clone(&report.target)).or_default();
        if incarnations.contains_key(&report.incarnation) {
            return false;
        }
        if incarnations.len() >= MAX_INCARNATIONS {
            incarnations.shift_remove_index(0);
        }
        incarnations.insert(Arc::clone(&report.incarnation), ReportState::Reported);
        true
    }

    /// Applies a host list, which must be later than all lists applied before.
    pub fn apply_host_list(&mut self, listed: &IndexMap<Arc<str>, ListedTarget>) {
        for (target, incarnations) in &mut self.targets {
            let listed = listed.get(target).filter(|l| !l.leaving);
            for (incarnation, state) in incarnations {
                *state = state.after_list(incarnation, listed);
            }
        }
    }

    /// Returns whether `listed` must not get new calls.
    pub fn is_leaving(&self, listed: &ListedTarget) -> bool {
        listed.leaving
            || self.targets.get(&listed.target).is_some_and(|incarnations| {
                incarnations.iter().any(|(incarnation, state)| {
                    *state != ReportState::Cleared && !is_other_incarnation(incarnation, listed)
                })
            })
    }

    /// Iterates over the reports that are in force.
    pub fn reports(&self) -> impl Iterator<Item = LeavingReport> + '_ {
        self.targets.iter().flat_map(|(target, incarnations)| {
            incarnations.iter().filter(|(_, state)| **state != ReportState::Cleared).map(
                |(incarnation, _)| LeavingReport {
                    target: Arc::clone(target),
                    incarnation: Arc::clone(incarnation),
                },
            )
        })
    }
}

impl ReportState {
    /// Returns the state after a host list. `listed` is the target in the list, if marked as live.
    fn after_list(self, incarnation: &str, listed: Option<&ListedTarget>) -> Self {
        match (self, listed) {
            (Self::Cleared, _) => Self::Cleared,
            (_, Some(l)) if is_other_incarnation(incarnation, l) => Self::Cleared,
            (Self::Confirmed, Some(l)) if l.incarnation.is_none() => Self::Cleared,
            (state, Some(_)) => state,
            (_, None) => Self::Confirmed,
        }
    }
}

/// Returns whether both incarnations are known and differ.
fn is_other_incarnation(incarnation: &str, listed: &ListedTarget) -> bool {
    let known = listed.incarnation.as_deref().filter(|_| !incarnation.is_empty());
    known.is_some_and(|l| l != incarnation)
}
