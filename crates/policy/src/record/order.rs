//! Checks that calls of a higher class came first.
//!
//! Calls of one service at one entry share its slots. A call may be sent while one of a higher
//! class waits only where the preset says so: its class has a floor and holds no more than that
//! share of the calls at targets, or none of its class was started for nearly the time that the
//! preset allows it to stand still.

use super::{Finding, FindingKind, Location, incarnation::Incarnation};
use azuretally_api::record::{CallRecord, ClassRecord};
use indexmap::IndexMap;

/// Time for which a higher call must have waited before, and still wait after, so that the clocks
/// of two threads at one entry decide nothing.
const TOLERANCE_US: u64 = 20_000;
/// Part of the allowed time without a start after which a class may come first.
const STILL_PART: f64 = 0.5;
/// Calls of its class that a floor may have saved up.
const FLOOR_BURST_CALLS: f64 = 4.0;

/// A call that was sent to a target, or waited for that in vain.
struct Entry<'a> {
    location: &'a Location,
    call: &'a CallRecord,
    rank: usize,
}

/// Adds one breach for each call that went before a waiting one of a higher class.
pub(super) fn check(incarnation: &Incarnation, breaches: &mut Vec<Finding>) {
    let mut groups: IndexMap<(&str, u64), Vec<Entry<'_>>> = IndexMap::new();
    for (location, call) in incarnation.calls() {
        let Some(settings) = incarnation.settings(call.revision) else { continue };
        let Some(rank) = settings.classes.iter().position(|c| c.name == call.class) else {
            continue;
        };
        let group = groups.entry((&call.service, call.revision)).or_default();
        group.push(Entry { location, call, rank });
    }
    for ((_, revision), group) in groups {
        let Some(settings) = incarnation.settings(revision) else { continue };
        check_group(&settings.classes, &group, breaches);
    }
}

fn check_group(classes: &[ClassRecord], group: &[Entry<'_>], breaches: &mut Vec<Finding>) {
    let mut waits: Vec<&Entry<'_>> = group.iter().filter(|e| is_plain(e.call)).collect();
    waits.sort_by_key(|e| e.call.arrival_us);
    let longest = waits.iter().map(|e| waiting_until(e.call) - e.call.arrival_us).max();
    for entry in group.iter().filter(|e| e.rank > 0 && is_plain(e.call)) {
        let (Some(at), Some(longest)) = (entry.call.dispatch_us, longest) else { continue };
        let from = waits.partition_point(|e| e.call.arrival_us + longest < at);
        let to = waits.partition_point(|e| e.call.arrival_us + TOLERANCE_US <= at);
        let higher = waits[from.min(to)..to]
            .iter()
            .find(|e| e.rank < entry.rank && at + TOLERANCE_US <= waiting_until(e.call));
        let Some(higher) = higher else { continue };
        if !is_allowed(&classes[entry.rank], entry, at, group) {
            let kind = FindingKind::PriorityInversion {
                class: entry.call.class.clone(),
                waiting_location: higher.location.clone(),
                higher_class: higher.call.class.clone(),
                waited_us: at - higher.call.arrival_us,
            };
            breaches.push(Finding { location: entry.location.clone(), kind });
        }
    }
}

/// Calls that went to a peer or were tried again do not tell when they waited here.
fn is_plain(call: &CallRecord) -> bool {
    call.peer.is_none() && call.attempts <= 1
}

fn waiting_until(call: &CallRecord) -> u64 {
    call.dispatch_us.unwrap_or(call.end_us).max(call.arrival_us)
}

/// Whether floor or still time let the call come first at the time `at`.
fn is_allowed(class: &ClassRecord, entry: &Entry<'_>, at: u64, group: &[Entry<'_>]) -> bool {
    let own = |e: &&Entry<'_>| e.rank == entry.rank && !std::ptr::eq(e.call, entry.call);
    if let Some(still_ms) = class.still_ms {
        let starts = group.iter().filter(own).filter_map(|e| e.call.dispatch_us);
        let last = starts.filter(|d| *d <= at).max().unwrap_or(0).max(entry.call.arrival_us);
        if (at - last.min(at)) as f64 >= f64::from(still_ms) * 1_000.0 * STILL_PART {
            return true;
        }
    }
    if class.floor_percent <= 0.0 {
        return false;
    }
    let running =
        |e: &&Entry<'_>| e.call.dispatch_us.is_some_and(|d| d <= at) && at < e.call.end_us;
    let all = group.iter().filter(running).count() as f64;
    let same = group.iter().filter(own).filter(running).count() as f64;
    same < (all * class.floor_percent / 100.0).max(FLOOR_BURST_CALLS)
}
