//! Checks that calls were dispatched in the order of their classes.
//!
//! The calls of one service at one entry share its slots. A call may be dispatched while a call of
//! a higher class is waiting only as the preset allows: its class has a floor and holds at most
//! that share of the calls at targets (or at most a few calls), or no call of its class has been
//! started for at least half of the longest time that the preset allows (`still_ms`), which
//! prevents starvation.

use super::{Finding, FindingKind, Location, incarnation::Incarnation};
use azuretally_api::record::{CallRecord, ClassRecord};
use indexmap::IndexMap;

/// Time for which a call of a higher class must have been waiting before the dispatch, and must
/// still wait after it, in µs. Smaller differences between times read by two threads of one entry
/// do not show the order of events.
const CLOCK_TOLERANCE_US: u64 = 20_000;
/// Fraction of `still_ms` without a start after which a class may be dispatched first.
const STILL_FRACTION: f64 = 0.5;
/// Running calls of a class that its floor permits even if its share is smaller, because a floor
/// accumulates credit for a burst.
const FLOOR_BURST_CALLS: f64 = 4.0;

/// A call that was sent to a target or ended while it was waiting.
struct QueuedCall<'a> {
    location: &'a Location,
    call: &'a CallRecord,
    /// Index of the class in the preset; 0 is the highest class.
    rank: usize,
}

/// Reports each call that was dispatched before a waiting call of a higher class. Calls are
/// compared only with calls of the same service and revision of the settings.
pub(super) fn check(incarnation: &Incarnation, findings: &mut Vec<Finding>) {
    let mut groups: IndexMap<(&str, Option<u64>, u64), Vec<QueuedCall<'_>>> = IndexMap::new();
    for (location, call) in incarnation.calls() {
        let Some(settings) = incarnation.settings(call) else { continue };
        let Some(rank) = settings.classes.iter().position(|c| c.name == call.class) else {
            continue;
        };
        let group = groups.entry((&call.service, call.era, call.revision)).or_default();
        group.push(QueuedCall { location, call, rank });
    }
    for group in groups.into_values() {
        let settings = group.first().and_then(|queued| incarnation.settings(queued.call));
        let Some(settings) = settings else { continue };
        check_group(&settings.classes, &group, findings);
    }
}

fn check_group(classes: &[ClassRecord], group: &[QueuedCall<'_>], findings: &mut Vec<Finding>) {
    let mut by_arrival: Vec<&QueuedCall<'_>> =
        group.iter().filter(|q| has_known_wait(q.call)).collect();
    by_arrival.sort_by_key(|q| q.call.arrival_us);
    let longest = by_arrival.iter().map(|q| wait_end_us(q.call) - q.call.arrival_us).max();
    for queued in group.iter().filter(|q| q.rank > 0 && has_known_wait(q.call)) {
        let (Some(dispatch_us), Some(longest)) = (queued.call.dispatch_us, longest) else {
            continue;
        };
        // No call waited for more than `longest`, so calls before index `from` had stopped waiting.
        let from = by_arrival.partition_point(|q| q.call.arrival_us + longest < dispatch_us);
        let to =
            by_arrival.partition_point(|q| q.call.arrival_us + CLOCK_TOLERANCE_US <= dispatch_us);
        let higher = by_arrival[from.min(to)..to].iter().find(|q| {
            q.rank < queued.rank && dispatch_us + CLOCK_TOLERANCE_US <= wait_end_us(q.call)
        });
        let Some(higher) = higher else { continue };
        if !may_go_first(&classes[queued.rank], queued, dispatch_us, group) {
            let kind = FindingKind::PriorityInversion {
                class: queued.call.class.clone(),
                waiting_location: higher.location.clone(),
                higher_class: higher.call.class.clone(),
                waited_us: dispatch_us - higher.call.arrival_us,
            };
            findings.push(Finding { location: queued.location.clone(), kind });
        }
    }
}

/// Returns whether the record shows when the call was waiting at this entry. It does not for calls
/// that were relayed to a peer or retried.
fn has_known_wait(call: &CallRecord) -> bool {
    call.peer.is_none() && call.attempts <= 1
}

/// Returns when the call stopped waiting, in µs.
fn wait_end_us(call: &CallRecord) -> u64 {
    call.dispatch_us.unwrap_or(call.end_us).max(call.arrival_us)
}

/// Returns whether the floor or `still_ms` of its class allowed the call to be dispatched first at
/// `dispatch_us`.
fn may_go_first(
    class: &ClassRecord,
    queued: &QueuedCall<'_>,
    dispatch_us: u64,
    group: &[QueuedCall<'_>],
) -> bool {
    let same_class =
        |q: &&QueuedCall<'_>| q.rank == queued.rank && !std::ptr::eq(q.call, queued.call);
    if let Some(still_ms) = class.still_ms {
        let starts = group.iter().filter(same_class).filter_map(|q| q.call.dispatch_us);
        let last =
            starts.filter(|d| *d <= dispatch_us).max().unwrap_or(0).max(queued.call.arrival_us);
        if (dispatch_us - last.min(dispatch_us)) as f64
            >= f64::from(still_ms) * 1_000.0 * STILL_FRACTION
        {
            return true;
        }
    }
    if class.floor_percent <= 0.0 {
        return false;
    }
    let running = |q: &&QueuedCall<'_>| {
        q.call.dispatch_us.is_some_and(|d| d <= dispatch_us) && dispatch_us < q.call.end_us
    };
    let running_calls = group.iter().filter(running).count() as f64;
    let running_same_class = group.iter().filter(same_class).filter(running).count() as f64;
    running_same_class < (running_calls * class.floor_percent / 100.0).max(FLOOR_BURST_CALLS)
}
