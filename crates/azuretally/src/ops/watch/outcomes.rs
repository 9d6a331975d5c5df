//! Service-level outcomes of the fleet, computed from the states of its entries.

use crate::{ops::status::totals, util::text};
use azuretally_api::admin::{CallCounts, ClassStatus, EntryStatus};
use std::collections::BTreeSet;

/// States of all entries at one time.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    /// States of the other entries.
    pub(super) states: Vec<EntryStatus>,
    /// Number of entries that did not return a valid response.
    pub(super) failed: usize,
}

/// Result of the check of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The outcome holds.
    Holds,
    /// The outcome does not hold.
    Broken,
    /// No call ended that would allow a verdict.
    NoCalls,
    /// The value is informational and has no aim.
    Informational,
}

/// One outcome with its current value and its aim.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) name: String,
    pub(super) now: String,
    pub(super) aim: String,
    pub(super) verdict: Verdict,
}

impl Verdict {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Holds => "holds",
            Self::Broken => "BROKEN",
            Self::NoCalls => "no calls",
            Self::Informational => "-",
        }
    }

    const fn from_bool(holds: bool) -> Self {
        if holds { Self::Holds } else { Self::Broken }
    }
}

/// Computes all outcomes. Calls are counted for the time between the two samples, except those
/// without a record, which are counted since the start of each entry. All other values are those of
/// `now`.
pub(super) fn outcomes(before: &Sample, now: &Sample, aim_percent: f64) -> Vec<Outcome> {
    let classes = now.states.iter().max_by_key(|s| s.revision);
    let classes = classes.map(|s| s.classes.as_slice()).unwrap_or_default();
    let mut outcomes = Vec::new();
    if let Some(first) = classes.first() {
        outcomes.push(in_time(first, &counts(before, now, Some(first)), aim_percent));
    }
    let total = counts(before, now, None);
    outcomes.push(informational("calls taken", total.taken));
    outcomes.push(informational("not run", total.not_run));
    outcomes.push(must_be_zero("unknown", total.unknown));
    if let Some(last) = classes.last().filter(|_| classes.len() > 1) {
        outcomes.push(oldest_waiting(last, now));
    }
    outcomes.push(same_preset(now));
    let stale = now.states.iter().filter(|s| s.state == "stale" || s.state == "starting");
    outcomes.push(must_be_zero("stale entries", stale.count() as u64));
    outcomes.push(must_be_zero("silent entries", now.failed as u64));
    let refused = now.states.iter().filter(|s| s.refused.is_some()).count();
    outcomes.push(must_be_zero("entries that refuse the newest settings", refused as u64));
    let lost = now.states.iter().map(|s| s.record.lost).sum();
    outcomes.push(must_be_zero("calls without a record", lost));
    outcomes
}

fn in_time(class: &ClassStatus, counts: &CallCounts, aim_percent: f64) -> Outcome {
    let ended = counts.answered + counts.not_run + counts.unknown;
    let percent = counts.in_time as f64 * 100.0 / ended.max(1) as f64;
    Outcome {
        name: format!("{} in time", class.name),
        now: if ended == 0 { "-".to_owned() } else { format!("{percent:.2}%") },
        aim: format!("{aim_percent}% of calls within {} ms", class.timeout_ms),
        verdict: if ended == 0 {
            Verdict::NoCalls
        } else {
            Verdict::from_bool(percent >= aim_percent)
        },
    }
}

fn oldest_waiting(class: &ClassStatus, now: &Sample) -> Outcome {
    let oldest = now.states.iter().map(|s| s.oldest_waiting_ms).max().unwrap_or(0);
    Outcome {
        name: format!("oldest waiting call ({})", class.name),
        now: text::duration(oldest),
        aim: format!("below {}", text::duration(class.timeout_ms.into())),
        verdict: Verdict::from_bool(oldest < u64::from(class.timeout_ms)),
    }
}

fn same_preset(now: &Sample) -> Outcome {
    let serving = now.states.iter().filter(|s| s.state == "serving");
    let active: BTreeSet<_> = serving.map(|s| (s.revision, s.preset.as_str())).collect();
    let text: Vec<String> = active.iter().map(|(r, p)| format!("{p} ({r})")).collect();
    Outcome {
        name: "preset in force (revision)".to_owned(),
        now: text.join(", "),
        aim: "one everywhere".to_owned(),
        verdict: Verdict::from_bool(active.len() <= 1),
    }
}

fn must_be_zero(name: &str, value: u64) -> Outcome {
    let verdict = Verdict::from_bool(value == 0);
    Outcome { name: name.to_owned(), now: value.to_string(), aim: "0".to_owned(), verdict }
}

fn informational(name: &str, value: u64) -> Outcome {
    let verdict = Verdict::Informational;
    Outcome { name: name.to_owned(), now: value.to_string(), aim: String::new(), verdict }
}

/// Returns the counters of a class, or of all calls, for the time between two samples. An entry
/// that restarted meanwhile counts from its start.
fn counts(before: &Sample, now: &Sample, class: Option<&ClassStatus>) -> CallCounts {
    let mut sum = CallCounts::default();
    for state in &now.states {
        let previous = before.states.iter().find(|s| s.incarnation == state.incarnation);
        let current = class_counts(state, class);
        let previous = previous.map(|s| class_counts(s, class)).unwrap_or_default();
        sum.taken += current.taken.saturating_sub(previous.taken);
        sum.answered += current.answered.saturating_sub(previous.answered);
        sum.not_run += current.not_run.saturating_sub(previous.not_run);
        sum.unknown += current.unknown.saturating_sub(previous.unknown);
        sum.in_time += current.in_time.saturating_sub(previous.in_time);
    }
    sum
}

fn class_counts(status: &EntryStatus, class: Option<&ClassStatus>) -> CallCounts {
    let Some(class) = class else { return totals(status) };
    let mut filtered = status.clone();
    filtered.calls.retain(|operation, _| class.operations.contains(operation));
    totals(&filtered)
}
