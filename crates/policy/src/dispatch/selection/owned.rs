//! Late binding to slots that this entry owns, with a preference for fast targets.
//!
//! A call takes the free slot at the fastest target. If only slow slots are free, it waits as long
//! as the expected wait for a faster slot plus the service time there is shorter than the service
//! time at the free slot. This is the threshold policy for the slow-server problem (Lin and Kumar,
//! 1984). The more calls wait, the sooner the slow slots are used.

use super::{SelectTarget, Selection, SelectionContext};
use crate::dispatch::target::Target;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Slowness up to which a free slot is always taken.
const ACCEPTED_SLOWNESS: f64 = 1.3;
/// Minimum ratio of slowness between a free slot and a busy one that is worth waiting for.
const MIN_SPEEDUP: f64 = 1.7;
/// Upper bound of the random factor on slowness, which makes the choice random among slots whose
/// slowness is within this ratio of the best.
const TIE_RATIO: f64 = 1.1;
/// Factor on the slowness of a target for a call that has already tried it.
const TRIED_FACTOR: f64 = 16.0;
/// Fraction of the expected service time after which a waiting call is considered again.
const RECHECK_FRACTION: f64 = 0.25;
/// Bounds of the time until a waiting call is considered again, in µs.
const RECHECK_MIN_US: f64 = 200.0;
const RECHECK_MAX_US: f64 = 50_000.0;

/// Selects among the slots owned by this entry.
#[derive(Debug)]
pub(crate) struct Owned;

impl SelectTarget for Owned {
    const LATE_BINDING: bool = true;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        let Some(best) = best_free_slot(context, random) else { return wait_for_any(context) };
        if best.is_trial || best.slowness <= ACCEPTED_SLOWNESS {
            return best.selection(context);
        }
        let faster = busy_faster_slots(context, best.slowness);
        if faster.rate == 0.0 {
            return best.selection(context);
        }
        let wait_service_times = context.queue_len as f64 / faster.rate;
        let total_us = (wait_service_times + faster.slowness) * context.expected_us;
        if best.slowness * context.expected_us <= total_us {
            return best.selection(context);
        }
        Selection::Wait { expected_us: total_us, recheck_at: Some(next_recheck(context)) }
    }
}

/// A free slot at a target.
struct FreeSlot {
    index: usize,
    slowness: f64,
    is_trial: bool,
}

impl FreeSlot {
    fn selection(&self, context: &SelectionContext<'_>) -> Selection {
        Selection::Target { index: self.index, expected_us: self.slowness * context.expected_us }
    }
}

/// Returns the free slot at the fastest target. A due trial takes precedence for idempotent calls,
/// and is the last resort for others.
fn best_free_slot<R>(context: &SelectionContext<'_>, random: &mut R) -> Option<FreeSlot>
where
    R: Rng,
{
    let mut best: Option<FreeSlot> = None;
    let mut last_resort = None;
    for (index, target) in context.targets.values().enumerate() {
        if target.is_trial_due(context.now) && !context.has_tried(target) {
            let trial = FreeSlot { index, slowness: 1.0, is_trial: true };
            if context.idempotent {
                return Some(trial);
            }
            last_resort = Some(trial);
            continue;
        }
        if target.free_slots(context.now) == 0 {
            continue;
        }
        let slowness = slowness_for(context, target);
        let slowness = slowness * (1.0 + (TIE_RATIO - 1.0) * random.random::<f64>());
        if best.as_ref().is_none_or(|b| slowness < b.slowness) {
            best = Some(FreeSlot { index, slowness, is_trial: false });
        }
    }
    best.or(last_resort)
}

/// Returns the slowness of the target for this call. Targets that the call has already tried rank
/// after the others.
fn slowness_for(context: &SelectionContext<'_>, target: &Target) -> f64 {
    let slowness = target.slowness.with_next_call(context.now, context.decay_us);
    if context.has_tried(target) { slowness * TRIED_FACTOR } else { slowness }
}

/// Busy slots that are worth waiting for.
struct FasterSlots {
    /// Number of slots that become free per mean service time.
    rate: f64,
    /// Mean slowness of the slots, weighted by rate.
    slowness: f64,
}

/// Returns rate and slowness of the busy slots at targets that are faster than `slowness` by at
/// least [`MIN_SPEEDUP`].
fn busy_faster_slots(context: &SelectionContext<'_>, slowness: f64) -> FasterSlots {
    let mut rate = 0.0;
    let mut slots = 0.0;
    for target in context.targets.values() {
        if target.in_flight == 0 || !target.is_usable() || target.rest.is_resting(context.now) {
            continue;
        }
        let target_slowness = target.slowness.current(context.now, context.decay_us);
        if target_slowness * MIN_SPEEDUP < slowness {
            let busy = f64::from(target.in_flight.min(target.owned_slots));
            rate += busy / target_slowness;
            slots += busy;
        }
    }
    FasterSlots { rate, slowness: if rate > 0.0 { slots / rate } else { 0.0 } }
}

/// Returns the selection for the case that no slot is free.
fn wait_for_any(context: &SelectionContext<'_>) -> Selection {
    if !context.needs_wait {
        return Selection::Wait {
            expected_us: f64::INFINITY,
            recheck_at: earliest_resumption(context),
        };
    }
    let all = busy_faster_slots(context, f64::INFINITY);
    if all.rate == 0.0 {
        return Selection::Wait {
            expected_us: f64::INFINITY,
            recheck_at: earliest_resumption(context),
        };
    }
    let expected_us = (context.queue_len as f64 / all.rate + all.slowness) * context.expected_us;
    Selection::Wait { expected_us, recheck_at: earliest_resumption(context) }
}

/// Returns the earliest end of a pause, of a rest or of the open state of a breaker.
fn earliest_resumption(context: &SelectionContext<'_>) -> Option<crate::Timestamp> {
    let active = context.targets.values().filter(|t| t.is_active() && t.owned_slots > 0);
    let ends = active.map(|t| t.available_at(context.now));
    ends.filter(|at| *at > context.now).min()
}

/// Returns when a call that waits for a faster slot is considered again.
fn next_recheck(context: &SelectionContext<'_>) -> crate::Timestamp {
    let us = (context.expected_us * RECHECK_FRACTION).clamp(RECHECK_MIN_US, RECHECK_MAX_US);
    context.now + Duration::from_micros(us as u64)
}
