//! The outcomes that the system is responsible for.

use crate::{ops::status::totals, util::text};
use azuretally_api::admin::{CallCounts, ClassStatus, EntryStatus};
use std::collections::BTreeSet;

/// What all entries told at one time.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    /// States of the entries that answered.
    pub(super) states: Vec<EntryStatus>,
    /// Entries that gave no answer.
    pub(super) silent: usize,
}

/// Whether an outcome holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Holds,
    Broken,
    /// Nothing happened that could tell.
    NoCalls,
    /// No promise speaks of it.
    Noted,
}

/// One outcome and what was seen of it.
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
            Self::Noted => "-",
        }
    }

    const fn of(holds: bool) -> Self {
        if holds { Self::Holds } else { Self::Broken }
    }
}

/// All outcomes between two samples.
pub(super) fn outcomes(before: &Sample, now: &Sample, aim_percent: f64) -> Vec<Outcome> {
    let classes = now.states.iter().max_by_key(|s| s.revision);
    let classes = classes.map(|s| s.classes.as_slice()).unwrap_or_default();
    let mut found = Vec::new();
    if let Some(first) = classes.first() {
        found.push(in_time(first, &counts(before, now, Some(first)), aim_percent));
    }
    let all = counts(before, now, None);
    found.push(noted("calls taken", all.taken));
    found.push(noted("not run", all.not_run));
    found.push(zero("unknown", all.unknown));
    if let Some(last) = classes.last().filter(|_| classes.len() > 1) {
        found.push(oldest(last, now));
    }
    found.push(one_preset(now));
    let stale = now.states.iter().filter(|s| s.state == "stale" || s.state == "starting");
    found.push(zero("stale entries", stale.count() as u64));
    found.push(zero("silent entries", now.silent as u64));
    let refused = now.states.iter().filter(|s| is_refused(s)).count();
    found.push(zero("entries that refuse the newest settings", refused as u64));
    let lost = now.states.iter().map(|s| s.record.lost).sum();
    found.push(zero("calls without a record", lost));
    found
}

fn in_time(class: &ClassStatus, counts: &CallCounts, aim_percent: f64) -> Outcome {
    let ended = counts.answered + counts.not_run + counts.unknown;
    let percent = counts.in_time as f64 * 100.0 / ended.max(1) as f64;
    Outcome {
        name: format!("{} in time", class.name),
        now: if ended == 0 { "-".to_owned() } else { format!("{percent:.2}%") },
        aim: format!("{aim_percent}% of calls within {} ms", class.timeout_ms),
        verdict: if ended == 0 { Verdict::NoCalls } else { Verdict::of(percent >= aim_percent) },
    }
}

fn oldest(class: &ClassStatus, now: &Sample) -> Outcome {
    let oldest = now.states.iter().map(|s| s.oldest_waiting_ms).max().unwrap_or(0);
    Outcome {
        name: format!("oldest waiting call ({})", class.name),
        now: text::duration(oldest),
        aim: format!("below {}", text::duration(class.timeout_ms.into())),
        verdict: Verdict::of(oldest < u64::from(class.timeout_ms)),
    }
}

fn one_preset(now: &Sample) -> Outcome {
    let serving = now.states.iter().filter(|s| s.state == "serving");
    let seen: BTreeSet<_> = serving.map(|s| (s.revision, s.preset.as_str())).collect();
    let text: Vec<String> = seen.iter().map(|(r, p)| format!("{p} ({r})")).collect();
    Outcome {
        name: "preset in force (revision)".to_owned(),
        now: text.join(", "),
        aim: "one everywhere".to_owned(),
        verdict: Verdict::of(seen.len() <= 1),
    }
}

fn is_refused(status: &EntryStatus) -> bool {
    status.refused.as_ref().is_some_and(|r| r.revision > status.revision)
}

fn zero(name: &str, value: u64) -> Outcome {
    let verdict = Verdict::of(value == 0);
    Outcome { name: name.to_owned(), now: value.to_string(), aim: "0".to_owned(), verdict }
}

fn noted(name: &str, value: u64) -> Outcome {
    let verdict = Verdict::Noted;
    Outcome { name: name.to_owned(), now: value.to_string(), aim: String::new(), verdict }
}

/// Counters of a class, or of all calls, between two samples. An entry that began anew counts from
/// its start.
fn counts(before: &Sample, now: &Sample, class: Option<&ClassStatus>) -> CallCounts {
    let mut sum = CallCounts::default();
    for state in &now.states {
        let old = before.states.iter().find(|s| s.incarnation == state.incarnation);
        let new = of_class(state, class);
        let old = old.map(|s| of_class(s, class)).unwrap_or_default();
        sum.taken += new.taken.saturating_sub(old.taken);
        sum.answered += new.answered.saturating_sub(old.answered);
        sum.not_run += new.not_run.saturating_sub(old.not_run);
        sum.unknown += new.unknown.saturating_sub(old.unknown);
        sum.in_time += new.in_time.saturating_sub(old.in_time);
    }
    sum
}

fn of_class(status: &EntryStatus, class: Option<&ClassStatus>) -> CallCounts {
    let Some(class) = class else { return totals(status) };
    let mut part = status.clone();
    part.calls.retain(|operation, _| class.operations.contains(operation));
    totals(&part)
}
