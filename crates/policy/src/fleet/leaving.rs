//! Targets that are leaving.
//!
//! The host list lags and may be stale, so a target also counts as leaving once any entry saw it
//! drain. A sighting names the incarnation of the target and holds for that one alone: a list that
//! still calls the host live does not lift it, a list that names another incarnation does. Where
//! the list names no incarnations, the sighting is lifted by a list that calls the host live again
//! after an earlier list had called it leaving or had left it out.

use super::message::LeavingReport;
use indexmap::IndexMap;
use std::sync::Arc;

/// Incarnations of one target that are remembered.
const MAX_INCARNATIONS: usize = 8;

/// What a host list says of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Host name of the target.
    pub target: Arc<str>,
    /// Incarnation, when the platform knows it.
    pub incarnation: Option<Arc<str>>,
    /// Whether the list calls it leaving.
    pub leaving: bool,
}

/// Sightings of targets, those that were lifted included.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    targets: IndexMap<Arc<str>, Incarnations>,
}

type Incarnations = IndexMap<Arc<str>, ReportState>;

/// How far the host list has followed a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    /// Seen by an entry.
    Reported,
    /// A later list called the host leaving or left it out.
    Confirmed,
    /// A later list named another incarnation or called the host live again.
    Cleared,
}

impl LeavingTargets {
    /// Takes in a sighting by any entry. True when it is new and in force.
    ///
    /// A sighting that a list has lifted is not taken again from an entry that lags.
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

    /// Takes in a host list that is later than all before.
    pub fn apply_host_list(&mut self, listed: &IndexMap<Arc<str>, ListedTarget>) {
        for (target, incarnations) in &mut self.targets {
            let listed = listed.get(target).filter(|l| !l.leaving);
            for (incarnation, state) in incarnations {
                *state = state.after_list(incarnation, listed);
            }
        }
    }

    /// Whether `listed` may get no new call.
    pub fn is_leaving(&self, listed: &ListedTarget) -> bool {
        listed.leaving
            || self.targets.get(&listed.target).is_some_and(|incarnations| {
                incarnations.iter().any(|(incarnation, state)| {
                    *state != ReportState::Cleared && !is_other_incarnation(incarnation, listed)
                })
            })
    }

    /// All leaving_reports in force.
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
    /// `listed` is what the list says of the host if it calls it live.
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

fn is_other_incarnation(incarnation: &str, listed: &ListedTarget) -> bool {
    let known = listed.incarnation.as_deref().filter(|_| !incarnation.is_empty());
    known.is_some_and(|l| l != incarnation)
}
